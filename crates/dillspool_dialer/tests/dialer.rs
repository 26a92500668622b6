//! Which failures of connections make a dialer find this host partitioned.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dillspool_dialer::{BackendDialer, DialerFleet, TunnelError, dial_backends};
use dillspool_io::{HostClock, LinkMode, MemoryNet, NetListener};
use dillspool_routing::{BackendEntry, BackendState, DirectoryView, SoftwareVersion};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const BACKENDS: u8 = 6;

fn node(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn entry(number: u8) -> Arc<BackendEntry> {
    Arc::new(BackendEntry {
        id: format!("i-{number}").into(),
        start: None,
        software: SoftwareVersion::default(),
        service: "service".into(),
        address: SocketAddr::new(node(number), 9000),
        failure_domain: format!("domain-{}", number % 3).into(),
        state: BackendState::Ready,
        stage: None,
        slots: None,
    })
}

/// A host, node 100, before backend servers 1 to 6.
struct DialerFixture {
    net: MemoryNet,
    dialer: BackendDialer,
    _listeners: Vec<NetListener>,
    _directory: watch::Sender<Arc<DirectoryView>>,
}

impl DialerFixture {
    async fn start() -> Self {
        let net = MemoryNet::new();
        let mut listeners = Vec::new();
        let mut entries = BTreeMap::new();
        for number in 1..=BACKENDS {
            let entry = entry(number);
            let listener = net.stack(node(number)).listen(entry.address).await;
            listeners.push(listener.expect("a free address"));
            entries.insert(Arc::clone(&entry.id), entry);
        }
        let view = DirectoryView { entries, ..DirectoryView::default() };
        let (sender, directory) = watch::channel(Arc::new(view));
        let dialer = BackendDialer::new(&net.stack(node(100)), &HostClock::steady());
        let fleet = DialerFleet {
            directory,
            peers: Arc::new(Vec::new),
            open_tunnel: Arc::new(|_peer, _entry| {
                Box::pin(async { Err(TunnelError::PeerUnavailable("none".to_owned())) })
            }),
        };
        tokio::spawn(dial_backends(dialer.clone(), fleet, CancellationToken::new()));
        tokio::task::yield_now().await;
        Self { net, dialer, _listeners: listeners, _directory: sender }
    }

    fn set_links(&self, backends: impl Iterator<Item = u8>, mode: LinkMode) {
        for number in backends {
            self.net.set_link(node(100), node(number), mode);
        }
    }
}

struct FailureCase {
    /// Backend servers 1 to this one are out of reach.
    unreachable: u8,
    mode: LinkMode,
    is_partitioned: bool,
}

const CASES: [FailureCase; 6] = [
    FailureCase { unreachable: 1, mode: LinkMode::Cut, is_partitioned: false },
    FailureCase { unreachable: 1, mode: LinkMode::Frozen, is_partitioned: false },
    FailureCase { unreachable: 2, mode: LinkMode::Frozen, is_partitioned: false },
    FailureCase { unreachable: BACKENDS, mode: LinkMode::Cut, is_partitioned: true },
    FailureCase { unreachable: BACKENDS, mode: LinkMode::Frozen, is_partitioned: true },
    FailureCase { unreachable: BACKENDS, mode: LinkMode::Closed, is_partitioned: true },
];

#[tokio::test(start_paused = true)]
async fn a_host_is_partitioned_only_from_all_backend_servers() {
    for case in CASES {
        let name = format!("{} unreachable, {:?}", case.unreachable, case.mode);
        let fixture = DialerFixture::start().await;
        fixture.set_links(1..=case.unreachable, case.mode);
        let connected = fixture.dialer.connect(&entry(1)).await;
        assert!(connected.is_err(), "{name}");
        let confirmed = fixture.dialer.confirm_partitioned(&"service".into()).await;
        assert_eq!(confirmed, case.is_partitioned, "{name}");
        // A server that is silent for a second goes on.
        tokio::time::sleep(Duration::from_secs(1)).await;
        fixture.set_links(1..=case.unreachable, LinkMode::Open);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(!fixture.dialer.is_partitioned("service"), "{name}");
        assert!(fixture.dialer.connect(&entry(1)).await.is_ok(), "{name}");
    }
}
