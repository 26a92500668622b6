//! Receives the bodies of callers' requests.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dillspool_forward::{Refusal, RefusalCause};
use dillspool_io::{CallerConnection, ExchangeBytes, StalledSide, read_body};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::Extensions;

use crate::ingress::FULL_RETRY;

/// Most bytes of a refused request's body that are read and dropped.
const DISCARD_BYTES: usize = 1024 * 1024;
/// Time for which they are.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Opens the account of a request's exchange, if bytes are limited and the request fits beside what is
/// held.
pub(crate) fn enter(
    extensions: &Extensions,
    body: Incoming,
    id: &str,
) -> Result<(ExchangeBytes, Incoming), Refusal> {
    let Some(caller) = extensions.get::<CallerConnection>() else {
        return Ok((ExchangeBytes::default(), body));
    };
    if !caller.budget().can_admit(body.size_hint().lower()) {
        return Err(host_full(body));
    }
    Ok((caller.begin_exchange(id), body))
}

/// Receives a whole body of at most `limit` bytes.
pub(crate) async fn receive(
    body: Incoming,
    limit: usize,
    held: &ExchangeBytes,
) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::new(RefusalCause::BodyTooLarge));
    }
    if held.limits().is_some() {
        return receive_held(body, limit, held).await;
    }
    match read_body(body, limit).await {
        Ok(bytes) => Ok(bytes),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(RefusalCause::BodyTooLarge))
        }
        Err(_broken) => Err(Refusal::new(RefusalCause::BodyLost)),
    }
}

/// As [`receive`], charged as it comes; a caller that sends nothing for too long is given up.
async fn receive_held(
    mut body: Incoming,
    limit: usize,
    held: &ExchangeBytes,
) -> Result<Bytes, Refusal> {
    let lost = |_broken| Refusal::new(RefusalCause::BodyLost);
    let (mut whole, mut guard) = (BytesMut::new(), held.empty_guard());
    while let Some(frame) = next_frame(&mut body, held).await? {
        let frame = frame.map_err(lost)?;
        let Ok(part) = frame.into_data() else { continue };
        let length = whole.len() + part.len();
        if length > limit {
            return Err(Refusal::new(RefusalCause::BodyTooLarge));
        }
        // Nothing has run yet, so the caller can go to another host at once.
        if !guard.try_resize_for_admission(length as u64) {
            return Err(host_full(body));
        }
        whole.extend_from_slice(&part);
    }
    Ok(guard.attach(whole.freeze()))
}

type BodyFrame = Result<hyper::body::Frame<Bytes>, hyper::Error>;

async fn next_frame(
    body: &mut Incoming,
    held: &ExchangeBytes,
) -> Result<Option<BodyFrame>, Refusal> {
    let Some(terms) = held.limits() else { return Ok(body.frame().await) };
    tokio::time::timeout(terms.stall_timeout, body.frame()).await.map_err(|_elapsed| {
        held.record_stall(StalledSide::Caller);
        Refusal::new(RefusalCause::BodyLost)
    })
}

/// Refuses a request at once and reads what its caller still sends: a connection that is closed with
/// unread bytes is reset, and the caller would see that in place of the refusal.
fn host_full(body: Incoming) -> Refusal {
    tokio::spawn(async move {
        let rest = discard(body);
        // What does not end in time is closed with its connection.
        let _unread = tokio::time::timeout(DISCARD_TIME, rest).await;
    });
    Refusal::with_retry_after(RefusalCause::HostFull, FULL_RETRY)
}

async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await
        && discarded < DISCARD_BYTES
    {
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}
