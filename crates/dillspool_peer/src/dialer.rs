//! One task for each peer that this host dials.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use backon::BackoffBuilder;
use dillspool_schema::messages::{
    ConfigQuery, HeartbeatMessage, LivenessQuery, PeerMessage, ReserveAnswer,
};
use dillspool_schema::{Name, StreamId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_tungstenite::client_async_with_config;
use tokio_util::sync::CancellationToken;

use crate::PeerError;
use crate::codec::{PeerChannel, PeerReceiver, PeerSender, websocket_config};
use crate::error::ConnectionSnafu;
use crate::hello::{PeerSide, ProvenPeer, exchange_hello};
use crate::links::{LinkOrder, PeerLinks};

/// Longest pause between two attempts to connect.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// First pause after a failed attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Questions that wait for the peer's answer.
#[derive(Default)]
struct OpenQuestions {
    reserves: BTreeMap<StreamId, oneshot::Sender<ReserveAnswer>>,
    liveness: Vec<(LivenessQuery, oneshot::Sender<bool>)>,
}

/// Connects again and again until `cancel`, with pauses that grow and are spread at random.
pub(crate) async fn keep_link(
    links: PeerLinks,
    host: Name,
    address: SocketAddr,
    mut orders: mpsc::Receiver<LinkOrder>,
    cancel: CancellationToken,
) {
    let pauses = backon::ExponentialBuilder::default()
        .with_min_delay(FIRST_PAUSE)
        .with_max_delay(LONGEST_PAUSE)
        .with_jitter()
        .without_max_times();
    let mut pause = pauses.build();
    loop {
        let ended = tokio::select! {
            ended = run_link(&links, &host, address, &mut orders, &mut pause, &pauses) => ended,
            () = cancel.cancelled() => break,
        };
        links.view.record_link(&host, false);
        if let Err(error) = ended {
            log::debug!("event=link_down host={host} error=\"{error}\"");
        }
        // What waited for this connection is answered as not connected by being dropped.
        while orders.try_recv().is_ok() {}
        let nap = pause.next().unwrap_or(LONGEST_PAUSE);
        tokio::select! {
            () = tokio::time::sleep(nap) => {}
            () = cancel.cancelled() => break,
        }
    }
    links.view.record_link(&host, false);
}

async fn run_link(
    links: &PeerLinks,
    host: &Name,
    address: SocketAddr,
    orders: &mut mpsc::Receiver<LinkOrder>,
    pause: &mut backon::ExponentialBackoff,
    pauses: &backon::ExponentialBuilder,
) -> Result<(), PeerError> {
    let greeting = tokio::time::timeout(links.settings.silence_timeout, greet(links, address));
    let Ok(greeted) = greeting.await else {
        return ConnectionSnafu { reason: "no greeting in time" }.fail();
    };
    let (mut sender, mut receiver, peer) = greeted?;
    if peer.host != *host {
        let reason = format!("host `{}` answers at the address of `{host}`", peer.host);
        return ConnectionSnafu { reason }.fail();
    }
    for report in (links.handlers.placements)() {
        sender.send(&PeerMessage::Held(report)).await?;
    }
    let unknown = HeartbeatMessage { config: 0, draining: false };
    links.view.record_heartbeat(host, peer.incarnation, &unknown);
    links.view.record_link(host, true);
    *pause = pauses.build();
    log::debug!("event=link_up host={host}");
    exchange(links, &peer, &mut sender, &mut receiver, orders).await
}

async fn greet(
    links: &PeerLinks,
    address: SocketAddr,
) -> Result<(PeerSender, PeerReceiver, ProvenPeer), PeerError> {
    let failed = |reason: String| PeerError::Connection { reason };
    let stream = links.stack.connect(address).await.map_err(|error| failed(error.to_string()))?;
    let url = format!("ws://{address}/peer");
    let (socket, _) = client_async_with_config(url, stream, Some(websocket_config()))
        .await
        .map_err(|error| failed(error.to_string()))?;
    let (mut sender, mut receiver) = PeerChannel::new(socket, links.bytes.clone()).split();
    let peer =
        exchange_hello(&links.identity, PeerSide::Dialer, &mut sender, &mut receiver).await?;
    Ok((sender, receiver, peer))
}

async fn exchange(
    links: &PeerLinks,
    peer: &ProvenPeer,
    sender: &mut PeerSender,
    receiver: &mut PeerReceiver,
    orders: &mut mpsc::Receiver<LinkOrder>,
) -> Result<(), PeerError> {
    let mut open = OpenQuestions::default();
    let mut beat = tokio::time::interval(links.settings.heartbeat_interval);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            _ = beat.tick() => {
                // The peer may beat on its own link alone.
                let heard = links.view.last_heard(&peer.host).map_or(heard, |it| it.max(heard));
                if heard.elapsed() > links.settings.silence_timeout {
                    return ConnectionSnafu { reason: "silence" }.fail();
                }
                sender.send(&PeerMessage::Beat((links.handlers.heartbeat)())).await?;
            }
            order = orders.recv() => {
                let Some(order) = order else { return Ok(()) };
                carry(order, &mut open, sender).await?;
            }
            message = receiver.receive() => {
                heard = Instant::now();
                if let Some(reply) = take(links, peer, message?, &mut open) {
                    sender.send(&reply).await?;
                }
            }
        }
    }
}

async fn carry(
    order: LinkOrder,
    open: &mut OpenQuestions,
    sender: &mut PeerSender,
) -> Result<(), PeerError> {
    match order {
        LinkOrder::Send(message) => sender.send(&message).await,
        LinkOrder::Reserve(message, answer) => {
            open.reserves.insert(message.stream.clone(), answer);
            sender.send(&PeerMessage::Ask(message)).await
        }
        LinkOrder::Liveness(query, answer) => {
            open.liveness.retain(|(_, waiting)| !waiting.is_closed());
            open.liveness.push((query.clone(), answer));
            sender.send(&PeerMessage::Heard(query)).await
        }
    }
}

fn take(
    links: &PeerLinks,
    peer: &ProvenPeer,
    message: PeerMessage,
    open: &mut OpenQuestions,
) -> Option<PeerMessage> {
    match message {
        PeerMessage::Beat(beat) => {
            links.view.record_heartbeat(&peer.host, peer.incarnation, &beat);
            return even_out(links, &beat);
        }
        PeerMessage::Answer(answer) => {
            if let Some(waiting) = open.reserves.remove(&answer.stream) {
                // An asker that has left releases the stream itself.
                let _asker_left = waiting.send(answer);
            }
        }
        PeerMessage::Alive(answer) => {
            let asked = |query: &LivenessQuery| {
                query.host == answer.host && query.incarnation == answer.incarnation
            };
            let (answered, kept) = std::mem::take(&mut open.liveness)
                .into_iter()
                .partition::<Vec<_>, _>(|(query, _)| asked(query));
            open.liveness = kept;
            for (_, waiting) in answered {
                let _asker_left = waiting.send(answer.alive);
            }
        }
        PeerMessage::Config(transfer) => (links.handlers.apply_config)(transfer),
        PeerMessage::Hello(_)
        | PeerMessage::Ask(_)
        | PeerMessage::Free(_)
        | PeerMessage::Held(_)
        | PeerMessage::Heard(_)
        | PeerMessage::Want(_) => {
            log::warn!("event=unexpected_message host={}", peer.host);
        }
    }
    None
}

/// Evens out the configurations of both sides: the newer one travels, as a delta if it can.
fn even_out(links: &PeerLinks, beat: &HeartbeatMessage) -> Option<PeerMessage> {
    let own = (links.handlers.heartbeat)().config;
    match own.cmp(&beat.config) {
        Ordering::Less => Some(PeerMessage::Want(ConfigQuery { base: own })),
        Ordering::Greater => {
            let query = ConfigQuery { base: beat.config };
            (links.handlers.config)(query).map(PeerMessage::Config)
        }
        Ordering::Equal => None,
    }
}
