//! Backend servers that asked this host to back off receive nothing from it, and clients are told
//! when to retry.

mod common;

use std::time::Duration;

use common::{ONE, ScriptedSite, Step, entry, pool, request, view};
use dillspool_forward::{ForwardContext, handle_request};
use dillspool_routing::{BackendInstance, RequestKind};
use dillspool_throttle::{BackoffNotice, RateNotice};
use hyper::header::RETRY_AFTER;

const BACKOFF: Duration = Duration::from_secs(3);

/// A backend server asks in a response not to be sent requests for a while.
fn ask_to_back_off(context: &ForwardContext, id: &str, backoff: Duration) {
    let backend = BackendInstance { id: id.into(), start: None };
    let sent = context.throttle.record_send(backend);
    sent.record_response(RateNotice::Unlimited, BackoffNotice::For(backoff));
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_asks_to_back_off_during_the_prefill_is_sent_nothing() {
    let site = ScriptedSite::default();
    for decode in ["decode-1", "decode-2"] {
        site.script(decode, [Step::Stream(vec![ONE])]);
    }
    *site.prefill_takes.lock().unwrap() = Duration::from_millis(300);
    let (context, _directory) = site.context(pool());
    let responding =
        tokio::spawn(handle_request(context.clone(), request(RequestKind::Streaming, 1, false)));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (held, reader) = {
        let record = site.record.lock().unwrap();
        (record.reservations[0].0.clone(), record.prefills[0].clone())
    };
    for engine in [&held, &reader] {
        ask_to_back_off(&context, engine, BACKOFF);
    }
    assert_eq!(responding.await.unwrap().status().as_u16(), 200);
    context.tasks.close();
    context.tasks.wait().await;
    let record = site.record.lock().unwrap();
    assert!(record.arrivals.iter().all(|arrival| arrival.backend != held), "sent to {held}");
    assert!(!record.released_reservations.contains(&held), "released at {held}");
    assert!(record.released_prefills.is_empty(), "released at {reader}");
    assert_eq!(record.reservations.iter().filter(|(engine, _tokens)| *engine == held).count(), 1);
}

struct RefusalCase {
    name: &'static str,
    kind: RequestKind,
    /// Requested back-off times by backend server, in milliseconds.
    backoffs: &'static [(&'static str, u64)],
    status: u16,
    /// Minimum and maximum retry delay, in milliseconds.
    retry_after: Option<(u64, u64)>,
}

/// The objective of all requests here is 300 ms.
const CASES: [RefusalCase; 5] = [
    RefusalCase {
        name: "one of two",
        kind: RequestKind::NonIdempotent,
        backoffs: &[("first", 3_000)],
        status: 200,
        retry_after: None,
    },
    RefusalCase {
        name: "both, for a long time",
        kind: RequestKind::NonIdempotent,
        backoffs: &[("first", 3_000), ("second", 20_000)],
        status: 503,
        retry_after: Some((90, 270)),
    },
    RefusalCase {
        name: "both, an idempotent call",
        kind: RequestKind::Idempotent,
        backoffs: &[("first", 3_000), ("second", 3_000)],
        status: 503,
        retry_after: Some((90, 270)),
    },
    RefusalCase {
        name: "both, a stream of a plain service",
        kind: RequestKind::Streaming,
        backoffs: &[("first", 3_000), ("second", 3_000)],
        status: 503,
        retry_after: Some((90, 270)),
    },
    RefusalCase {
        name: "one for a short time that is waited for",
        kind: RequestKind::NonIdempotent,
        backoffs: &[("first", 100), ("second", 3_000)],
        status: 200,
        retry_after: None,
    },
];

#[tokio::test(start_paused = true)]
async fn a_request_whose_backend_servers_all_back_off_is_refused_at_once() {
    for case in &CASES {
        let site = ScriptedSite::default();
        if case.kind == RequestKind::Streaming {
            for id in ["first", "second"] {
                site.script(id, [Step::Stream(vec![ONE])]);
            }
        }
        let (context, _directory) =
            site.context(view([entry("first", "near", None), entry("second", "far", None)]));
        for (id, backoff_ms) in case.backoffs {
            ask_to_back_off(&context, id, Duration::from_millis(*backoff_ms));
        }
        let started = tokio::time::Instant::now();
        let response = handle_request(context.clone(), request(case.kind, 2, false)).await;
        assert_eq!(response.status().as_u16(), case.status, "{}", case.name);
        assert!(started.elapsed() < Duration::from_millis(150), "{}", case.name);
        let seconds = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
        let seconds = seconds.map(|seconds| seconds.parse::<f64>().expect("a number"));
        assert_eq!(seconds.is_some(), case.retry_after.is_some(), "{}", case.name);
        if let (Some(seconds), Some((earliest, latest))) = (seconds, case.retry_after) {
            let retry_after = Duration::from_secs_f64(seconds);
            let within = Duration::from_millis(earliest)..=Duration::from_millis(latest);
            assert!(within.contains(&retry_after), "{}: {retry_after:?}", case.name);
        }
        let longest =
            case.backoffs.iter().map(|(_id, backoff_ms)| *backoff_ms).max().unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(longest)).await;
        let later = handle_request(context, request(case.kind, 2, false)).await;
        assert_eq!(later.status().as_u16(), 200, "{}: later", case.name);
    }
}
