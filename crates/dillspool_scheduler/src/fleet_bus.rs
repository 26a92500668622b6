//! News on the links of a pool, from each host to the scheduler and from it to all: of requests under which
//! backend servers ended, and of what backend servers say in their answers, how much they take and that they leave.
//!
//! Rows of the store tell of suspects and of servers that leave as well, but not while it is away: then each host
//! would have to see three ends, or get an answer, by itself. See `docs/design/suspects.md` and
//! `docs/design/notices.md`. What backend servers take changes within seconds and is told here alone; see
//! `docs/design/limits.md`.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_leaving::LeavingUpdate;
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleLeaving, ScheduleMessage, ScheduleSuspect, ScheduleThrottle,
};
use dillspool_suspects::{BackendCrash, SuspectUpdate};
use dillspool_throttle::{RequestRate, ThrottleUpdate};
use tokio::sync::broadcast;

use crate::wire::millis;

/// News that wait for a host's link; a host that falls behind hears of suspects by the store, and of
/// limits by the answers it gets.
const QUEUED_NEWS: usize = 256;
/// News of a kind that a host tells a scheduler when it links to it, and a scheduler a host that does.
const FIRST_NEWS: usize = 64;
/// Bytes of a backend server's name at most.
const LONGEST_BACKEND: usize = 200;

type LearnFn<T> = dyn Fn(&T) -> bool + Send + Sync;
type TellingFn = dyn Fn(&SuspectUpdate) -> Vec<SuspectUpdate> + Send + Sync;
type KnownFn<T> = dyn Fn(usize) -> Vec<T> + Send + Sync;

/// What a host does with news of suspects, as closures over what it knows.
#[derive(Clone)]
pub struct SuspectHandlers {
    /// Takes news; whether they were not known.
    pub apply_update: Arc<LearnFn<SuspectUpdate>>,
    /// What others need to know once these news are known.
    pub updates_to_forward: Arc<TellingFn>,
    /// The newest of what is known, so many.
    pub newest_updates: Arc<KnownFn<SuspectUpdate>>,
    /// The same of requests under which more than one backend server has ended.
    pub newest_repeated: Arc<KnownFn<SuspectUpdate>>,
}

impl fmt::Debug for SuspectHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SuspectHandlers")
    }
}

/// What a host does with news of what backend servers say, as closures over what it knows.
#[derive(Clone)]
pub struct NoticeHandlers<T> {
    /// Takes news; whether they were not known.
    pub apply_update: Arc<LearnFn<T>>,
    /// The newest of what is known, so many.
    pub newest_updates: Arc<KnownFn<T>>,
}

impl<T> NoticeHandlers<T> {
    /// Of a host that knows nothing and takes nothing.
    pub fn none() -> Self {
        Self { apply_update: Arc::new(|_news| false), newest_updates: Arc::new(|_most| Vec::new()) }
    }
}

impl<T> fmt::Debug for NoticeHandlers<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NoticeHandlers")
    }
}

/// What a host does with news.
#[derive(Clone, Debug)]
pub struct BusHandlers {
    /// Of suspects.
    pub suspects: SuspectHandlers,
    /// Of limits that backend servers name.
    pub throttle: NoticeHandlers<ThrottleUpdate>,
    /// Of backend servers that leave.
    pub leaving: NoticeHandlers<LeavingUpdate>,
}

impl BusHandlers {
    /// Of a host that knows nothing and takes nothing.
    pub fn none() -> Self {
        let suspects = SuspectHandlers {
            apply_update: Arc::new(|_news| false),
            updates_to_forward: Arc::new(|_news| Vec::new()),
            newest_updates: Arc::new(|_most| Vec::new()),
            newest_repeated: Arc::new(|_most| Vec::new()),
        };
        Self { suspects, throttle: NoticeHandlers::none(), leaving: NoticeHandlers::none() }
    }
}

/// What hosts tell each other.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetUpdate {
    /// A backend server ended under a request, or a copy of it came to a good end.
    Suspect(SuspectUpdate),
    /// A backend server says how much it takes.
    Throttle(ThrottleUpdate),
    /// A backend server says that it leaves.
    Leaving(LeavingUpdate),
}

/// Carries news between this host and those that it is linked with.
#[derive(Clone)]
pub struct FleetBus {
    handlers: Arc<BusHandlers>,
    clock: HostClock,
    /// News for the hosts that are served here, with the one that they came from.
    served: broadcast::Sender<SourcedNews>,
    /// Links by the hosts that are served here.
    links: Arc<Mutex<HashMap<Name, BTreeSet<u64>>>>,
}

/// News, and the host that told them, if it was another one.
type SourcedNews = (Option<Name>, FleetUpdate);

impl fmt::Debug for FleetBus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetBus")
    }
}

impl FleetBus {
    /// A bus over what a host knows.
    pub fn new(handlers: BusHandlers, clock: HostClock) -> Self {
        let (served, _receiver) = broadcast::channel(QUEUED_NEWS);
        Self { handlers: Arc::new(handlers), clock, served, links: Arc::default() }
    }

    /// Takes a link of a host that is served here.
    pub(crate) fn serve_link(&self, host: &Name, number: u64) -> ServedLink {
        self.with_links(|links| {
            links.entry(Name::clone(host)).or_default().insert(number);
        });
        let (bus, news) = (self.clone(), self.served.subscribe());
        ServedLink { bus, news, host: Name::clone(host), number }
    }

    fn with_links<T>(&self, run: impl FnOnce(&mut HashMap<Name, BTreeSet<u64>>) -> T) -> T {
        run(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// What a host that links to a scheduler tells it first.
    pub(crate) fn first_news(&self) -> Vec<ScheduleMessage> {
        self.first_of((self.handlers.suspects.newest_updates)(FIRST_NEWS))
    }

    /// What a scheduler tells a host that links to it first: one that started anew while the store is away learns
    /// of suspects here alone.
    pub(crate) fn first_told(&self) -> Vec<ScheduleMessage> {
        self.first_of((self.handlers.suspects.newest_repeated)(FIRST_NEWS))
    }

    fn first_of(&self, suspects: Vec<SuspectUpdate>) -> Vec<ScheduleMessage> {
        let limits = (self.handlers.throttle.newest_updates)(FIRST_NEWS);
        let leaving = (self.handlers.leaving.newest_updates)(FIRST_NEWS);
        let suspects = suspects.into_iter().map(FleetUpdate::Suspect);
        let limits = limits.into_iter().map(FleetUpdate::Throttle);
        let news = suspects.chain(limits).chain(leaving.into_iter().map(FleetUpdate::Leaving));
        news.map(|news| self.encode(&news)).collect()
    }

    /// Takes a message; what cannot be read is told and passed over.
    pub(crate) fn hear_suspect(&self, message: ScheduleSuspect) -> Option<FleetUpdate> {
        let news = match self.decode_suspect(message) {
            Ok(news) => news,
            Err(cause) => {
                log::info!("event=suspect_unreadable cause=\"{cause}\"");
                return None;
            }
        };
        (self.handlers.suspects.apply_update)(&news).then_some(FleetUpdate::Suspect(news))
    }

    /// Takes a message; what cannot be read is told and passed over.
    pub(crate) fn hear_throttle(&self, message: &ScheduleThrottle) -> Option<FleetUpdate> {
        let news = match self.decode_throttle(message) {
            Ok(news) => news,
            Err(cause) => {
                log::info!("event=backend_limit_untold cause=\"{cause}\"");
                return None;
            }
        };
        (self.handlers.throttle.apply_update)(&news).then_some(FleetUpdate::Throttle(news))
    }

    /// Takes a message; what cannot be read is told and passed over.
    pub(crate) fn hear_leaving(&self, message: &ScheduleLeaving) -> Option<FleetUpdate> {
        let news = match self.decode_leaving(message) {
            Ok(news) => news,
            Err(cause) => {
                log::info!("event=backend_leaving_untold cause=\"{cause}\"");
                return None;
            }
        };
        (self.handlers.leaving.apply_update)(&news).then_some(FleetUpdate::Leaving(news))
    }

    /// Passes news on to all hosts that are served here, but for the one that they came from.
    pub(crate) fn spread(&self, source: Option<&Name>, news: &FleetUpdate) {
        let told = match news {
            FleetUpdate::Suspect(news) => {
                let told = (self.handlers.suspects.updates_to_forward)(news);
                told.into_iter().map(FleetUpdate::Suspect).collect()
            }
            FleetUpdate::Throttle(_) | FleetUpdate::Leaving(_) => vec![news.clone()],
        };
        for news in told {
            // Nobody may be served here.
            let _served = self.served.send((source.cloned(), news));
        }
    }

    pub(crate) fn encode(&self, news: &FleetUpdate) -> ScheduleMessage {
        let age_ms = |at| millis(self.clock.since(at));
        match news {
            FleetUpdate::Suspect(news) => {
                let (print, backend, at) = match news {
                    SuspectUpdate::Crashed(end) => {
                        (end.fingerprint, Some(Name::clone(&end.backend)), end.at)
                    }
                    SuspectUpdate::Succeeded { fingerprint: print, at } => (*print, None, *at),
                };
                let (print, age_ms) = (print.to_string().into(), age_ms(at));
                ScheduleMessage::Suspect(ScheduleSuspect { print, backend, age_ms })
            }
            FleetUpdate::Throttle(news) => ScheduleMessage::Throttle(ScheduleThrottle {
                backend: Name::clone(&news.backend.id),
                start: news.backend.start.map(|start| start.0),
                per_s: news.rate.map(RequestRate::per_s),
                age_ms: age_ms(news.at),
            }),
            FleetUpdate::Leaving(news) => ScheduleMessage::Leaving(ScheduleLeaving {
                backend: Name::clone(&news.backend.id),
                start: news.backend.start.map(|start| start.0),
                age_ms: age_ms(news.at),
            }),
        }
    }

    fn decode_suspect(&self, message: ScheduleSuspect) -> Result<SuspectUpdate, String> {
        let print = message.print.parse().map_err(|error| format!("{error}"))?;
        let at = self.said_at(message.age_ms);
        match message.backend {
            None => Ok(SuspectUpdate::Succeeded { fingerprint: print, at }),
            Some(backend) if is_backend_name(&backend) => {
                Ok(SuspectUpdate::Crashed(BackendCrash { fingerprint: print, backend, at }))
            }
            Some(_unnamed) => Err(UNNAMED.to_owned()),
        }
    }

    fn decode_throttle(&self, message: &ScheduleThrottle) -> Result<ThrottleUpdate, String> {
        let rate = match message.per_s {
            None => None,
            Some(per_s) => Some(RequestRate::new(per_s).ok_or(format!("{per_s} is no rate"))?),
        };
        let backend = decode_started(&message.backend, message.start)?;
        Ok(ThrottleUpdate { backend, rate, at: self.said_at(message.age_ms) })
    }

    fn decode_leaving(&self, message: &ScheduleLeaving) -> Result<LeavingUpdate, String> {
        let backend = decode_started(&message.backend, message.start)?;
        Ok(LeavingUpdate { backend, at: self.said_at(message.age_ms) })
    }

    fn said_at(&self, age_ms: u64) -> Moment {
        self.clock.now().saturating_sub(Duration::from_millis(age_ms))
    }
}

fn decode_started(backend: &Name, start: Option<u64>) -> Result<BackendInstance, String> {
    if !is_backend_name(backend) {
        return Err(UNNAMED.to_owned());
    }
    Ok(BackendInstance { id: Name::clone(backend), start: start.map(BackendStart) })
}

/// A link of a host that is served here, until it is dropped. Of the links of a host, one for each pool, the newest
/// takes its news: each would else cost it as many messages as there are pools.
pub(crate) struct ServedLink {
    bus: FleetBus,
    news: broadcast::Receiver<SourcedNews>,
    host: Name,
    number: u64,
}

impl ServedLink {
    /// The next news for the host, as its link carries them.
    pub(crate) async fn next(&mut self) -> ScheduleMessage {
        loop {
            match self.news.recv().await {
                Ok((source, news)) if self.is_newest() && source.as_ref() != Some(&self.host) => {
                    return self.bus.encode(&news);
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

/// Why news are passed over that name no backend server.
const UNNAMED: &str = "a backend server's name is empty or too long";

fn is_backend_name(name: &Name) -> bool {
    !name.is_empty() && name.len() <= LONGEST_BACKEND
}
