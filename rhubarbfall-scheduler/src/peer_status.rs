//! Periodic status exchange between entries. An entry that cannot reach the store still learns the
//! current configuration and owner from its peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use rhubarbfall_core::{CellId, FencingNumber, RowVersion};
use rhubarbfall_runs::CellLayout;
use rhubarbfall_site::{OPERATOR_TABLE, OperatorRow, RowKey, StoredRow, decode_operator_row};

use tokio::task::JoinSet;

use crate::cell_state::{CellState, Holder};
use crate::node::Node;
use crate::peer;

/// Interval between two polls: short enough for several attempts within the time limit for applying
/// a new configuration, and for noticing at once that the owner is unreachable.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Cells whose owners an entry of a divided fleet polls in one interval, as a divisor of all cells:
/// each owner is polled once in four intervals.
const INTERVALS_PER_CYCLE: usize = 4;

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
    /// The cell that the request is about; earlier versions know only the first one.
    #[prost(uint32, tag = "4")]
    pub(crate) cell: u32,
}

/// Status of the answering entry, with what it knows of the requested cell.
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
    /// How many cells the fleet is divided into, if it is and an active owner answers.
    #[prost(uint32, optional, tag = "7")]
    pub(crate) cells: Option<u32>,
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
    let is_newer = node.config.borrow().version > request.config_version;
    let mut response = PeerStatusResponse {
        config_text: is_newer.then(|| node.config_text.borrow().clone()),
        incarnation: node.incarnation,
        ..PeerStatusResponse::default()
    };
    let cell = u16::try_from(request.cell).ok();
    let Some(cell) = cell.and_then(|number| node.cell(CellId::new(number))) else {
        return response;
    };
    learn_owner(node, &cell, request.fencing_number, request.holder.as_ref());
    let known_owner = cell.known_owner.borrow();
    let now = node.now();
    response.fencing_number = known_owner.fencing_number.get();
    response.holder = known_owner.holder.as_ref().map(HolderMessage::from);
    response.is_active_owner = cell.active_owner(now).is_some();
    response.vm_orders_left_ms = cell.vm_orders_left(now).map(|left| left.as_millis() as u64);
    if response.is_active_owner
        && let Some(layout) = node.layout().filter(|of| !of.is_single())
    {
        response.cells = Some(u32::from(layout.count()));
    }
    response
}

/// Returns the request of an entry that wants no configuration.
pub(crate) fn status_request(cell: &CellState) -> PeerStatusRequest {
    let known_owner = cell.known_owner.borrow();
    PeerStatusRequest {
        config_version: NO_CONFIG_WANTED,
        fencing_number: known_owner.fencing_number.get(),
        holder: known_owner.holder.as_ref().map(HolderMessage::from),
        cell: u32::from(cell.id.number()),
    }
}

fn learn_owner(node: &Node, cell: &CellState, fencing_number: u64, holder: Option<&HolderMessage>) {
    if fencing_number > cell.known_owner.borrow().fencing_number.get() {
        let holder = holder.and_then(HolderMessage::to_holder);
        cell.update_known_owner(node, FencingNumber::new(fencing_number), holder);
    }
}

/// Returns whether the entry at `address` answers as the active owner of a cell.
pub(crate) async fn probe(node: &Node, cell: &CellState, address: SocketAddr) -> bool {
    poll_peer(node, cell, address, PROBE_TIMEOUT).await
}

/// Returns the interval at which an entry polls each of the owners of this many cells.
pub(crate) const fn poll_cycle(cells: usize) -> Duration {
    if cells > 1 {
        POLL_INTERVAL.saturating_mul(INTERVALS_PER_CYCLE as u32)
    } else {
        POLL_INTERVAL
    }
}

/// Polls the owners of all cells in turn.
pub(crate) async fn run(node: Rc<Node>) {
    let (mut round, mut next) = (0_usize, 0_usize);
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let cells = node.cells();
        let polled = if cells.len() > 1 {
            cells.len().div_ceil(INTERVALS_PER_CYCLE)
        } else {
            1
        };
        let mut polls = JoinSet::new();
        for _ in 0..polled {
            let (node, cell) = (Rc::clone(&node), Rc::clone(&cells[next % cells.len()]));
            polls.spawn_local(async move { poll_cell(&node, &cell, round).await });
            next += 1;
        }
        // A panic in a poll restarts the duty.
        polls.join_all().await;
        round += 1;
    }
}

/// Polls the owner of a cell unless it has just been heard. While it does not answer, every second
/// poll goes to one of the seeds in turn.
async fn poll_cell(node: &Node, cell: &CellState, round: usize) {
    let seeds = &node.settings.seeds;
    let seed = seeds.get(round % seeds.len().max(1)).copied();
    let owner = cell.other_owner(node);
    let silence = cell.owner_silence(node.now());
    let cycle = node.poll_cycle();
    let target = if silence > cycle * 2 && round.is_multiple_of(2) {
        seed.or(owner)
    } else {
        owner.or(seed)
    };
    let was_owner_just_heard = target == owner && silence < cycle;
    let Some(address) = target.filter(|address| *address != node.settings.peers) else {
        return;
    };
    if !was_owner_just_heard {
        poll_peer(node, cell, address, POLL_TIMEOUT).await;
    }
}

/// Polls another entry, applies its answer, and returns whether it is the active owner.
async fn poll_peer(node: &Node, cell: &CellState, address: SocketAddr, timeout: Duration) -> bool {
    let is_owner = cell.other_owner(node) == Some(address);
    let request = PeerStatusRequest {
        config_version: known_config_version(node),
        cell: u32::from(cell.id.number()),
        ..PeerStatusRequest::default()
    };
    match peer::exchange_status(node, address, &request, timeout).await {
        Ok(response) => {
            let is_active_owner = is_owner && response.is_active_owner;
            if is_active_owner {
                cell.record_owner_contact(node.now());
            }
            apply_response(node, cell, response);
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

fn apply_response(node: &Node, cell: &CellState, response: PeerStatusResponse) {
    if response.is_active_owner && node.layout().is_none() {
        let cells = response.cells.and_then(|cells| u16::try_from(cells).ok());
        node.set_layout(CellLayout::with_cells(cells.unwrap_or(1)));
    }
    learn_owner(
        node,
        cell,
        response.fencing_number,
        response.holder.as_ref(),
    );
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
