//! Gossip updates on the links of a pool: each host sends them to the scheduler, which forwards
//! them to all hosts. They report requests under which backend servers crashed, and what backend
//! servers announce in their responses: how many requests they accept, and that they are leaving.
//!
//! Store rows carry suspects and leaving servers as well. While the store is unreachable, however,
//! each host would have to see three crashes, or get a response, by itself without these updates.
//! See `docs/design/suspects.md` and `docs/design/notices.md`. Request rates change within seconds
//! and are only sent here; see `docs/design/limits.md`.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_leaving::LeavingUpdate;
use dillspool_moment::Moment;
use dillspool_origins::{OriginSettings, OriginTracker};
use dillspool_routing::{BackendInstance, BackendStart};
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleLeaving, ScheduleMessage, ScheduleSuspect, ScheduleThrottle,
};
use dillspool_suspects::{BackendCrash, SuspectUpdate};
use dillspool_throttle::{RequestRate, ThrottleUpdate};
use tokio::sync::broadcast;

use crate::origin_relay::OriginRelay;
use crate::wire::millis;

/// Updates queued for one host's link. A host that falls behind learns of suspects from the store,
/// and of limits from the responses it gets.
const UPDATE_QUEUE_LEN: usize = 256;
/// Updates of each kind that host and scheduler send each other when a link opens.
const INITIAL_UPDATES: usize = 64;
const MAX_BACKEND_NAME_BYTES: usize = 200;

type ApplyFn<T> = dyn Fn(&T) -> bool + Send + Sync;
type ForwardFn = dyn Fn(&SuspectUpdate) -> Vec<SuspectUpdate> + Send + Sync;
type NewestFn<T> = dyn Fn(usize) -> Vec<T> + Send + Sync;

/// Callbacks for updates on suspects.
#[derive(Clone)]
pub struct SuspectHandlers {
    /// Applies an update; returns whether it was new.
    pub apply_update: Arc<ApplyFn<SuspectUpdate>>,
    /// Returns the updates that other hosts need once this update has been applied.
    pub updates_to_forward: Arc<ForwardFn>,
    /// Returns up to this many of the newest known updates.
    pub newest_updates: Arc<NewestFn<SuspectUpdate>>,
    /// Like `newest_updates`, limited to requests with more than one crash.
    pub newest_repeated: Arc<NewestFn<SuspectUpdate>>,
}

impl fmt::Debug for SuspectHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SuspectHandlers")
    }
}

/// Callbacks for updates on what backend servers announce.
#[derive(Clone)]
pub struct NoticeHandlers<T> {
    /// Applies an update; returns whether it was new.
    pub apply_update: Arc<ApplyFn<T>>,
    /// Returns up to this many of the newest known updates.
    pub newest_updates: Arc<NewestFn<T>>,
}

impl<T> NoticeHandlers<T> {
    /// Callbacks that ignore all updates and know none.
    pub fn none() -> Self {
        Self {
            apply_update: Arc::new(|_update| false),
            newest_updates: Arc::new(|_max_updates| Vec::new()),
        }
    }
}

impl<T> fmt::Debug for NoticeHandlers<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NoticeHandlers")
    }
}

/// Callbacks for each kind of update.
#[derive(Clone, Debug)]
pub struct BusHandlers {
    /// Updates on suspects.
    pub suspects: SuspectHandlers,
    /// Updates on request rates that backend servers advertise.
    pub throttle: NoticeHandlers<ThrottleUpdate>,
    /// Updates on backend servers that are leaving.
    pub leaving: NoticeHandlers<LeavingUpdate>,
    /// The software versions that began streams.
    pub origins: OriginTracker,
}

impl BusHandlers {
    /// Callbacks that ignore all updates and know none.
    pub fn none() -> Self {
        let suspects = SuspectHandlers {
            apply_update: Arc::new(|_update| false),
            updates_to_forward: Arc::new(|_update| Vec::new()),
            newest_updates: Arc::new(|_max_updates| Vec::new()),
            newest_repeated: Arc::new(|_max_updates| Vec::new()),
        };
        let origins = OriginTracker::new(OriginSettings::new_fleet(HostClock::steady()));
        let (throttle, leaving) = (NoticeHandlers::none(), NoticeHandlers::none());
        Self { suspects, throttle, leaving, origins }
    }
}

/// An update that hosts send each other.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetUpdate {
    /// A backend server crashed while running a request, or a copy of the request succeeded.
    Suspect(SuspectUpdate),
    /// A backend server advertises how many requests it accepts.
    Throttle(ThrottleUpdate),
    /// A backend server announces that it is leaving.
    Leaving(LeavingUpdate),
}

/// Carries updates between this host and the hosts that it is linked with.
#[derive(Clone)]
pub struct FleetBus {
    handlers: Arc<BusHandlers>,
    pub(crate) origins: OriginRelay,
    clock: HostClock,
    /// Updates for the served hosts, each with the host that sent it.
    served: broadcast::Sender<SourcedUpdate>,
    /// Link numbers by served host.
    links: Arc<Mutex<HashMap<Name, BTreeSet<u64>>>>,
}

/// An update with the host that sent it; `None` for this host itself.
type SourcedUpdate = (Option<Name>, FleetUpdate);

impl fmt::Debug for FleetBus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetBus")
    }
}

impl FleetBus {
    /// Creates a bus with these callbacks.
    pub fn new(handlers: BusHandlers, clock: HostClock) -> Self {
        let (served, _receiver) = broadcast::channel(UPDATE_QUEUE_LEN);
        let origins = OriginRelay::new(handlers.origins.clone());
        Self { handlers: Arc::new(handlers), origins, clock, served, links: Arc::default() }
    }

    /// Registers a link of a served host.
    pub(crate) fn serve_link(&self, host: &Name, number: u64) -> ServedLink {
        self.with_links(|links| {
            links.entry(Name::clone(host)).or_default().insert(number);
        });
        let (bus, updates) = (self.clone(), self.served.subscribe());
        ServedLink { bus, updates, host: Name::clone(host), number }
    }

    fn with_links<T>(&self, run: impl FnOnce(&mut HashMap<Name, BTreeSet<u64>>) -> T) -> T {
        run(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns what this host sends first to a scheduler that it links to.
    pub(crate) fn initial_updates(&self) -> Vec<ScheduleMessage> {
        self.encode_initial((self.handlers.suspects.newest_updates)(INITIAL_UPDATES))
    }

    /// Returns what a scheduler sends first to a host that links to it. While the store is
    /// unreachable, this is the only way in which a restarted host learns of suspects.
    pub(crate) fn initial_updates_for_host(&self) -> Vec<ScheduleMessage> {
        self.encode_initial((self.handlers.suspects.newest_repeated)(INITIAL_UPDATES))
    }

    fn encode_initial(&self, suspects: Vec<SuspectUpdate>) -> Vec<ScheduleMessage> {
        let limits = (self.handlers.throttle.newest_updates)(INITIAL_UPDATES);
        let leaving = (self.handlers.leaving.newest_updates)(INITIAL_UPDATES);
        let suspects = suspects.into_iter().map(FleetUpdate::Suspect);
        let limits = limits.into_iter().map(FleetUpdate::Throttle);
        let updates = suspects.chain(limits).chain(leaving.into_iter().map(FleetUpdate::Leaving));
        updates.map(|update| self.encode(&update)).collect()
    }

    /// Applies a message and returns the update if it was new. A malformed message is logged and
    /// skipped.
    pub(crate) fn receive_suspect(&self, message: ScheduleSuspect) -> Option<FleetUpdate> {
        let update = match self.decode_suspect(message) {
            Ok(update) => update,
            Err(cause) => {
                log::info!("event=suspect_unreadable cause=\"{cause}\"");
                return None;
            }
        };
        (self.handlers.suspects.apply_update)(&update).then_some(FleetUpdate::Suspect(update))
    }

    /// Applies a message and returns the update if it was new. A malformed message is logged and
    /// skipped.
    pub(crate) fn receive_throttle(&self, message: &ScheduleThrottle) -> Option<FleetUpdate> {
        let update = match self.decode_throttle(message) {
            Ok(update) => update,
            Err(cause) => {
                log::info!("event=backend_limit_untold cause=\"{cause}\"");
                return None;
            }
        };
        (self.handlers.throttle.apply_update)(&update).then_some(FleetUpdate::Throttle(update))
    }

    /// Applies a message and returns the update if it was new. A malformed message is logged and
    /// skipped.
    pub(crate) fn receive_leaving(&self, message: &ScheduleLeaving) -> Option<FleetUpdate> {
        let update = match self.decode_leaving(message) {
            Ok(update) => update,
            Err(cause) => {
                log::info!("event=backend_leaving_untold cause=\"{cause}\"");
                return None;
            }
        };
        (self.handlers.leaving.apply_update)(&update).then_some(FleetUpdate::Leaving(update))
    }

    /// Sends an update to all served hosts except the one that it came from.
    pub(crate) fn broadcast(&self, source: Option<&Name>, update: &FleetUpdate) {
        let updates = match update {
            FleetUpdate::Suspect(update) => {
                let updates = (self.handlers.suspects.updates_to_forward)(update);
                updates.into_iter().map(FleetUpdate::Suspect).collect()
            }
            FleetUpdate::Throttle(_) | FleetUpdate::Leaving(_) => vec![update.clone()],
        };
        for update in updates {
            // Sending fails if no host is served here.
            let _served = self.served.send((source.cloned(), update));
        }
    }

    pub(crate) fn encode(&self, update: &FleetUpdate) -> ScheduleMessage {
        let age_ms = |at| millis(self.clock.since(at));
        match update {
            FleetUpdate::Suspect(update) => {
                let (fingerprint, backend, at) = match update {
                    SuspectUpdate::Crashed(crash) => {
                        (crash.fingerprint, Some(Name::clone(&crash.backend)), crash.at)
                    }
                    SuspectUpdate::Succeeded { fingerprint, at } => (*fingerprint, None, *at),
                };
                let (print, age_ms) = (fingerprint.to_string().into(), age_ms(at));
                ScheduleMessage::Suspect(ScheduleSuspect { print, backend, age_ms })
            }
            FleetUpdate::Throttle(update) => ScheduleMessage::Throttle(ScheduleThrottle {
                backend: Name::clone(&update.backend.id),
                start: update.backend.start.map(|start| start.0),
                per_s: update.rate.map(RequestRate::per_s),
                age_ms: age_ms(update.at),
            }),
            FleetUpdate::Leaving(update) => ScheduleMessage::Leaving(ScheduleLeaving {
                backend: Name::clone(&update.backend.id),
                start: update.backend.start.map(|start| start.0),
                age_ms: age_ms(update.at),
            }),
        }
    }

    fn decode_suspect(&self, message: ScheduleSuspect) -> Result<SuspectUpdate, String> {
        let fingerprint = message.print.parse().map_err(|error| format!("{error}"))?;
        let at = self.reported_at(message.age_ms);
        match message.backend {
            None => Ok(SuspectUpdate::Succeeded { fingerprint, at }),
            Some(backend) if is_backend_name(&backend) => {
                Ok(SuspectUpdate::Crashed(BackendCrash { fingerprint, backend, at }))
            }
            Some(_unnamed) => Err(BAD_BACKEND_NAME.to_owned()),
        }
    }

    fn decode_throttle(&self, message: &ScheduleThrottle) -> Result<ThrottleUpdate, String> {
        let rate = match message.per_s {
            None => None,
            Some(per_s) => {
                Some(RequestRate::new(per_s).ok_or(format!("{per_s} is not a valid rate"))?)
            }
        };
        let backend = decode_instance(&message.backend, message.start)?;
        Ok(ThrottleUpdate { backend, rate, at: self.reported_at(message.age_ms) })
    }

    fn decode_leaving(&self, message: &ScheduleLeaving) -> Result<LeavingUpdate, String> {
        let backend = decode_instance(&message.backend, message.start)?;
        Ok(LeavingUpdate { backend, at: self.reported_at(message.age_ms) })
    }

    fn reported_at(&self, age_ms: u64) -> Moment {
        self.clock.now().saturating_sub(Duration::from_millis(age_ms))
    }
}

fn decode_instance(backend: &Name, start: Option<u64>) -> Result<BackendInstance, String> {
    if !is_backend_name(backend) {
        return Err(BAD_BACKEND_NAME.to_owned());
    }
    Ok(BackendInstance { id: Name::clone(backend), start: start.map(BackendStart) })
}

/// A link of a served host, registered until it is dropped. Only the newest of a host's links, one
/// for each pool, receives updates; otherwise the host would get each update once per pool.
pub(crate) struct ServedLink {
    bus: FleetBus,
    updates: broadcast::Receiver<SourcedUpdate>,
    host: Name,
    number: u64,
}

impl ServedLink {
    /// Returns the next update for the host.
    pub(crate) async fn next(&mut self) -> ScheduleMessage {
        loop {
            match self.updates.recv().await {
                Ok((source, update)) if self.is_newest() && source.as_ref() != Some(&self.host) => {
                    return self.bus.encode(&update);
                }
                Ok(_not_here) => {}
                Err(broadcast::error::RecvError::Lagged(missed)) => {
                    log::info!("event=news_missed host={} count={missed}", self.host);
                }
                Err(broadcast::error::RecvError::Closed) => std::future::pending().await,
            }
        }
    }

    fn is_newest(&self) -> bool {
        let newest = |links: &BTreeSet<u64>| links.last() == Some(&self.number);
        self.bus.with_links(|links| links.get(&self.host).is_some_and(newest))
    }
}

impl Drop for ServedLink {
    fn drop(&mut self) {
        self.bus.with_links(|links| {
            let Some(numbers) = links.get_mut(&self.host) else { return };
            numbers.remove(&self.number);
            if numbers.is_empty() {
                links.remove(&self.host);
            }
        });
    }
}

/// Error for an update whose backend name is not valid.
const BAD_BACKEND_NAME: &str = "the name of the backend server is empty or too long";

fn is_backend_name(name: &Name) -> bool {
    !name.is_empty() && name.len() <= MAX_BACKEND_NAME_BYTES
}
