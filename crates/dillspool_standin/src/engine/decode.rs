//! Decode: import of the KV cache, then one token a step for the whole batch.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillspool_engine::ResumeRequest;
use dillspool_io::{BoxError, HttpClient, ResponseBody, channel_body};
use dillspool_schema::engine::{DecodeRequest, TokenEvent};
use dillspool_schema::{Name, StreamId};
use hyper::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::model::EngineFault;
use super::state::{DecodeTask, EngineCore, token_of_hash};
use crate::http::refuse;

const MICROS: u64 = 1_000_000;
/// Time for the source engine to answer.
const TAKE_LIMIT: Duration = Duration::from_secs(2);
/// Tokens waiting for a slow reader.
const READER_BUFFER: usize = 32;

/// What the source engine gives of an export.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct TakenExport {
    pub(crate) prompt_hash: u64,
    pub(crate) length: Option<u64>,
    pub(crate) bytes: u64,
    pub(crate) deadly_after: Option<u64>,
}

/// Names an export to take; `done` frees it at the source.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct TakeRequest {
    pub(crate) kv: Name,
    pub(crate) done: bool,
}

/// Imports and starts a stream; the import holds a slot.
pub(crate) async fn decode(
    core: EngineCore,
    http: HttpClient,
    request: DecodeRequest,
) -> Response<ResponseBody> {
    let cancel = CancellationToken::new();
    {
        let mut state = core.lock();
        let used = state.decodes.len() + state.imports.len();
        if used >= core.model.slots as usize {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no free slot");
        }
        state.imports.insert(request.stream.clone(), cancel.clone());
    }
    let importing = core.clone();
    // A task of the engine: the import goes on when the caller's connection is gone.
    let import = tokio::spawn(async move {
        let taken = tokio::select! {
            taken = import(&importing, &http, &request) => taken,
            () = cancel.cancelled() => Err("cancelled"),
        };
        let mut state = importing.lock();
        let waiting = state.imports.remove(&request.stream).is_some();
        let taken = taken?;
        if !waiting {
            return Err("cancelled");
        }
        let end = taken.length.map_or(request.max_tokens, |it| it.min(request.max_tokens));
        let task = Arc::new(DecodeTask {
            produced: request.from.into(),
            first: request.from,
            end: end.max(request.from),
            prompt_hash: taken.prompt_hash,
            deadly_after: taken.deadly_after,
            changed: Notify::new(),
            cancel: CancellationToken::new(),
        });
        state.decodes.insert(request.stream.clone(), Arc::clone(&task));
        state.imported += 1;
        drop(state);
        tokio::spawn(produce(importing.clone(), Arc::clone(&task)));
        Ok((request.stream, request.from, task))
    });
    match import.await {
        Ok(Ok((stream, from, task))) => stream_out(core, stream, from, task),
        Ok(Err(text)) => refuse(StatusCode::CONFLICT, text),
        Err(_join) => refuse(StatusCode::INTERNAL_SERVER_ERROR, "import failed"),
    }
}

/// Fetches the export over the link, which carries one transfer after the other.
async fn import(
    core: &EngineCore,
    http: &HttpClient,
    request: &DecodeRequest,
) -> Result<TakenExport, &'static str> {
    let Ok(source) = request.kv_address.parse::<SocketAddr>() else {
        return Err("kv_address is no address");
    };
    let take = TakeRequest { kv: Arc::clone(&request.kv), done: false };
    let taken: TakenExport = http
        .call(Method::POST, source, "/take", &take, TAKE_LIMIT)
        .await
        .map_err(|_any| "the exported KV cache is gone")?;
    if core.fault() == EngineFault::StallTransfer {
        std::future::pending::<()>().await;
    }
    let micros = taken.bytes * MICROS / core.model.link_bytes_per_s;
    let until = {
        let mut state = core.lock();
        let now = Instant::now();
        let start = state.link_free_at.map_or(now, |free| free.max(now));
        let until = start + Duration::from_micros(micros);
        state.link_free_at = Some(until);
        until
    };
    tokio::time::sleep_until(until).await;
    let done = TakeRequest { kv: Arc::clone(&request.kv), done: true };
    http.call::<_, TakenExport>(Method::POST, source, "/take", &done, TAKE_LIMIT)
        .await
        .map_err(|_any| "the exported KV cache expired in transfer")?;
    Ok(taken)
}

/// Produces the tokens of a stream, a step each, until its end.
async fn produce(core: EngineCore, task: Arc<DecodeTask>) {
    let mut index = task.first;
    while index < task.end {
        let batch = u32::try_from(core.lock().decodes.len()).unwrap_or(u32::MAX);
        let step = core.model.step_base + core.model.step_per_stream * batch;
        tokio::select! {
            () = tokio::time::sleep(step) => {}
            () = task.cancel.cancelled() => return,
        }
        if task.deadly_after.is_some_and(|tokens| index >= task.first + tokens) {
            core.end();
            return;
        }
        if core.fault() == EngineFault::StallDecode {
            task.changed.notified().await;
            continue;
        }
        index += 1;
        *task.produced.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = index;
        task.changed.notify_waiters();
    }
}

/// Opens a stream again from an index.
pub(crate) fn resume(core: EngineCore, request: ResumeRequest) -> Response<ResponseBody> {
    let task = core.lock().decodes.get(&request.stream).cloned();
    match task {
        Some(task) if request.from >= task.first => {
            stream_out(core, request.stream, request.from, task)
        }
        _ => refuse(StatusCode::NOT_FOUND, "no such stream"),
    }
}

fn stream_out(
    core: EngineCore,
    stream: StreamId,
    from: u64,
    task: Arc<DecodeTask>,
) -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(READER_BUFFER);
    tokio::spawn(send_tokens(core, stream, from, task, sender));
    Response::new(channel_body(receiver))
}

async fn send_tokens(
    core: EngineCore,
    stream: StreamId,
    from: u64,
    task: Arc<DecodeTask>,
    sender: mpsc::Sender<Result<Bytes, BoxError>>,
) {
    let mut index = from;
    loop {
        let changed = task.changed.notified();
        let produced = *task.produced.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        while index < produced {
            if core.fault() == EngineFault::SkipToken && index % 10 == 9 {
                index += 1;
                continue;
            }
            if sender.send(Ok(token_line(&core, &stream, index, &task))).await.is_err() {
                return;
            }
            index += 1;
        }
        if index >= task.end {
            break;
        }
        tokio::select! {
            () = changed => {}
            () = task.cancel.cancelled() => return,
            () = sender.closed() => return,
        }
        if core.fault() == EngineFault::CutStreams {
            let _reader_gone = sender.send(Err("cut".into())).await;
            return;
        }
    }
    let finish =
        TokenEvent { stream: stream.clone(), index, text: None, finish: Some("stop".into()) };
    if sender.send(Ok(line(&finish))).await.is_ok() {
        // The whole answer was read: nothing is held any longer.
        core.lock().decodes.remove(&stream);
    }
}

fn token_line(core: &EngineCore, stream: &StreamId, index: u64, task: &DecodeTask) -> Bytes {
    let mut stream = stream.clone();
    if core.fault() == EngineFault::WrongStream {
        stream.sequence += 1;
    }
    let text = token_of_hash(task.prompt_hash, index).into();
    line(&TokenEvent { stream, index, text: Some(text), finish: None })
}

fn line(event: &TokenEvent) -> Bytes {
    let mut text = serde_json::to_vec(event).unwrap_or_default();
    text.push(b'\n');
    text.into()
}
