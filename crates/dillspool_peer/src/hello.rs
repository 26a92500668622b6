//! Handshake of two hosts, in which each proves that it knows the shared key.

use dillspool_schema::messages::{HelloMessage, PeerMessage};
use dillspool_schema::{Name, Secret};
use hmac::{Hmac, Mac};
use rand::Rng;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::PeerError;
use crate::codec::{PeerReceiver, PeerSender};
use crate::error::MalformedSnafu;

/// Version of the peer protocol.
pub const PROTOCOL_VERSION: u32 = 1;

/// Identity of this host towards its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// Name of this host.
    pub host: Name,
    /// Start of this process, in milliseconds of Unix time.
    pub incarnation: u64,
    /// Key shared by all hosts.
    pub key: Secret,
}

/// Side of a connection that a host is on; part of the proof, to prevent reflection attacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerSide {
    Dialer,
    Acceptor,
}

impl PeerSide {
    fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Dialer => "dialer",
            Self::Acceptor => "acceptor",
        }
    }
}

/// Authenticated identity of the peer.
#[derive(Clone, Debug)]
pub(crate) struct AuthenticatedPeer {
    pub(crate) host: Name,
    pub(crate) incarnation: u64,
}

/// Exchanges hello messages and nonces, and verifies the peer's proof.
pub(crate) async fn exchange_hello(
    identity: &PeerIdentity,
    side: PeerSide,
    sender: &mut PeerSender,
    receiver: &mut PeerReceiver,
) -> Result<AuthenticatedPeer, PeerError> {
    let nonce = rand::rng().random::<u64>();
    let mut own = HelloMessage {
        version: PROTOCOL_VERSION,
        host: Name::clone(&identity.host),
        incarnation: identity.incarnation,
        nonce,
        proof: "".into(),
    };
    sender.send(&PeerMessage::Hello(own.clone())).await?;
    let peer_hello = expect_hello(receiver).await?;
    if peer_hello.version.abs_diff(PROTOCOL_VERSION) > 1 {
        return Err(PeerError::Version { theirs: peer_hello.version, ours: PROTOCOL_VERSION });
    }
    own.proof = sign_hello(identity, side, &own, peer_hello.nonce);
    sender.send(&PeerMessage::Hello(own)).await?;
    let proven = expect_hello(receiver).await?;
    let expected = sign_hello(identity, side.other(), &peer_hello, nonce);
    let same_peer = peer_hello.host == proven.host && peer_hello.incarnation == proven.incarnation;
    let valid: bool = expected.as_bytes().ct_eq(proven.proof.as_bytes()).into();
    if same_peer && valid {
        Ok(AuthenticatedPeer { host: proven.host, incarnation: proven.incarnation })
    } else {
        Err(PeerError::Proof)
    }
}

async fn expect_hello(receiver: &mut PeerReceiver) -> Result<HelloMessage, PeerError> {
    match receiver.receive().await? {
        PeerMessage::Hello(hello) => Ok(hello),
        _other => MalformedSnafu { reason: "received another message before the hello" }.fail(),
    }
}

/// Computes the proof of the host that sends `hello` on `side`, over the other side's nonce.
fn sign_hello(
    identity: &PeerIdentity,
    side: PeerSide,
    hello: &HelloMessage,
    peer_nonce: u64,
) -> Name {
    let text = format!(
        "{}|{}|{}|{}|{peer_nonce}",
        side.label(),
        hello.host,
        hello.incarnation,
        hello.nonce
    );
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(identity.key.expose().as_bytes()) else {
        unreachable!("HMAC takes keys of any length");
    };
    mac.update(text.as_bytes());
    hex::encode(mac.finalize().into_bytes()).into()
}
