//! Periodic status exchange between entries. An entry that cannot reach the store still learns the
//! current configuration and owner from its peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use rhubarbfall_core::{FencingNumber, RowVersion};
use rhubarbfall_site::{OPERATOR_TABLE, OperatorRow, RowKey, StoredRow, decode_operator_row};

use crate::node::{Holder, Node};
use crate::peer;

/// Interval between two polls: short enough for several attempts within the time limit for applying
/// a new configuration, and for noticing at once that the owner is unreachable.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a periodic poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a probe before a request is sent to the owner.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after the last answer to a poll of the configuration for which an entry asks no peer for a
/// newer one: the store answers each poll within one second. A configuration is many times larger
/// than a status, and each change would be sent to every entry that polls the owner.
const CONFIG_CURRENT_FOR: Duration = Duration::from_millis(1_200);

/// The version of an entry that wants no configuration.
const NO_CONFIG_WANTED: u64 = u64::MAX;

/// Request for a peer's status.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerStatusRequest {
    /// The peer answers with its configuration if that is newer than this version.
    #[prost(uint64, tag = "1")]
    pub(crate) config_version: u64,
    /// The owner that the asking entry knows; earlier versions do not state it.
    #[prost(uint64, tag = "2")]
    pub(crate) fencing_number: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) holder: Option<HolderMessage>,
}

/// Status of the answering entry.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerStatusResponse {
    #[prost(uint64, tag = "1")]
    pub(crate) fencing_number: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) holder: Option<HolderMessage>,
    /// Configuration as the operator wrote it, if newer than the requesting entry's.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub(crate) config_text: Option<Bytes>,
    /// Whether the answering entry is the active owner and can store submissions.
    #[prost(bool, tag = "4")]
    pub(crate) is_active_owner: bool,
    /// Random number of the answering process; earlier versions answer 0.
    #[prost(uint64, tag = "5")]
    pub(crate) incarnation: u64,
    /// How long orders for VMs of the answering process may still matter to another owner, in
    /// milliseconds; not present while it holds the ownership.
    #[prost(uint64, optional, tag = "6")]
    pub(crate) vm_orders_left_ms: Option<u64>,
}

/// Encoded [`Holder`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HolderMessage {
    #[prost(string, tag = "1")]
    pub(crate) entry: String,
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    #[prost(uint64, tag = "3")]
    pub(crate) incarnation: u64,
    #[prost(bool, tag = "4")]
    pub(crate) reads_cancellations: bool,
}

impl From<&Holder> for HolderMessage {
    fn from(holder: &Holder) -> Self {
        Self {
            entry: holder.entry.to_string(),
            address: holder.address.to_string(),
            incarnation: holder.incarnation,
            reads_cancellations: holder.reads_cancellations,
        }
    }
}

impl HolderMessage {
    /// Converts the message, or returns `None` if it is malformed.
    pub(crate) fn to_holder(&self) -> Option<Holder> {
        Some(Holder {
            entry: self.entry.parse().ok()?,
            address: self.address.parse().ok()?,
            incarnation: self.incarnation,
            reads_cancellations: self.reads_cancellations,
        })
    }
}

/// Returns this entry's status for a peer.
pub(crate) fn respond(node: &Node, request: &PeerStatusRequest) -> PeerStatusResponse {
    learn_owner(node, request.fencing_number, request.holder.as_ref());
    let known_owner = node.known_owner.borrow();
    let is_newer = node.config.borrow().version > request.config_version;
    PeerStatusResponse {
        fencing_number: known_owner.fencing_number.get(),
        holder: known_owner.holder.as_ref().map(HolderMessage::from),
        config_text: is_newer.then(|| node.config_text.borrow().clone()),
        is_active_owner: node.active_owner().is_some(),
        incarnation: node.incarnation,
        vm_orders_left_ms: node.vm_orders_left().map(|left| left.as_millis() as u64),
    }
}

/// Returns the request of an entry that wants no configuration.
pub(crate) fn status_request(node: &Node) -> PeerStatusRequest {
    let known_owner = node.known_owner.borrow();
    PeerStatusRequest {
        config_version: NO_CONFIG_WANTED,
        fencing_number: known_owner.fencing_number.get(),
        holder: known_owner.holder.as_ref().map(HolderMessage::from),
    }
}

fn learn_owner(node: &Node, fencing_number: u64, holder: Option<&HolderMessage>) {
    if fencing_number > node.known_owner.borrow().fencing_number.get() {
        let holder = holder.and_then(HolderMessage::to_holder);
        node.update_known_owner(FencingNumber::new(fencing_number), holder);
    }
}

/// Returns whether the entry at `address` answers as the active owner.
pub(crate) async fn probe(node: &Node, address: SocketAddr) -> bool {
    poll_peer(node, address, PROBE_TIMEOUT).await
}

/// Polls the owner periodically. While the owner does not answer, every second poll goes to one of
/// the seeds in turn.
pub(crate) async fn run(node: Rc<Node>) {
    let mut round = 0_usize;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let seeds = &node.settings.seeds;
        let seed = seeds.get(round % seeds.len().max(1)).copied();
        let owner = node.other_owner();
        let is_silent = node.owner_silence() > POLL_INTERVAL * 2;
        let target = if is_silent && round.is_multiple_of(2) {
            seed.or(owner)
        } else {
            owner.or(seed)
        };
        round += 1;
        let was_owner_just_heard = target == owner && node.owner_silence() < POLL_INTERVAL;
        let Some(address) = target.filter(|address| *address != node.settings.peers) else {
            continue;
        };
        if !was_owner_just_heard {
            poll_peer(&node, address, POLL_TIMEOUT).await;
        }
    }
}

/// Polls another entry, applies its answer, and returns whether it is the active owner.
async fn poll_peer(node: &Node, address: SocketAddr, timeout: Duration) -> bool {
    let is_owner = node.other_owner() == Some(address);
    let request = PeerStatusRequest {
        config_version: known_config_version(node),
        ..PeerStatusRequest::default()
    };
    match peer::exchange_status(node, address, &request, timeout).await {
        Ok(response) => {
            let is_active_owner = is_owner && response.is_active_owner;
            if is_active_owner {
                node.last_owner_contact.set(node.now());
            }
            apply_response(node, response);
            is_active_owner
        }
        Err(error) => {
            log::debug!("event=peer_status_failed peer={address} error={error:?}");
            false
        }
    }
}

fn known_config_version(node: &Node) -> u64 {
    if node.now().since(node.config_polled_at.get()) <= CONFIG_CURRENT_FOR {
        NO_CONFIG_WANTED
    } else {
        node.config.borrow().version
    }
}

fn apply_response(node: &Node, response: PeerStatusResponse) {
    learn_owner(node, response.fencing_number, response.holder.as_ref());
    let Some(text) = response.config_text else {
        return;
    };
    let row = StoredRow {
        key: RowKey::new(OPERATOR_TABLE, "", "config"),
        value: text.to_vec(),
        version: RowVersion::default(),
        is_removed: false,
    };
    if let Some(OperatorRow::Config(config)) = decode_operator_row(&row) {
        node.accept_config(config, text, "peer");
    }
}
