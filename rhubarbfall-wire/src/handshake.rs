use prost::Message;
use subtle::ConstantTimeEq;

use crate::hello::{Hello, Proof};
use crate::{FleetKey, FrameCodec, PeerIdentity, WireError};

/// The length of the random nonce in a [`Hello`].
pub(crate) const NONCE_BYTES: usize = 32;

/// The role of a process in a handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeRole {
    /// The process that opened the connection.
    Initiator,
    /// The process that accepted the connection.
    Responder,
}

impl HandshakeRole {
    const fn proof_label(self) -> &'static str {
        match self {
            Self::Initiator => "rhubarbfall initiator proof",
            Self::Responder => "rhubarbfall responder proof",
        }
    }

    const fn other(self) -> Self {
        match self {
            Self::Initiator => Self::Responder,
            Self::Responder => Self::Initiator,
        }
    }
}

/// Mutual challenge-response authentication, independent of any transport.
///
/// Both sides send a [`Hello`] with a random nonce and then a [`Proof`], an HMAC of both hellos
/// under the fleet key. The responder sends its proof only after it has verified the initiator's,
/// so that an unauthenticated peer receives no digest that it could attack offline.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::Incarnation;
/// use rhubarbfall_wire::{FleetKey, Handshake, HandshakeRole, PeerIdentity};
///
/// let identity = |name: &str| PeerIdentity {
///     entry: name.parse().expect("valid identifier"),
///     zone: "zone-a".parse().expect("valid identifier"),
///     incarnation: Incarnation::new(1),
///     address: ([127, 0, 0, 1], 7000).into(),
/// };
/// let key = FleetKey::new("secret");
/// let initiator =
///     Handshake::new(HandshakeRole::Initiator, &identity("entry-1"), [1; 32], key.clone());
/// let responder =
///     Handshake::new(HandshakeRole::Responder, &identity("entry-2"), [2; 32], key);
/// let (initiator_hello, responder_hello) = (initiator.hello().clone(), responder.hello().clone());
/// let initiator = initiator.receive(responder_hello)?;
/// let responder = responder.receive(initiator_hello)?;
/// responder.verify(&initiator.proof())?;
/// initiator.verify(&responder.proof())?;
/// assert_eq!(responder.peer().entry.as_str(), "entry-1");
/// # Ok::<(), rhubarbfall_wire::WireError>(())
/// ```
#[derive(Debug)]
pub struct Handshake {
    role: HandshakeRole,
    key: FleetKey,
    hello: Hello,
}

impl Handshake {
    /// Starts a handshake; `nonce` must be random and never reused.
    #[must_use]
    pub fn new(
        role: HandshakeRole,
        identity: &PeerIdentity,
        nonce: [u8; NONCE_BYTES],
        key: FleetKey,
    ) -> Self {
        let hello = identity.to_hello(&nonce);
        Self { role, key, hello }
    }

    /// Returns the hello to send to the peer.
    #[must_use]
    pub const fn hello(&self) -> &Hello {
        &self.hello
    }

    /// Processes the peer's hello.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Version`] if the peer uses another protocol version, and
    /// [`WireError::Malformed`] if a field of the hello is invalid.
    pub fn receive(self, hello: Hello) -> Result<HandshakeSession, WireError> {
        let peer = PeerIdentity::from_hello(&hello)?;
        if hello.nonce.len() != NONCE_BYTES {
            return Err(WireError::Malformed);
        }
        let (initiator, responder) = match self.role {
            HandshakeRole::Initiator => (self.hello, hello),
            HandshakeRole::Responder => (hello, self.hello),
        };
        Ok(HandshakeSession {
            role: self.role,
            key: self.key,
            peer,
            transcript: [initiator.encode_to_vec(), responder.encode_to_vec()],
        })
    }
}

/// A handshake after the exchange of hellos; the peer is authenticated once
/// [`HandshakeSession::verify`] succeeds.
#[derive(Debug)]
pub struct HandshakeSession {
    role: HandshakeRole,
    key: FleetKey,
    peer: PeerIdentity,
    transcript: [Vec<u8>; 2],
}

impl HandshakeSession {
    /// Returns the identity that the peer claims in its hello.
    #[must_use]
    pub const fn peer(&self) -> &PeerIdentity {
        &self.peer
    }

    /// Returns the proof to send to the peer.
    #[must_use]
    pub fn proof(&self) -> Proof {
        Proof {
            digest: self.digest(self.role.proof_label()).to_vec(),
        }
    }

    /// Verifies the peer's proof in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Authentication`] if the proof was not made with the fleet key, for
    /// these hellos and by the peer's role.
    pub fn verify(&self, proof: &Proof) -> Result<(), WireError> {
        let expected = self.digest(self.role.other().proof_label());
        if bool::from(expected.as_slice().ct_eq(&proof.digest)) {
            Ok(())
        } else {
            Err(WireError::Authentication)
        }
    }

    /// Returns the codec for the messages that follow the handshake.
    #[must_use]
    pub fn codec(&self, max_frame_bytes: usize) -> FrameCodec {
        let session_key = self.digest("rhubarbfall session");
        FrameCodec::new(self.role, session_key, self.peer.clone(), max_frame_bytes)
    }

    fn digest(&self, label: &str) -> [u8; 32] {
        let [initiator, responder] = &self.transcript;
        self.key.digest(label, &[initiator, responder])
    }
}
