//! How prefills are retried or skipped when prefill engines fail or leave.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, entry, request, view};
use dillspool_forward::{BudgetSettings, CallError, RetryBudgets, handle_request};
use dillspool_io::HostClock;
use dillspool_routing::{BackendEntry, BackendState, DirectoryView, EngineStage, RequestKind};
use hyper::StatusCode;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

struct FailureCase {
    name: &'static str,
    /// How the nearer prefill engine fails.
    failure: CallError,
    /// Whether the other engine fails in the same way.
    both_fail: bool,
    /// Repeated sends that the budget allows.
    budget: f64,
    /// Engines that receive prefills for two requests in a row.
    asked: Vec<&'static str>,
    /// Whether the first and the second request are sent with a prefill's result.
    prefilled: [bool; 2],
}

fn connection_refused() -> CallError {
    CallError::NotSent { reason: "connection refused".to_owned() }
}

#[tokio::test(start_paused = true)]
async fn a_prompt_goes_to_another_prefill_engine_when_one_fails() {
    let refused = || CallError::Refused { status: StatusCode::SERVICE_UNAVAILABLE };
    let lost = || CallError::Lost { reason: "reset".to_owned() };
    let cases = [
        FailureCase {
            name: "connection refused: the next engine, without a retry; then the first is excluded",
            failure: connection_refused(),
            both_fail: false,
            budget: 0.0,
            asked: vec!["prefill-1", "prefill-2", "prefill-2"],
            prefilled: [true, true],
        },
        FailureCase {
            name: "connection refused everywhere: the decode engine prefills the prompt",
            failure: connection_refused(),
            both_fail: true,
            budget: 100.0,
            asked: vec!["prefill-1", "prefill-2"],
            prefilled: [false, false],
        },
        FailureCase {
            name: "refused: the next engine within the budget",
            failure: refused(),
            both_fail: false,
            budget: 100.0,
            asked: vec!["prefill-1", "prefill-2", "prefill-2"],
            prefilled: [true, true],
        },
        FailureCase {
            name: "refused and no budget: the decode engine prefills while refusals are recent",
            failure: refused(),
            both_fail: false,
            budget: 0.0,
            asked: vec!["prefill-1"],
            prefilled: [false, false],
        },
        FailureCase {
            name: "connection lost: the next engine within the budget",
            failure: lost(),
            both_fail: false,
            budget: 100.0,
            asked: vec!["prefill-1", "prefill-2", "prefill-1", "prefill-2"],
            prefilled: [true, true],
        },
    ];
    for case in cases {
        play(case).await;
    }
}

async fn play(case: FailureCase) {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Stream(vec![ONE])]);
    {
        let mut fails = site.prefill_fails.lock().unwrap();
        fails.insert("prefill-1".to_owned(), case.failure.clone());
        if case.both_fail {
            fails.insert("prefill-2".to_owned(), case.failure.clone());
        }
    }
    let engines = view([
        entry("decode-1", "near", Some(EngineStage::Decode)),
        entry("prefill-1", "near", Some(EngineStage::Prefill)),
        entry("prefill-2", "far", Some(EngineStage::Prefill)),
    ]);
    let (mut context, _directory) = site.context(engines);
    let window = Duration::from_secs(10);
    context.budgets = RetryBudgets::new(
        BudgetSettings { ratio: 0.0, window, extra: case.budget },
        HostClock::steady(),
    );
    context.budgets.set_host_count(1);
    for _request in 0..2 {
        let routed = request(RequestKind::Streaming, 1, false);
        let response = handle_request(context.clone(), routed).await;
        assert_eq!(response.status().as_u16(), 200, "{}", case.name);
    }
    let record = site.record.lock().unwrap();
    assert_eq!(record.prefills, case.asked, "{}", case.name);
    let prefilled: Vec<bool> =
        record.arrivals.iter().map(|arrival| arrival.params.prefilled.is_some()).collect();
    assert_eq!(prefilled, case.prefilled, "{}", case.name);
}

struct BudgetCase {
    name: &'static str,
    /// Concurrent requests in each batch; batches are a second apart.
    concurrent: usize,
    /// Repeated sends that the budget allows.
    budget: f64,
    /// Upper limit of refused prefills.
    max_refused: usize,
}

#[tokio::test(start_paused = true)]
async fn refusals_stop_before_the_budget_is_spent() {
    let cases = [
        BudgetCase { name: "one at a time", concurrent: 1, budget: 8.0, max_refused: 8 },
        BudgetCase {
            name: "many at a time, as many as the engine has slots",
            concurrent: 20,
            budget: 8.0,
            max_refused: 8,
        },
        BudgetCase { name: "a large budget", concurrent: 10, budget: 40.0, max_refused: 40 },
    ];
    for case in cases {
        let site = ScriptedSite::default();
        let prefills = (0..5).map(|at| format!("prefill-{at}"));
        let engines = prefills.map(|id| entry(&id, "near", Some(EngineStage::Prefill)));
        let decode = entry("decode-1", "near", Some(EngineStage::Decode));
        site.script("decode-1", [Step::Stream(vec![ONE])]);
        *site.refuses_prefill.lock().unwrap() = true;
        *site.prefill_takes.lock().unwrap() = Duration::from_millis(2);
        let (mut context, _directory) = site.context(view(engines.chain([decode])));
        let window = Duration::from_secs(10);
        let settings = BudgetSettings { ratio: 0.0, window, extra: case.budget };
        context.budgets = RetryBudgets::new(settings, HostClock::steady());
        context.budgets.set_host_count(1);
        for _second in 0..9 {
            let all = (0..case.concurrent).map(|_request| {
                let mut routed = request(RequestKind::Streaming, 1, false);
                // The decode engine prefills prompts one after another; the objective leaves time for all.
                let mut route = (*routed.route).clone();
                route.objective = Duration::from_secs(5);
                routed.route = route.into();
                handle_request(context.clone(), routed)
            });
            for response in futures_util::future::join_all(all).await {
                assert_eq!(response.status(), StatusCode::OK, "{}", case.name);
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let refused = site.record.lock().unwrap().prefills.len();
        assert!((1..=case.max_refused).contains(&refused), "{}: {refused}", case.name);
    }
}

struct LeavingCase {
    name: &'static str,
    /// Engines that this host knows to be leaving or gone, while its scheduler does not.
    leaving: Vec<&'static str>,
    gone: Vec<&'static str>,
}

/// The directory as this host knows it.
fn host_view(view: &DirectoryView, case: &LeavingCase) -> DirectoryView {
    let entries = view.entries.values().filter(|entry| !case.gone.contains(&&*entry.id));
    let entries = entries.map(|entry| {
        let leaves = case.leaving.contains(&&*entry.id);
        let state = if leaves { BackendState::Draining } else { entry.state };
        BackendEntry { state, ..(**entry).clone() }
    });
    common::view(entries)
}

/// The value of a counter on the metrics page.
fn counter(page: &str, name: &str) -> u64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix("_total "));
    line.and_then(|value| value.parse().ok()).expect("the counter is on the page")
}

/// A scheduling host was partitioned from the store and copied its tables from another partitioned host, so it
/// placed prompts at an engine that had announced that it was leaving. The hosts that forwarded the prompts had
/// newer data but did not check it: one saw `state=Draining` at 5.412 s, the scheduler at 8.174 s, and a prompt
/// reached the engine at 8.008 s, 2,700 ms after its announcement.
#[tokio::test(start_paused = true)]
async fn engines_that_this_host_knows_to_be_leaving_are_not_used() {
    let case = |name, leaving, gone| LeavingCase { name, leaving, gone };
    let cases = [
        case("a prefill engine", vec!["prefill-1"], vec![]),
        case("a decode engine", vec!["decode-1"], vec![]),
        case("one of each", vec!["prefill-1", "decode-1"], vec![]),
        case("both prefill engines", vec!["prefill-1", "prefill-2"], vec![]),
        case("gone already", vec![], vec!["prefill-1", "decode-1"]),
    ];
    for case in cases {
        let site = ScriptedSite::default();
        for decode in ["decode-1", "decode-2"] {
            site.script(decode, [Step::Stream(vec![ONE])]);
        }
        let engines = view([
            entry("decode-1", "near", Some(EngineStage::Decode)),
            entry("decode-2", "far", Some(EngineStage::Decode)),
            entry("prefill-1", "near", Some(EngineStage::Prefill)),
            entry("prefill-2", "far", Some(EngineStage::Prefill)),
        ]);
        let known = host_view(&engines, &case);
        let (mut context, _directory) = site.context(engines);
        let (_sender, directory) = watch::channel(Arc::new(known));
        context.directory = directory;
        let mut registry = Registry::default();
        context.metrics.register(&mut registry);
        let response = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
        assert_eq!(response.status().as_u16(), 200, "{}", case.name);
        let record = site.record.lock().unwrap();
        let reservations = record.reservations.iter().map(|(backend, _tokens)| backend.as_str());
        let sends = record.arrivals.iter().map(|arrival| arrival.backend.as_str());
        let prefills = record.prefills.iter().map(String::as_str);
        for asked in reservations.chain(sends).chain(prefills) {
            let known = case.leaving.contains(&asked) || case.gone.contains(&asked);
            assert!(!known, "{}: {asked} was asked", case.name);
        }
        let mut page = String::new();
        prometheus_client::encoding::text::encode(&mut page, &registry).unwrap();
        assert!(counter(&page, "forward_overruled_decisions") >= 1, "{}: {page}", case.name);
    }
}
