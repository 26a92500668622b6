//! Tests of the peer protocol: decoding, handshake, rendezvous ranking and liveness.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dillspool_cases::fixed_cases;
use dillspool_io::{LinkMode, MemoryNet};
use dillspool_peer::{
    HostView, LinkSettings, OwnerStatus, PeerHandlers, PeerIdentity, PeerLinks, decode_message,
    encode_message, rank_hosts,
};
use dillspool_platform::{HostEntry, HostKind, HostState};
use dillspool_schema::messages::{HeartbeatMessage, PeerMessage};
use dillspool_schema::{Name, Secret, StreamId};
use proptest::prelude::*;
use tokio_util::sync::CancellationToken;

proptest! {
    #![proptest_config(fixed_cases(2048))]

    #[test]
    fn any_bytes_are_a_message_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _refused = decode_message(&bytes);
    }

    #[test]
    fn a_damaged_message_is_a_message_or_refused(at in 0_usize..20, byte in any::<u8>()) {
        let beat = PeerMessage::Beat(HeartbeatMessage { config: 7, draining: true });
        let mut bytes = encode_message(&beat).expect("it can be encoded").to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _refused = decode_message(&bytes);
    }

    #[test]
    fn a_stream_id_round_trips_as_text(host in "[a-z0-9-]{1,20}", incarnation: u64, sequence: u64) {
        let id = StreamId { host: host.into(), incarnation, sequence };
        prop_assert_eq!(id.to_string().parse::<StreamId>(), Ok(id));
    }

    #[test]
    fn any_text_is_a_stream_id_or_refused(text in ".{0,60}") {
        let _refused = text.parse::<StreamId>();
    }
}

#[test]
fn a_field_of_a_newer_version_is_ignored() {
    // {"beat": {"config": 7, "draining": false, "newer": 1}} in CBOR.
    let mut bytes = vec![0xa1, 0x64];
    bytes.extend(b"beat");
    bytes.push(0xa3);
    bytes.push(0x66);
    bytes.extend(b"config");
    bytes.push(0x07);
    bytes.push(0x68);
    bytes.extend(b"draining");
    bytes.push(0xf4);
    bytes.push(0x65);
    bytes.extend(b"newer");
    bytes.push(0x01);
    let expected = PeerMessage::Beat(HeartbeatMessage { config: 7, draining: false });
    assert_eq!(decode_message(&bytes).expect("it is a message"), expected);
}

#[test]
fn removing_a_host_moves_only_its_own_pools() {
    let hosts: Vec<Name> = (0..8).map(|number| format!("entry-{number}").into()).collect();
    let first = |pool: usize, hosts: &[Name]| {
        Name::clone(&rank_hosts(&format!("pool-{pool}"), hosts.iter())[0])
    };
    let before: Vec<Name> = (0..200).map(|pool| first(pool, &hosts)).collect();
    let rest = &hosts[1..];
    for (pool, scheduler) in before.iter().enumerate() {
        let after = first(pool, rest);
        assert!(*scheduler == hosts[0] || *scheduler == after);
    }
    let held = |host: &Name| before.iter().filter(|it| *it == host).count();
    assert!(hosts.iter().all(|host| (10..45).contains(&held(host))), "pools are spread over hosts");
}

const FIRST: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const SECOND: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));

struct TestPeer {
    view: HostView,
    links: PeerLinks,
    address: SocketAddr,
}

fn no_op_handlers() -> PeerHandlers {
    PeerHandlers {
        reserve: Arc::new(|_message| Box::pin(async { None })),
        release: Arc::new(|_message| {}),
        report: Arc::new(|_host, _incarnation, _report| {}),
        placements: Arc::new(Vec::new),
        heartbeat: Arc::new(|| HeartbeatMessage { config: 0, draining: false }),
        config: Arc::new(|_query| None),
        apply_config: Arc::new(|_transfer| {}),
    }
}

async fn start_peer(net: &MemoryNet, ip: IpAddr, host: &str, key: &str) -> TestPeer {
    let stack = net.stack(ip);
    let listener = stack.listen(SocketAddr::new(ip, 0)).await.expect("the port is free");
    let address = listener.local_addr();
    let view = HostView::new(host.into(), "a".into(), 1);
    let identity = PeerIdentity { host: host.into(), incarnation: 1, key: Secret::new(key) };
    let settings = LinkSettings::default();
    let links = PeerLinks::new(stack, identity, no_op_handlers(), settings, view.clone());
    tokio::spawn(links.clone().serve(listener, CancellationToken::new()));
    TestPeer { view, links, address }
}

fn entry(host: &str, address: SocketAddr) -> HostEntry {
    HostEntry {
        name: host.into(),
        kind: HostKind::Host,
        state: HostState::Live,
        failure_domain: "a".into(),
        address: address.to_string().into(),
    }
}

/// Handshake of the second host.
struct HandshakeRow {
    name: &'static str,
    key: &'static str,
    /// Name under which the first host has it on its list.
    listed: &'static str,
    linked: bool,
}

const HANDSHAKES: [HandshakeRow; 3] = [
    HandshakeRow { name: "the same key", key: "shared", listed: "second", linked: true },
    HandshakeRow { name: "another key", key: "stolen", listed: "second", linked: false },
    HandshakeRow {
        name: "another host at the address",
        key: "shared",
        listed: "third",
        linked: false,
    },
];

#[tokio::test(start_paused = true)]
async fn only_a_host_that_knows_the_key_is_linked() {
    for row in &HANDSHAKES {
        let net = MemoryNet::new();
        let first = start_peer(&net, FIRST, "first", "shared").await;
        let second = start_peer(&net, SECOND, "second", row.key).await;
        first.view.update_host_list(Some(vec![entry(row.listed, second.address)]));
        let targets = first.view.dial_targets(&[]);
        first.links.set_targets(&targets, &CancellationToken::new());
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(!first.view.linked_hosts().is_empty(), row.linked, "{}", row.name);
        let heard = second.view.peers().contains_key("first");
        assert_eq!(heard, row.linked, "{}: the acceptor checks too", row.name);
    }
}

#[tokio::test(start_paused = true)]
async fn the_lease_of_a_silent_host_expires_until_it_is_heard_again() {
    let net = MemoryNet::new();
    let first = start_peer(&net, FIRST, "first", "shared").await;
    let second = start_peer(&net, SECOND, "second", "shared").await;
    first.view.update_host_list(Some(vec![entry("second", second.address)]));
    let targets = first.view.dial_targets(&[]);
    first.links.set_targets(&targets, &CancellationToken::new());
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(first.view.owner_status("second", 1), OwnerStatus::Alive);
    assert_eq!(first.view.owner_status("second", 0), OwnerStatus::Dead, "an older incarnation");
    net.set_link(FIRST, SECOND, LinkMode::Frozen);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(first.view.owner_status("second", 1), OwnerStatus::LeaseExpired);
    net.set_link(FIRST, SECOND, LinkMode::Open);
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(first.view.owner_status("second", 1), OwnerStatus::Alive);
}
