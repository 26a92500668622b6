//! Chooses the hosts that are asked for a tunnel.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dillspool_moment::Moment;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::tunnel::TunnelPeer;

/// Number of hosts that are asked for one connection.
pub const MAX_PEERS_TRIED: usize = 3;
/// Time for which a host that could not help is not asked again.
const PEER_BACKOFF: Duration = Duration::from_secs(1);

/// Hosts that could not help lately.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    unavailable_until: HashMap<SocketAddr, Moment>,
}

impl TunnelPeers {
    /// Chooses hosts in the order in which they are asked: those of this host's failure domain first, since traffic
    /// between domains is billed, and otherwise at random, which spreads the load of a partitioned domain.
    pub fn choose(
        &mut self,
        mut peers: Vec<TunnelPeer>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        self.unavailable_until.retain(|_address, until| *until > now);
        peers.retain(|peer| !self.unavailable_until.contains_key(&peer.address));
        peers.shuffle(rng);
        peers.sort_by_key(|peer| !peer.is_near);
        peers.into_iter().take(MAX_PEERS_TRIED).map(|peer| peer.address).collect()
    }

    /// Records that a host could not help.
    pub fn record_unavailable(&mut self, address: SocketAddr, now: Moment) {
        self.unavailable_until.insert(address, now + PEER_BACKOFF);
    }
}
