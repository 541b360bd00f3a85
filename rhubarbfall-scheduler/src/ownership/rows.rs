//! Rows of the store that tell who owns a cell and how the fleet is divided.

use prost::Message;
use rhubarbfall_core::CellId;
use rhubarbfall_site::{RowKey, StoredRow};

use crate::cell_state::CellState;
use crate::peer_status::HolderMessage;

/// Table with the ownership rows of each cell.
pub(super) const CELL_TABLE: &str = "cell";

pub(super) const OWNER_KEY: &str = "owner";
pub(super) const RENEWAL_KEY: &str = "renewal";
pub(super) const LAYOUT_KEY: &str = "layout";

#[derive(Clone, PartialEq, Message)]
pub(super) struct OwnerRow {
    #[prost(uint64, tag = "1")]
    pub(super) fencing_number: u64,
    #[prost(message, optional, tag = "2")]
    pub(super) holder: Option<HolderMessage>,
    /// Remaining time of leases granted by owners before this one, if the ownership is released; in
    /// milliseconds.
    #[prost(uint64, tag = "3")]
    pub(super) inherited_lease_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct RenewalRow {
    #[prost(uint64, tag = "1")]
    pub(super) fencing_number: u64,
    #[prost(uint64, tag = "2")]
    pub(super) sent_at_ms: u64,
    /// Duration of the ownership lease from this renewal on, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(super) lease_ms: u64,
    /// How long orders of earlier owners, and unanswered ones of this owner, may reach the VM service
    /// after this write; in milliseconds. Earlier versions do not write it.
    #[prost(uint64, optional, tag = "4")]
    pub(super) vm_orders_on_the_way_ms: Option<u64>,
    /// How long leases that owners before this one granted to workers may last after this write; in
    /// milliseconds. Earlier versions do not write it.
    #[prost(uint64, optional, tag = "5")]
    pub(super) inherited_leases_ms: Option<u64>,
    /// How long leases that owners of earlier versions granted to workers may last after this write;
    /// in milliseconds. Earlier versions do not write it: their leases can be as long as workers grant
    /// them, since they also reached workers that had started again.
    #[prost(uint64, optional, tag = "6")]
    pub(super) earlier_version_leases_ms: Option<u64>,
}

pub(super) fn cell_row(cell: &CellState, key: &str) -> RowKey {
    RowKey::new(CELL_TABLE, cell.part.clone(), key)
}

pub(super) fn is_layout_row(row: &StoredRow) -> bool {
    row.key.part.parse() == Ok(CellId::FIRST) && *row.key.key == *LAYOUT_KEY
}
