//! Tests that each request is counted once, by outcome and cause.

use dillspool_explain::OutcomeTable;

const LOG: &str = r"time_ms=1 host=h1 event=request_ended id=a outcome=answered cause= after_ms=900 status=200 late= spent_before_ms=0 first_ms=200 events=3
time_ms=2 host=h1 event=request_ended id=b outcome=answered cause= after_ms=900 status=200 late=prefill spent_before_ms=0 first_ms=1200 events=3
time_ms=3 host=h2 event=request_ended id=c outcome=refused cause=no_memory after_ms=9 status=503 spent_before_ms=3900 retry_after_ms=3500
time_ms=4 host=h2 event=request_ended id=d outcome=refused cause=no_memory after_ms=9 status=503 spent_before_ms=2 retry_after_ms=3500
time_ms=5 host=h2 event=request_ended id=e outcome=answered cause= after_ms=62 status=200
time_ms=6 host=h2 event=stream_placed id=f backend=i-1
time_ms=7 host=h2 event=request_ended id=g outcome=answered cause= after_ms=900 status=200 late=prefill spent_before_ms=0 first_ms=1200 events=3
";

const TABLE: &str = "       6  requests
       2  stream late: prefill
       1  stream in time
       1  answered
       1  refused: no_memory
       1  refused: no_memory, had come back
";

#[test]
fn requests_are_counted_by_outcome_and_cause() {
    assert_eq!(OutcomeTable::from_lines(LOG.lines()).to_string(), TABLE);
}

#[test]
fn logs_without_requests_give_an_empty_table() {
    assert_eq!(
        OutcomeTable::from_lines(["not a log line of a host"]).to_string(),
        "       0  requests\n"
    );
}
