//! The division of a fleet into cells.

use prost::Message;
use quick_error::quick_error;
use rhubarbfall_core::{CellId, FencingNumber, ParseIdError, RackId, SubmissionId};

/// The largest number of cells, which bounds the rows and calls that each entry follows.
pub const MAX_CELLS: u16 = 64;

/// The racks that each cell must have: with fewer, cells would differ much in size.
const MIN_RACKS_PER_CELL: usize = 2;

quick_error! {
    /// Why a stored layout cannot be used.
    #[derive(Debug)]
    pub enum LayoutError {
        /// The bytes are not a valid protobuf message of the expected type.
        Malformed(cause: prost::DecodeError) {
            from()
            display("malformed layout: {cause}")
        }
        /// The name of a rack is not a valid identifier.
        BadRack(cause: ParseIdError) {
            from()
            display("invalid rack in layout: {cause}")
        }
        /// The number of cells is zero or beyond [`MAX_CELLS`].
        BadCellCount(count: u32) {
            display("layout with {count} cells, 1 to {MAX_CELLS} are allowed")
        }
    }
}

/// How submissions, workers and VMs are divided among cells.
///
/// A submission belongs to a cell by its identifier alone, so that every entry finds it. Workers and
/// VMs belong to the cell of their rack, which a VM keeps for life: tasks that need one rack find it
/// whole, and orders for a VM always come from one cell.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::{CellId, RackId};
/// use rhubarbfall_runs::CellLayout;
///
/// let racks: Vec<RackId> = (0..8).map(|rack| format!("r{rack}").parse().unwrap()).collect();
/// // Twelve VMs in each rack, two cells of about 48 VMs.
/// let of_vms = racks.iter().flat_map(|rack| vec![Some(rack.clone()); 12]);
/// let layout = CellLayout::divide(of_vms, 48);
/// assert_eq!(layout.cells().count(), 2);
/// assert_eq!(layout.cell_of_rack(Some(&racks[0])), CellId::new(0));
/// assert_eq!(layout.cell_of_rack(Some(&racks[1])), CellId::new(1));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellLayout {
    cells: u16,
    /// The racks at the time of the division, sorted; they belong to the cells in turn.
    racks: Vec<RackId>,
    /// The number that the fencing numbers of owners of all cells exceed: owners from before the
    /// division have used it for workers of every cell.
    fence_floor: FencingNumber,
}

#[derive(Clone, PartialEq, Message)]
struct LayoutRecord {
    #[prost(uint32, tag = "1")]
    cells: u32,
    #[prost(string, repeated, tag = "2")]
    racks: Vec<String>,
    #[prost(uint64, tag = "3")]
    fence_floor: u64,
}

impl CellLayout {
    /// Returns the layout of an undivided fleet.
    #[must_use]
    pub const fn single() -> Self {
        Self {
            cells: 1,
            racks: Vec::new(),
            fence_floor: FencingNumber::new(0),
        }
    }

    /// Divides VMs, given by their racks, into cells of about `vms_per_cell`. A fleet whose VMs are
    /// not all in racks, or in too few, is not divided.
    #[must_use]
    pub fn divide(vms: impl IntoIterator<Item = Option<RackId>>, vms_per_cell: usize) -> Self {
        let vms: Option<Vec<RackId>> = vms.into_iter().collect();
        let Some(mut racks) = vms else {
            return Self::single();
        };
        let wanted = (racks.len() + vms_per_cell / 2) / vms_per_cell.max(1);
        racks.sort();
        racks.dedup();
        let possible = racks.len() / MIN_RACKS_PER_CELL;
        let cells = wanted.min(possible).min(usize::from(MAX_CELLS));
        if cells < 2 {
            return Self::single();
        }
        Self {
            cells: cells as u16,
            racks,
            fence_floor: FencingNumber::default(),
        }
    }

    /// Returns a layout with a number of cells, for those who look up submissions only.
    #[must_use]
    pub fn with_cells(cells: u16) -> Self {
        Self {
            cells: cells.clamp(1, MAX_CELLS),
            ..Self::single()
        }
    }

    /// Sets the number that the fencing numbers of all owners under this layout exceed.
    #[must_use]
    pub fn above_fence(self, fence_floor: FencingNumber) -> Self {
        Self {
            fence_floor,
            ..self
        }
    }

    /// Returns the number that the fencing numbers of all owners under this layout exceed.
    #[must_use]
    pub const fn fence_floor(&self) -> FencingNumber {
        self.fence_floor
    }

    /// Returns the cells.
    pub fn cells(&self) -> impl DoubleEndedIterator<Item = CellId> + use<> {
        (0..self.cells).map(CellId::new)
    }

    /// Returns the number of cells.
    #[must_use]
    pub const fn count(&self) -> u16 {
        self.cells
    }

    /// Returns whether the fleet has one cell.
    #[must_use]
    pub const fn is_single(&self) -> bool {
        self.cells == 1
    }

    /// Returns the cell of a submission.
    #[must_use]
    pub fn cell_of_submission(&self, id: &SubmissionId) -> CellId {
        self.hashed(id.as_str())
    }

    /// Returns the cell of the VMs in a rack. VMs without a rack belong to the first cell; racks that
    /// have come since the division are spread by their names.
    #[must_use]
    pub fn cell_of_rack(&self, rack: Option<&RackId>) -> CellId {
        let Some(rack) = rack.filter(|_| !self.is_single()) else {
            return CellId::FIRST;
        };
        match self.racks.binary_search(rack) {
            Ok(index) => CellId::new((index % usize::from(self.cells)) as u16),
            Err(_) => self.hashed(rack.as_str()),
        }
    }

    fn hashed(&self, text: &str) -> CellId {
        if self.is_single() {
            return CellId::FIRST;
        }
        CellId::new((fnv_1a(text.as_bytes()) % u64::from(self.cells)) as u16)
    }

    /// Encodes the layout as a stored record.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let record = LayoutRecord {
            cells: u32::from(self.cells),
            racks: self.racks.iter().map(ToString::to_string).collect(),
            fence_floor: self.fence_floor.get(),
        };
        record.encode_to_vec()
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns a [`LayoutError`] if the record is malformed or states an impossible number of cells.
    pub fn decode(bytes: &[u8]) -> Result<Self, LayoutError> {
        let record = LayoutRecord::decode(bytes)?;
        let cells = u16::try_from(record.cells).ok();
        let cells = cells
            .filter(|cells| (1..=MAX_CELLS).contains(cells))
            .ok_or(LayoutError::BadCellCount(record.cells))?;
        // The order of the racks decides on their cells, so that none may be left out.
        let racks = record.racks.iter().map(|rack| rack.parse::<RackId>());
        let racks = racks.collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            cells,
            racks,
            fence_floor: FencingNumber::new(record.fence_floor),
        })
    }
}

/// Returns the 64-bit FNV-1a hash, which stays the same in all versions and on all machines.
fn fnv_1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(OFFSET_BASIS, mix)
}
