use std::sync::Arc;

use bytes::Bytes;
use parking_lot::RwLock;
use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation, LiteMap};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

use super::link::{Link, Target};
use super::{MessageHandler, Peer, PeerNetworkConfig, ReceivedMessage, SendError, inbound};
use crate::{Envelope, PeerIdentity};

/// The connections of this process to the other entries.
///
/// All messages to a peer share one connection, which the first message opens. Messages are
/// delivered in order and at most once; those queued while a connection fails are dropped, so
/// callers resend messages that must arrive. Clones share one network, and any thread may send.
#[derive(Clone)]
pub struct PeerNetwork {
    inner: Arc<Inner>,
}

pub(super) struct Inner {
    pub(super) config: PeerNetworkConfig,
    runtime: Handle,
    peers: RwLock<LiteMap<EntryId, KnownPeer>>,
    handlers: RwLock<LiteMap<u32, MessageHandler>>,
    newest_incarnations: RwLock<LiteMap<EntryId, Incarnation>>,
}

struct KnownPeer {
    peer: Peer,
    link: Option<Link>,
}

impl PeerNetwork {
    /// Starts accepting connections on `listener`; all connections run on `runtime`.
    #[must_use]
    pub fn start(config: PeerNetworkConfig, listener: TcpListener, runtime: &Handle) -> Self {
        let inner = Arc::new(Inner {
            config,
            runtime: runtime.clone(),
            peers: RwLock::default(),
            handlers: RwLock::default(),
            newest_incarnations: RwLock::default(),
        });
        let connections = Arc::new(Semaphore::new(inner.config.max_inbound_connections));
        runtime.spawn(inbound::accept_all(
            Arc::downgrade(&inner),
            listener,
            connections,
        ));
        Self { inner }
    }

    /// Returns the identity of this process.
    #[must_use]
    pub fn identity(&self) -> &PeerIdentity {
        &self.inner.config.identity
    }

    /// Registers the handler for messages of this kind, replacing any previous one.
    pub fn register(&self, kind: u32, handler: impl Fn(ReceivedMessage) + Send + Sync + 'static) {
        self.inner.handlers.write().insert(kind, Arc::new(handler));
    }

    /// Replaces the list of peers; an entry with the identifier of this process is ignored.
    pub fn set_peers(&self, peers: impl IntoIterator<Item = Peer>) {
        let mut known = self.inner.peers.write();
        let mut old = std::mem::take(&mut *known);
        for peer in peers {
            if peer.entry == self.inner.config.identity.entry {
                continue;
            }
            let link = old
                .remove(&peer.entry)
                .filter(|old| old.peer.address == peer.address)
                .filter(|old| old.peer.incarnation == peer.incarnation)
                .and_then(|old| old.link);
            known.insert(peer.entry.clone(), KnownPeer { peer, link });
        }
    }

    /// Returns all known peers, sorted by identifier.
    #[must_use]
    pub fn peers(&self) -> Vec<Peer> {
        let known = self.inner.peers.read();
        known.iter().map(|(_, known)| known.peer.clone()).collect()
    }

    /// Returns the live peers, grouped by availability zone.
    #[must_use]
    pub fn live_peers(&self) -> LiteMap<AvailabilityZoneId, Vec<EntryId>> {
        let mut zones: LiteMap<AvailabilityZoneId, Vec<EntryId>> = LiteMap::new();
        for peer in self.peers().into_iter().filter(|peer| peer.is_live) {
            match zones.get_mut(&peer.zone) {
                Some(entries) => entries.push(peer.entry),
                None => {
                    zones.insert(peer.zone, vec![peer.entry]);
                }
            }
        }
        zones
    }

    /// Queues a message to one entry; delivery is not guaranteed.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::UnknownPeer`] if the entry is not a known peer, and
    /// [`SendError::QueueFull`] if its queue is full.
    pub fn send(
        &self,
        entry: &EntryId,
        kind: u32,
        payload: impl Into<Bytes>,
    ) -> Result<(), SendError> {
        let envelope = Envelope::new(kind, payload);
        let sender = self.link(entry)?;
        let full = |_| SendError::QueueFull(entry.clone());
        sender.try_send(envelope).map_err(full)
    }

    /// Queues a message to each live peer in this process's availability zone, and returns the
    /// number of peers for which it was queued.
    pub fn broadcast_zone(&self, kind: u32, payload: impl Into<Bytes>) -> usize {
        let zone = &self.inner.config.identity.zone;
        self.broadcast(kind, &payload.into(), |peer| peer.zone == *zone)
    }

    /// Queues a message to each live peer of the fleet, and returns the number of peers for which
    /// it was queued.
    pub fn broadcast_all(&self, kind: u32, payload: impl Into<Bytes>) -> usize {
        self.broadcast(kind, &payload.into(), |_| true)
    }

    fn broadcast(&self, kind: u32, payload: &Bytes, is_chosen: impl Fn(&Peer) -> bool) -> usize {
        let peers = self.peers();
        let chosen = peers.iter().filter(|peer| peer.is_live && is_chosen(peer));
        chosen
            .filter(|peer| self.send(&peer.entry, kind, payload.clone()).is_ok())
            .count()
    }

    fn link(&self, entry: &EntryId) -> Result<mpsc::Sender<Envelope>, SendError> {
        let mut peers = self.inner.peers.write();
        let Some(known) = peers.get_mut(entry) else {
            return Err(SendError::UnknownPeer(entry.clone()));
        };
        let target = Target {
            entry: entry.clone(),
            address: known.peer.address,
        };
        let link = known
            .link
            .get_or_insert_with(|| Link::open(&self.inner.runtime, &self.inner.config, target));
        Ok(link.sender())
    }
}

impl Inner {
    /// Passes a message to the handler of its kind, unless a message from a later incarnation of
    /// the sender has already arrived.
    pub(super) fn dispatch(&self, peer: &PeerIdentity, envelope: Envelope) {
        if !self.is_newest_incarnation(peer) {
            return;
        }
        let handler = self.handlers.read().get(&envelope.kind).cloned();
        if let Some(handler) = handler {
            handler(ReceivedMessage {
                sender: peer.entry.clone(),
                zone: peer.zone.clone(),
                incarnation: peer.incarnation,
                address: peer.address,
                payload: envelope.payload,
            });
        }
    }

    fn is_newest_incarnation(&self, peer: &PeerIdentity) -> bool {
        let newest = self.newest_incarnations.read().get(&peer.entry).copied();
        if newest == Some(peer.incarnation) {
            return true;
        }
        let mut newest = self.newest_incarnations.write();
        if newest.get(&peer.entry) > Some(&peer.incarnation) {
            return false;
        }
        newest.insert(peer.entry.clone(), peer.incarnation);
        true
    }
}
