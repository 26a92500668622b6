//! Tests that the report names the cause of each kind of failure from the logs alone.

use dillspool_explain::explain;

const LOG: &str = r#"time_ms=1000 host=h1 level=INFO event=started failure_domain=d
time_ms=4000 host=h1 level=INFO event=backend_seen backend=i-2 service=s state=Ready
time_ms=5000 host=h1 level=INFO event=request_ended id=r1 route=a service=s config=3 outcome=refused cause=no_memory after_ms=11 status=503 retry_after_ms=3900
time_ms=5100 host=h1 level=INFO event=stream_placed id=r2 backend=i-2 prefill=i-1 after_ms=120 resume_after=0
time_ms=6000 host=h1 level=INFO event=stream_broke id=r2 backend=i-2 events=7 after_ms=1000 cause="connection reset"
time_ms=6001 host=h1 level=INFO event=request_ended id=r2 route=a service=s config=3 outcome=broken cause= after_ms=1001 detail="connection reset; not resumed: unknown"
time_ms=6500 host=h1 level=INFO event=backend_gone backend=i-2 version=9
time_ms=7001 host=h2 level=INFO event=request_ended id=r3 route=b service=p config=3 outcome=refused cause=unknown after_ms=62 status=502 retry_after_ms=0
time_ms=7000 host=h2 level=INFO event=send_failed id=r3 backend=i-7 after_ms=61 cause="no complete response from 10.0.0.1:1: reset"
time_ms=7200 host=h1 level=INFO event=store_lost after_ms=6000 cause="silent for 3.2s"
time_ms=9000 host=h1 level=INFO event=request_refused id=r4 cause=no_route
time_ms=9100 host=h1 level=INFO event=stream_placed id=r5 backend=i-2 prefill=none after_ms=20 resume_after=0
not a log line of a host
"#;

struct ReportCase {
    id: &'static str,
    summary: &'static str,
    lines: usize,
    state_changes: &'static [&'static str],
}

#[test]
fn reports_name_the_cause() {
    let cases = [
        ReportCase {
            id: "r1",
            summary: "r1: refused after 11 ms (no_memory: no decode engine had enough memory for its response; it did not run)",
            lines: 1,
            state_changes: &["started", "store_lost"],
        },
        ReportCase {
            id: "r2",
            summary: "r2: broken after 1001 ms; earlier failure at backend server i-2: connection reset",
            lines: 3,
            state_changes: &["started", "backend_seen", "backend_gone", "store_lost"],
        },
        ReportCase {
            id: "r3",
            summary: "r3: refused after 62 ms (unknown: the backend server's response was lost; it may have run); earlier failure at backend server i-7: no complete response from 10.0.0.1:1: reset",
            lines: 2,
            state_changes: &[],
        },
        ReportCase {
            id: "r4",
            summary: "r4: refused immediately (no_route: no route of the active configuration matches it)",
            lines: 1,
            state_changes: &["backend_seen", "backend_gone", "store_lost"],
        },
        ReportCase {
            id: "r5",
            summary: "r5: no outcome in these logs; the host may have crashed",
            lines: 1,
            state_changes: &["backend_gone", "store_lost"],
        },
    ];
    for case in cases {
        let report = explain(case.id, LOG.lines()).expect("its lines are there");
        assert_eq!(report.summary, case.summary);
        assert_eq!(report.lines.len(), case.lines, "{}", case.id);
        assert!(report.lines.is_sorted_by_key(|line| line.time_ms), "{}", case.id);
        let events: Vec<&str> =
            report.state_changes.iter().map(|line| line.field("event")).collect();
        if case.id != "r4" {
            assert_eq!(events, case.state_changes, "{}", case.id);
        }
    }
}

#[test]
fn an_unknown_request_has_no_report() {
    assert_eq!(explain("r", LOG.lines()), None);
}
