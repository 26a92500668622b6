//! The platform's table, object store and host list behind one address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::{NetListener, ResponseBody, ServerLimits, handler, serve_http};
use dillspool_platform::{
    HostEntry, MemoryHosts, MemoryObjects, MemoryTable, PlatformError, StoreFault, TableSnapshot,
};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::http::{json, read_json, refuse};

/// Silence that stands for a lost answer; callers give up long before.
const SILENCE: Duration = Duration::from_mins(2);

/// Orders to the stand-in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum PlatformOrder {
    /// Refuses everything, or mends it.
    Down(bool),
    /// Lets the answers of the next commits be lost.
    LoseAnswers(usize),
    /// Adds or replaces a host list entry.
    SetHost(HostEntry),
    /// Removes a host list entry.
    RemoveHost(String),
    /// Keeps a copy of the table.
    SaveCopy,
    /// Brings the table back from the copy that was kept last, an empty one at first.
    Restore,
}

/// A running platform.
#[derive(Clone, Debug)]
pub struct PlatformStandIn {
    /// The table.
    pub table: MemoryTable,
    /// The object store.
    pub objects: MemoryObjects,
    /// The host list.
    pub hosts: MemoryHosts,
    copy: Arc<Mutex<TableSnapshot>>,
    address: SocketAddr,
}

impl PlatformStandIn {
    /// Serves on a listener until `cancel`.
    pub fn start(listener: NetListener, cancel: &CancellationToken) -> Self {
        let table = MemoryTable::new();
        let platform = Self {
            copy: Arc::new(Mutex::new(table.snapshot())),
            table,
            objects: MemoryObjects::new(),
            hosts: MemoryHosts::new(),
            address: listener.local_addr(),
        };
        let serving = platform.clone();
        let handler = handler(move |request| {
            let platform = serving.clone();
            async move { platform.answer(request).await }
        });
        tokio::spawn(serve_http(listener, ServerLimits::default(), handler, cancel.clone()));
        platform
    }

    /// Address of all three services.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes all services down, or brings them back.
    pub fn set_down(&self, down: bool) {
        self.table.set_outage(if down { StoreFault::Refuse } else { StoreFault::None });
        self.objects.set_down(down);
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        let answered = match path.as_str() {
            "/table/read" => match read_json(body).await {
                Ok(request) => Ok(reply(self.table.read(&request)).await),
                Err(refusal) => Err(refusal),
            },
            "/table/scan" => match read_json(body).await {
                Ok(request) => Ok(reply(self.table.scan(&request)).await),
                Err(refusal) => Err(refusal),
            },
            "/table/commit" => match read_json(body).await {
                Ok(request) => Ok(reply(self.table.commit(request)).await),
                Err(refusal) => Err(refusal),
            },
            "/objects/get" => match read_json(body).await {
                Ok(key) => Ok(reply(self.objects.get(&key)).await),
                Err(refusal) => Err(refusal),
            },
            "/objects/put" => match read_json(body).await {
                Ok(request) => Ok(reply(self.objects.put(request)).await),
                Err(refusal) => Err(refusal),
            },
            "/objects/list" => match read_json(body).await {
                Ok(request) => Ok(reply(self.objects.list(&request)).await),
                Err(refusal) => Err(refusal),
            },
            "/objects/delete" => match read_json(body).await {
                Ok(key) => Ok(reply(self.objects.delete(&key)).await),
                Err(refusal) => Err(refusal),
            },
            "/hosts/list" => read_json(body).await.map(|query| json(&self.hosts.list(query))),
            "/usage" => {
                let usage = self.table.usage();
                Ok(json(&[usage.reads, usage.writes, usage.rows]))
            }
            "/order" => read_json(body).await.map(|order| self.obey(order)),
            _ => Err(refuse(StatusCode::NOT_FOUND, "no such path")),
        };
        answered.unwrap_or_else(|refusal| refusal)
    }

    fn copy(&self) -> MutexGuard<'_, TableSnapshot> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn obey(&self, order: PlatformOrder) -> Response<ResponseBody> {
        match order {
            PlatformOrder::Down(down) => self.set_down(down),
            PlatformOrder::LoseAnswers(count) => {
                self.table.fail_commits(std::iter::repeat_n(StoreFault::LoseResponse, count));
            }
            PlatformOrder::SetHost(entry) => self.hosts.set(entry),
            PlatformOrder::RemoveHost(name) => self.hosts.remove(&name),
            PlatformOrder::SaveCopy => *self.copy() = self.table.snapshot(),
            PlatformOrder::Restore => self.table.restore(&self.copy()),
        }
        json(&())
    }
}

async fn reply<T: Serialize>(result: Result<T, PlatformError>) -> Response<ResponseBody> {
    match result {
        Ok(value) => json(&value),
        Err(PlatformError::NotDone { .. }) => refuse(StatusCode::SERVICE_UNAVAILABLE, "down"),
        Err(PlatformError::Unknown { .. }) => {
            tokio::time::sleep(SILENCE).await;
            refuse(StatusCode::GATEWAY_TIMEOUT, "lost")
        }
    }
}
