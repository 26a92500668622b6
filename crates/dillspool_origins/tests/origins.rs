//! What a host remembers of streams and versions, and what it decides from that.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_origins::{
    ORIGIN_TTL, OriginAnswer, OriginDecision, OriginRecord, OriginRegistry, OriginSettings,
    OriginTracker, ServiceVersions, VersionHistory, decide_origin,
};
use dillspool_routing::{BackendEntry, BackendState, DirectoryView, EngineStage, SoftwareVersion};
use dillspool_schema::Name;

const SECOND: Duration = Duration::from_secs(1);

fn moment(seconds: u64) -> Moment {
    Moment::after_origin(Duration::from_secs(1_000 + seconds))
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion(name.into())
}

fn record(attempt: &str, software: Option<&str>, seconds: u64) -> OriginRecord {
    OriginRecord {
        attempt: attempt.into(),
        service: "pool".into(),
        software: software.map(version),
        at: moment(seconds),
    }
}

fn view(versions: &[&str]) -> DirectoryView {
    let entry = |(number, name): (usize, &&str)| {
        let id: Name = format!("i-{number}").into();
        let entry = BackendEntry {
            id: Name::clone(&id),
            start: None,
            software: version(name),
            service: "pool".into(),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "domain".into(),
            state: BackendState::Draining,
            stage: Some(EngineStage::Decode),
            slots: None,
        };
        (id, Arc::new(entry))
    };
    let entries: BTreeMap<_, _> = versions.iter().enumerate().map(entry).collect();
    DirectoryView { version: 1.into(), entries, ..DirectoryView::default() }
}

/// What is known of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    Nothing,
    InDoubt,
    Version(&'static str),
}

struct RecordCase {
    name: &'static str,
    records: &'static [(Option<&'static str>, u64)],
    /// What is known at second 10.
    known: Known,
    /// Whether other hosts need the last record.
    is_news: bool,
}

const RECORD_CASES: [RecordCase; 6] = [
    RecordCase {
        name: "one record",
        records: &[(Some("v1"), 0)],
        known: Known::Version("v1"),
        is_news: true,
    },
    RecordCase {
        name: "the same again",
        records: &[(Some("v1"), 0), (Some("v1"), 1)],
        known: Known::Version("v1"),
        is_news: false,
    },
    RecordCase {
        name: "two that disagree",
        records: &[(Some("v1"), 0), (Some("v2"), 1)],
        known: Known::InDoubt,
        is_news: true,
    },
    RecordCase {
        name: "in doubt, then a version",
        records: &[(None, 0), (Some("v1"), 1)],
        known: Known::InDoubt,
        is_news: false,
    },
    RecordCase {
        name: "a version, then in doubt",
        records: &[(Some("v1"), 0), (None, 1)],
        known: Known::InDoubt,
        is_news: true,
    },
    RecordCase { name: "none", records: &[], known: Known::Nothing, is_news: false },
];

#[test]
fn records_that_disagree_leave_a_stream_in_doubt() {
    for case in RECORD_CASES {
        let mut registry = OriginRegistry::default();
        let mut is_news = false;
        for (software, seconds) in case.records {
            is_news = registry.record(record("a", *software, *seconds), moment(*seconds));
        }
        let known = registry.get("a", moment(10)).map(|record| record.software.as_ref());
        let known = known.map_or(Known::Nothing, |software| match software {
            Some(software) if *software == version("v1") => Known::Version("v1"),
            Some(other) => panic!("{}: {other}", case.name),
            None => Known::InDoubt,
        });
        assert_eq!(known, case.known, "{}", case.name);
        assert_eq!(is_news, case.is_news, "{}", case.name);
    }
}

#[test]
fn records_expire_unless_they_are_renewed() {
    let ttl = ORIGIN_TTL.as_secs();
    let mut registry = OriginRegistry::default();
    registry.record(record("old", Some("v1"), 0), moment(0));
    registry.record(record("renewed", Some("v1"), 0), moment(0));
    assert!(registry.record(record("renewed", Some("v1"), ttl / 2), moment(ttl / 2)));
    assert!(registry.get("old", moment(ttl - 1)).is_some());
    assert!(registry.get("old", moment(ttl)).is_none());
    assert!(registry.get("renewed", moment(ttl)).is_some());
    assert!(!registry.record(record("late", Some("v1"), 0), moment(ttl)), "it has expired already");
    assert_eq!(registry.count(), 1);
    let newest: Vec<_> = registry.newest(9, moment(ttl)).map(|it| &*it.attempt).collect();
    assert_eq!(newest, ["renewed"]);
}

/// An hour of a pool with 300 streams a second.
#[test]
fn the_number_of_records_is_bounded() {
    let mut registry = OriginRegistry::default();
    for number in 0..300 * 3_600 {
        registry.record(
            record(&format!("{number:016x}"), Some("v1"), number / 300),
            moment(number / 300),
        );
        assert!(registry.count() <= 16_384);
    }
    assert!(registry.get(&format!("{:016x}", 300 * 3_600 - 1), moment(3_600)).is_some());
    let long = "x".repeat(1_000);
    assert!(!registry.record(record(&long, Some("v1"), 3_600), moment(3_600)));
}

#[test]
fn a_history_keeps_versions_that_have_left() {
    let names = |known: &ServiceVersions| {
        known.versions.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
    };
    let mut history = VersionHistory::new(true, moment(0));
    history.observe(&view(&["v1", "v1"]), moment(0));
    assert_eq!(names(&history.versions("pool", moment(0))), "v1");
    assert!(history.versions("pool", moment(0)).is_complete, "nothing was before a first start");
    history.observe(&view(&["v1", "v2"]), moment(10));
    history.observe(&view(&["v2"]), moment(20));
    assert_eq!(names(&history.versions("pool", moment(49))), "v1 v2");
    assert_eq!(names(&history.versions("pool", moment(50))), "v2");
    // Callers may wait for longer where routes let requests run for longer.
    history.set_longest_timeout(60 * SECOND);
    assert_eq!(names(&history.versions("pool", moment(139))), "v1 v2");
    assert_eq!(names(&history.versions("pool", moment(140))), "v2");
}

#[test]
fn a_restarted_host_knows_all_versions_once_the_store_or_time_tells() {
    let retention = 30;
    let mut waiting = VersionHistory::new(false, moment(0));
    waiting.observe(&view(&["v2"]), moment(0));
    assert!(!waiting.versions("pool", moment(retention - 1)).is_complete);
    assert!(waiting.versions("pool", moment(retention)).is_complete);
    let mut told = VersionHistory::new(false, moment(0));
    told.observe(&view(&["v2"]), moment(0));
    told.record_stored(&"pool".into(), [version("v1"), version("v2")], moment(1));
    let known = told.versions("pool", moment(1));
    assert!(known.is_complete && known.single().is_none(), "{known:?}");
    let later = told.versions("pool", moment(1 + retention));
    assert_eq!(later.single(), Some(&version("v2")));
}

struct DecisionCase {
    name: &'static str,
    own: OriginAnswer,
    told: Option<OriginAnswer>,
    decision: OriginDecision,
}

fn answer(record: Option<OriginRecord>, versions: &[&str], is_complete: bool) -> OriginAnswer {
    let versions = versions.iter().map(|name| version(name)).collect();
    OriginAnswer { record, versions: ServiceVersions { versions, is_complete } }
}

#[test]
fn only_records_and_single_versions_decide() {
    let began = |name| OriginDecision::Began(version(name));
    let case = |name, own, told, decision| DecisionCase { name, own, told, decision };
    let known = || Some(record("a", Some("v1"), 0));
    let other_service = || {
        let elsewhere = record("a", Some("v1"), 0);
        Some(OriginRecord { service: "other".into(), ..elsewhere })
    };
    let none = OriginDecision::Unknown;
    let cases = [
        case("a record", answer(known(), &["v1", "v2"], true), None, began("v1")),
        case("a record, stale directory", answer(known(), &["v2"], false), None, began("v1")),
        case("told", answer(None, &["v2"], true), Some(answer(known(), &[], false)), began("v1")),
        case("in doubt", answer(Some(record("a", None, 0)), &["v1"], true), None, none.clone()),
        case(
            "records that disagree",
            answer(known(), &["v1"], true),
            Some(answer(Some(record("a", Some("v2"), 0)), &["v1"], true)),
            none.clone(),
        ),
        case("another service", answer(other_service(), &["v1"], true), None, none.clone()),
        case("one version", answer(None, &["v1"], true), None, began("v1")),
        case("one version, stale directory", answer(None, &["v1"], false), None, none.clone()),
        case(
            "one version, and the scheduler is sure",
            answer(None, &["v1"], false),
            Some(answer(None, &["v1"], true)),
            began("v1"),
        ),
        case(
            "one version, and the scheduler knows another one",
            answer(None, &["v1"], true),
            Some(answer(None, &["v2"], false)),
            none.clone(),
        ),
        case("two versions", answer(None, &["v1", "v2"], true), None, none.clone()),
        case("no version", answer(None, &[], true), None, none),
    ];
    for DecisionCase { name, own, told, decision } in cases {
        assert_eq!(decide_origin("pool", &own, told.as_ref()), decision, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn all_hosts_need_the_records_once_versions_or_the_directory_are_in_doubt() {
    let is_fresh = Arc::new(AtomicBool::new(true));
    let fresh = Arc::clone(&is_fresh);
    let tracker = OriginTracker::new(OriginSettings {
        is_directory_fresh: Arc::new(move || fresh.load(Ordering::Relaxed)),
        ..OriginSettings::new_fleet(HostClock::steady())
    });
    let pool: Name = "pool".into();
    tracker.observe_directory(&view(&["v1"]));
    tracker.record(&pool, &"a".into(), Some(version("v1")));
    assert_eq!(tracker.take_outgoing().remove(&pool).expect("one").len(), 1);
    assert!(!tracker.is_shared(&pool) && tracker.newest_shared(9).is_empty());
    tracker.observe_directory(&view(&["v1", "v2"]));
    assert!(tracker.is_shared(&pool));
    assert_eq!(tracker.take_outgoing().remove(&pool).expect("sent again").len(), 1);
    assert_eq!(tracker.newest_shared(9).len(), 1);
    tracker.observe_directory(&view(&["v2"]));
    tokio::time::sleep(31 * SECOND).await;
    tracker.observe_directory(&view(&["v2"]));
    assert!(!tracker.is_shared(&pool), "v1 has left long ago");
    is_fresh.store(false, Ordering::Relaxed);
    assert!(tracker.is_shared(&pool), "a stale directory");
    assert!(!tracker.find("pool", None).versions.is_complete);
    is_fresh.store(true, Ordering::Relaxed);
    assert!(tracker.is_shared(&pool), "for some seconds");
    tokio::time::sleep(11 * SECOND).await;
    assert!(!tracker.is_shared(&pool));
    tracker.set_requested(&pool, true);
    assert!(tracker.is_shared(&pool), "the scheduler asks for them");
}
