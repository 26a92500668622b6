//! What a host believes of the store, and the tasks that keep it.

use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{HostClock, NetListener, NetStack, StallDetector};
use dillspool_routing::{DirectoryView, RoutingConfig};
use dillspool_schema::Name;
use dillspool_watch::{
    FollowRole, FollowSettings, RelayService, RowClassifier, SharedReplica, StoreReachability,
    follow_table, relay_from_peers, serve_relay,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::config_tracker::track_config;
use crate::directory_tracker::{DirectorySettings, DirectorySources, track_directory};
use crate::fleet_duties::HostCount;
use crate::peer_list::PeerList;
use crate::settings::RouterConfig;
use crate::site::SiteProtocol;
use crate::unreadable_rows::UnreadableRows;

/// Time for which hosts wait for the seeds at the first start of the whole fleet.
const SEEDS_FIRST: Duration = Duration::from_secs(3);
/// Time for which a host that starts again waits for the sources of its failure domain, once the rows of hosts
/// tell it that it has some, and where the store has forgotten what changed: roots and sources that started or
/// heard of it at the same moment know the tables by then.
const SOURCES_FIRST: Duration = Duration::from_millis(1500);
/// Time for which a host that knows the directory asks for its changes only when the store comes back: two silent
/// questions of a root, and the two steps by which its word gets here.
const CHANGES_FIRST: Duration = Duration::from_secs(4);
/// How long a question for changes among the rows of hosts is held open.
const HOSTS_WAIT: Duration = Duration::from_secs(8);
/// Age up to which the rows of hosts are relayed and spare a question: two questions of a root, one
/// of which may be lost.
const HOSTS_FRESH: Duration = HOSTS_WAIT.saturating_mul(2);

/// What the host believes, and the tasks that keep it.
pub(crate) struct Beliefs {
    pub(crate) config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    pub(crate) directory: watch::Receiver<Arc<DirectoryView>>,
    pub(crate) reach: watch::Receiver<StoreReachability>,
    /// The operator's rows.
    pub(crate) operator: SharedReplica,
    /// Rows of the product's own, those of hosts among them.
    pub(crate) hosts: SharedReplica,
    pub(crate) backends: SharedReplica,
    pub(crate) unreadable: UnreadableRows,
    pub(crate) peers: PeerList,
    pub(crate) role: watch::Sender<FollowRole>,
}

impl Beliefs {
    pub(crate) fn start(
        config: &RouterConfig,
        stack: &NetStack,
        site: &SiteProtocol,
        clock: &HostClock,
        (peers_listener, host_count): (NetListener, HostCount),
        cancel: &CancellationToken,
    ) -> Self {
        let awake = StallDetector::start(clock.clone(), cancel.clone());
        let operator = SharedReplica::new(Name::clone(&site.config_row.0), awake.clone());
        let backends = SharedReplica::new(Name::clone(&site.directory_table), awake.clone())
            .with_classifier(service_classes(site));
        let reach = watch::Sender::new(StoreReachability::unknown());
        let hosts =
            SharedReplica::new(Name::clone(&site.own_table), awake).with_max_age(HOSTS_FRESH);
        let settings = FollowSettings {
            first_poll_delay: first_question_after(config),
            ..FollowSettings::new(config.watch_wait, config.change_limit)
        };
        // Rows of hosts change with the fleet only, and nothing must be in force soon.
        let settings = FollowSettings { is_probe: false, ..settings };
        // This host says that a key or route is unknown only while it knows the newest configuration: an
        // answer comes before the last one is too old for that, also where nothing changes.
        let wait = settings.long_poll_wait.min(settings.relay_freshness);
        let probing = FollowSettings { is_probe: true, long_poll_wait: wait, ..settings.clone() };
        // They tell a host that starts again where it takes the other tables from.
        let hosts_first_after =
            if config.first_start { settings.first_poll_delay } else { Duration::ZERO };
        let slow = FollowSettings {
            first_poll_delay: hosts_first_after,
            long_poll_wait: HOSTS_WAIT,
            source_long_poll_wait: HOSTS_WAIT,
            relay_freshness: HOSTS_FRESH,
            ..settings.clone()
        };
        let waits = !settings.first_poll_delay.is_zero();
        let first_role = if waits { FollowRole::Relayed } else { FollowRole::Source };
        let role = watch::Sender::new(first_role);
        // The largest of the tables; the configuration tells meanwhile that the store is back.
        let large = FollowSettings {
            snapshot_delay: SOURCES_FIRST,
            changes_only_period: CHANGES_FIRST,
            ..settings.clone()
        };
        for (belief, settings) in [(&operator, &probing), (&backends, &large), (&hosts, &slow)] {
            tokio::spawn(follow_table(
                site.watch.clone(),
                belief.clone(),
                reach.clone(),
                settings.clone(),
                role.subscribe(),
                cancel.clone(),
            ));
        }
        let all = vec![operator.clone(), backends.clone(), hosts.clone()];
        let reached = reach.subscribe();
        tokio::spawn(serve_relay(
            peers_listener,
            RelayService::new(all.clone(), reached.clone(), config.change_limit)
                .with_host_count(move || host_count.get()),
            cancel.clone(),
        ));
        let peers = PeerList::new(config);
        let listed = peers.clone();
        let asked = move || listed.relay_peers();
        let relay = relay_from_peers(stack.clone(), asked, all, reach, cancel.clone());
        tokio::spawn(relay);
        let (config_sender, config_receiver) = watch::channel(None);
        let unreadable = UnreadableRows::default();
        let operator_rows = operator.subscribe();
        let told = unreadable.clone();
        tokio::spawn(track_config(site.clone(), operator_rows, told, config_sender));
        let (view_sender, directory) = watch::channel(Arc::default());
        tokio::spawn(track_directory(
            site.clone(),
            DirectorySettings {
                lapse_grace: config.lapse_grace,
                own_addresses: config.listened_addresses().to_vec(),
            },
            unreadable.clone(),
            DirectorySources {
                backends: backends.subscribe(),
                operator: operator.subscribe(),
                reachability: reached.clone(),
                leaving: site.leaving.subscribe(),
            },
            view_sender,
        ));
        Self {
            config: config_receiver,
            directory,
            reach: reached,
            operator,
            hosts,
            backends,
            unreadable,
            peers,
            role,
        }
    }
}

/// How long this host waits for peers before it asks the store for the configuration and the backend servers: at
/// the first start of the whole fleet the seeds ask at once, and the others take the tables from them; a host
/// that starts again looks who its sources are, since all may have started again.
fn first_question_after(config: &RouterConfig) -> Duration {
    if !config.first_start {
        return SOURCES_FIRST;
    }
    if config.seeds.contains(&config.peers) { Duration::ZERO } else { SEEDS_FIRST }
}

/// Backend servers are classed by their services: a host needs some of each.
fn service_classes(site: &SiteProtocol) -> RowClassifier {
    let decode = site.decode_backend;
    RowClassifier::new(move |id, text| decode(id, text).ok().map(|entry| entry.service))
}
