//! HTTP bodies of requests and responses.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Body, Frame};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

/// Error of reading or producing a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response that a server sends.
pub type ResponseBody = BoxBody<Bytes, BoxError>;

/// Returns a body of bytes that are already in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Returns a body that streams the chunks of a channel; an error in the channel aborts the connection.
pub fn channel_body(receiver: mpsc::Receiver<Result<Bytes, BoxError>>) -> ResponseBody {
    let chunks = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let chunk = receiver.recv().await?;
        Some((chunk, receiver))
    });
    BodyExt::boxed(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Fails when the body is longer than `limit` or ends prematurely.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BoxError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    Ok(Limited::new(body, limit).collect().await?.to_bytes())
}

/// Reads the complete body of a response, of at most `limit` bytes.
///
/// # Errors
///
/// Fails when the body is longer than `limit` or ends prematurely.
pub async fn read_response_body(mut body: ResponseBody, limit: usize) -> Result<Bytes, BoxError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are not forwarded.
        let Ok(data) = frame?.into_data() else { continue };
        if collected.len() + data.len() > limit {
            return Err(format!("body exceeds the limit of {limit} bytes").into());
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

/// Returns a complete response with a content type.
pub fn text_response(
    status: StatusCode,
    content_type: &'static str,
    text: impl Into<Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}
