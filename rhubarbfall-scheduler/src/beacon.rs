//! Regular exchanges between entries, so that one that the store turns away still learns the
//! configuration and the owner.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use rhubarbfall_core::{FencingNumber, RowVersion};
use rhubarbfall_site::{OPERATOR_TABLE, OperatorRow, RowKey, StoredRow, decode_operator_row};

use crate::node::{Holder, Node};
use crate::peer;

/// How often an entry asks another one: several times within the bound for a new configuration, and
/// often enough to know at once whether the owner can be reached.
const INTERVAL: Duration = Duration::from_millis(250);

/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_millis(500);

/// How long the owner may take to say that it is there, before something is sent to it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// What an entry knows and wants to know.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct BeaconRequest {
    #[prost(uint64, tag = "1")]
    pub(crate) config_version: u64,
}

/// What another entry knows.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct BeaconAnswer {
    #[prost(uint64, tag = "1")]
    pub(crate) fencing_number: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) holder: Option<HolderMessage>,
    /// The configuration as the operator wrote it, when it is newer than the asker's.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub(crate) config_text: Option<Bytes>,
    /// Whether the answering entry is the owner and can store what it takes.
    #[prost(bool, tag = "4")]
    pub(crate) is_acting: bool,
}

/// The owner.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HolderMessage {
    #[prost(string, tag = "1")]
    pub(crate) entry: String,
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    #[prost(uint64, tag = "3")]
    pub(crate) incarnation: u64,
}

impl From<&Holder> for HolderMessage {
    fn from(holder: &Holder) -> Self {
        Self {
            entry: holder.entry.to_string(),
            address: holder.address.to_string(),
            incarnation: holder.incarnation,
        }
    }
}

impl HolderMessage {
    /// Reads the holder, or `None` when it is malformed.
    pub(crate) fn read(&self) -> Option<Holder> {
        Some(Holder {
            entry: self.entry.parse().ok()?,
            address: self.address.parse().ok()?,
            incarnation: self.incarnation,
        })
    }
}

/// Answers another entry.
pub(crate) fn answer(node: &Node, request: &BeaconRequest) -> BeaconAnswer {
    let belief = node.belief.borrow();
    let is_newer = node.config.borrow().version > request.config_version;
    BeaconAnswer {
        fencing_number: belief.fencing_number.get(),
        holder: belief.holder.as_ref().map(HolderMessage::from),
        config_text: is_newer.then(|| node.config_text.borrow().clone()),
        is_acting: node.acting_owner().is_some(),
    }
}

/// Asks the owner whether it is there and can store what it takes.
pub(crate) async fn probe(node: &Node, address: SocketAddr) -> bool {
    exchange(node, address, PROBE_TIMEOUT).await
}

/// Asks the owner, or the seeds in turn while it does not answer.
pub(crate) async fn run(node: Rc<Node>) {
    let mut turn = 0_usize;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let seeds = &node.settings.seeds;
        let seed = seeds.get(turn % seeds.len().max(1)).copied();
        let owner = node.other_owner();
        let is_silent = node.owner_silence() > INTERVAL * 2;
        let asked = if is_silent && turn.is_multiple_of(2) {
            seed.or(owner)
        } else {
            owner.or(seed)
        };
        turn += 1;
        let was_just_heard = asked == owner && node.owner_silence() < INTERVAL;
        let Some(address) = asked.filter(|address| *address != node.settings.peers) else {
            continue;
        };
        if !was_just_heard {
            exchange(&node, address, TIMEOUT).await;
        }
    }
}

/// Asks another entry what it knows, and returns whether it is the owner at work.
async fn exchange(node: &Node, address: SocketAddr, timeout: Duration) -> bool {
    let is_owner = node.other_owner() == Some(address);
    let request = BeaconRequest {
        config_version: node.config.borrow().version,
    };
    match peer::beacon(node, address, &request, timeout).await {
        Ok(answer) => {
            let is_at_work = is_owner && answer.is_acting;
            if is_at_work {
                node.owner_heard_at.set(node.now());
            }
            take(node, answer);
            is_at_work
        }
        Err(error) => {
            log::debug!("event=beacon_failed peer={address} error={error:?}");
            false
        }
    }
}

fn take(node: &Node, answer: BeaconAnswer) {
    let holder = answer.holder.as_ref().and_then(HolderMessage::read);
    if answer.fencing_number > node.belief.borrow().fencing_number.get() {
        node.accept_belief(FencingNumber::new(answer.fencing_number), holder);
    }
    let Some(text) = answer.config_text else {
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
