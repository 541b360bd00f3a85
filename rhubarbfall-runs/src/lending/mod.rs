//! Limits of the whole fleet that cells share: what a customer may use, and how many VMs of a wave may
//! be down.
//!
//! Each cell has a share of each limit, at first an equal one. The owner of the first cell, the lender,
//! moves shares to the cells that need them. It keeps a **ceiling** for each cell: the most that the cell
//! may be using, whatever it has read so far. The ceilings never add up to more than the limit: a
//! share is raised only by what is left below the limit, and the ceiling of a lowered share falls only
//! once the cell has reported that it follows the lower share, to what it still uses. No clock is
//! involved, so that a lost lender, a lost cell, a partition or a pause delays a transfer and never
//! exceeds a limit. Shares and ceilings are stored in one row before a cell can follow them.

mod account;
mod lender;
mod record;

use litemap::LiteMap;
use rhubarbfall_core::{CellId, RowVersion, WaveId};

pub use account::{Account, Dimension, ParseAccountError};
pub use lender::lend;
pub use record::LendingRecordError;

/// The ceiling of a cell that may be using any amount: its limit was lowered, and it has not reported
/// since.
pub const UNKNOWN_CEILING: u64 = u64::MAX;

/// The shares of the cells in limits that are not divided equally.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Grants {
    /// Increases with each change.
    pub revision: u64,
    /// The accounts with shares of their own; those of all others are equal.
    pub accounts: LiteMap<Account, AccountGrants>,
}

/// The shares of the cells in one limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AccountGrants {
    /// The limit that the shares were computed for.
    pub limit: u64,
    /// The share of each cell, by the cell's number.
    pub cells: Vec<Grant>,
    /// The revision in which all shares were last withdrawn to be set anew, or 0.
    pub withdrawn_in: u64,
}

/// The share of one cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Grant {
    /// What the cell may use.
    pub granted: u64,
    /// The most that the cell may be using, whatever it has read so far.
    pub ceiling: u64,
    /// The revision in which the share last changed.
    pub changed_in: u64,
}

/// What a cell reports to the lender.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CellReport {
    /// The revision of the grants that the cell follows.
    pub follows: u64,
    /// The cell's use of each account that has shares of its own or of which it needs more.
    pub uses: LiteMap<Account, AccountUse>,
    /// The waves of which no VM of the cell is left to maintain, sorted.
    pub completed_waves: Vec<CompletedWave>,
}

/// A wave of which a cell has no VM left to maintain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CompletedWave {
    /// The wave.
    pub id: WaveId,
    /// The version of the request that the cell has followed: a report may be older than a request
    /// that was written again.
    pub version: RowVersion,
}

/// The use of an account by one cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountUse {
    /// What is in use.
    pub used: u64,
    /// What would be in use if the cell's share were large enough.
    pub wanted: u64,
    /// What any of the waiting tasks needs at most; a share with less room than that may start nothing.
    pub unit: u64,
    /// Whether the limit was lowered: the cell uses nothing more until its share is set anew.
    pub is_unsettled: bool,
}

impl AccountGrants {
    /// Withdraws all shares: the cells may be using any amount until they have reported.
    fn withdraw(&mut self, revision: u64) {
        self.withdrawn_in = revision;
        self.cells.fill(Grant {
            granted: 0,
            ceiling: UNKNOWN_CEILING,
            changed_in: revision,
        });
    }
}

impl Grants {
    /// Returns whether the shares of an account were withdrawn after `revision`, so that they are settled
    /// for limits known by then.
    #[must_use]
    pub fn is_withdrawn_since(&self, account: &Account, revision: u64) -> bool {
        let of_account = self.accounts.get(account);
        of_account.is_some_and(|of_account| of_account.withdrawn_in > revision)
    }

    /// Returns what a cell may use of an account with this limit.
    #[must_use]
    pub fn share(&self, account: &Account, limit: u64, cell: CellId, cells: u16) -> u64 {
        let Some(of_account) = self.accounts.get(account) else {
            return equal_share(limit, cell, cells);
        };
        let grant = of_account.cells.get(usize::from(cell.number()));
        let granted = grant.map_or(0, |grant| grant.granted);
        // Nothing is settled for a lower limit until the lender knows it.
        if limit < of_account.limit { 0 } else { granted }
    }
}

/// Returns the share of a cell in a limit that is divided equally.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::CellId;
/// use rhubarbfall_runs::lending::equal_share;
///
/// let shares = [0, 1, 2].map(|cell| equal_share(8, CellId::new(cell), 3));
/// assert_eq!(shares, [3, 3, 2]);
/// ```
#[must_use]
pub fn equal_share(limit: u64, cell: CellId, cells: u16) -> u64 {
    let cells = u64::from(cells.max(1));
    limit / cells + u64::from(u64::from(cell.number()) < limit % cells)
}
