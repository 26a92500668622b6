//! Follows the platform's host list and keeps the connections that it asks for.

use std::time::Duration;

use dillspool_peer::{HostView, PeerLinks};
use dillspool_platform::{HostList, HostListQuery};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio_util::sync::CancellationToken;

use crate::directory::PoolDirectory;

/// Time between two reads of the list; a leaving backend server is noticed within 3 s.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Random part of the interval.
const LIST_JITTER: Duration = Duration::from_millis(250);

/// Reads the list until `cancel`; while it does not answer, the last one stays in use.
pub(crate) async fn follow_hosts(
    list: HostList,
    view: HostView,
    links: PeerLinks,
    directory: PoolDirectory,
    seed: u64,
    cancel: CancellationToken,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut known = HostListQuery::default();
    loop {
        match (list.list)(known).await {
            Ok(reply) => {
                known.known = reply.version;
                view.update_host_list(reply.entries);
            }
            Err(error) => log::debug!("event=host_list_not_read error=\"{error}\""),
        }
        links.set_targets(&view.dial_targets(&directory.names()), &cancel);
        directory.set_leaving(&|backend| view.is_leaving(backend));
        let jitter = random.random_range(Duration::ZERO..LIST_JITTER);
        tokio::select! {
            () = tokio::time::sleep(LIST_INTERVAL + jitter) => {}
            () = cancel.cancelled() => return,
        }
    }
}
