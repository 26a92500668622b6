//! Requests beyond a workspace's limit are refused before they occupy any resource.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ScriptedSite, Step, entry, pool, request, view};
use dillspool_forward::{ForwardContext, handle_request};
use dillspool_routing::RequestKind::{Idempotent, NonIdempotent, Streaming};
use dillspool_routing::{
    DirectoryView, LimitUnit, RequestKind, RoutedRequest, WorkspaceEntry, WorkspaceLimit,
};

/// A request of a workspace with a rate of `per_s` and an equal burst.
fn limited(kind: RequestKind, unit: LimitUnit, per_s: f64) -> RoutedRequest {
    let limit = WorkspaceLimit { unit, per_s, burst: per_s };
    let entry = WorkspaceEntry { name: "w".into(), priority: 0, limit: Some(limit) };
    RoutedRequest { workspace: Some(Arc::new(entry)), ..request(kind, 1, false) }
}

/// Sends requests one after another and returns their statuses.
async fn statuses(context: &ForwardContext, routed: &RoutedRequest, count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for _request in 0..count {
        let response = handle_request(context.clone(), routed.clone()).await;
        statuses.push(response.status().as_u16());
    }
    statuses
}

struct LimitCase {
    name: &'static str,
    kind: RequestKind,
    unit: LimitUnit,
    per_s: f64,
    /// Statuses of four requests at the same time, 30 seconds after the first request.
    statuses: [u16; 4],
}

fn backends(kind: RequestKind) -> DirectoryView {
    match kind {
        Idempotent | NonIdempotent => view([entry("first", "near", None)]),
        Streaming => pool(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_limit_counts_requests_or_tokens() {
    let tokens = LimitUnit::Tokens { plain: 200 };
    let case = |name, kind, unit, per_s, statuses| LimitCase { name, kind, unit, per_s, statuses };
    let cases = [
        case("two requests", NonIdempotent, LimitUnit::Requests, 2.0, [200, 200, 429, 429]),
        case("idempotent requests", Idempotent, LimitUnit::Requests, 2.0, [200, 200, 429, 429]),
        case("400 tokens are two", NonIdempotent, tokens, 400.0, [200, 200, 429, 429]),
        case("the last one exceeds the burst", NonIdempotent, tokens, 401.0, [200, 200, 200, 429]),
        // Prompt and maximum response are 1,800 tokens.
        case("a model request", Streaming, tokens, 1800.0, [200, 429, 429, 429]),
        case("a high limit", NonIdempotent, tokens, 1e9, [200; 4]),
    ];
    for case in cases {
        let site = ScriptedSite::default();
        let (context, _directory) = site.context(backends(case.kind));
        let routed = limited(case.kind, case.unit, case.per_s);
        // The limit starts to count at the first request.
        statuses(&context, &routed, 1).await;
        tokio::time::sleep(Duration::from_secs(30)).await;
        let fresh = RoutedRequest { workspace: routed.workspace, ..request(case.kind, 1, false) };
        assert_eq!(statuses(&context, &fresh, 4).await, case.statuses, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_refusal_is_immediate_has_a_retry_delay_and_reaches_no_backend_server() {
    let site = ScriptedSite::default();
    let (context, _directory) = site.context(view([entry("first", "near", None)]));
    let routed = limited(NonIdempotent, LimitUnit::Requests, 1.0);
    assert_eq!(statuses(&context, &routed, 1).await, [200]);
    let before = tokio::time::Instant::now();
    let mut retry_delays = Vec::new();
    for _request in 0..3 {
        let response = handle_request(context.clone(), routed.clone()).await;
        assert_eq!(response.status().as_u16(), 429);
        let after = response.headers()["retry-after"].to_str().expect("text").to_owned();
        retry_delays.push(after.parse::<f64>().expect("seconds"));
    }
    assert_eq!(before.elapsed(), Duration::ZERO);
    assert_eq!(site.record.lock().unwrap().arrivals.len(), 1);
    // Each may retry a second after the previous one, as the limit allows.
    for (turn, pair) in retry_delays.windows(2).enumerate() {
        assert!((pair[1] - pair[0] - 1.0).abs() < 0.02, "{turn}: {retry_delays:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_did_not_run_is_refunded() {
    struct RefundCase {
        name: &'static str,
        step: Step,
        status: u16,
        /// Status of the next request.
        next: u16,
    }
    let cases = [
        RefundCase { name: "answered", step: Step::Answer(200, "ok"), status: 200, next: 429 },
        RefundCase { name: "failed", step: Step::Answer(500, "no"), status: 500, next: 429 },
        RefundCase { name: "may have run", step: Step::Lost, status: 502, next: 429 },
        RefundCase { name: "did not run", step: Step::NotRun(503), status: 503, next: 200 },
    ];
    for case in cases {
        let site = ScriptedSite::default();
        site.script("first", [case.step.clone(), Step::Answer(200, "ok")]);
        let (context, _directory) = site.context(view([entry("first", "near", None)]));
        // At this rate nothing worth mentioning is refilled over time.
        let routed = limited(NonIdempotent, LimitUnit::Requests, 0.001);
        assert_eq!(statuses(&context, &routed, 1).await, [case.status], "{}", case.name);
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(statuses(&context, &routed, 1).await, [case.next], "{}", case.name);
    }
}
