//! The table of limits counts each request once, under its workspace.

use dillspool_explain::LimitTable;

const LOG: &str = r"time_ms=1 host=h1 event=over_limit id=a workspace=w amount=14000 per_s=29000 burst=29000 config=3 come_back_ms=90
time_ms=1 host=h1 event=request_ended id=a route=r service=s workspace=w config=3 outcome=refused cause=over_limit after_ms=1 status=429
time_ms=2 host=h2 event=over_limit id=b workspace=w amount=200 per_s=500 burst=500 config=4 come_back_ms=90
time_ms=2 host=h2 event=request_ended id=b route=r service=s workspace=w config=4 outcome=refused cause=over_limit after_ms=1 status=429
time_ms=3 host=h1 event=over_limit id=c workspace=w amount=200 per_s=29000 burst=29000 config=3 come_back_ms=90
time_ms=3 host=h1 event=request_ended id=c route=r service=s workspace=w config=3 outcome=refused cause=over_limit after_ms=1 status=429
time_ms=4 host=h1 event=request_ended id=d route=r service=s workspace=w config=4 outcome=answered cause= after_ms=60 status=200
time_ms=5 host=h1 event=request_ended id=e route=r service=s workspace=v config=4 outcome=failed cause= after_ms=60 status=500
time_ms=6 host=h1 event=request_ended id=f route=r service=s workspace=v config=4 outcome=refused cause=limit_unknown after_ms=150 status=503
time_ms=7 host=h1 event=request_ended id=g route=r service=s workspace=v config=4 outcome=caller_gone cause= after_ms=150
time_ms=8 host=h1 event=request_ended id=h route=r service=s workspace= config=4 outcome=answered cause= after_ms=60 status=200
";

const TABLE: &str = "answered  over limit  unknown    other  limit a second  workspace
       1           3        0        0             500  w
       1           0        1        1               -  v
";

#[test]
fn each_request_is_counted_under_its_workspace_and_the_newest_limit_is_shown() {
    assert_eq!(LimitTable::of(LOG.lines()).to_string(), TABLE);
}
