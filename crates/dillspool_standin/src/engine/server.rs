//! The engine's HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_engine::{
    CacheEvents, CancelReply, CancelRequest, LoadReport, OrderRefusal, OrderReply,
};
use dillspool_io::{HttpClient, NetListener, NetStack, ResponseBody, handler};
use dillspool_schema::StreamId;
use dillspool_schema::engine::{FencedOrder, StreamListing};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::decode::{TakeRequest, TakenExport, decode, resume};
use super::model::{EngineFault, EngineModel};
use super::prefill::prefill;
use super::state::{EngineCore, ExportedCache};
use crate::http::{json, read_json, refuse, serve_lives};

/// How often expired exports are dropped and the load is noted.
const HOUSEKEEPING: Duration = Duration::from_millis(50);
/// Load reports kept.
const KEPT_REPORTS: usize = 256;

/// A running stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineStandIn {
    core: EngineCore,
    address: SocketAddr,
}

impl EngineStandIn {
    /// Serves an engine on a listener until `cancel`.
    pub fn start(
        model: EngineModel,
        stack: &NetStack,
        listener: NetListener,
        checks_fence: bool,
        cancel: &CancellationToken,
    ) -> Self {
        let core = EngineCore::new(model);
        let address = listener.local_addr();
        let http = HttpClient::pooled(stack);
        let serving = core.clone();
        let handler = handler(move |request| {
            let (core, http) = (serving.clone(), http.clone());
            async move { answer(core, http, checks_fence, request).await }
        });
        let ended = Arc::clone(&core.ended);
        tokio::spawn(serve_lives(stack.clone(), listener, handler, ended, cancel.clone()));
        tokio::spawn(keep_house(core.clone(), cancel.clone()));
        Self { core, address }
    }

    /// Address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets something go wrong, or mends it.
    pub fn set_fault(&self, fault: EngineFault) {
        self.core.set_fault(fault);
    }

    /// Streams that hold memory now: decoding, importing, prefilling or exported.
    pub fn held_streams(&self) -> Vec<StreamId> {
        let listing = listing(&self.core);
        listing.streams.into_iter().chain(listing.exports).collect()
    }

    /// Prefills done so far, and exports that expired without being imported.
    pub fn prefill_counts(&self) -> (u64, u64) {
        let state = self.core.lock();
        (state.prefilled, state.wasted_exports)
    }

    /// KV caches that were imported, each the use of a prefill.
    pub fn imports_done(&self) -> u64 {
        self.core.lock().imported
    }

    /// How often its process has ended.
    pub fn ends(&self) -> u64 {
        self.core.lock().ends
    }

    /// Fenced orders that were carried out.
    pub fn orders_run(&self) -> u64 {
        self.core.lock().orders_run
    }
}

async fn keep_house(core: EngineCore, cancel: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(HOUSEKEEPING) => {}
            () = cancel.cancelled() => return,
        }
        core.expire_exports();
        let mut state = core.lock();
        let running = u32::try_from(state.decodes.len() + state.imports.len()).unwrap_or(u32::MAX);
        let waiting = u32::try_from(state.prefill_queue.len()).unwrap_or(u32::MAX);
        state.reports.push_back((Instant::now(), LoadReport { running, waiting }));
        if state.reports.len() > KEPT_REPORTS {
            state.reports.pop_front();
        }
    }
}

async fn answer(
    core: EngineCore,
    http: HttpClient,
    checks_fence: bool,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let body = request.into_body();
    if core.fault() == EngineFault::Dead && path != "/fault" {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "dead");
    }
    let answered = match path.as_str() {
        "/prefill" => match read_json(body).await {
            Ok(request) => Ok(prefill(core, request).await),
            Err(refusal) => Err(refusal),
        },
        "/decode" => match read_json(body).await {
            Ok(request) => Ok(decode(core, http, request).await),
            Err(refusal) => Err(refusal),
        },
        "/resume" => read_json(body).await.map(|request| resume(core, request)),
        "/cancel" => read_json(body).await.map(|request: CancelRequest| {
            json(&CancelReply { found: core.cancel(&request.stream) })
        }),
        "/streams" => Ok(json(&listing(&core))),
        "/load" => Ok(json(&load(&core))),
        "/cache-events" => read_json(body).await.map(|after| json(&events(&core, after))),
        "/take" => read_json(body).await.map(|request| take(&core, &request)),
        "/order" => read_json(body).await.map(|order| carry_out(&core, &order, checks_fence)),
        "/last-order" => Ok(json(&core.lock().last_order.clone().unwrap_or_else(no_order))),
        "/fault" => read_json(body).await.map(|fault| {
            core.set_fault(fault);
            json(&())
        }),
        _ => Err(refuse(StatusCode::NOT_FOUND, "no such path")),
    };
    answered.unwrap_or_else(|refusal| refusal)
}

fn listing(core: &EngineCore) -> StreamListing {
    core.expire_exports();
    let state = core.lock();
    let held = state.decodes.keys().chain(state.imports.keys()).chain(state.prefills.keys());
    StreamListing {
        slots: core.model.slots,
        streams: held.cloned().collect(),
        exports: state.exports.values().map(|export| export.stream.clone()).collect(),
    }
}

fn load(core: &EngineCore) -> LoadReport {
    let state = core.lock();
    let old_enough = |at: &Instant| at.elapsed() >= core.model.report_lag;
    let report = state.reports.iter().rev().find(|(at, _)| old_enough(at));
    report.map(|(_, report)| *report).unwrap_or_default()
}

fn events(core: &EngineCore, after: u64) -> CacheEvents {
    let model = &core.model;
    let events = core.lock().cache.events(after, model.report_lag, model.lose_event_every);
    CacheEvents { events }
}

fn take(core: &EngineCore, request: &TakeRequest) -> Response<ResponseBody> {
    core.expire_exports();
    let mut state = core.lock();
    let Some(export) = state.exports.get(&request.kv).cloned() else {
        return refuse(StatusCode::NOT_FOUND, "no such KV cache");
    };
    if request.done {
        state.exports.remove(&request.kv);
    }
    let ExportedCache { prompt_hash, length, bytes, deadly_after, .. } = export;
    json(&TakenExport { prompt_hash, length, bytes, deadly_after })
}

fn no_order() -> OrderReply {
    OrderReply { epoch: 0, token: "".into(), refusal: None }
}

fn carry_out(core: &EngineCore, order: &FencedOrder, checks_fence: bool) -> Response<ResponseBody> {
    let mut state = core.lock();
    let last = state.last_order.clone().unwrap_or_else(no_order);
    if checks_fence && order.epoch <= last.epoch {
        return json(&OrderReply { refusal: Some(OrderRefusal::OldEpoch), ..last });
    }
    state.orders_run += 1;
    let token = std::sync::Arc::clone(&order.token);
    let reply = OrderReply { epoch: order.epoch, token, refusal: None };
    state.last_order = Some(reply.clone());
    json(&reply)
}
