//! Where this host's requests get their placements.

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

use crate::directory::PoolDirectory;

/// Time beyond the request's own for an answer to come from another host.
const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// When to come back after a scheduler did not answer.
const SILENT_RETRY_MS: u32 = 500;

/// Another way to place requests, built from the configuration and the engines' client.
#[derive(Clone)]
pub struct PlacementOverride {
    /// Builds the desk of a host.
    pub build: Arc<DeskBuilder>,
}

type DeskBuilder = dyn Fn(watch::Receiver<Option<Arc<ConfigSnapshot>>>, EngineClient) -> PlacementClient
    + Send
    + Sync;

impl fmt::Debug for PlacementOverride {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeskChoice")
    }
}

/// Asks the scheduler that rendezvous hashing names, or this host's own when none is in reach.
pub(crate) fn placement_desk(
    view: HostView,
    links: PeerLinks,
    directory: PoolDirectory,
) -> PlacementClient {
    let releasing = (view.clone(), links.clone(), directory.clone());
    PlacementClient {
        reserve: Arc::new(move |message| {
            let (view, links, directory) = (view.clone(), links.clone(), directory.clone());
            Box::pin(async move { reserve(&view, &links, &directory, message).await })
        }),
        release: Arc::new(move |scheduler, message| {
            let (view, links, directory) = &releasing;
            release(view, links, directory, scheduler, message);
        }),
    }
}

async fn reserve(
    view: &HostView,
    links: &PeerLinks,
    directory: &PoolDirectory,
    message: ReserveMessage,
) -> ReserveReply {
    let scheduler = view.scheduler(&message.pool);
    if scheduler != *view.host() {
        let limit = Duration::from_millis(message.wait_ms.into()) + ANSWER_SLACK;
        let asked = links.reserve(&scheduler, message.clone());
        match tokio::time::timeout(limit, asked).await {
            Ok(Ok(answer)) => return ReserveReply { scheduler, answer },
            // The connection broke: this host decides alone, by what the engines list.
            Ok(Err(_not_connected)) => {}
            Err(_elapsed) => {
                // It may have granted meanwhile; what is not used goes back.
                release(view, links, directory, Some(Name::clone(&scheduler)), unused(&message));
                let answer = refuse(&message, RefuseCause::TooLate);
                return ReserveReply { scheduler, answer };
            }
        }
    }
    let own = Name::clone(view.host());
    let answer = match directory.get(&message.pool) {
        Some(pool) => pool.reserve(message.clone()).await,
        None => None,
    };
    let answer = answer.unwrap_or_else(|| refuse(&message, RefuseCause::UnknownPool));
    ReserveReply { scheduler: own, answer }
}

fn refuse(message: &ReserveMessage, cause: RefuseCause) -> ReserveAnswer {
    let refusal = ReserveRefusal { cause, retry_ms: SILENT_RETRY_MS };
    ReserveAnswer { stream: message.stream.clone(), grant: None, refusal: Some(refusal) }
}

fn unused(message: &ReserveMessage) -> ReleaseMessage {
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
    directory: &PoolDirectory,
    scheduler: Option<Name>,
    message: ReleaseMessage,
) {
    let holder = scheduler.unwrap_or_else(|| view.scheduler(&message.pool));
    if holder == *view.host() {
        if let Some(pool) = directory.get(&message.pool) {
            pool.release(&message);
        }
        return;
    }
    // Without a connection the next placement report frees it.
    if let Err(error) = links.release(&holder, message) {
        log::debug!("event=release_not_sent error=\"{error}\"");
    }
}
