//! Backend servers appear, leave, and lapse around outages.

mod common;

use std::sync::Arc;
use std::time::Duration;

use dillspool_platform::{ChangedRow, TableDelta};
use dillspool_router::{DirectorySettings, track_directory};
use dillspool_routing::DirectoryView;
use dillspool_watch::{SharedBelief, StoreReach};
use tokio::sync::watch;

struct TrackedDirectory {
    belief: SharedBelief,
    reach: watch::Sender<StoreReach>,
    view: watch::Receiver<Arc<DirectoryView>>,
}

impl TrackedDirectory {
    fn start() -> Self {
        let belief = SharedBelief::new("servers".into());
        let reach = watch::Sender::new(StoreReach { direct: true, ..StoreReach::unknown() });
        let (sender, view) = watch::channel(Arc::default());
        let settings = DirectorySettings { lapse_grace: Duration::from_secs(2) };
        let site = common::site(&common::TestSite::default());
        let follow = track_directory(site, settings, belief.subscribe(), reach.subscribe(), sender);
        tokio::spawn(follow);
        Self { belief, reach, view }
    }

    fn write(&self, version: u64, text: Option<&str>) {
        let row = ChangedRow { key: "i-1".into(), version, value: text.map(Into::into) };
        self.belief.merge(&TableDelta { full: false, version, rows: vec![row] });
    }

    fn reach(&self, reachable: bool) {
        self.reach.send_replace(StoreReach { direct: reachable, ..StoreReach::unknown() });
    }

    fn is_known(&self) -> bool {
        self.view.borrow().entries.contains_key("i-1")
    }

    fn is_ready(&self) -> bool {
        self.view.borrow().is_ready("i-1")
    }
}

async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn draining_and_gone_count_at_once_while_the_store_is_there() {
    let directory = TrackedDirectory::start();
    pass(5000).await;
    directory.write(1, Some("ready"));
    pass(1).await;
    assert!(directory.is_ready());
    directory.write(2, Some("draining"));
    pass(1).await;
    assert!(directory.is_known() && !directory.is_ready());
    directory.write(3, Some("ready"));
    pass(1).await;
    directory.write(4, None);
    pass(1).await;
    assert!(!directory.is_known());
}

#[tokio::test(start_paused = true)]
async fn malformed_rows_leave_the_last_good_one() {
    let directory = TrackedDirectory::start();
    directory.write(1, Some("ready"));
    pass(1).await;
    directory.write(2, Some("malformed"));
    pass(1).await;
    assert!(directory.is_ready());
}

struct LapseCase {
    name: &'static str,
    /// State when the row goes missing in the outage.
    state: &'static str,
    /// Milliseconds after the return of the store at which the row is back, if it is.
    back_after: Option<u64>,
    /// Whether it may be used in the outage, one second and three seconds after its end.
    used: [bool; 3],
}

#[tokio::test(start_paused = true)]
async fn an_outage_removes_no_living_backend_server() {
    let cases = [
        LapseCase {
            name: "back in time",
            state: "ready",
            back_after: Some(900),
            used: [true, true, true],
        },
        LapseCase { name: "not back", state: "ready", back_after: None, used: [true, true, false] },
        LapseCase {
            name: "it was leaving",
            state: "draining",
            back_after: None,
            used: [false, false, false],
        },
    ];
    for case in cases {
        let directory = TrackedDirectory::start();
        pass(5000).await;
        directory.write(1, Some(case.state));
        pass(1).await;
        directory.reach(false);
        pass(1).await;
        directory.write(2, None);
        pass(4000).await;
        let during = directory.is_ready();
        directory.reach(true);
        pass(900).await;
        if case.back_after.is_some() {
            directory.write(3, Some("ready"));
        }
        pass(100).await;
        let soon_after = directory.is_ready();
        pass(2000).await;
        assert_eq!([during, soon_after, directory.is_ready()], case.used, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_row_that_lapses_just_after_the_return_counts_too() {
    let directory = TrackedDirectory::start();
    directory.write(1, Some("ready"));
    directory.reach(false);
    pass(4000).await;
    directory.reach(true);
    pass(300).await;
    directory.write(2, None);
    pass(1).await;
    assert!(directory.is_ready());
    pass(1800).await;
    assert!(!directory.is_known());
}
