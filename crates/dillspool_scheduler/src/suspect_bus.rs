//! News of suspects on the links of a pool: from each host to the scheduler, and from it to all.
//!
//! Rows of the store tell the same to all hosts, but not while it is away: then each host would have to see
//! three ends by itself. See `docs/design/suspects.md`.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_schema::Name;
use dillspool_schema::schedule::ScheduleSuspect;
use dillspool_suspects::{RunEnd, SuspectNews};
use tokio::sync::broadcast;

use crate::wire::millis;

/// News that wait for a host's link; a host that falls behind hears the rest by the store.
const QUEUED_NEWS: usize = 256;
/// News that a host tells a scheduler when it links to it.
const FIRST_NEWS: usize = 64;
/// Bytes of a backend server's name at most.
const LONGEST_BACKEND: usize = 200;

type LearnFn = dyn Fn(&SuspectNews) -> bool + Send + Sync;
type TellingFn = dyn Fn(&SuspectNews) -> Vec<SuspectNews> + Send + Sync;
type KnownFn = dyn Fn(usize) -> Vec<SuspectNews> + Send + Sync;

/// What a host does with news, as closures over what it knows.
#[derive(Clone)]
pub struct SuspectHandlers {
    /// Takes news; whether they were not known.
    pub learn: Arc<LearnFn>,
    /// What others need to know once these news are known.
    pub worth_telling: Arc<TellingFn>,
    /// The newest of what is known, so many.
    pub known: Arc<KnownFn>,
}

impl fmt::Debug for SuspectHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SuspectHandlers")
    }
}

impl SuspectHandlers {
    /// Of a host that knows nothing and takes nothing.
    pub fn none() -> Self {
        Self {
            learn: Arc::new(|_news| false),
            worth_telling: Arc::new(|_news| Vec::new()),
            known: Arc::new(|_most| Vec::new()),
        }
    }
}

/// Carries news between this host and those that it is linked with.
#[derive(Clone)]
pub struct SuspectBus {
    handlers: SuspectHandlers,
    clock: HostClock,
    /// News for the hosts that are served here, with the link that they came from.
    served: broadcast::Sender<(u64, SuspectNews)>,
}

impl fmt::Debug for SuspectBus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SuspectBus")
    }
}

impl SuspectBus {
    /// A bus over what a host knows.
    pub fn new(handlers: SuspectHandlers, clock: HostClock) -> Self {
        let (served, _receiver) = broadcast::channel(QUEUED_NEWS);
        Self { handlers, clock, served }
    }

    /// News for the hosts that are served here.
    pub(crate) fn subscribe(&self) -> broadcast::Receiver<(u64, SuspectNews)> {
        self.served.subscribe()
    }

    /// What a host that links to a scheduler tells it first.
    pub(crate) fn first_news(&self) -> Vec<ScheduleSuspect> {
        (self.handlers.known)(FIRST_NEWS).iter().map(|news| self.encode(news)).collect()
    }

    /// Takes a message; what cannot be read is told and passed over.
    pub(crate) fn hear(&self, message: ScheduleSuspect) -> Option<SuspectNews> {
        let news = match self.decode(message) {
            Ok(news) => news,
            Err(cause) => {
                log::info!("event=suspect_unreadable cause=\"{cause}\"");
                return None;
            }
        };
        (self.handlers.learn)(&news).then_some(news)
    }

    /// Passes news on to all hosts that are served here, but for those on the link that they came from.
    pub(crate) fn spread(&self, link: u64, news: &SuspectNews) {
        for news in (self.handlers.worth_telling)(news) {
            // Nobody may be served here.
            let _served = self.served.send((link, news));
        }
    }

    pub(crate) fn encode(&self, news: &SuspectNews) -> ScheduleSuspect {
        let (print, backend, at) = match news {
            SuspectNews::Ended(end) => (end.print, Some(Name::clone(&end.backend)), end.at),
            SuspectNews::Whole { print, at } => (*print, None, *at),
        };
        let age_ms = millis(self.clock.since(at));
        ScheduleSuspect { print: print.to_string().into(), backend, age_ms }
    }

    fn decode(&self, message: ScheduleSuspect) -> Result<SuspectNews, String> {
        let print = message.print.parse().map_err(|error| format!("{error}"))?;
        let at = self.clock.now().before(Duration::from_millis(message.age_ms));
        match message.backend {
            None => Ok(SuspectNews::Whole { print, at }),
            Some(backend) if !backend.is_empty() && backend.len() <= LONGEST_BACKEND => {
                Ok(SuspectNews::Ended(RunEnd { print, backend, at }))
            }
            Some(_unnamed) => Err("a backend server's name is empty or too long".to_owned()),
        }
    }
}
