//! When a version may be called accepted.

use dillspool_config::ConfigVersion;
use dillspool_host::{HostLine, StatusReply};

/// One host beside one that has the version, and what is missing.
struct AcceptRow {
    name: &'static str,
    listed: bool,
    counted: bool,
    version: u64,
    list_fresh: bool,
    missing: usize,
}

const ROWS: [AcceptRow; 6] = [
    AcceptRow {
        name: "listed, and has it",
        listed: true,
        counted: true,
        version: 7,
        list_fresh: true,
        missing: 0,
    },
    AcceptRow {
        name: "listed, and behind",
        listed: true,
        counted: true,
        version: 6,
        list_fresh: true,
        missing: 1,
    },
    AcceptRow {
        name: "not listed yet, but heard of, and behind",
        listed: false,
        counted: true,
        version: 6,
        list_fresh: true,
        missing: 1,
    },
    AcceptRow {
        name: "gone from the list and not heard of",
        listed: false,
        counted: false,
        version: 6,
        list_fresh: true,
        missing: 0,
    },
    AcceptRow {
        name: "has it, but the list is not known",
        listed: true,
        counted: true,
        version: 7,
        list_fresh: false,
        missing: 1,
    },
    AcceptRow {
        name: "behind, and the list is not known",
        listed: true,
        counted: true,
        version: 6,
        list_fresh: false,
        missing: 2,
    },
];

fn line(host: &str, listed: bool, counted: bool, version: u64) -> HostLine {
    let version = ConfigVersion(version);
    HostLine { host: host.into(), listed, counted, version, draining: false }
}

#[test]
fn a_version_is_accepted_once_every_host_that_counts_has_it() {
    for row in &ROWS {
        let status = StatusReply {
            host: "entry-1".into(),
            committed: Some(ConfigVersion(7)),
            in_force: ConfigVersion(7),
            list_fresh: row.list_fresh,
            hosts: vec![
                line("entry-1", true, true, 7),
                line("entry-2", row.listed, row.counted, row.version),
            ],
            pools: Vec::new(),
        };
        let missing = status.unconfirmed(ConfigVersion(7));
        assert_eq!(missing.len(), row.missing, "{}: {missing:?}", row.name);
    }
}
