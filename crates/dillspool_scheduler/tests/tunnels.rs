//! Tunnels to backend servers: whole bytes in both directions, and how each end is told.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::AdmissionPolicy;
use dillspool_capacity::DemandMeter;
use dillspool_dialer::{BackendDialer, DialerFleet, TunnelError, dial_backends};
use dillspool_io::{HostClock, LinkMode, MemoryNet, NetStream};
use dillspool_routing::{BackendEntry, BackendState, DirectoryView, SoftwareVersion};
use dillspool_scheduler::{
    BusHandlers, CallScheduler, CallSchedulerSettings, FleetBus, PlacementScheduler, RateLimiter,
    ScheduleServices, serve_schedule, tunnel_opener,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Longer than any message of a tunnel, and than the buffers on its way.
const LONG_BYTES: usize = 300_000;

fn node(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Where host 2 serves tunnels.
fn peer() -> SocketAddr {
    SocketAddr::new(node(2), 7661)
}

fn entry(number: u8, state: BackendState) -> Arc<BackendEntry> {
    Arc::new(BackendEntry {
        id: format!("i-{number}").into(),
        start: None,
        software: SoftwareVersion::default(),
        service: "service".into(),
        address: SocketAddr::new(node(number), 9000),
        failure_domain: "domain".into(),
        state,
        stage: None,
        slots: None,
    })
}

/// Host 1 asks host 2 for tunnels to backend servers 11 (ready), 12 (ready, nobody listens) and 13 (draining).
struct TunnelFixture {
    net: MemoryNet,
    dialer: BackendDialer,
    _directory: watch::Sender<Arc<DirectoryView>>,
}

impl TunnelFixture {
    async fn start() -> Self {
        let net = MemoryNet::new();
        let stack = net.stack(node(2));
        let clock = HostClock::steady();
        let entries = [
            entry(11, BackendState::Ready),
            entry(12, BackendState::Ready),
            entry(13, BackendState::Draining),
        ];
        let entries: BTreeMap<_, _> =
            entries.into_iter().map(|entry| (Arc::clone(&entry.id), entry)).collect();
        let view = DirectoryView { entries, ..DirectoryView::default() };
        let (sender, directory) = watch::channel(Arc::new(view));
        let dialer = BackendDialer::new(&stack, &clock);
        let fleet = DialerFleet {
            directory,
            peers: Arc::new(Vec::new),
            open_tunnel: tunnel_opener(&stack, &"host-2".into()),
        };
        tokio::spawn(dial_backends(dialer.clone(), fleet, CancellationToken::new()));
        let services = ScheduleServices {
            pools: PlacementScheduler::new(
                AdmissionPolicy::default(),
                1,
                DemandMeter::default(),
                clock.clone(),
            ),
            limits: RateLimiter::for_backend_servers(1, clock.clone()),
            backend_limits: RateLimiter::for_backend_servers(1, clock.clone()),
            calls: CallScheduler::new(CallSchedulerSettings::default(), 1, clock.clone()),
            bus: FleetBus::new(BusHandlers::none(), clock),
            dialer: dialer.clone(),
        };
        let listener = stack.listen(peer()).await.expect("a free address");
        tokio::spawn(serve_schedule(listener, services, CancellationToken::new()));
        Self { net, dialer, _directory: sender }
    }

    async fn open(&self, backend: u8) -> Result<NetStream, TunnelError> {
        let open = tunnel_opener(&self.net.stack(node(1)), &"host-1".into());
        open(peer(), entry(backend, BackendState::Ready)).await
    }

    /// Opens a tunnel to backend server 11; returns both ends.
    async fn open_pair(&self) -> (NetStream, NetStream) {
        let listening = self.net.stack(node(11)).listen(SocketAddr::new(node(11), 9000)).await;
        let mut listener = listening.expect("a free address");
        let (opened, accepted) = tokio::join!(self.open(11), listener.accept());
        (opened.expect("a tunnel"), accepted.expect("a connection"))
    }
}

#[tokio::test(start_paused = true)]
async fn a_tunnel_carries_all_bytes_in_both_directions() {
    let fixture = TunnelFixture::start().await;
    let (mut origin, mut backend) = fixture.open_pair().await;
    let bytes: Vec<u8> =
        (0..LONG_BYTES).map(|at| u8::try_from(at % 251).expect("a byte")).collect();
    let sending = async {
        origin.write_all(&bytes).await.expect("sent");
        origin.flush().await.expect("flushed");
        let mut received = vec![0; LONG_BYTES];
        origin.read_exact(&mut received).await.expect("received");
        received
    };
    let echoing = async {
        let mut received = vec![0; LONG_BYTES];
        backend.read_exact(&mut received).await.expect("received");
        backend.write_all(&received).await.expect("sent");
    };
    let (received, ()) = tokio::join!(sending, echoing);
    assert!(received == bytes, "the bytes differ");
}

/// How a backend server ends its response.
#[derive(Clone, Copy, Debug)]
enum ResponseEnd {
    Closed,
    /// The link to the backend server, or the one between the hosts, is cut.
    Reset(u8, u8),
}

#[tokio::test(start_paused = true)]
async fn only_a_closed_connection_looks_like_the_end_of_a_response() {
    for end in [ResponseEnd::Closed, ResponseEnd::Reset(2, 11), ResponseEnd::Reset(1, 2)] {
        let fixture = TunnelFixture::start().await;
        let (mut origin, mut backend) = fixture.open_pair().await;
        backend.write_all(b"half a response").await.expect("sent");
        let mut half = [0; 15];
        origin.read_exact(&mut half).await.expect("received");
        match end {
            ResponseEnd::Closed => drop(backend),
            ResponseEnd::Reset(one, other) => {
                fixture.net.set_link(node(one), node(other), LinkMode::Cut);
            }
        }
        let last = origin.read(&mut half).await;
        match end {
            ResponseEnd::Closed => assert!(matches!(last, Ok(0)), "{end:?}: {last:?}"),
            ResponseEnd::Reset(..) => assert!(last.is_err(), "{end:?}: {last:?}"),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_ends_the_connection_to_the_backend_server() {
    let fixture = TunnelFixture::start().await;
    let (origin, mut backend) = fixture.open_pair().await;
    drop(origin);
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(Duration::from_millis(100), backend.read_to_end(&mut rest));
    assert!(ended.await.is_ok(), "the backend server still has its connection");
}

struct RefusalCase {
    name: &'static str,
    backend: u8,
    /// Links of host 2 to backend servers.
    links: LinkMode,
    /// `None` for a host that cannot help.
    expected: Option<TunnelError>,
}

const REFUSALS: [RefusalCase; 5] = [
    RefusalCase {
        name: "nobody listens at the backend server",
        backend: 12,
        links: LinkMode::Open,
        expected: Some(TunnelError::BackendRefused),
    },
    RefusalCase { name: "it is draining", backend: 13, links: LinkMode::Open, expected: None },
    RefusalCase { name: "it is not known", backend: 14, links: LinkMode::Open, expected: None },
    RefusalCase {
        name: "the other host is partitioned",
        backend: 11,
        links: LinkMode::Cut,
        expected: None,
    },
    RefusalCase { name: "its links hang", backend: 11, links: LinkMode::Frozen, expected: None },
];

#[tokio::test(start_paused = true)]
async fn a_host_that_cannot_connect_says_whether_the_backend_server_is_at_fault() {
    for case in REFUSALS {
        let fixture = TunnelFixture::start().await;
        let listening = fixture.net.stack(node(11)).listen(SocketAddr::new(node(11), 9000)).await;
        let _listener = listening.expect("a free address");
        for backend in [11, 12, 13] {
            fixture.net.set_link(node(2), node(backend), case.links);
        }
        let error = fixture.open(case.backend).await.err();
        match case.expected {
            Some(expected) => assert_eq!(error, Some(expected), "{}", case.name),
            None => assert!(
                matches!(error, Some(TunnelError::PeerUnavailable(_))),
                "{}: {error:?}",
                case.name
            ),
        }
        assert_eq!(fixture.dialer.tunnel_counts().served, 0, "{}", case.name);
    }
}
