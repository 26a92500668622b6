//! Which way connections take, and which hosts are asked for tunnels.

use std::net::SocketAddr;
use std::time::Duration;

use dillspool_dialer::{
    BackendPath, LinkHealth, MAX_PEERS_TRIED, ProbeTally, TunnelPeer, TunnelPeers,
};
use dillspool_moment::Moment;
use dillspool_routing::BackendInstance;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn at(millis: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(millis))
}

fn backend(id: &str) -> BackendInstance {
    BackendInstance { id: id.into(), start: None }
}

/// What was found at time 0 about backend server `i-1`.
#[derive(Clone, Copy, Debug)]
enum LinkFinding {
    Nothing,
    /// Another host connects to it.
    Detour,
    /// No other host connects to it.
    Outage,
    /// No backend server of the service could be probed.
    Partition,
    /// Another host connected, then this one did.
    DetourThenDirect,
}

struct PathCase {
    finding: LinkFinding,
    /// Paths to `i-1` 0.5 s and 15 s later.
    paths: [BackendPath; 2],
    /// Path to another backend server of the service 0.5 s later.
    other: BackendPath,
}

const CASES: [PathCase; 5] = [
    PathCase {
        finding: LinkFinding::Nothing,
        paths: [BackendPath::Direct, BackendPath::Direct],
        other: BackendPath::Direct,
    },
    PathCase {
        finding: LinkFinding::Detour,
        paths: [BackendPath::Detour, BackendPath::Direct],
        other: BackendPath::Direct,
    },
    PathCase {
        finding: LinkFinding::Outage,
        paths: [BackendPath::DirectOnly, BackendPath::Direct],
        other: BackendPath::Direct,
    },
    PathCase {
        finding: LinkFinding::Partition,
        paths: [BackendPath::DetourOnly, BackendPath::DetourOnly],
        other: BackendPath::DetourOnly,
    },
    PathCase {
        finding: LinkFinding::DetourThenDirect,
        paths: [BackendPath::Direct, BackendPath::Direct],
        other: BackendPath::Direct,
    },
];

#[test]
fn a_detour_lasts_until_the_direct_link_is_due_again() {
    for case in CASES {
        let mut health = LinkHealth::default();
        let service = "service".into();
        match case.finding {
            LinkFinding::Nothing => {}
            LinkFinding::Detour => health.record_detour(backend("i-1"), at(0)),
            LinkFinding::Outage => health.record_outage(backend("i-1"), at(0)),
            LinkFinding::Partition => {
                let tally = ProbeTally { started: at(0), probed: 4, is_any_reachable: false };
                health.record_verification(&service, tally, at(0));
            }
            LinkFinding::DetourThenDirect => {
                health.record_detour(backend("i-1"), at(0));
                health.record_connected(&service, &backend("i-1"), at(1));
            }
        }
        let paths = [500, 15_000].map(|now| health.path(&service, &backend("i-1"), at(now)));
        assert_eq!(paths, case.paths, "{:?}", case.finding);
        let other = health.path(&service, &backend("i-2"), at(500));
        assert_eq!(other, case.other, "{:?}", case.finding);
    }
}

fn peer(number: u8, is_near: bool) -> TunnelPeer {
    TunnelPeer { address: SocketAddr::new([10, 0, 0, number].into(), 7661), is_near }
}

#[test]
fn hosts_of_the_own_failure_domain_are_asked_first() {
    let all: Vec<_> = (0..8).map(|number| peer(number, number < 2)).collect();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut peers = TunnelPeers::default();
    for _attempt in 0..20 {
        let chosen = peers.choose(all.clone(), at(0), &mut rng);
        let is_near =
            |address: &SocketAddr| all.iter().any(|it| it.address == *address && it.is_near);
        let near: Vec<_> = chosen.iter().map(is_near).collect();
        assert_eq!(near, [true, true, false], "{chosen:?}");
        assert_eq!(chosen.len(), MAX_PEERS_TRIED);
    }
}

#[test]
fn a_host_that_could_not_help_is_not_asked_for_a_second() {
    let all = vec![peer(1, true), peer(2, false)];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut peers = TunnelPeers::default();
    peers.record_unavailable(peer(1, true).address, at(0));
    assert_eq!(peers.choose(all.clone(), at(900), &mut rng), [peer(2, false).address]);
    assert_eq!(peers.choose(all, at(1100), &mut rng).len(), 2);
}
