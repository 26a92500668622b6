//! For each kind of failed request the logs alone name the cause.

use dillspool_explain::explain;

const LOG: &str = r#"time_ms=1000 host=h1 level=INFO event=started failure_domain=d
time_ms=4000 host=h1 level=INFO event=backend_seen backend=i-2 service=s state=Ready
time_ms=5000 host=h1 level=INFO event=request_ended id=r1 route=a service=s config=3 outcome=refused cause=no_memory after_ms=11 status=503 retry_after_ms=3900
time_ms=5100 host=h1 level=INFO event=stream_placed id=r2 backend=i-2 prefill=i-1 after_ms=120 resume_after=0
time_ms=6000 host=h1 level=INFO event=stream_broke id=r2 backend=i-2 events=7 after_ms=1000 cause="connection reset"
time_ms=6001 host=h1 level=INFO event=request_ended id=r2 route=a service=s config=3 outcome=broken cause= after_ms=1001 detail="connection reset; not resumed: unknown"
time_ms=6500 host=h1 level=INFO event=backend_gone backend=i-2 version=9
time_ms=7001 host=h2 level=INFO event=request_ended id=r3 route=b service=p config=3 outcome=refused cause=unknown after_ms=62 status=502 retry_after_ms=0
time_ms=7000 host=h2 level=INFO event=send_failed id=r3 backend=i-7 after_ms=61 cause="10.0.0.1:1 gave no whole reply: reset"
time_ms=7200 host=h1 level=INFO event=store_lost after_ms=6000 cause="silent for 3.2s"
time_ms=9000 host=h1 level=INFO event=request_refused id=r4 cause=no_route
time_ms=9100 host=h1 level=INFO event=stream_placed id=r5 backend=i-2 prefill=none after_ms=20 resume_after=0
not a line of ours
"#;

struct StoryCase {
    id: &'static str,
    verdict: &'static str,
    lines: usize,
    beliefs: &'static [&'static str],
}

#[test]
fn the_cause_is_named() {
    let cases = [
        StoryCase {
            id: "r1",
            verdict: "r1: refused after 11 ms (no_memory: no decode engine had memory for its answer; it did not run)",
            lines: 1,
            beliefs: &["started", "store_lost"],
        },
        StoryCase {
            id: "r2",
            verdict: "r2: broken after 1001 ms; before that backend server i-2: connection reset",
            lines: 3,
            beliefs: &["started", "backend_seen", "backend_gone", "store_lost"],
        },
        StoryCase {
            id: "r3",
            verdict: "r3: refused after 62 ms (unknown: the backend server's answer was lost; it may have run); before that backend server i-7: 10.0.0.1:1 gave no whole reply: reset",
            lines: 2,
            beliefs: &[],
        },
        StoryCase {
            id: "r4",
            verdict: "r4: refused at once (no_route: no route of the configuration in force takes it)",
            lines: 1,
            beliefs: &["backend_seen", "backend_gone", "store_lost"],
        },
        StoryCase {
            id: "r5",
            verdict: "r5: its end is not in these logs; the host may have died",
            lines: 1,
            beliefs: &["backend_gone", "store_lost"],
        },
    ];
    for case in cases {
        let story = explain(case.id, LOG.lines()).expect("its lines are there");
        assert_eq!(story.verdict, case.verdict);
        assert_eq!(story.lines.len(), case.lines, "{}", case.id);
        assert!(story.lines.is_sorted_by_key(|line| line.time_ms), "{}", case.id);
        let events: Vec<&str> = story.beliefs.iter().map(|line| line.field("event")).collect();
        if case.id != "r4" {
            assert_eq!(events, case.beliefs, "{}", case.id);
        }
    }
}

#[test]
fn an_unknown_request_has_no_story() {
    assert_eq!(explain("r", LOG.lines()), None);
}
