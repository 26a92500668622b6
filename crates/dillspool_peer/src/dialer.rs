//! Outgoing connections: one task for each peer that this host dials.

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
use crate::hello::{AuthenticatedPeer, PeerSide, exchange_hello};
use crate::links::{LinkCommand, PeerLinks};

/// Longest backoff between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Backoff after the first failed attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Requests that wait for a response of the peer.
#[derive(Default)]
struct PendingRequests {
    reserves: BTreeMap<StreamId, oneshot::Sender<ReserveAnswer>>,
    liveness: Vec<(LivenessQuery, oneshot::Sender<bool>)>,
}

/// Keeps a connection to a host until `cancel`; reconnects with exponential backoff and jitter.
pub(crate) async fn maintain_link(
    links: PeerLinks,
    host: Name,
    address: SocketAddr,
    mut commands: mpsc::Receiver<LinkCommand>,
    cancel: CancellationToken,
) {
    let backoff_builder = backon::ExponentialBuilder::default()
        .with_min_delay(INITIAL_BACKOFF)
        .with_max_delay(MAX_BACKOFF)
        .with_jitter()
        .without_max_times();
    let mut backoff = backoff_builder.build();
    loop {
        let ended = tokio::select! {
            ended = run_link(
                &links,
                &host,
                address,
                &mut commands,
                &mut backoff,
                &backoff_builder,
            ) => ended,
            () = cancel.cancelled() => break,
        };
        links.view.record_link(&host, false);
        if let Err(error) = ended {
            log::debug!("event=link_down host={host} error=\"{error}\"");
        }
        // Dropping the queued commands reports them as not connected to their requesters.
        while commands.try_recv().is_ok() {}
        let delay = backoff.next().unwrap_or(MAX_BACKOFF);
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = cancel.cancelled() => break,
        }
    }
    links.view.record_link(&host, false);
}

async fn run_link(
    links: &PeerLinks,
    host: &Name,
    address: SocketAddr,
    commands: &mut mpsc::Receiver<LinkCommand>,
    backoff: &mut backon::ExponentialBackoff,
    backoff_builder: &backon::ExponentialBuilder,
) -> Result<(), PeerError> {
    let attempt = tokio::time::timeout(links.settings.silence_timeout, handshake(links, address));
    let Ok(connected) = attempt.await else {
        return ConnectionSnafu { reason: "handshake timed out" }.fail();
    };
    let (mut sender, mut receiver, peer) = connected?;
    if peer.host != *host {
        let reason = format!("host `{}` answers at the address of `{host}`", peer.host);
        return ConnectionSnafu { reason }.fail();
    }
    for report in (links.handlers.placements)() {
        sender.send(&PeerMessage::Held(report)).await?;
    }
    let unknown_state = HeartbeatMessage { config: 0, draining: false };
    links.view.record_heartbeat(host, peer.incarnation, &unknown_state);
    links.view.record_link(host, true);
    *backoff = backoff_builder.build();
    log::debug!("event=link_up host={host}");
    exchange(links, &peer, &mut sender, &mut receiver, commands).await
}

async fn handshake(
    links: &PeerLinks,
    address: SocketAddr,
) -> Result<(PeerSender, PeerReceiver, AuthenticatedPeer), PeerError> {
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
    peer: &AuthenticatedPeer,
    sender: &mut PeerSender,
    receiver: &mut PeerReceiver,
    commands: &mut mpsc::Receiver<LinkCommand>,
) -> Result<(), PeerError> {
    let mut pending = PendingRequests::default();
    let mut heartbeat = tokio::time::interval(links.settings.heartbeat_interval);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_received = Instant::now();
    loop {
        tokio::select! {
            _ = heartbeat.tick() => {
                // The peer may send its heartbeats only on the connection that it dials itself.
                let last_heard = links
                    .view
                    .last_heard(&peer.host)
                    .map_or(last_received, |it| it.max(last_received));
                if last_heard.elapsed() > links.settings.silence_timeout {
                    return ConnectionSnafu { reason: "silence timeout exceeded" }.fail();
                }
                sender.send(&PeerMessage::Beat((links.handlers.heartbeat)())).await?;
            }
            command = commands.recv() => {
                let Some(command) = command else { return Ok(()) };
                send_command(command, &mut pending, sender).await?;
            }
            message = receiver.receive() => {
                last_received = Instant::now();
                if let Some(reply) = handle_message(links, peer, message?, &mut pending) {
                    sender.send(&reply).await?;
                }
            }
        }
    }
}

async fn send_command(
    command: LinkCommand,
    pending: &mut PendingRequests,
    sender: &mut PeerSender,
) -> Result<(), PeerError> {
    match command {
        LinkCommand::Send(message) => sender.send(&message).await,
        LinkCommand::Reserve(message, answer) => {
            pending.reserves.insert(message.stream.clone(), answer);
            sender.send(&PeerMessage::Ask(message)).await
        }
        LinkCommand::Liveness(query, answer) => {
            pending.liveness.retain(|(_, waiting)| !waiting.is_closed());
            pending.liveness.push((query.clone(), answer));
            sender.send(&PeerMessage::Heard(query)).await
        }
    }
}

fn handle_message(
    links: &PeerLinks,
    peer: &AuthenticatedPeer,
    message: PeerMessage,
    pending: &mut PendingRequests,
) -> Option<PeerMessage> {
    match message {
        PeerMessage::Beat(beat) => {
            links.view.record_heartbeat(&peer.host, peer.incarnation, &beat);
            return reconcile_config(links, &beat);
        }
        PeerMessage::Answer(answer) => {
            if let Some(waiting) = pending.reserves.remove(&answer.stream) {
                // A requester that has given up releases the stream itself.
                let _requester_left = waiting.send(answer);
            }
        }
        PeerMessage::Alive(answer) => {
            let matches = |query: &LivenessQuery| {
                query.host == answer.host && query.incarnation == answer.incarnation
            };
            let (answered, kept) = std::mem::take(&mut pending.liveness)
                .into_iter()
                .partition::<Vec<_>, _>(|(query, _)| matches(query));
            pending.liveness = kept;
            for (_, waiting) in answered {
                let _requester_left = waiting.send(answer.alive);
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

/// Reconciles the configurations of both hosts: the newer one is sent, as a delta if possible.
fn reconcile_config(links: &PeerLinks, beat: &HeartbeatMessage) -> Option<PeerMessage> {
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
