//! Helpers of the stand-ins' HTTP servers.

use dillspool_io::{ResponseBody, channel_body, read_body, text_response};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

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
