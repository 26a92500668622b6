//! Polls the platform's host list and maintains the connections that it requires.

use std::time::Duration;

use dillspool_peer::{HostView, PeerLinks};
use dillspool_platform::{HostList, HostListQuery};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio_util::sync::CancellationToken;

use crate::scheduler_registry::SchedulerRegistry;

/// Interval between reads of the list; a leaving backend server is noticed within 3 s.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum jitter added to the interval.
const LIST_JITTER: Duration = Duration::from_millis(250);

/// Polls the list until `cancel`; while it is unreachable, the last one read stays in use.
pub(crate) async fn follow_hosts(
    host_list: HostList,
    view: HostView,
    links: PeerLinks,
    schedulers: SchedulerRegistry,
    seed: u64,
    cancel: CancellationToken,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut query = HostListQuery::default();
    loop {
        match (host_list.list)(query).await {
            Ok(reply) => {
                query.known = reply.version;
                view.update_host_list(reply.entries);
            }
            Err(error) => log::debug!("event=host_list_not_read error=\"{error}\""),
        }
        links.set_targets(&view.dial_targets(&schedulers.names()), &cancel);
        schedulers.set_leaving(&|backend| view.is_leaving(backend));
        let jitter = random.random_range(Duration::ZERO..LIST_JITTER);
        tokio::select! {
            () = tokio::time::sleep(LIST_INTERVAL + jitter) => {}
            () = cancel.cancelled() => return,
        }
    }
}
