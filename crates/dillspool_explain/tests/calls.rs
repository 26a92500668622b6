//! Tests that waits, rejections and overruled decisions are counted for their service.

use dillspool_explain::CallTable;

const LOG: &str = r"time_ms=1000 host=h1 event=calls_scheduled service=plain by=one_host slots=18 hosts=23
time_ms=1001 host=h2 event=calls_scheduled service=plain by=one_host slots=18 hosts=23
time_ms=1000 host=h1 event=calls_scheduled service=other by=one_host slots=6 hosts=23
time_ms=1500 host=h1 event=call_queued id=a service=plain waited_ms=20 decided=sent
time_ms=1501 host=h2 event=call_queued id=b service=plain waited_ms=61 decided=rejected
time_ms=1501 host=h2 event=call_rejected id=b service=plain cause=no_room objective_left_ms=80 time_left_ms=700 excluded=0 after_ms=62 retry_after_ms=190
time_ms=1502 host=h2 event=call_rejected id=c service=plain cause=no_server objective_left_ms=80 time_left_ms=700 excluded=1 after_ms=2 retry_after_ms=190
time_ms=1503 host=h2 event=call_overruled id=d service=plain backend=i-1 why=gone after_ms=1
time_ms=1504 host=h2 event=call_overruled id=e service=plain backend=i-1 why=gone after_ms=1
time_ms=1505 host=h1 event=call_overruled id=f service=plain backend=i-2 why=stale after_ms=90
time_ms=900 host=h3 event=calls_scheduled service=plain by=each_host slots=40 hosts=22
time_ms=2000 host=h2 event=calls_scheduled service=plain by=each_host slots=36 hosts=24
time_ms=2001 host=h2 event=request_ended id=h route=r service=plain workspace= config=4 outcome=answered cause= after_ms=60 status=200
";

const TABLE: &str =
    "decided for  slots  hosts  queued  mean ms  longest ms  no room  no server  overruled  service
          1      6     23       0        0           0        0          0  -          other
          1     36     24       2       40          61        1          1  2 gone, 1 stale  plain
";

#[test]
fn calls_are_counted_by_service() {
    assert_eq!(CallTable::from_lines(LOG.lines()).to_string(), TABLE);
}
