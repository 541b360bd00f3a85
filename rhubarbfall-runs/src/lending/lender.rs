//! The decisions of the lender.

use litemap::LiteMap;
use rhubarbfall_core::CellId;

use super::{Account, AccountGrants, AccountUse, CellReport, Grant, Grants, equal_share};

/// The resolution at which cells are compared by how well they are served.
const PER_MILLE: u64 = 1_000;

/// Moves shares to the cells that need them, and returns the new grants, or `None` if nothing changes.
///
/// `limits` are the limits in force, without those that are unlimited. `reports` are the newest
/// reports that have been read; older ones delay transfers only. The result must be stored in place of
/// `grants` before any cell follows it, and before the next call.
#[must_use]
pub fn lend(
    grants: &Grants,
    limits: &LiteMap<Account, u64>,
    reports: &LiteMap<CellId, CellReport>,
    cells: u16,
) -> Option<Grants> {
    let mut next = grants.clone();
    next.revision += 1;
    for (account, limit) in limits.iter() {
        let round = Round {
            account,
            limit: *limit,
            reports,
            revision: next.revision,
        };
        match next.accounts.get_mut(account) {
            Some(of_account) => round.update(of_account),
            None => {
                if let Some(of_account) = round.open(cells) {
                    next.accounts.insert(account.clone(), of_account);
                }
            }
        }
    }
    next.accounts
        .retain(|account, _| !is_over(account, reports, cells));
    (next.accounts != grants.accounts).then_some(next)
}

/// Returns whether no cell will use an account any more: it is of a wave that all of them have
/// completed. Shares of other accounts are kept, since a cell may be using them that has not reported.
fn is_over(account: &Account, reports: &LiteMap<CellId, CellReport>, cells: u16) -> bool {
    let Account::Wave(wave) = account else {
        return false;
    };
    let version_in = |cell: u16| {
        let report = reports.get(&CellId::new(cell))?;
        let mut completed = report.completed_waves.iter();
        let of_wave = completed.find(|completed| completed.id == *wave);
        of_wave.map(|completed| completed.version)
    };
    let first = version_in(0);
    first.is_some() && (1..cells).all(|cell| version_in(cell) == first)
}

/// One look at an account.
struct Round<'a> {
    account: &'a Account,
    limit: u64,
    reports: &'a LiteMap<CellId, CellReport>,
    revision: u64,
}

impl Round<'_> {
    fn report(&self, cell: usize) -> Option<&CellReport> {
        self.reports.get(&CellId::new(cell as u16))
    }

    fn use_of(&self, cell: usize) -> Option<AccountUse> {
        self.report(cell)?.uses.get(self.account).copied()
    }

    /// Returns the first shares of their own of an account that a cell needs more of, or `None` if
    /// equal shares do.
    fn open(&self, cells: u16) -> Option<AccountGrants> {
        let equal = |cell: u16| equal_share(self.limit, CellId::new(cell), cells);
        let is_short = |cell: u16| {
            let of_cell = self.use_of(usize::from(cell));
            of_cell.is_some_and(|of_cell| of_cell.is_unsettled || of_cell.wanted > equal(cell))
        };
        if !(0..cells).any(is_short) {
            return None;
        }
        let grant = |cell| Grant {
            granted: equal(cell),
            ceiling: equal(cell),
            changed_in: self.revision,
        };
        let mut of_account = AccountGrants {
            limit: self.limit,
            cells: (0..cells).map(grant).collect(),
            withdrawn_in: 0,
        };
        if self.is_unsettled(&of_account) {
            of_account.withdraw(self.revision);
        }
        Some(of_account)
    }

    /// Returns whether a cell knows of a lowered limit that the shares are not settled for.
    fn is_unsettled(&self, of_account: &AccountGrants) -> bool {
        let is_reported = |cell: usize| {
            let report = self.report(cell);
            let of_cell = self.use_of(cell);
            of_cell.is_some_and(|of_cell| of_cell.is_unsettled)
                && report.is_some_and(|report| report.follows >= of_account.withdrawn_in)
        };
        (0..of_account.cells.len()).any(is_reported)
    }

    fn update(&self, of_account: &mut AccountGrants) {
        if self.limit < of_account.limit || self.is_unsettled(of_account) {
            of_account.withdraw(self.revision);
        }
        of_account.limit = self.limit;
        self.lower_ceilings(of_account);
        let uses = self.uses(of_account);
        let is_short = |(grant, of_cell): (&Grant, &AccountUse)| of_cell.wanted > grant.granted;
        if of_account.cells.iter().zip(&uses).any(is_short) {
            self.transfer(of_account, &uses);
        }
    }

    /// Lowers the ceilings of cells that have reported since their shares changed.
    fn lower_ceilings(&self, of_account: &mut AccountGrants) {
        for (cell, grant) in of_account.cells.iter_mut().enumerate() {
            let Some(report) = self.report(cell) else {
                continue;
            };
            if report.follows < grant.changed_in {
                continue;
            }
            let used = self.use_of(cell).map_or(0, |of_cell| of_cell.used);
            grant.ceiling = grant.ceiling.min(grant.granted.max(used));
        }
    }

    /// Returns what each cell uses and needs. A cell that has not reported keeps its share.
    fn uses(&self, of_account: &AccountGrants) -> Vec<AccountUse> {
        let cells = of_account.cells.iter().enumerate();
        cells
            .map(|(cell, grant)| match self.use_of(cell) {
                Some(of_cell) => of_cell,
                None if self.report(cell).is_some() => AccountUse::default(),
                None => AccountUse {
                    used: grant.granted,
                    wanted: grant.granted,
                    ..AccountUse::default()
                },
            })
            .collect()
    }

    /// Returns whether a cell has reported since its share last changed.
    fn has_followed(&self, cell: usize, grant: &Grant) -> bool {
        let report = self.report(cell);
        report.is_some_and(|report| report.follows >= grant.changed_in)
    }

    /// Lowers shares beyond what the cells are to have, and raises others as far as the ceilings
    /// leave room.
    fn transfer(&self, of_account: &mut AccountGrants, uses: &[AccountUse]) {
        let targets = targets(self.limit, uses);
        for (cell, target) in targets.iter().enumerate() {
            let grant = &mut of_account.cells[cell];
            // A share that changes again before its cell has reported would keep its ceiling.
            if grant.granted > *target && self.has_followed(cell, grant) {
                grant.granted = *target;
                grant.changed_in = self.revision;
            }
        }
        let ceilings = of_account
            .cells
            .iter()
            .map(|grant| u128::from(grant.ceiling));
        let Some(free) = u128::from(self.limit).checked_sub(ceilings.sum()) else {
            return;
        };
        let mut free = free as u64;
        // Room comes back little by little: cells that can start least get it first.
        let mut order: Vec<usize> = (0..targets.len()).collect();
        order.sort_by_key(|cell| {
            let granted = of_account.cells[*cell].granted;
            granted.saturating_sub(uses[*cell].used)
        });
        for cell in order {
            let (grant, target) = (&mut of_account.cells[cell], targets[cell]);
            let raised = target.min(grant.ceiling + free);
            if raised > grant.granted {
                free -= raised.saturating_sub(grant.ceiling);
                grant.granted = raised;
                grant.ceiling = grant.ceiling.max(raised);
                grant.changed_in = self.revision;
            }
        }
    }
}

/// Divides a limit. First come the parts with which every cell can go on: to what it uses as much again, and
/// one more task. Of what is left each cell gets the same until it has what it wants, and then still the
/// same. A cell thus keeps no room for a backlog that it cannot start, since its VMs are busy, while another
/// one could.
fn targets(limit: u64, uses: &[AccountUse]) -> Vec<u64> {
    let next: Vec<u64> = uses.iter().map(next_use).collect();
    let total: u128 = next.iter().map(|of_cell| u128::from(*of_cell)).sum();
    let Some(left) = u128::from(limit).checked_sub(total) else {
        return tight_targets(limit, uses, &next);
    };
    let missing = uses
        .iter()
        .zip(&next)
        .map(|(of_cell, next)| of_cell.wanted - next);
    let (mut targets, left) = fill(&next, &missing.collect::<Vec<u64>>(), left as u64);
    let extra = left / (uses.len() as u64).max(1);
    for target in &mut targets {
        *target += extra;
    }
    targets
}

/// Returns what a cell uses once it has started as much again, and one more task.
fn next_use(of_cell: &AccountUse) -> u64 {
    let next = of_cell.used.saturating_mul(2).saturating_add(of_cell.unit);
    of_cell.wanted.min(next)
}

/// Adds the same to each part until nothing is missing for it, and returns the parts and what is left.
fn fill(parts: &[u64], missing: &[u64], mut left: u64) -> (Vec<u64>, u64) {
    let mut filled = parts.to_vec();
    let mut order: Vec<usize> = (0..parts.len()).collect();
    order.sort_by_key(|cell| missing[*cell]);
    let mut open = parts.len() as u64;
    for cell in order {
        let more = missing[cell].min(left / open);
        filled[cell] += more;
        left -= more;
        open -= 1;
    }
    (filled, left)
}

/// Divides a limit that is too small for the next use of every cell: in proportion to that. A part that
/// is too small to start anything goes to others, the cells that are served least first, so that whatever
/// the limit allows can start in some cell.
fn tight_targets(limit: u64, uses: &[AccountUse], next: &[u64]) -> Vec<u64> {
    let total: u128 = next.iter().map(|of_cell| u128::from(*of_cell)).sum();
    let in_proportion = |next: u64| (u128::from(next) * u128::from(limit) / total) as u64;
    let startable = |(of_cell, next): (&AccountUse, &u64)| {
        let part = in_proportion(*next);
        let is_useful = part >= of_cell.used.saturating_add(of_cell.unit);
        if is_useful {
            part
        } else {
            part.min(of_cell.used)
        }
    };
    let mut targets: Vec<u64> = uses.iter().zip(next).map(startable).collect();
    let mut left = limit - targets.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..uses.len()).collect();
    // The least served first, by the part of what they want that they use.
    order.sort_by_key(|cell| {
        let of_cell = &uses[*cell];
        u128::from(of_cell.used) * u128::from(PER_MILLE) / u128::from(of_cell.wanted.max(1))
    });
    for cell in &order {
        let of_cell = &uses[*cell];
        let useful = of_cell
            .used
            .saturating_add(of_cell.unit)
            .min(of_cell.wanted);
        let missing = useful.saturating_sub(targets[*cell]);
        if missing <= left {
            targets[*cell] += missing;
            left -= missing;
        }
    }
    for cell in &order {
        let more = uses[*cell].wanted.saturating_sub(targets[*cell]).min(left);
        targets[*cell] += more;
        left -= more;
    }
    targets
}
