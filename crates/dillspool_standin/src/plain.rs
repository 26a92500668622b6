//! A plain service that counts how often each call ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::{NetListener, NetStack, ResponseBody, handler, read_body, text_response};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::engine::DEADLY_TEXT;
use crate::http::{CLOSING, broken, json, read_json, refuse, serve_lives};

/// Longest body, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;
/// Time after which a hung call is given up by the service itself.
const HANG: Duration = Duration::from_mins(10);

/// What goes wrong in a plain service until it is mended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlainFault {
    /// Nothing.
    #[default]
    None,
    /// The call runs, and its answer never comes.
    HangAfterRun,
    /// The call runs after a second.
    Slow,
    /// The call runs and is answered with a server error.
    FailAfterRun,
}

#[derive(Debug, Default)]
struct PlainState {
    fault: PlainFault,
    /// Runs by the text of the body, which the tests make unique.
    runs: BTreeMap<String, u64>,
    /// How often the process ended.
    ends: u64,
}

/// A running plain service.
#[derive(Clone, Debug)]
pub struct PlainStandIn {
    core: PlainCore,
    address: SocketAddr,
}

/// A service shared by its tasks.
#[derive(Clone, Debug, Default)]
struct PlainCore {
    state: Arc<Mutex<PlainState>>,
    ended: Arc<Notify>,
}

impl PlainStandIn {
    /// Serves on a listener until `cancel`.
    pub fn start(stack: &NetStack, listener: NetListener, cancel: &CancellationToken) -> Self {
        let core = PlainCore::default();
        let address = listener.local_addr();
        let serving = core.clone();
        let handler = handler(move |request| answer(serving.clone(), request));
        let ended = Arc::clone(&core.ended);
        tokio::spawn(serve_lives(stack.clone(), listener, handler, ended, cancel.clone()));
        Self { core, address }
    }

    /// How often its process has ended.
    pub fn ends(&self) -> u64 {
        locked(&self.core.state).ends
    }

    /// Address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets something go wrong, or mends it.
    pub fn set_fault(&self, fault: PlainFault) {
        locked(&self.core.state).fault = fault;
    }

    /// How often each body ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        locked(&self.core.state).runs.clone()
    }
}

fn locked(state: &Mutex<PlainState>) -> std::sync::MutexGuard<'_, PlainState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(core: PlainCore, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    if path == "/runs" {
        return json(&locked(&core.state).runs);
    }
    if path == "/fault" {
        return match read_json(request.into_body()).await {
            Ok(fault) => {
                locked(&core.state).fault = fault;
                json(&())
            }
            Err(refusal) => refusal,
        };
    }
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT).await else {
        return refuse(StatusCode::BAD_REQUEST, "the body broke off");
    };
    // A real service runs a call to its end whatever becomes of the connection.
    let task = tokio::spawn(run(core, path, String::from_utf8_lossy(&body).into_owned()));
    task.await.unwrap_or_else(|_join| refuse(StatusCode::INTERNAL_SERVER_ERROR, "failed"))
}

async fn run(core: PlainCore, path: String, body: String) -> Response<ResponseBody> {
    let PlainCore { state, ended } = core;
    if body.contains(DEADLY_TEXT) {
        locked(&state).ends += 1;
        ended.notify_one();
        // Nobody listens any more when its connections break.
        tokio::time::sleep(CLOSING).await;
        return broken();
    }
    let fault = locked(&state).fault;
    if fault == PlainFault::Slow {
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let runs = {
        let mut state = locked(&state);
        let runs = state.runs.entry(body).or_default();
        *runs += 1;
        *runs
    };
    match fault {
        PlainFault::HangAfterRun => tokio::time::sleep(HANG).await,
        PlainFault::FailAfterRun => {
            return refuse(StatusCode::INTERNAL_SERVER_ERROR, "failed after the run");
        }
        PlainFault::None | PlainFault::Slow => {}
    }
    let text = format!("{{\"path\":\"{path}\",\"run\":{runs}}}");
    text_response(StatusCode::CREATED, "application/json", text)
}
