//! When a configuration version counts as accepted.

use dillspool_config::ConfigVersion;
use dillspool_host::{HostLine, StatusReply};

/// State of a second host, next to one that has acknowledged the version, and how many
/// confirmations are missing.
struct AcceptanceCase {
    name: &'static str,
    listed: bool,
    counted: bool,
    version: u64,
    list_fresh: bool,
    missing: usize,
}

const CASES: [AcceptanceCase; 6] = [
    AcceptanceCase {
        name: "listed, and has it",
        listed: true,
        counted: true,
        version: 7,
        list_fresh: true,
        missing: 0,
    },
    AcceptanceCase {
        name: "listed, and behind",
        listed: true,
        counted: true,
        version: 6,
        list_fresh: true,
        missing: 1,
    },
    AcceptanceCase {
        name: "not listed yet, but heard from, and behind",
        listed: false,
        counted: true,
        version: 6,
        list_fresh: true,
        missing: 1,
    },
    AcceptanceCase {
        name: "gone from the list and not heard from",
        listed: false,
        counted: false,
        version: 6,
        list_fresh: true,
        missing: 0,
    },
    AcceptanceCase {
        name: "has it, but the list is unknown",
        listed: true,
        counted: true,
        version: 7,
        list_fresh: false,
        missing: 1,
    },
    AcceptanceCase {
        name: "behind, and the list is unknown",
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
    for case in &CASES {
        let status = StatusReply {
            host: "entry-1".into(),
            committed: Some(ConfigVersion(7)),
            in_force: ConfigVersion(7),
            list_fresh: case.list_fresh,
            hosts: vec![
                line("entry-1", true, true, 7),
                line("entry-2", case.listed, case.counted, case.version),
            ],
            pools: Vec::new(),
        };
        let unconfirmed = status.unconfirmed(ConfigVersion(7));
        assert_eq!(unconfirmed.len(), case.missing, "{}: {unconfirmed:?}", case.name);
    }
}
