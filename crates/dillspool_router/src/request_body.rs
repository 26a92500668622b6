//! Receives the bodies of callers' requests.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dillspool_forward::{Refusal, RefusalCause};
use dillspool_io::{CallerConnection, ExchangeBytes, StalledSide, read_body};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::Extensions;

use crate::ingress::HOST_FULL_RETRY_AFTER;

/// Maximum size of a refused request's body that is read and discarded.
const MAX_DISCARD_BYTES: usize = 1024 * 1024;
/// Time limit for discarding it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts accounting for the bytes of an exchange, if they are limited and the request fits beside
/// the bytes already held.
pub(crate) fn begin_exchange(
    extensions: &Extensions,
    body: Incoming,
    id: &str,
) -> Result<(ExchangeBytes, Incoming), Refusal> {
    let Some(caller) = extensions.get::<CallerConnection>() else {
        return Ok((ExchangeBytes::default(), body));
    };
    if !caller.budget().can_admit(body.size_hint().lower()) {
        return Err(refuse_and_discard(body));
    }
    Ok((caller.begin_exchange(id), body))
}

/// Receives a complete body of at most `limit` bytes.
pub(crate) async fn receive_body(
    body: Incoming,
    limit: usize,
    held_bytes: &ExchangeBytes,
) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::new(RefusalCause::BodyTooLarge));
    }
    if held_bytes.limits().is_some() {
        return receive_metered(body, limit, held_bytes).await;
    }
    match read_body(body, limit).await {
        Ok(bytes) => Ok(bytes),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(RefusalCause::BodyTooLarge))
        }
        Err(_broken) => Err(Refusal::new(RefusalCause::BodyLost)),
    }
}

/// Like [`receive_body`], but charges each chunk as it arrives and gives up on a caller that
/// stalls.
async fn receive_metered(
    mut body: Incoming,
    limit: usize,
    held_bytes: &ExchangeBytes,
) -> Result<Bytes, Refusal> {
    let lost = |_broken| Refusal::new(RefusalCause::BodyLost);
    let (mut buffer, mut guard) = (BytesMut::new(), held_bytes.empty_guard());
    while let Some(frame) = next_frame(&mut body, held_bytes).await? {
        let frame = frame.map_err(lost)?;
        let Ok(chunk) = frame.into_data() else { continue };
        let length = buffer.len() + chunk.len();
        if length > limit {
            return Err(Refusal::new(RefusalCause::BodyTooLarge));
        }
        // The request has not run yet, so the caller can retry on another host at once.
        if !guard.try_resize_for_admission(length as u64) {
            return Err(refuse_and_discard(body));
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(guard.attach(buffer.freeze()))
}

type BodyFrame = Result<hyper::body::Frame<Bytes>, hyper::Error>;

async fn next_frame(
    body: &mut Incoming,
    held_bytes: &ExchangeBytes,
) -> Result<Option<BodyFrame>, Refusal> {
    let Some(limits) = held_bytes.limits() else { return Ok(body.frame().await) };
    tokio::time::timeout(limits.stall_timeout, body.frame()).await.map_err(|_elapsed| {
        held_bytes.record_stall(StalledSide::Caller);
        Refusal::new(RefusalCause::BodyLost)
    })
}

/// Refuses a request at once and discards what the caller still sends: closing a connection with
/// unread bytes resets it, and the caller would see the reset instead of the refusal.
fn refuse_and_discard(body: Incoming) -> Refusal {
    tokio::spawn(async move {
        let discarding = discard(body);
        // The rest is dropped when the connection closes.
        let _unread = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
    });
    Refusal::with_retry_after(RefusalCause::HostFull, HOST_FULL_RETRY_AFTER)
}

async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await
        && discarded < MAX_DISCARD_BYTES
    {
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}
