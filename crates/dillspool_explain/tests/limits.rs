//! Tests of the tables of workspace limits and of backend server limits.

use dillspool_explain::{BackendLimitTable, LimitTable};

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
fn requests_are_counted_by_workspace_with_the_newest_limit() {
    assert_eq!(LimitTable::from_lines(LOG.lines()).to_string(), TABLE);
}

const BACKEND_LOG: &str = r#"time_ms=1000 host=h1 event=backend_limit backend="i-1 7" per_s=5.7 before=none from=answer age_ms=60 sent_1s=3
time_ms=1003 host=h2 event=backend_limit backend="i-1 7" per_s=5.7 before=none from=told age_ms=3 sent_1s=2
time_ms=1004 host=h3 event=backend_limit backend="i-1 7" per_s=5.7 before=none from=told age_ms=4 sent_1s=0
time_ms=1010 host=h2 event=backend_closed id=a backend="i-1 7" per_s=5.70 amount=1 by=nobody for_ms=200 times=1
time_ms=1310 host=h2 event=backend_closed id=b backend="i-1 7" per_s=5.70 amount=1 by=holder for_ms=175 times=4
time_ms=2000 host=h2 event=backend_limit backend="i-1 7" per_s=9 before=5.7 from=answer age_ms=60 sent_1s=1
time_ms=2500 host=h1 event=backend_limit backend="i-1 7" per_s=5.7 before=9 from=told age_ms=700 sent_1s=1
time_ms=1500 host=h1 event=backend_limit backend=i-2 per_s=4.3 before=none from=answer age_ms=60 sent_1s=3
time_ms=4000 host=h3 event=backend_limit_over backend=i-2 before=4.3 from=answer age_ms=60 sent_1s=3
time_ms=4001 host=h3 event=request_ended id=h route=r service=s workspace= config=4 outcome=answered cause= after_ms=60 status=200
"#;

const BACKEND_TABLE: &str =
    "limit a second  now   heard   told  closed  unknown  said at ms     backend server
             9  on        2      3       4        1           2000  i-1 7
           4.3  over      2      0       0        0           4000  i-2
";

#[test]
fn backend_servers_are_listed_with_their_newest_limit() {
    assert_eq!(BackendLimitTable::from_lines(BACKEND_LOG.lines()).to_string(), BACKEND_TABLE);
}
