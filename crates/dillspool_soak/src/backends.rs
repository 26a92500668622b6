//! Backend servers of a soak, behind proxies, and how they come and go.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use dillspool_io::NetStack;
use dillspool_site_standin::{DeadlyParts, RunLog, StandinBackend, StandinKind, StandinStore};
use tokio::time::Instant;

use crate::proxy::LoopbackProxy;

/// Time for which a spoiled row stands.
const SPOILED_FOR: Duration = Duration::from_millis(120);
/// Time after which a backend server that a request has crashed is back.
const BACK_AFTER: Duration = Duration::from_millis(1_500);
/// The other software version of engines.
const SECOND_SOFTWARE: &str = "v2";
/// Start of a backend server whose clock goes back with each start.
const FIRST_START: u64 = 1_000_000;

/// What all places of a soak share.
#[derive(Clone)]
pub(crate) struct PlaceTools {
    pub(crate) stack: NetStack,
    pub(crate) store: StandinStore,
    pub(crate) runs: RunLog,
    /// Whether engines have two software versions.
    pub(crate) has_versions: bool,
    /// Parts of prompts that crash engines.
    pub(crate) deadly_parts: DeadlyParts,
}

impl PlaceTools {
    /// The backend server of a start, with the software version of that start.
    fn backend(&self, id: &str, kind: StandinKind, number: usize, starts: u32) -> StandinBackend {
        let backend =
            StandinBackend::new(id, kind, &self.runs).with_deadly_parts(&self.deadly_parts);
        // Of three engines of a stage two have one version; each start changes it.
        let is_second = number.is_multiple_of(3) != starts.is_multiple_of(2);
        let is_engine = kind != StandinKind::Plain;
        if self.has_versions && is_engine && is_second {
            backend.with_software(SECOND_SOFTWARE)
        } else {
            backend
        }
    }
}

/// A place for a backend server; one comes after the other there.
pub(crate) struct BackendPlace {
    tools: PlaceTools,
    number: usize,
    pub(crate) service: &'static str,
    pub(crate) kind: StandinKind,
    pub(crate) proxy: LoopbackProxy,
    pub(crate) backend: StandinBackend,
    starts: u32,
    /// Since when the one there is known to have ended.
    ended_at: Option<Instant>,
}

impl BackendPlace {
    pub(crate) async fn start(
        tools: &PlaceTools,
        number: usize,
        kind: StandinKind,
    ) -> std::io::Result<Self> {
        let service = if kind == StandinKind::Plain { "plain" } else { "pool" };
        let backend = tools.backend(&format!("i-{number}-0"), kind, number, 0);
        let address = backend.serve(&tools.stack, local()).await?;
        let proxy = LoopbackProxy::start(address).await?;
        let tools = tools.clone();
        let place =
            Self { tools, number, service, kind, proxy, backend, starts: 0, ended_at: None };
        place.close_with_backend();
        place.write_row();
        Ok(place)
    }

    fn write_row(&self) {
        let row = self.backend.row(self.service, self.proxy.address, "ready");
        self.tools.store.write("servers", &self.backend.id, Some(&row));
    }

    /// The machine of two in three refuses connections once its process has ended; the others' still takes
    /// them, as where something else listens for it.
    fn close_with_backend(&self) {
        if self.number.is_multiple_of(3) {
            return;
        }
        let (backend, proxy) = (self.backend.clone(), self.proxy.clone());
        tokio::spawn(async move {
            backend.ended().await;
            proxy.close();
        });
    }

    async fn take_over(&mut self, backend: StandinBackend) -> std::io::Result<()> {
        self.backend.crash();
        // What still runs on the old one keeps its own connections; the address is another.
        let address = backend.serve(&self.tools.stack, local()).await?;
        self.proxy = LoopbackProxy::start(address).await?;
        self.backend = backend;
        self.ended_at = None;
        self.close_with_backend();
        self.write_row();
        Ok(())
    }

    /// Crashes the backend server and starts a successor under another id.
    pub(crate) async fn replace(&mut self) -> std::io::Result<()> {
        self.starts += 1;
        self.tools.store.write("servers", &self.backend.id, None);
        let id = format!("i-{}-{}", self.number, self.starts);
        let backend = self.tools.backend(&id, self.kind, self.number, self.starts);
        self.take_over(backend).await
    }

    /// Starts a backend server again under its id; its clock may have gone back.
    pub(crate) async fn start_again(&mut self) -> std::io::Result<()> {
        self.starts += 1;
        let starts = u64::from(self.starts);
        let start = if self.number.is_multiple_of(2) { starts } else { FIRST_START - starts };
        let (tools, id) = (&self.tools, &self.backend.id);
        let backend = tools.backend(id, self.kind, self.number, self.starts);
        self.take_over(backend.started(start)).await
    }

    /// Starts it again if a request has crashed it some time ago.
    pub(crate) async fn revive(&mut self) -> std::io::Result<()> {
        if !self.backend.has_ended() {
            return Ok(());
        }
        let ended_at = *self.ended_at.get_or_insert_with(Instant::now);
        if ended_at.elapsed() < BACK_AFTER {
            return Ok(());
        }
        if self.starts.is_multiple_of(2) { self.start_again().await } else { self.replace().await }
    }

    /// Another writer puts something in the place of its row, which comes back a moment later.
    pub(crate) async fn spoil_row(&self) {
        let row = self.backend.row(self.service, self.proxy.address, "ready");
        let spoiled = row.replacen("ready", "asleep", 1);
        for text in [spoiled.as_str(), "{", "", row.as_str()] {
            self.tools.store.write("servers", &self.backend.id, Some(text));
            tokio::time::sleep(SPOILED_FOR).await;
        }
    }

    /// Tells that it leaves.
    pub(crate) fn drain(&self) {
        let row = self.backend.row(self.service, self.proxy.address, "draining");
        self.tools.store.write("servers", &self.backend.id, Some(&row));
    }
}

/// Any free port of the loopback address.
pub(crate) fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
