//! Incoming connections: one task for each peer that dials this host.

use dillspool_io::{NetListener, NetStream};
use dillspool_schema::messages::{ConfigQuery, HeartbeatMessage, LivenessAnswer, PeerMessage};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_tungstenite::accept_async_with_config;
use tokio_util::sync::CancellationToken;

use crate::PeerError;
use crate::codec::{PeerChannel, PeerReceiver, PeerSender, websocket_config};
use crate::error::ConnectionSnafu;
use crate::hello::{AuthenticatedPeer, PeerSide, exchange_hello};
use crate::links::PeerLinks;
use crate::view::OwnerStatus;

/// Answers queued for sending.
const ANSWER_QUEUE_CAPACITY: usize = 1024;

impl PeerLinks {
    /// Accepts connections of peers until `cancel`.
    pub async fn serve(self, mut listener: NetListener, cancel: CancellationToken) {
        loop {
            let stream = tokio::select! {
                stream = listener.accept() => stream,
                () = cancel.cancelled() => return,
            };
            let Some(stream) = stream else { return };
            let links = self.clone();
            let cancel = cancel.clone();
            tokio::spawn(async move {
                let ended = tokio::select! {
                    ended = serve_peer(&links, stream) => ended,
                    () = cancel.cancelled() => return,
                };
                if let Err(error) = ended {
                    log::debug!("event=peer_left error=\"{error}\"");
                }
            });
        }
    }
}

async fn serve_peer(links: &PeerLinks, stream: NetStream) -> Result<(), PeerError> {
    let attempt = tokio::time::timeout(links.settings.silence_timeout, handshake(links, stream));
    let Ok(connected) = attempt.await else {
        return ConnectionSnafu { reason: "handshake timed out" }.fail();
    };
    let (mut sender, mut receiver, peer) = connected?;
    let (answers, mut outbox) = mpsc::channel::<PeerMessage>(ANSWER_QUEUE_CAPACITY);
    // Dropped with the connection, because nobody waits for these placements any more.
    let mut reserves = tokio::task::JoinSet::new();
    let mut last_received = Instant::now();
    loop {
        let silence = tokio::time::sleep_until(last_received + links.settings.silence_timeout);
        tokio::select! {
            message = receiver.receive() => {
                last_received = Instant::now();
                if let Some(answer) =
                    handle_message(links, &peer, message?, &answers, &mut reserves)
                {
                    sender.send(&answer).await?;
                }
            }
            Some(answer) = outbox.recv() => sender.send(&answer).await?,
            Some(_done) = reserves.join_next() => {}
            () = silence => return ConnectionSnafu { reason: "silence timeout exceeded" }.fail(),
        }
    }
}

async fn handshake(
    links: &PeerLinks,
    stream: NetStream,
) -> Result<(PeerSender, PeerReceiver, AuthenticatedPeer), PeerError> {
    let socket = match accept_async_with_config(stream, Some(websocket_config())).await {
        Ok(socket) => socket,
        Err(error) => {
            return ConnectionSnafu { reason: error.to_string() }.fail();
        }
    };
    let (mut sender, mut receiver) = PeerChannel::new(socket, links.bytes.clone()).split();
    let peer =
        exchange_hello(&links.identity, PeerSide::Acceptor, &mut sender, &mut receiver).await?;
    Ok((sender, receiver, peer))
}

fn handle_message(
    links: &PeerLinks,
    peer: &AuthenticatedPeer,
    message: PeerMessage,
    answers: &mpsc::Sender<PeerMessage>,
    reserves: &mut tokio::task::JoinSet<()>,
) -> Option<PeerMessage> {
    let handlers = &links.handlers;
    match message {
        PeerMessage::Beat(beat) => {
            links.view.record_heartbeat(&peer.host, peer.incarnation, &beat);
            answer_heartbeat(links, peer, &beat)
        }
        PeerMessage::Ask(request) => {
            let reserve = (handlers.reserve)(request);
            let answers = answers.clone();
            reserves.spawn(async move {
                if let Some(answer) = reserve.await {
                    let _peer_left = answers.send(PeerMessage::Answer(answer)).await;
                }
            });
            None
        }
        PeerMessage::Free(release) => {
            (handlers.release)(release);
            None
        }
        PeerMessage::Held(report) => {
            (handlers.report)(&peer.host, peer.incarnation, report);
            None
        }
        PeerMessage::Heard(query) => {
            let alive =
                links.view.owner_status(&query.host, query.incarnation) == OwnerStatus::Alive;
            let (host, incarnation) = (query.host, query.incarnation);
            Some(PeerMessage::Alive(LivenessAnswer { host, incarnation, alive }))
        }
        PeerMessage::Want(query) => (handlers.config)(query).map(PeerMessage::Config),
        PeerMessage::Config(transfer) => {
            (handlers.apply_config)(transfer);
            None
        }
        PeerMessage::Hello(_) | PeerMessage::Answer(_) | PeerMessage::Alive(_) => {
            log::warn!("event=unexpected_message host={}", peer.host);
            None
        }
    }
}

/// Sends the newer configuration to a peer that is behind. Otherwise returns a heartbeat, unless this
/// host's own connection to the peer carries one already.
fn answer_heartbeat(
    links: &PeerLinks,
    peer: &AuthenticatedPeer,
    beat: &HeartbeatMessage,
) -> Option<PeerMessage> {
    let own = (links.handlers.heartbeat)();
    if own.config > beat.config {
        let query = ConfigQuery { base: beat.config };
        return (links.handlers.config)(query).map(PeerMessage::Config);
    }
    (!links.view.is_linked(&peer.host)).then_some(PeerMessage::Beat(own))
}
