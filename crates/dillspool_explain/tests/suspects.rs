//! Tests of the table of suspects, and of the report on a refused copy.

use dillspool_explain::{SuspectTable, explain};

const LOG: &str = r"time_ms=1 host=h1 event=break_traced id=a print=aa00 backend=e1 start=5 found=ended after_ms=60
time_ms=1 host=h1 event=request_ended id=a print=aa00 route=r service=s workspace=w config=3 outcome=broken cause= after_ms=58
time_ms=1 host=h2 event=break_traced id=x print=bb00 backend=e1 start=5 found=ended after_ms=900
time_ms=2 host=h2 event=break_traced id=b print=aa00 backend=e2 start=5 found=ended after_ms=60
time_ms=2 host=h2 event=break_traced id=y print=cc00 backend=e3 start=5 found=lives after_ms=60
time_ms=3 host=h2 event=request_ended id=z print=bb00 route=r service=s workspace=v config=3 outcome=answered cause= after_ms=58
time_ms=4 host=h1 event=break_traced id=c print=aa00 backend=e1 start=6 found=ended after_ms=60
time_ms=4 host=h1 event=suspect print=aa00 decision=Refused { ends: 3 } from=seen
time_ms=5 host=h3 event=suspect_refused id=d print=aa00 route=r workspace=w why=Deadly { ends: 3 }
time_ms=5 host=h3 event=request_ended id=d print=aa00 route=r service=s workspace=w config=3 outcome=refused cause=deadly after_ms=0 status=503
";

const TABLE: &str =
    "ended  refused    whole  print                             last copy      route, workspace
    3        1        0  aa00                              5              r w
    1        0        1  bb00                              3              r v
";

#[test]
fn requests_are_listed_with_the_crashes_during_them() {
    assert_eq!(SuspectTable::from_lines(LOG.lines()).to_string(), TABLE);
}

const PART_LOG: &str = r"time_ms=1 host=h1 event=break_traced id=a print=aa00 backend=e1 start=5 found=ended progress=starting parts=70617274a1,70617274b2
time_ms=1 host=h2 event=break_traced id=x print=bb00 backend=e1 start=5 found=ended progress=underway parts=70617274a1,70617274c3
time_ms=2 host=h2 event=break_traced id=b print=cc00 backend=e2 start=5 found=ended progress=starting parts=70617274a1,70617274b2
time_ms=3 host=h2 event=request_ended id=z print=dd00 route=r service=s workspace=v config=3 outcome=answered cause= after_ms=58 parts=70617274a1,70617274c3 status=200
time_ms=4 host=h2 event=request_ended id=y print=ee00 route=r service=s workspace=v config=3 outcome=refused cause=deadly after_ms=0 parts=70617274a1,70617274b2 status=503
";

#[test]
fn prompt_parts_are_listed_with_the_crashes_of_runs_that_began_on_them() {
    let table = SuspectTable::from_lines(PART_LOG.lines());
    let counts = |part: &str| {
        table.suspects.get(part).map(|it| (it.crashed.len(), it.refused, it.succeeded))
    };
    assert_eq!(counts("70617274a1"), Some((2, 1, 1)), "{table}");
    assert_eq!(counts("70617274b2"), Some((2, 1, 0)), "{table}");
    assert_eq!(counts("70617274c3"), None, "{table}");
}

#[test]
fn the_report_on_a_refused_copy_shows_crashes_during_other_copies() {
    let report = explain("d", LOG.lines()).expect("its lines");
    assert_eq!(report.copies.len(), 4, "{report}");
    assert!(report.summary.contains("backend servers crash while they run it"), "{report}");
    let other = explain("z", LOG.lines()).expect("its lines");
    assert_eq!(other.copies.len(), 1, "{other}");
}
