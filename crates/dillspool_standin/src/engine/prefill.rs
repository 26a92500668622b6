//! Prefill: one prompt at a time, by priority.

use std::time::Duration;

use dillspool_engine::estimate_tokens;
use dillspool_io::ResponseBody;
use dillspool_schema::engine::{PrefillReply, PrefillRequest};
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::model::{DEADLY_LATE, DEADLY_PROMPT, DEADLY_TEXT, EngineFault};
use super::state::{EngineCore, ExportedCache, natural_length};
use crate::http::{CLOSING, broken, json, refuse};

const MICROS: u64 = 1_000_000;
/// Tokens of an answer that ends its engine late.
const LATE_TOKENS: u64 = 5;

/// Runs a prefill as a task of the engine: it goes on when its caller's connection is gone.
pub(crate) async fn prefill(core: EngineCore, request: PrefillRequest) -> Response<ResponseBody> {
    let cancel = CancellationToken::new();
    core.lock().prefills.insert(request.stream.clone(), cancel.clone());
    let task = tokio::spawn(run(core, request, cancel));
    task.await.unwrap_or_else(|_join| refuse(StatusCode::INTERNAL_SERVER_ERROR, "prefill failed"))
}

async fn run(
    core: EngineCore,
    request: PrefillRequest,
    cancel: CancellationToken,
) -> Response<ResponseBody> {
    let stream = request.stream.clone();
    // Biased, so that a turn just handed over is taken and its guard hands it on.
    let done = tokio::select! {
        biased;
        done = compute(&core, &request) => Some(done),
        () = cancel.cancelled() => None,
    };
    core.lock().prefills.remove(&stream);
    let Some(response) = done else {
        leave_queue(&core);
        return refuse(StatusCode::GONE, "cancelled");
    };
    response
}

/// Waits for the engine, works, and exports the result.
async fn compute(core: &EngineCore, request: &PrefillRequest) -> Response<ResponseBody> {
    enter_queue(core, request.priority).await;
    let guard = BusyGuard { core };
    let prompt_tokens = estimate_tokens(&request.prompt);
    let cached = core.lock().cache.touch(&request.prompt, core.model.cache_blocks);
    let cached_tokens = cached.min(prompt_tokens.saturating_sub(1));
    let work = prompt_tokens - cached_tokens + request.generated.len() as u64;
    let micros = work * MICROS / core.model.prefill_tokens_per_s;
    tokio::time::sleep(Duration::from_micros(micros)).await;
    drop(guard);
    if request.prompt.contains(DEADLY_PROMPT) {
        // Its own answer breaks off in place of being cancelled.
        core.lock().prefills.remove(&request.stream);
        core.end();
        // Nobody listens any more when its connections break.
        tokio::time::sleep(CLOSING).await;
        return broken();
    }
    if core.fault() == EngineFault::FailPrefill {
        return refuse(StatusCode::INTERNAL_SERVER_ERROR, "prefill failed");
    }
    let kv_bytes = prompt_tokens * core.model.kv_bytes_per_token;
    let kv = format!("kv-{}", request.stream).into();
    let export = ExportedCache {
        stream: request.stream.clone(),
        prompt_hash: xxh3_64(request.prompt.as_bytes()),
        length: natural_length(&request.prompt),
        bytes: kv_bytes,
        expires: Instant::now() + core.model.kv_lifetime,
        deadly_after: deadly_after(&request.prompt),
    };
    let mut state = core.lock();
    state.prefilled += 1;
    state.exports.insert(std::sync::Arc::clone(&kv), export);
    json(&PrefillReply { kv, prompt_tokens, cached_tokens, kv_bytes })
}

/// Tokens after which an answer ends its engine.
fn deadly_after(prompt: &str) -> Option<u64> {
    if prompt.contains(DEADLY_LATE) {
        return Some(LATE_TOKENS);
    }
    prompt.contains(DEADLY_TEXT).then_some(0)
}

async fn enter_queue(core: &EngineCore, priority: u32) {
    let turn = {
        let mut state = core.lock();
        if !state.prefill_busy {
            state.prefill_busy = true;
            return;
        }
        let (sender, receiver) = oneshot::channel();
        state.arrivals += 1;
        let arrival = state.arrivals;
        state.prefill_queue.insert((priority, arrival), sender);
        receiver
    };
    // Whoever hands over keeps `prefill_busy` set.
    let _sender_kept = turn.await;
}

/// Hands the engine to the next waiting prefill, also when the holder is cancelled.
struct BusyGuard<'a> {
    core: &'a EngineCore,
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        hand_over(self.core);
    }
}

fn hand_over(core: &EngineCore) {
    let mut state = core.lock();
    while let Some((_, next)) = state.prefill_queue.pop_first() {
        if next.send(()).is_ok() {
            return;
        }
    }
    state.prefill_busy = false;
}

/// A cancelled waiter leaves a closed sender behind.
fn leave_queue(core: &EngineCore) {
    core.lock().prefill_queue.retain(|_, waiter| !waiter.is_closed());
}
