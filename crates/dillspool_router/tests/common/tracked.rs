//! A directory tracker whose tables are written by the test.

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

/// One of the host's own addresses.
pub const OWN: &str = "10.0.0.1:80";

pub struct TrackedDirectory {
    pub replica: SharedReplica,
    pub operator: SharedReplica,
    pub unreadable: UnreadableRows,
    pub reachability: watch::Sender<StoreReachability>,
    pub leaving: LeavingTracker,
    pub view: watch::Receiver<Arc<DirectoryView>>,
}

impl TrackedDirectory {
    pub fn start() -> Self {
        let replica = SharedReplica::new("servers".into(), stall_detector());
        let operator = SharedReplica::new("op".into(), stall_detector());
        let reachability =
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
            backends: replica.subscribe(),
            operator: operator.subscribe(),
            reachability: reachability.subscribe(),
            leaving: leaving.subscribe(),
        };
        tokio::spawn(track_directory(site, settings, unreadable.clone(), sources, sender));
        Self { replica, operator, unreadable, reachability, leaving, view }
    }

    /// A start of the backend server announces in a response that it is leaving.
    pub fn announce_leaving(&self, start: Option<u64>) {
        self.leaving
            .record_response(&BackendInstance { id: "i-1".into(), start: start.map(BackendStart) });
    }

    pub fn write(&self, version: u64, text: Option<&str>) {
        let row =
            ChangedRow { key: "i-1".into(), version: version.into(), value: text.map(Into::into) };
        self.replica.merge(&TableDelta { full: false, version: version.into(), rows: vec![row] });
    }

    /// Restores the store from a backup with this row, at a version of the second era.
    pub fn restore(&self, number: u64, text: Option<&str>) {
        self.merge_restored(true, number, text);
    }

    /// Writes the row in the second era.
    pub fn write_restored(&self, number: u64, text: Option<&str>) {
        self.merge_restored(false, number, text);
    }

    fn merge_restored(&self, full: bool, number: u64, text: Option<&str>) {
        let version = StoreVersion::new(StoreEra::new(2), number);
        let value = text.map(Into::into);
        let row = ChangedRow { key: "i-1".into(), version, value };
        // A snapshot does not contain deleted rows.
        let rows = (text.is_some() || !full).then_some(row).into_iter().collect();
        self.replica.merge(&TableDelta { full, version, rows });
    }

    /// Replaces all operator rows with these drains, in the given era.
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

    pub fn set_reachable(&self, reachable: bool) {
        self.reachability
            .send_replace(StoreReachability { direct: reachable, ..StoreReachability::unknown() });
    }

    pub fn is_known(&self) -> bool {
        self.view.borrow().entries.contains_key("i-1")
    }

    pub fn is_ready(&self) -> bool {
        self.view.borrow().is_ready("i-1")
    }
}

/// Detector on tokio's clock.
fn stall_detector() -> StallDetector {
    StallDetector::start(HostClock::steady(), CancellationToken::new())
}

pub async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
