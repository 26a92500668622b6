//! Every caller gets the whole answer to its own request, or an error it cannot mistake.

mod common;

use std::time::Duration;

use common::{TestSystem, assert_whole, chat};
use dillspool_io::LinkMode;
use dillspool_local::ChatCall;
use dillspool_schema::configuration::BackendRole;
use dillspool_standin::{EngineFault, EngineStandIn};

const TOKENS: u64 = 200;

/// What goes wrong in the decode engine in the middle of an answer.
struct StreamRow {
    name: &'static str,
    fault: EngineFault,
    /// Time after which the engine is well again; `None` for never.
    mend_after: Option<Duration>,
    /// Prefills that the answer takes in all: one more if it goes on elsewhere.
    prefills: u64,
}

/// Time in which an answer of 200 tokens is whole, faults and all; it takes 4 s without.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

const STREAMS: [StreamRow; 6] = [
    StreamRow {
        name: "leaves a token out",
        fault: EngineFault::SkipToken,
        mend_after: None,
        prefills: 2,
    },
    StreamRow { name: "dies", fault: EngineFault::Dead, mend_after: None, prefills: 2 },
    StreamRow { name: "stalls", fault: EngineFault::StallDecode, mend_after: None, prefills: 2 },
    StreamRow {
        name: "stalls for a moment",
        fault: EngineFault::StallDecode,
        mend_after: Some(Duration::from_millis(500)),
        prefills: 1,
    },
    StreamRow {
        name: "cuts the connection, and goes on",
        fault: EngineFault::CutStreams,
        mend_after: Some(Duration::from_millis(20)),
        prefills: 1,
    },
    StreamRow {
        name: "sends the tokens of another stream",
        fault: EngineFault::WrongStream,
        mend_after: None,
        prefills: 2,
    },
];

fn engines(system: &TestSystem, role: BackendRole) -> Vec<EngineStandIn> {
    let declared = system.cluster.configuration.backend.iter();
    let named = declared.filter(|entry| entry.role == role);
    named.map(|entry| system.cluster.engines[&entry.name].clone()).collect()
}

fn streaming_engine(system: &TestSystem) -> EngineStandIn {
    let busy = |engine: &EngineStandIn| !engine.held_streams().is_empty();
    engines(system, BackendRole::Decode).into_iter().find(busy).expect("an engine streams")
}

fn prefills(system: &TestSystem) -> u64 {
    system.cluster.engines.values().map(|engine| engine.prefill_counts().0).sum()
}

#[tokio::test(start_paused = true)]
async fn each_stream_fault_leaves_the_answer_whole() {
    for row in &STREAMS {
        for stream in [true, false] {
            let system = TestSystem::start().await;
            let (caller, host) = (system.caller("alerts"), system.host(1));
            let call = ChatCall { stream, ..chat(row.name, TOKENS) };
            let running = tokio::spawn(async move { caller.chat(host, &call).await });
            tokio::time::sleep(Duration::from_secs(1)).await;
            let engine = streaming_engine(&system);
            engine.set_fault(row.fault);
            if let Some(after) = row.mend_after {
                tokio::time::sleep(after).await;
                engine.set_fault(EngineFault::None);
            }
            let outcome = running.await.expect("the caller ends");
            assert_whole(&outcome, row.name, TOKENS);
            assert!(outcome.total < ANSWER_LIMIT, "{}: {:?}", row.name, outcome.total);
            assert_eq!(prefills(&system), row.prefills, "{}", row.name);
            engine.set_fault(EngineFault::None);
            tokio::time::sleep(Duration::from_secs(8)).await;
            assert_eq!(system.cluster.held_streams(), 0, "{}", row.name);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn two_engines_that_die_one_after_the_other_leave_the_answer_whole() {
    let system = TestSystem::start().await;
    let (caller, host) = (system.caller("alerts"), system.host(1));
    let running = tokio::spawn(async move { caller.chat(host, &chat("two", TOKENS)).await });
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        streaming_engine(&system).set_fault(EngineFault::Dead);
    }
    let outcome = running.await.expect("the caller ends");
    assert_whole(&outcome, "two", TOKENS);
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_cannot_be_finished_is_no_answer() {
    for stream in [true, false] {
        let system = TestSystem::start().await;
        let (caller, host) = (system.caller("alerts"), system.host(1));
        let call = ChatCall { stream, ..chat("lost", TOKENS) };
        let running = tokio::spawn(async move { caller.chat(host, &call).await });
        tokio::time::sleep(Duration::from_secs(1)).await;
        for engine in system.cluster.engines.values() {
            engine.set_fault(EngineFault::Dead);
        }
        let outcome = running.await.expect("the caller ends");
        assert!(!outcome.ended, "{outcome:?}");
        assert_eq!(outcome.outcome.as_deref(), Some("incomplete"), "{outcome:?}");
        if !stream {
            assert!(outcome.status >= 500, "{outcome:?}");
        }
    }
}

/// What goes wrong before the first token.
struct StartRow {
    name: &'static str,
    role: BackendRole,
    fault: EngineFault,
}

const STARTS: [StartRow; 3] = [
    StartRow { name: "prefill fails", role: BackendRole::Prefill, fault: EngineFault::FailPrefill },
    StartRow {
        name: "transfer stalls",
        role: BackendRole::Decode,
        fault: EngineFault::StallTransfer,
    },
    StartRow { name: "decode engine is dead", role: BackendRole::Decode, fault: EngineFault::Dead },
];

#[tokio::test(start_paused = true)]
async fn each_fault_before_the_first_token_is_worked_round() {
    for row in &STARTS {
        let system = TestSystem::start().await;
        let faulty = engines(&system, row.role).into_iter().next().expect("there is one");
        faulty.set_fault(row.fault);
        let caller = system.caller("summaries");
        for number in 0..4 {
            let call = chat(&format!("{} {number}", row.name), 20);
            let outcome = caller.chat(system.host(number % 3), &call).await;
            assert_whole(&outcome, &call.text, 20);
        }
        // An export that one engine could not import is used by another: no prefill is done twice.
        assert_eq!(prefills(&system), 4, "{}", row.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_scheduler_that_dies_does_not_disturb_answers() {
    let system = TestSystem::start().await;
    let scheduler = system.scheduler().await;
    let own = (scheduler + 1) % 3;
    let (caller, host) = (system.caller("summaries"), system.host(own));
    let running = tokio::spawn(async move { caller.chat(host, &chat("long", TOKENS)).await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    system.set_links(scheduler, LinkMode::Cut);
    let caller = system.caller("summaries");
    let outcome = caller.chat(system.host(own), &chat("next", 20)).await;
    assert_whole(&outcome, "next", 20);
    assert_whole(&running.await.expect("the caller ends"), "long", TOKENS);
    assert_eq!(prefills(&system), 2);
}

#[tokio::test(start_paused = true)]
async fn a_scheduler_that_stands_still_costs_seconds_at_most() {
    let system = TestSystem::start().await;
    let scheduler = system.scheduler().await;
    let own = (scheduler + 1) % 3;
    system.set_links(scheduler, LinkMode::Frozen);
    let caller = system.caller("summaries");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let outcome = caller.chat(system.host(own), &chat("next", 20)).await;
    assert_whole(&outcome, "next", 20);
}
