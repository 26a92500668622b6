//! A backend server starts again under the id that it had, while something of this host is under way there.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, TWO, entry, request, view};
use dillspool_forward::handle_request;
use dillspool_io::read_response_body;
use dillspool_routing::{BackendEntry, BackendStart, DirectoryView, EngineStage, RequestKind};
use tokio::time::Instant;

const BEFORE: Option<BackendStart> = Some(BackendStart(9));
/// The clock of a backend server may have gone back meanwhile.
const AFTER: Option<BackendStart> = Some(BackendStart(7));

/// Two plain backend servers or, in a pool, two decode engines and two prefill engines.
fn started(is_pool: bool) -> Vec<BackendEntry> {
    let pool = [
        ("one", Some(EngineStage::Decode)),
        ("two", Some(EngineStage::Decode)),
        ("reader-1", Some(EngineStage::Prefill)),
        ("reader-2", Some(EngineStage::Prefill)),
    ];
    let plain = [("one", None), ("two", None)];
    let all = if is_pool { pool.to_vec() } else { plain.to_vec() };
    let domain = |id: &str| if matches!(id, "one" | "reader-1") { "near" } else { "far" };
    let entries = all.into_iter().map(|(id, stage)| entry(id, domain(id), stage));
    entries.map(|entry| BackendEntry { start: BEFORE, ..entry }).collect()
}

/// The same with some that have started again.
fn restarted(entries: &[BackendEntry], again: &[&str]) -> DirectoryView {
    let start =
        |entry: &BackendEntry| if again.contains(&&*entry.id) { AFTER } else { entry.start };
    view(entries.iter().map(|entry| BackendEntry { start: start(entry), ..entry.clone() }))
}

struct RestartCase {
    name: &'static str,
    kind: RequestKind,
    attempts: u32,
    resumable: bool,
    /// What both that answer do with what they get first; the second time they answer.
    step: Step,
    /// Time that a prefill takes, in ms.
    prefill_ms: u64,
    /// Who starts again, and when, in ms after the request.
    again: &'static [&'static str],
    at_ms: u64,
    /// Status of the answer, and its body; none if it breaks.
    status: u16,
    body: Option<&'static str>,
    /// By when the answer is there, in ms.
    within_ms: u64,
    /// Sends that reached a backend server.
    sends: usize,
}

fn cases() -> Vec<RestartCase> {
    let plain = |name, kind, attempts| RestartCase {
        name,
        kind,
        attempts,
        resumable: false,
        step: Step::Silent,
        prefill_ms: 0,
        again: &["one", "two"],
        at_ms: 100,
        status: 502,
        body: None,
        within_ms: 400,
        sends: 1,
    };
    let stream = |name, again| RestartCase {
        name,
        kind: RequestKind::Streaming,
        attempts: 2,
        resumable: true,
        step: Step::Stream(vec![ONE, TWO]),
        prefill_ms: 200,
        again,
        at_ms: 100,
        status: 200,
        body: Some("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
        within_ms: 900,
        sends: 1,
    };
    vec![
        plain("a call that may have run is not repeated", RequestKind::NonIdempotent, 2),
        RestartCase {
            status: 200,
            body: Some("ok"),
            sends: 2,
            ..plain("a repeatable call goes on at once", RequestKind::Idempotent, 2)
        },
        RestartCase {
            step: Step::Stalled(vec![ONE]),
            prefill_ms: 0,
            sends: 2,
            ..stream("a stream goes on at once", &["one", "two"])
        },
        RestartCase {
            step: Step::Stalled(vec![ONE]),
            prefill_ms: 0,
            resumable: false,
            body: None,
            within_ms: 500,
            ..stream("a stream that may not go on ends at once", &["one", "two"])
        },
        RestartCase {
            step: Step::Paced(vec![(0, ONE), (200, TWO)]),
            prefill_ms: 0,
            within_ms: 300,
            ..stream(
                "an engine that lives on beside its successor ends its stream",
                &["one", "two"],
            )
        },
        stream("a reservation is gone before its prompt is read", &["one", "two"]),
        stream("a prompt is read by an engine that is gone", &["reader-1", "reader-2"]),
        stream("both", &["one", "two", "reader-1", "reader-2"]),
    ]
}

#[tokio::test(start_paused = true)]
async fn what_was_under_way_is_not_waited_for() {
    for case in cases() {
        let site = ScriptedSite::default();
        let is_pool = case.kind == RequestKind::Streaming;
        let answer = if is_pool { Step::Stream(vec![TWO]) } else { Step::Answer(200, "ok") };
        for id in ["one", "two"] {
            let fresh = matches!(case.step, Step::Stream(_));
            let steps = if fresh {
                vec![case.step.clone()]
            } else {
                vec![case.step.clone(), answer.clone()]
            };
            site.script(id, steps);
        }
        *site.prefill_takes.lock().unwrap() = Duration::from_millis(case.prefill_ms);
        let entries = started(is_pool);
        let (context, directory) = site.context(restarted(&entries, &[]));
        let later = restarted(&entries, case.again);
        let started = Instant::now();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(case.at_ms)).await;
            directory.send_replace(Arc::new(later));
            std::future::pending::<()>().await;
        });
        let routed = request(case.kind, case.attempts, case.resumable);
        let answer = handle_request(context, routed).await;
        let status = answer.status().as_u16();
        let body = read_response_body(answer.into_body(), 1000).await.ok();
        let body = body.map(|bytes| String::from_utf8(bytes.to_vec()).unwrap());
        let took = started.elapsed();
        assert_eq!(status, case.status, "{}", case.name);
        if status == 200 {
            assert_eq!(body.as_deref(), case.body, "{}", case.name);
        }
        assert!(took <= Duration::from_millis(case.within_ms), "{}: {took:?}", case.name);
        let record = site.record.lock().unwrap();
        assert_eq!(record.arrivals.len(), case.sends, "{}: {:?}", case.name, record.arrivals);
        // What a start before the last held is neither used nor given back.
        for arrival in &record.arrivals {
            let sent_later = arrival.at - started >= Duration::from_millis(case.at_ms);
            let reader =
                arrival.terms.prefilled.as_ref().map(|it| (&*it.engine.id, it.engine.start));
            if let Some((id, start)) = reader
                && sent_later
                && case.again.contains(&id)
            {
                assert_eq!(start, AFTER, "{}: a prompt read by {id} before", case.name);
            }
        }
    }
}

/// A caller leaves while its prompt is read, after its decode engine has started again or not.
#[tokio::test(start_paused = true)]
async fn what_a_start_held_is_not_given_back_to_the_next() {
    for (again, given_back) in [(&["one", "two"][..], 0), (&["reader-1"][..], 1), (&[][..], 1)] {
        let site = ScriptedSite::default();
        *site.prefill_takes.lock().unwrap() = Duration::from_millis(600);
        let entries = started(true);
        let (context, directory) = site.context(restarted(&entries, &[]));
        let asking = handle_request(context, request(RequestKind::Streaming, 1, false));
        let left = tokio::time::timeout(
            Duration::from_millis(200),
            Box::pin(async {
                let change = async {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    directory.send_replace(Arc::new(restarted(&entries, again)));
                };
                tokio::join!(asking, change)
            }),
        );
        assert!(left.await.is_err(), "{again:?}");
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(site.record.lock().unwrap().released_holds.len(), given_back, "{again:?}");
    }
}
