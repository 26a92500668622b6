//! Streams that the caller pauses by not reading, with a byte budget.

mod common;

use std::time::Duration;

use common::{ScriptedSite, Step, entry, request, view};
use dillspool_forward::handle_request;
use dillspool_io::{ByteBudget, ByteLimits};
use dillspool_routing::{RequestKind, RoutedRequest};
use http_body_util::BodyExt;
use tokio_util::sync::CancellationToken;

const TERMS: ByteLimits = ByteLimits {
    max_bytes: 10_000,
    max_buffered_response_bytes: 20,
    stall_timeout: Duration::from_secs(8),
};

/// The gap that a caller's pause causes was taken for a stalled engine: when the caller read again, the stream was
/// resumed at another engine, which cost another prefill and a retry.
#[tokio::test(start_paused = true)]
async fn a_pause_of_the_caller_does_not_count_as_a_stalled_engine() {
    let site = ScriptedSite::default();
    let events = vec![(0, "id: 1\ndata: a\n\n"), (5_200, "id: 2\ndata: b\n\n")];
    site.script("first", [Step::Paced(events)]);
    let backends = [entry("first", "near", None), entry("second", "far", None)];
    let (context, _directory) = site.context(view(backends));
    let budget = ByteBudget::new(TERMS);
    let held = budget.open_exchange("request-1", CancellationToken::new());
    let routed = RoutedRequest { held_bytes: held, ..request(RequestKind::Streaming, 2, true) };
    let mut body = handle_request(context, routed).await.into_body();
    body.frame().await.expect("the first event").expect("no break");
    tokio::time::sleep(Duration::from_secs(5)).await;
    body.frame().await.expect("the second event").expect("no break");
    assert!(body.frame().await.is_none(), "it ends");
    assert_eq!(site.record.lock().unwrap().arrivals.len(), 1);
    drop(body);
    assert_eq!(budget.snapshot().held, 0);
}

/// A partial event stays in memory until the rest arrives.
#[tokio::test(start_paused = true)]
async fn a_partial_event_is_charged() {
    let site = ScriptedSite::default();
    let events = vec![(0, "id: 1\ndata: a\n\nid: 2"), (500, "\ndata: b\n\n"), (500, "id: 3")];
    site.script("first", [Step::Paced(events)]);
    let (context, _directory) = site.context(view([entry("first", "near", None)]));
    let budget = ByteBudget::new(TERMS);
    let held = budget.open_exchange("request-1", CancellationToken::new());
    let routed = RoutedRequest { held_bytes: held, ..request(RequestKind::Streaming, 1, false) };
    let mut body = handle_request(context, routed).await.into_body();
    for charged in [5, 0] {
        body.frame().await.expect("an event").expect("no break");
        assert_eq!(budget.snapshot().held, charged);
    }
    assert!(body.frame().await.expect("an end").is_err(), "it ended within an event");
    drop(body);
    assert_eq!(budget.snapshot().held, 0);
}
