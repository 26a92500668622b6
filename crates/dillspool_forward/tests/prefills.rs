//! What becomes of a prompt whose prefill engine fails.

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
    /// Whether the other one fails likewise.
    both_fail: bool,
    /// Repeated sends that the budget allows.
    budget: f64,
    /// Engines that two requests in a row ask for a prefill.
    asked: Vec<&'static str>,
    /// Whether the first and the second request have a prefill's result.
    prefilled: [bool; 2],
}

fn unreachable_engine() -> CallError {
    CallError::NotSent { reason: "connection refused".to_owned() }
}

#[tokio::test(start_paused = true)]
async fn a_prompt_goes_to_another_prefill_engine_when_one_fails() {
    let refused = || CallError::Refused { status: StatusCode::SERVICE_UNAVAILABLE };
    let lost = || CallError::Lost { reason: "reset".to_owned() };
    let cases = [
        FailureCase {
            name: "nobody listens: the next one, without a repeat; then it is left out",
            failure: unreachable_engine(),
            both_fail: false,
            budget: 0.0,
            asked: vec!["prefill-1", "prefill-2", "prefill-2"],
            prefilled: [true, true],
        },
        FailureCase {
            name: "nobody listens anywhere: the decode engine reads the prompt",
            failure: unreachable_engine(),
            both_fail: true,
            budget: 100.0,
            asked: vec!["prefill-1", "prefill-2"],
            prefilled: [false, false],
        },
        FailureCase {
            name: "refused: the next one within the budget",
            failure: refused(),
            both_fail: false,
            budget: 100.0,
            asked: vec!["prefill-1", "prefill-2", "prefill-2"],
            prefilled: [true, true],
        },
        FailureCase {
            name: "refused and no budget: decode engines read prompts while refusals are recent",
            failure: refused(),
            both_fail: false,
            budget: 0.0,
            asked: vec!["prefill-1"],
            prefilled: [false, false],
        },
        FailureCase {
            name: "broken off: the next one within the budget",
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
        let answer = handle_request(context.clone(), routed).await;
        assert_eq!(answer.status().as_u16(), 200, "{}", case.name);
    }
    let record = site.record.lock().unwrap();
    assert_eq!(record.prefills, case.asked, "{}", case.name);
    let prefilled: Vec<bool> =
        record.arrivals.iter().map(|arrival| arrival.terms.prefilled.is_some()).collect();
    assert_eq!(prefilled, case.prefilled, "{}", case.name);
}

struct SpendCase {
    name: &'static str,
    /// Requests at a time, a second apart.
    at_once: usize,
    /// Repeated sends that the budget allows.
    budget: f64,
    /// Refused prefills at most.
    most: usize,
}

#[tokio::test(start_paused = true)]
async fn refusals_stop_before_the_budget_is_spent() {
    let cases = [
        SpendCase { name: "one at a time", at_once: 1, budget: 8.0, most: 8 },
        SpendCase {
            name: "many at a time, as many as its slots",
            at_once: 20,
            budget: 8.0,
            most: 8,
        },
        SpendCase { name: "a large budget", at_once: 10, budget: 40.0, most: 40 },
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
        let terms = BudgetSettings { ratio: 0.0, window, extra: case.budget };
        context.budgets = RetryBudgets::new(terms, HostClock::steady());
        context.budgets.set_host_count(1);
        for _second in 0..9 {
            let all = (0..case.at_once).map(|_request| {
                let mut routed = request(RequestKind::Streaming, 1, false);
                // The decode engine reads prompts one after another: all can be in time.
                let mut route = (*routed.route).clone();
                route.objective = Duration::from_secs(5);
                routed.route = route.into();
                handle_request(context.clone(), routed)
            });
            for answer in futures_util::future::join_all(all).await {
                assert_eq!(answer.status(), StatusCode::OK, "{}", case.name);
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let refused = site.record.lock().unwrap().prefills.len();
        assert!((1..=case.most).contains(&refused), "{}: {refused}", case.name);
    }
}

struct LeavingCase {
    name: &'static str,
    /// Engines that this host knows to leave, or to be gone, while its scheduler does not.
    leaving: Vec<&'static str>,
    gone: Vec<&'static str>,
}

/// The engines as this host knows them.
fn as_known(view: &DirectoryView, case: &LeavingCase) -> DirectoryView {
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

/// A host that schedules a pool was cut off from the store, and took the tables from another host that was
/// cut off, too, so it went on placing prompts at an engine that had said it leaves. The hosts that sent
/// them knew better and did not look: one read `backend_seen … state=Draining` at 5.412 s, the scheduler
/// at 8.174 s, and a prompt that the scheduler had placed arrived there at 8.008 s, 2,700 ms after the
/// engine's word.
#[tokio::test(start_paused = true)]
async fn what_the_scheduler_does_not_know_to_leave_is_not_asked() {
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
        let known = as_known(&engines, &case);
        let (mut context, _directory) = site.context(engines);
        let (_sender, directory) = watch::channel(Arc::new(known));
        context.directory = directory;
        let mut registry = Registry::default();
        context.metrics.register(&mut registry);
        let answer = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
        assert_eq!(answer.status().as_u16(), 200, "{}", case.name);
        let record = site.record.lock().unwrap();
        let holds = record.holds.iter().map(|(backend, _tokens)| backend.as_str());
        let sends = record.arrivals.iter().map(|arrival| arrival.backend.as_str());
        let prefills = record.prefills.iter().map(String::as_str);
        for asked in holds.chain(sends).chain(prefills) {
            let known = case.leaving.contains(&asked) || case.gone.contains(&asked);
            assert!(!known, "{}: {asked} was asked", case.name);
        }
        let mut page = String::new();
        prometheus_client::encoding::text::encode(&mut page, &registry).unwrap();
        assert!(counter(&page, "forward_overruled_decisions") >= 1, "{}: {page}", case.name);
    }
}
