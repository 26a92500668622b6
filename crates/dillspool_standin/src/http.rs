//! Helpers of the stand-ins' HTTP servers.

use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{
    HttpHandler, NetListener, NetStack, ResponseBody, ServerLimits, channel_body, read_body,
    serve_http, text_response,
};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

/// Time in which a process that ends closes what it has open.
pub(crate) const CLOSING: Duration = Duration::from_millis(1);
/// Time for which a process is away after its end.
const RESTART: Duration = Duration::from_secs(2);
/// Longest body that a stand-in reads, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

pub(crate) fn json<T: Serialize>(value: &T) -> Response<ResponseBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    text_response(StatusCode::OK, "application/json", text)
}

pub(crate) fn refuse(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    text_response(status, "text/plain", text)
}

/// An answer whose connection breaks off.
pub(crate) fn broken() -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(1);
    // There is room for one part.
    let _sent = sender.try_send(Err("the process ended".into()));
    Response::new(channel_body(receiver))
}

pub(crate) async fn read_json<T: DeserializeOwned>(
    body: Incoming,
) -> Result<T, Response<ResponseBody>> {
    let Ok(bytes) = read_body(body, BODY_LIMIT).await else {
        return Err(refuse(StatusCode::BAD_REQUEST, "the body broke off"));
    };
    serde_json::from_slice(&bytes)
        .map_err(|_ignored| refuse(StatusCode::BAD_REQUEST, "the body is not what was expected"))
}

/// Serves, and starts again some time after each end.
pub(crate) async fn serve_lives(
    stack: NetStack,
    mut listener: NetListener,
    handler: HttpHandler,
    ended: Arc<Notify>,
    cancel: CancellationToken,
) {
    let address = listener.local_addr();
    loop {
        let life = cancel.child_token();
        let limits = ServerLimits::default();
        tokio::spawn(serve_http(listener, limits, handler.clone(), life.clone()));
        tokio::select! {
            () = ended.notified() => life.cancel(),
            () = cancel.cancelled() => return,
        }
        tokio::time::sleep(RESTART).await;
        listener = match stack.listen(address).await {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("event=process_not_back address={address} error=\"{error}\"");
                return;
            }
        };
    }
}
