//! A backend server restarts under the same id while it processes requests of this host.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, TWO, entry, request, view};
use dillspool_forward::handle_request;
use dillspool_io::read_response_body;
use dillspool_routing::{BackendEntry, BackendStart, DirectoryView, EngineStage, RequestKind};
use tokio::time::Instant;

const BEFORE: Option<BackendStart> = Some(BackendStart(9));
/// Lower than before, since the clock of a backend server may have been set back.
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

/// The same entries, of which some have restarted.
fn restarted(entries: &[BackendEntry], restarted_ids: &[&str]) -> DirectoryView {
    let start = |entry: &BackendEntry| {
        if restarted_ids.contains(&&*entry.id) { AFTER } else { entry.start }
    };
    view(entries.iter().map(|entry| BackendEntry { start: start(entry), ..entry.clone() }))
}

struct RestartCase {
    name: &'static str,
    kind: RequestKind,
    attempts: u32,
    resumable: bool,
    /// What the backend servers do with the first request they receive; they respond to the second one.
    step: Step,
    /// Duration of a prefill, in milliseconds.
    prefill_ms: u64,
    /// Which backend servers restart, and when, in milliseconds after the request.
    restarted_ids: &'static [&'static str],
    at_ms: u64,
    /// Status and body of the response; no body if it breaks off.
    status: u16,
    body: Option<&'static str>,
    /// Latest time of the response, in milliseconds.
    within_ms: u64,
    /// Number of requests that backend servers received.
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
        restarted_ids: &["one", "two"],
        at_ms: 100,
        status: 502,
        body: None,
        within_ms: 400,
        sends: 1,
    };
    let stream = |name, restarted_ids| RestartCase {
        name,
        kind: RequestKind::Streaming,
        attempts: 2,
        resumable: true,
        step: Step::Stream(vec![ONE, TWO]),
        prefill_ms: 200,
        restarted_ids,
        at_ms: 100,
        status: 200,
        body: Some("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
        within_ms: 900,
        sends: 1,
    };
    vec![
        plain("a call that may have run is not retried", RequestKind::NonIdempotent, 2),
        RestartCase {
            status: 200,
            body: Some("ok"),
            sends: 2,
            ..plain("an idempotent call is retried at once", RequestKind::Idempotent, 2)
        },
        RestartCase {
            step: Step::Stalled(vec![ONE]),
            prefill_ms: 0,
            sends: 2,
            ..stream("a stream is resumed at once", &["one", "two"])
        },
        RestartCase {
            step: Step::Stalled(vec![ONE]),
            prefill_ms: 0,
            resumable: false,
            body: None,
            within_ms: 500,
            ..stream("a stream that may not be resumed ends at once", &["one", "two"])
        },
        RestartCase {
            step: Step::Paced(vec![(0, ONE), (200, TWO)]),
            prefill_ms: 0,
            within_ms: 300,
            ..stream(
                "an engine that still runs beside its successor ends its stream",
                &["one", "two"],
            )
        },
        stream("a reservation is lost during the prefill", &["one", "two"]),
        stream("the prefill engine restarts during the prefill", &["reader-1", "reader-2"]),
        stream("both", &["one", "two", "reader-1", "reader-2"]),
    ]
}

#[tokio::test(start_paused = true)]
async fn responses_of_a_restarted_backend_server_are_not_awaited() {
    for case in cases() {
        let site = ScriptedSite::default();
        let is_pool = case.kind == RequestKind::Streaming;
        let response = if is_pool { Step::Stream(vec![TWO]) } else { Step::Answer(200, "ok") };
        for id in ["one", "two"] {
            let fresh = matches!(case.step, Step::Stream(_));
            let steps = if fresh {
                vec![case.step.clone()]
            } else {
                vec![case.step.clone(), response.clone()]
            };
            site.script(id, steps);
        }
        *site.prefill_takes.lock().unwrap() = Duration::from_millis(case.prefill_ms);
        let entries = started(is_pool);
        let (context, directory) = site.context(restarted(&entries, &[]));
        let later = restarted(&entries, case.restarted_ids);
        let started = Instant::now();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(case.at_ms)).await;
            directory.send_replace(Arc::new(later));
            std::future::pending::<()>().await;
        });
        let routed = request(case.kind, case.attempts, case.resumable);
        let response = handle_request(context, routed).await;
        let status = response.status().as_u16();
        let body = read_response_body(response.into_body(), 1000).await.ok();
        let body = body.map(|bytes| String::from_utf8(bytes.to_vec()).unwrap());
        let took = started.elapsed();
        assert_eq!(status, case.status, "{}", case.name);
        if status == 200 {
            assert_eq!(body.as_deref(), case.body, "{}", case.name);
        }
        assert!(took <= Duration::from_millis(case.within_ms), "{}: {took:?}", case.name);
        let record = site.record.lock().unwrap();
        assert_eq!(record.arrivals.len(), case.sends, "{}: {:?}", case.name, record.arrivals);
        // What the previous instance held is neither used nor released.
        for arrival in &record.arrivals {
            let sent_later = arrival.at - started >= Duration::from_millis(case.at_ms);
            let prefiller =
                arrival.params.prefilled.as_ref().map(|it| (&*it.engine.id, it.engine.start));
            if let Some((id, start)) = prefiller
                && sent_later
                && case.restarted_ids.contains(&id)
            {
                assert_eq!(
                    start, AFTER,
                    "{}: a prefill of the previous instance of {id}",
                    case.name
                );
            }
        }
    }
}

/// A caller disconnects during the prefill. Its reservation must not be released at a decode engine that has
/// restarted, since the new instance does not hold it.
#[tokio::test(start_paused = true)]
async fn a_reservation_is_not_released_at_a_restarted_engine() {
    for (restarted_ids, released) in
        [(&["one", "two"][..], 0), (&["reader-1"][..], 1), (&[][..], 1)]
    {
        let site = ScriptedSite::default();
        *site.prefill_takes.lock().unwrap() = Duration::from_millis(600);
        let entries = started(true);
        let (context, directory) = site.context(restarted(&entries, &[]));
        let asking = handle_request(context, request(RequestKind::Streaming, 1, false));
        let disconnect = tokio::time::timeout(
            Duration::from_millis(200),
            Box::pin(async {
                let change = async {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    directory.send_replace(Arc::new(restarted(&entries, restarted_ids)));
                };
                tokio::join!(asking, change)
            }),
        );
        assert!(disconnect.await.is_err(), "{restarted_ids:?}");
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            site.record.lock().unwrap().released_reservations.len(),
            released,
            "{restarted_ids:?}"
        );
    }
}
