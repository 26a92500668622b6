//! The greeting of two hosts: each proves that it knows the shared key.

use dillspool_schema::messages::{HelloMessage, PeerMessage};
use dillspool_schema::{Name, Secret};
use hmac::{Hmac, Mac};
use rand::Rng;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::PeerError;
use crate::codec::{PeerReceiver, PeerSender};
use crate::error::MalformedSnafu;

/// Version of the messages between hosts.
pub const PROTOCOL_VERSION: u32 = 1;

/// Who this host is towards its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// Name of this host.
    pub host: Name,
    /// Start of this process, in milliseconds of Unix time.
    pub incarnation: u64,
    /// Secret that all hosts share.
    pub key: Secret,
}

/// Which side of a connection a host is on; part of the proof, so that none can be reflected.
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

/// Who the other side proved to be.
#[derive(Clone, Debug)]
pub(crate) struct ProvenPeer {
    pub(crate) host: Name,
    pub(crate) incarnation: u64,
}

/// Greets, exchanges nonces, and checks the other side's proof.
pub(crate) async fn exchange_hello(
    identity: &PeerIdentity,
    side: PeerSide,
    sender: &mut PeerSender,
    receiver: &mut PeerReceiver,
) -> Result<ProvenPeer, PeerError> {
    let nonce = rand::rng().random::<u64>();
    let mut own = HelloMessage {
        version: PROTOCOL_VERSION,
        host: Name::clone(&identity.host),
        incarnation: identity.incarnation,
        nonce,
        proof: "".into(),
    };
    sender.send(&PeerMessage::Hello(own.clone())).await?;
    let greeting = expect_hello(receiver).await?;
    if greeting.version.abs_diff(PROTOCOL_VERSION) > 1 {
        return Err(PeerError::Version { theirs: greeting.version, ours: PROTOCOL_VERSION });
    }
    own.proof = prove(identity, side, &own, greeting.nonce);
    sender.send(&PeerMessage::Hello(own)).await?;
    let proven = expect_hello(receiver).await?;
    let expected = prove(identity, side.other(), &greeting, nonce);
    let same = greeting.host == proven.host && greeting.incarnation == proven.incarnation;
    let valid: bool = expected.as_bytes().ct_eq(proven.proof.as_bytes()).into();
    if same && valid {
        Ok(ProvenPeer { host: proven.host, incarnation: proven.incarnation })
    } else {
        Err(PeerError::Proof)
    }
}

async fn expect_hello(receiver: &mut PeerReceiver) -> Result<HelloMessage, PeerError> {
    match receiver.receive().await? {
        PeerMessage::Hello(hello) => Ok(hello),
        _other => MalformedSnafu { reason: "a message before the hello" }.fail(),
    }
}

/// The proof of the host that says `hello` on `side`, against the other side's nonce.
fn prove(identity: &PeerIdentity, side: PeerSide, hello: &HelloMessage, against: u64) -> Name {
    let text =
        format!("{}|{}|{}|{}|{against}", side.label(), hello.host, hello.incarnation, hello.nonce);
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(identity.key.expose().as_bytes()) else {
        unreachable!("HMAC takes keys of any length");
    };
    mac.update(text.as_bytes());
    hex::encode(mac.finalize().into_bytes()).into()
}
