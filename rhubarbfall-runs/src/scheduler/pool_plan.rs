//! Chooses the VMs that move between pools, from what each pool needs and has.

use std::time::Duration;

use rhubarbfall_core::{ServiceId, VmId};

/// How long a VM is idle before it moves to the spare pool: a move costs about as much as one
/// second in a pool.
pub(super) const MIN_IDLE_BEFORE_SPARE: Duration = Duration::from_secs(1);

/// How long a VM is idle before it may move to another pool.
const MIN_IDLE_BEFORE_MOVE: Duration = Duration::from_millis(300);

/// The demand and supply of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLoad {
    /// The service that the pool belongs to.
    pub service: ServiceId,
    /// Whether this is the spare pool, whose VMs are switched off until another pool needs them.
    pub is_spare: bool,
    /// The number of VMs that the open work needs, without overdue work.
    pub needed: usize,
    /// The number of VMs that all open work needs. Overdue work has no value any more and still has
    /// to run; it gets VMs that no pool needs for other work.
    pub needed_with_overdue: usize,
    /// The number of usable VMs, including those that are moving to the pool.
    pub supply: usize,
    /// The VMs without work, and for how long they have been idle.
    pub idle: Vec<(VmId, Duration)>,
}

/// Plans moves of VMs between pools: idle VMs move to pools with waiting work, those of the spare
/// pool first, and the others move to the spare pool if no pool needs them. Overdue work gets what
/// the other work of all pools leaves.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use rhubarbfall_runs::scheduler::{PoolLoad, plan_moves};
///
/// let pool = |name: &str, is_spare, needed, supply, idle: &[&str]| PoolLoad {
///     service: name.parse().unwrap(),
///     is_spare,
///     needed,
///     needed_with_overdue: needed,
///     supply,
///     idle: idle.iter().map(|vm| (vm.parse().unwrap(), Duration::from_secs(9))).collect(),
/// };
/// let pools = [
///     pool("labels", false, 3, 1, &[]),
///     pool("permits", false, 0, 1, &["vm-2"]),
///     pool("spare", true, 0, 1, &["vm-3"]),
/// ];
/// let moves = plan_moves(&pools);
/// assert_eq!(moves.len(), 2);
/// assert!(moves.iter().all(|(_, to)| to.as_str() == "labels"));
/// ```
#[must_use]
pub fn plan_moves(pools: &[PoolLoad]) -> Vec<(VmId, ServiceId)> {
    let mut donors = donors(pools);
    let mut moves = Vec::new();
    supply_short_pools(pools, |pool| pool.needed, &mut donors, &mut moves);
    let needed_with_overdue = |pool: &PoolLoad| pool.needed_with_overdue;
    supply_short_pools(pools, needed_with_overdue, &mut donors, &mut moves);
    if let Some(spare) = pools.iter().find(|pool| pool.is_spare) {
        let unused = donors
            .into_iter()
            .filter(|donor| donor.pool != spare.service && donor.idle_for >= MIN_IDLE_BEFORE_SPARE);
        moves.extend(unused.map(|donor| (donor.vm, spare.service.clone())));
    }
    moves
}

/// Moves VMs of donors to the pools that have fewer VMs than `needed` returns. These get one VM in
/// turn, so that one surge does not take all of them.
fn supply_short_pools(
    pools: &[PoolLoad],
    needed: impl Fn(&PoolLoad) -> usize,
    donors: &mut Vec<Donor>,
    moves: &mut Vec<(VmId, ServiceId)>,
) {
    let mut short_pools: Vec<(usize, &PoolLoad)> = pools
        .iter()
        .filter(|pool| !pool.is_spare)
        .map(|pool| {
            let gained = moves.iter().filter(|(_, to)| *to == pool.service).count();
            (needed(pool).saturating_sub(pool.supply + gained), pool)
        })
        .filter(|(missing, _)| *missing > 0)
        .collect();
    short_pools.sort_by_key(|(missing, _)| std::cmp::Reverse(*missing));
    while !donors.is_empty() && short_pools.iter().any(|(missing, _)| *missing > 0) {
        for (missing, pool) in short_pools.iter_mut().filter(|(missing, _)| *missing > 0) {
            if let Some(index) = donors.iter().rposition(|donor| donor.pool != pool.service) {
                moves.push((donors.remove(index).vm, pool.service.clone()));
            }
            *missing -= 1;
        }
    }
}

struct Donor {
    vm: VmId,
    pool: ServiceId,
    idle_for: Duration,
}

/// Returns the VMs that their pools can spare, the preferred ones last.
fn donors(pools: &[PoolLoad]) -> Vec<Donor> {
    let mut donors = Vec::new();
    for pool in pools {
        let surplus = if pool.is_spare {
            pool.idle.len()
        } else {
            pool.supply.saturating_sub(pool.needed)
        };
        let mut idle = pool.idle.clone();
        idle.sort_by_key(|(_, idle_for)| std::cmp::Reverse(*idle_for));
        let is_ready = |idle_for: Duration| pool.is_spare || idle_for >= MIN_IDLE_BEFORE_MOVE;
        for (vm, idle_for) in idle.into_iter().take(surplus) {
            if is_ready(idle_for) {
                donors.push(Donor {
                    vm,
                    pool: pool.service.clone(),
                    idle_for,
                });
            }
        }
    }
    // Idle VMs that are switched on cost money; they come last and are thus moved first.
    let is_spare = |donor: &Donor| {
        pools
            .iter()
            .any(|pool| pool.is_spare && pool.service == donor.pool)
    };
    donors.sort_by_key(|donor| (!is_spare(donor), donor.idle_for));
    donors
}
