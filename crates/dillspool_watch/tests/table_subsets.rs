//! Hosts that hold subsets of a large table that a source relays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{HostClock, MemoryNet, NetStack, StallDetector};
use dillspool_part::{RowCounts, TableSubset};
use dillspool_platform::{ChangedRow, PlatformError, TableDelta, TableWatch, WatchError};
use dillspool_watch::{
    FollowRole, FollowSettings, RelayPeers, RelayService, RowClassifier, SharedReplica,
    StoreReachability, follow_table, relay_from_peers, serve_relay,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const LIMIT: Duration = Duration::from_secs(4);
/// The seed that selects the host's subset.
const SEED: u64 = 0xD177;

fn awake() -> StallDetector {
    StallDetector::start(HostClock::steady(), CancellationToken::new())
}

fn address(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 8146).into()
}

/// Rows are texts `CLASS TEXT`; one without a space has no class.
fn replica() -> SharedReplica {
    let class = |_key: &str, text: &str| Some(text.split_once(' ')?.0.into());
    SharedReplica::new("servers".into(), awake()).with_classifier(RowClassifier::new(class))
}

/// A store that answers each poll without changes.
fn unchanged_store() -> TableWatch {
    TableWatch {
        snapshot: Arc::new(|_table| {
            Box::pin(async { Err(PlatformError::NotDone { reason: "not asked".to_owned() }) })
        }),
        changes: Arc::new(|_table, version, wait| {
            Box::pin(async move {
                tokio::time::sleep(wait).await;
                Ok::<_, WatchError>(TableDelta { full: false, version, rows: Vec::new() })
            })
        }),
    }
}

/// A source whose rows a test writes, and a host that receives its subset of them.
struct SubsetPair {
    source: SharedReplica,
    client: SharedReplica,
    version: u64,
}

impl SubsetPair {
    async fn start() -> Self {
        let net = MemoryNet::new();
        let source = replica();
        serve(&net.stack(address(1).ip()), &source).await;
        let client = replica();
        let peers =
            || RelayPeers { sources: vec![address(1)], all: vec![], subset_seed: Some(SEED) };
        let status = watch::Sender::new(StoreReachability::unknown());
        tokio::spawn(relay_from_peers(
            net.stack(address(2).ip()),
            peers,
            vec![client.clone()],
            status,
            CancellationToken::new(),
        ));
        Self { source, client, version: 0 }
    }

    fn write(&mut self, rows: &[(String, Option<String>)]) {
        self.version += 1;
        let version = self.version;
        let row = |(key, text): &(String, Option<String>)| ChangedRow {
            key: key.as_str().into(),
            version: version.into(),
            value: text.as_deref().map(Into::into),
        };
        let rows = rows.iter().map(row).collect();
        self.source.merge(&TableDelta { full: false, version: version.into(), rows });
    }

    /// The source's rows that are in the host's subset, which must fit the size of the table.
    fn expected(&self, case: &str) -> Vec<(String, String)> {
        let rows = existing_rows(&self.source);
        let mut counts = RowCounts::default();
        for (_key, text) in &rows {
            if let Some((class, _text)) = text.split_once(' ') {
                *counts.rows.entry(class.into()).or_default() += 1;
            }
        }
        let subset = self.client.subscribe().borrow().subset.clone();
        assert!(!TableSubset::needs_resize(subset.as_deref(), &counts), "{case}: {subset:?}");
        let of_part = |(key, text): &(String, String)| {
            let Some((class, _text)) = text.split_once(' ') else { return false };
            subset.as_ref().is_none_or(|subset| subset.for_class(class).contains(key))
        };
        rows.into_iter().filter(of_part).collect()
    }
}

fn existing_rows(replica: &SharedReplica) -> Vec<(String, String)> {
    let rows = replica.changes_since(0.into()).rows.into_iter();
    rows.filter_map(|row| Some((row.key.to_string(), row.value?.to_string()))).collect()
}

/// Relays a replica that counts as fresh, whatever is merged into it.
async fn serve(stack: &NetStack, served: &SharedReplica) {
    let status = watch::Sender::new(StoreReachability::unknown());
    let role = watch::Sender::new(FollowRole::Source);
    let first = TableDelta { full: true, version: 0.into(), rows: Vec::new() };
    let store = TableWatch {
        snapshot: Arc::new(move |_table| {
            let first = first.clone();
            Box::pin(async move { Ok(first) })
        }),
        ..unchanged_store()
    };
    let settings = FollowSettings::new(LIMIT, LIMIT);
    let follow = follow_table(
        store,
        served.clone(),
        status.clone(),
        settings,
        role.subscribe(),
        CancellationToken::new(),
    );
    let listener = stack.listen(address(1)).await.expect("a free address");
    let service = RelayService::new(vec![served.clone()], status.subscribe(), LIMIT);
    tokio::spawn(serve_relay(listener, service, CancellationToken::new()));
    tokio::spawn(async move {
        follow.await;
        drop(role);
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
}

fn rows(class: &str, numbers: std::ops::Range<usize>) -> Vec<(String, Option<String>)> {
    numbers.map(|at| (format!("{class}-{at:05}"), Some(format!("{class} first")))).collect()
}

async fn advance(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

struct ChangeCase {
    name: &'static str,
    /// Rows of the class `many` before the change; there are six of the class `few`.
    before: usize,
    /// Rows written in the change.
    change: fn() -> Vec<(String, Option<String>)>,
}

#[tokio::test(start_paused = true)]
async fn a_subset_follows_its_rows_and_no_others() {
    let cases = [
        ChangeCase { name: "no change", before: 3_000, change: Vec::new },
        ChangeCase { name: "a small table", before: 40, change: || rows("many", 40..60) },
        ChangeCase {
            name: "each row changes",
            before: 3_000,
            change: || {
                let row = |at| (format!("many-{at:05}"), Some("many again".to_owned()));
                (0..3_000).map(row).collect()
            },
        },
        ChangeCase {
            name: "a third is deleted",
            before: 3_000,
            change: || (0..1_000).map(|at| (format!("many-{at:05}"), None)).collect(),
        },
        ChangeCase {
            name: "a few change their class",
            before: 3_000,
            change: || {
                let row = |at| (format!("many-{at:05}"), Some("few now".to_owned()));
                (0..20).map(row).collect()
            },
        },
        ChangeCase {
            name: "some lose their class",
            before: 3_000,
            change: || {
                (0..200).map(|at| (format!("many-{at:05}"), Some("malformed".into()))).collect()
            },
        },
        ChangeCase {
            name: "four times as many",
            before: 1_000,
            change: || rows("many", 1_000..4_200),
        },
        ChangeCase { name: "few, then many", before: 10, change: || rows("many", 10..5_000) },
        ChangeCase {
            name: "most are deleted",
            before: 8_000,
            change: || (100..8_000).map(|at| (format!("many-{at:05}"), None)).collect(),
        },
    ];
    for case in cases {
        let mut pair = SubsetPair::start().await;
        pair.write(&rows("many", 0..case.before));
        pair.write(&rows("few", 0..6));
        advance(3_000).await;
        assert_eq!(existing_rows(&pair.client), pair.expected(case.name), "{}: before", case.name);
        pair.write(&(case.change)());
        advance(12_000).await;
        let mut held = existing_rows(&pair.client);
        held.retain(|(_key, text)| text.contains(' '));
        assert_eq!(held, pair.expected(case.name), "{}", case.name);
        // While it holds a subset, the host keeps tombstones only for rows of its own.
        let is_subset = pair.client.subscribe().borrow().subset.is_some();
        let tombstones =
            pair.client.changes_since(0.into()).rows.len() - existing_rows(&pair.client).len();
        assert!(!is_subset || tombstones <= case.before / 8, "{}: {tombstones}", case.name);
    }
}
