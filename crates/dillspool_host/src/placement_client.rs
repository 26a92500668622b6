//! Client through which this host's requests get their placements.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dillspool_config::ConfigSnapshot;
use dillspool_engine::EngineClient;
use dillspool_entry::{PlacementClient, ReserveReply};
use dillspool_peer::{HostView, PeerLinks};
use dillspool_schema::Name;
use dillspool_schema::messages::{
    RefuseCause, ReleaseMessage, ReserveAnswer, ReserveMessage, ReserveRefusal,
};

use tokio::sync::watch;

use crate::scheduler_registry::SchedulerRegistry;

/// Time that a reply from another host may take beyond the request's own wait.
const RESPONSE_SLACK: Duration = Duration::from_millis(50);
/// Retry delay of a refusal when the scheduler did not reply in time or no scheduler has the pool.
const REFUSAL_RETRY_MS: u32 = 500;

/// Replaces the client of the pools' schedulers by another placement policy.
#[derive(Clone)]
pub struct PlacementOverride {
    /// Builds the placement client from the configuration and the engines' client.
    pub build: Arc<ClientBuilder>,
}

type ClientBuilder = dyn Fn(watch::Receiver<Option<Arc<ConfigSnapshot>>>, EngineClient) -> PlacementClient
    + Send
    + Sync;

impl fmt::Debug for PlacementOverride {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeskChoice")
    }
}

/// Asks the scheduler chosen by rendezvous hashing, or this host's own if that one is unreachable.
pub(crate) fn placement_client(
    view: HostView,
    links: PeerLinks,
    schedulers: SchedulerRegistry,
) -> PlacementClient {
    let releasing = (view.clone(), links.clone(), schedulers.clone());
    PlacementClient {
        reserve: Arc::new(move |message| {
            let (view, links, schedulers) = (view.clone(), links.clone(), schedulers.clone());
            Box::pin(async move { reserve(&view, &links, &schedulers, message).await })
        }),
        release: Arc::new(move |scheduler, message| {
            let (view, links, schedulers) = &releasing;
            release(view, links, schedulers, scheduler, message);
        }),
    }
}

async fn reserve(
    view: &HostView,
    links: &PeerLinks,
    schedulers: &SchedulerRegistry,
    message: ReserveMessage,
) -> ReserveReply {
    let scheduler = view.scheduler(&message.pool);
    if scheduler != *view.host() {
        let limit = Duration::from_millis(message.wait_ms.into()) + RESPONSE_SLACK;
        let asked = links.reserve(&scheduler, message.clone());
        match tokio::time::timeout(limit, asked).await {
            Ok(Ok(answer)) => return ReserveReply { scheduler, answer },
            // Not connected: this host's own scheduler decides alone, based on what the engines report.
            Ok(Err(_not_connected)) => {}
            Err(_elapsed) => {
                // The scheduler may have granted the request late; release that reservation.
                release(
                    view,
                    links,
                    schedulers,
                    Some(Name::clone(&scheduler)),
                    cancellation(&message),
                );
                let answer = refuse(&message, RefuseCause::TooLate);
                return ReserveReply { scheduler, answer };
            }
        }
    }
    let own = Name::clone(view.host());
    let answer = match schedulers.get(&message.pool) {
        Some(pool) => pool.reserve(message.clone()).await,
        None => None,
    };
    let answer = answer.unwrap_or_else(|| refuse(&message, RefuseCause::UnknownPool));
    ReserveReply { scheduler: own, answer }
}

fn refuse(message: &ReserveMessage, cause: RefuseCause) -> ReserveAnswer {
    let refusal = ReserveRefusal { cause, retry_ms: REFUSAL_RETRY_MS };
    ReserveAnswer { stream: message.stream.clone(), grant: None, refusal: Some(refusal) }
}

fn cancellation(message: &ReserveMessage) -> ReleaseMessage {
    ReleaseMessage {
        stream: message.stream.clone(),
        pool: Name::clone(&message.pool),
        cause: dillspool_schema::messages::ReleaseCause::Cancelled,
        tokens: 0,
        cached: 0,
        print: None,
        ended: None,
    }
}

fn release(
    view: &HostView,
    links: &PeerLinks,
    schedulers: &SchedulerRegistry,
    scheduler: Option<Name>,
    message: ReleaseMessage,
) {
    let holder = scheduler.unwrap_or_else(|| view.scheduler(&message.pool));
    if holder == *view.host() {
        if let Some(pool) = schedulers.get(&message.pool) {
            pool.release(&message);
        }
        return;
    }
    // If it is not sent, the next placement report frees the reservation.
    if let Err(error) = links.release(&holder, message) {
        log::debug!("event=release_not_sent error=\"{error}\"");
    }
}
