//! A directory that a test writes.

use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{HostClock, StallDetector};
use dillspool_leaving::LeavingTracker;
use dillspool_platform::{ChangedRow, StoreEra, StoreVersion, TableDelta};
use dillspool_router::{DirectorySettings, DirectorySources, UnreadableRows, track_directory};
use dillspool_routing::{BackendInstance, BackendStart, DirectoryView};
use dillspool_watch::{SharedReplica, StoreReachability};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// An address of the host itself.
pub const OWN: &str = "10.0.0.1:80";

pub struct TrackedDirectory {
    pub belief: SharedReplica,
    pub operator: SharedReplica,
    pub unreadable: UnreadableRows,
    pub reach: watch::Sender<StoreReachability>,
    pub leaving: LeavingTracker,
    pub view: watch::Receiver<Arc<DirectoryView>>,
}

impl TrackedDirectory {
    pub fn start() -> Self {
        let belief = SharedReplica::new("servers".into(), awake());
        let operator = SharedReplica::new("op".into(), awake());
        let reach =
            watch::Sender::new(StoreReachability { direct: true, ..StoreReachability::unknown() });
        let (sender, view) = watch::channel(Arc::default());
        let settings = DirectorySettings {
            lapse_grace: Duration::from_secs(2),
            own_addresses: vec![OWN.parse().unwrap()],
        };
        let site = super::site(&super::TestSite::default());
        let unreadable = UnreadableRows::default();
        let leaving = LeavingTracker::new(HostClock::steady());
        let sources = DirectorySources {
            backends: belief.subscribe(),
            operator: operator.subscribe(),
            reachability: reach.subscribe(),
            leaving: leaving.subscribe(),
        };
        tokio::spawn(track_directory(site, settings, unreadable.clone(), sources, sender));
        Self { belief, operator, unreadable, reach, leaving, view }
    }

    /// A start of the backend server says in an answer that it leaves.
    pub fn say_leaving(&self, start: Option<u64>) {
        self.leaving
            .record_response(&BackendInstance { id: "i-1".into(), start: start.map(BackendStart) });
    }

    pub fn write(&self, version: u64, text: Option<&str>) {
        let row =
            ChangedRow { key: "i-1".into(), version: version.into(), value: text.map(Into::into) };
        self.belief.merge(&TableDelta { full: false, version: version.into(), rows: vec![row] });
    }

    /// The store comes back from a copy with this row of the backend server, at a version of its second era.
    pub fn restore(&self, number: u64, text: Option<&str>) {
        self.merge_restored(true, number, text);
    }

    /// The row is written in the second era.
    pub fn write_restored(&self, number: u64, text: Option<&str>) {
        self.merge_restored(false, number, text);
    }

    fn merge_restored(&self, full: bool, number: u64, text: Option<&str>) {
        let version = StoreVersion::new(StoreEra::new(2), number);
        let value = text.map(Into::into);
        let row = ChangedRow { key: "i-1".into(), version, value };
        // A whole read does not show deleted rows.
        let rows = (text.is_some() || !full).then_some(row).into_iter().collect();
        self.belief.merge(&TableDelta { full, version, rows });
    }

    /// The operator's rows are read whole in an era, these drain failure domains.
    pub fn read_operator(&self, era: u64, number: u64, keys: &[&str]) {
        let version = StoreVersion::new(StoreEra::new(era), number);
        let row = |key: &&str| ChangedRow { key: (*key).into(), version, value: Some("{}".into()) };
        let rows = keys.iter().map(row).collect();
        self.operator.merge(&TableDelta { full: true, version, rows });
    }

    pub fn write_operator(&self, version: u64, key: &str, exists: bool) {
        let value = exists.then(|| "{}".into());
        let row = ChangedRow { key: key.into(), version: version.into(), value };
        self.operator.merge(&TableDelta { full: false, version: version.into(), rows: vec![row] });
    }

    pub fn reach(&self, reachable: bool) {
        self.reach
            .send_replace(StoreReachability { direct: reachable, ..StoreReachability::unknown() });
    }

    pub fn is_known(&self) -> bool {
        self.view.borrow().entries.contains_key("i-1")
    }

    pub fn is_ready(&self) -> bool {
        self.view.borrow().is_ready("i-1")
    }
}

/// A watch by tokio's clock.
fn awake() -> StallDetector {
    StallDetector::start(HostClock::steady(), CancellationToken::new())
}

/// Lets time pass.
pub async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
