//! Chooses the VMs that move between pools, from what each pool needs and has.

use std::time::Duration;

use rhubarbfall_core::{ServiceId, VmId};

/// How long a VM is idle before it moves to the spare pool. Work of its queue that arrives after that
/// waits for a move back, which takes longer than this.
const MIN_IDLE_BEFORE_SPARE: Duration = Duration::from_secs(1);

/// How long a VM is idle before it may move to another pool.
const MIN_IDLE_BEFORE_MOVE: Duration = Duration::from_millis(300);

/// The part of its share below which a pool gets VMs that hold work. Shares change with every
/// arrival, and a VM that is drained does no work for about as long as a task and a move take.
const STARVED_BELOW: f64 = 0.75;

/// The bisections of the part of the needs that can be met: enough for single VMs of thousands.
const PART_BISECTIONS: usize = 16;

/// The demand and supply of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLoad {
    /// The service that the pool belongs to.
    pub service: ServiceId,
    /// Whether this is the spare pool, whose VMs are switched off until another pool needs them.
    pub is_spare: bool,
    /// What the open work needs.
    pub need: PoolNeed,
    /// The number of usable VMs, including those that are moving to the pool.
    pub supply: usize,
    /// The VMs without work, and for how long they have been idle.
    pub idle: Vec<(VmId, Duration)>,
    /// The VMs that are empty soon if they get no new work, the least loaded ones first.
    pub drainable: Vec<VmId>,
}

/// The numbers of VMs that the open work of a pool needs, each with the more urgent work included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolNeed {
    /// For long-running tasks that wait and have room on no VM of the pool, with all VMs that the pool
    /// has; 0 if there are none.
    pub long_running: usize,
    /// For work that is long-running or can still be in time.
    pub in_time: usize,
    /// With the late work that may have VMs.
    pub total: usize,
    /// The number of tasks of this late work that wait and may start.
    pub late_waiting: usize,
}

impl PoolNeed {
    /// The needs in the order in which they are met.
    const BY_URGENCY: [fn(&Self) -> usize; 3] = [
        |need| need.long_running,
        |need| need.in_time,
        |need| need.total,
    ];

    /// Returns the need of work that can all be in time.
    #[must_use]
    pub const fn in_time(vms: usize) -> Self {
        Self {
            long_running: 0,
            in_time: vms,
            total: vms,
            late_waiting: 0,
        }
    }

    /// Raises what work in time needs, and what all work needs, to at least `vms`.
    pub(super) fn raise(&mut self, vms: usize) {
        self.in_time = self.in_time.max(vms);
        self.total = self.total.max(vms);
    }
}

/// Plans moves of VMs between pools: idle VMs move to pools with waiting work, those of the spare
/// pool first, and the others move to the spare pool if no pool needs them. Long-running work comes
/// first, and late work gets what the work in time of all pools leaves. A pool that still lacks a VM
/// for long-running work, or has far fewer than its share, gets some that hold work, from pools beyond
/// theirs.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use rhubarbfall_runs::scheduler::{PoolLoad, PoolNeed, plan_moves};
///
/// let pool = |name: &str, is_spare, needed, supply, idle: &[&str]| PoolLoad {
///     service: name.parse().unwrap(),
///     is_spare,
///     need: PoolNeed::in_time(needed),
///     supply,
///     idle: idle.iter().map(|vm| (vm.parse().unwrap(), Duration::from_secs(9))).collect(),
///     drainable: Vec::new(),
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
    let mut donors = donors(pools, |need| need.in_time);
    let mut moves = Vec::new();
    supply_short_pools(pools, |need| need.long_running, &mut donors, &mut moves);
    supply_long_running(pools, &mut moves);
    donors.retain(|donor| moves.iter().all(|(vm, _)| *vm != donor.vm));
    supply_short_pools(pools, |need| need.in_time, &mut donors, &mut moves);
    supply_short_pools(pools, |need| need.total, &mut donors, &mut moves);
    if let Some(spare) = pools.iter().find(|pool| pool.is_spare) {
        let unused = donors
            .into_iter()
            .filter(|donor| donor.pool != spare.service && donor.idle_for >= MIN_IDLE_BEFORE_SPARE);
        moves.extend(unused.map(|donor| (donor.vm, spare.service.clone())));
    }
    drain_for_starved_pools(pools, &mut moves);
    moves
}

/// Moves idle VMs that other pools have for work in time to pools that still lack VMs for long-running
/// work.
fn supply_long_running(pools: &[PoolLoad], moves: &mut Vec<(VmId, ServiceId)>) {
    let is_short = |pool: &PoolLoad| pool.need.long_running > pool.supply;
    if pools.iter().any(is_short) {
        let mut donors = donors(pools, |need| need.long_running);
        donors.retain(|donor| moves.iter().all(|(vm, _)| *vm != donor.vm));
        supply_short_pools(pools, |need| need.long_running, &mut donors, moves);
    }
}

/// Moves VMs of donors to the pools that have fewer VMs than they need. These get one VM in turn, so
/// that one surge does not take all of them.
fn supply_short_pools(
    pools: &[PoolLoad],
    needed: impl Fn(&PoolNeed) -> usize,
    donors: &mut Vec<Donor>,
    moves: &mut Vec<(VmId, ServiceId)>,
) {
    let mut short_pools: Vec<(usize, &PoolLoad)> = pools
        .iter()
        .filter(|pool| !pool.is_spare)
        .map(|pool| {
            let gained = moves.iter().filter(|(_, to)| *to == pool.service).count();
            let missing = needed(&pool.need).saturating_sub(pool.supply + gained);
            (missing, pool)
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

/// Returns the idle VMs beyond what their pools are to keep, the preferred ones last.
fn donors(pools: &[PoolLoad], kept: impl Fn(&PoolNeed) -> usize) -> Vec<Donor> {
    let mut donors = Vec::new();
    for pool in pools {
        let surplus = if pool.is_spare {
            pool.idle.len()
        } else {
            pool.supply.saturating_sub(kept(&pool.need))
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

/// Moves VMs that hold work to pools that lack one for long-running work or have less than
/// [`STARVED_BELOW`] of their share, from the pools that are furthest beyond theirs.
fn drain_for_starved_pools(pools: &[PoolLoad], moves: &mut Vec<(VmId, ServiceId)>) {
    let shares = shares(pools);
    let gained = |service: &ServiceId| moves.iter().filter(|(_, to)| to == service).count();
    let mut short: Vec<(usize, &PoolLoad)> = Vec::new();
    let mut beyond: Vec<(usize, &[VmId])> = Vec::new();
    for (pool, share) in pools.iter().zip(&shares).filter(|(pool, _)| !pool.is_spare) {
        let supply = pool.supply + gained(&pool.service);
        if (supply as f64) < *share as f64 * STARVED_BELOW {
            short.push((share - supply, pool));
        } else if supply < pool.need.long_running.min(*share) {
            short.push((pool.need.long_running.min(*share) - supply, pool));
        } else if pool.supply > *share {
            beyond.push((pool.supply - share, &pool.drainable));
        }
    }
    while let Some((missing, pool)) = short.iter_mut().max_by_key(|(missing, _)| *missing)
        && *missing > 0
        && let Some((excess, drainable)) = beyond
            .iter_mut()
            .filter(|(_, drainable)| !drainable.is_empty())
            .max_by_key(|(excess, _)| *excess)
        && *excess > 0
    {
        moves.push((drainable[0].clone(), pool.service.clone()));
        *drainable = &drainable[1..];
        *excess -= 1;
        *missing -= 1;
    }
}

/// Returns the number of VMs that work in time leaves.
pub(super) fn vms_left(pools: &[PoolLoad]) -> usize {
    let vms: usize = pools.iter().map(|pool| pool.supply).sum();
    let in_time: usize = pools.iter().map(|pool| pool.need.in_time).sum();
    vms.saturating_sub(in_time)
}

/// Returns the number of VMs that cannot leave a pool soon.
fn fixed_vms(pool: &PoolLoad) -> usize {
    pool.supply - pool.idle.len() - pool.drainable.len()
}

/// Divides all VMs among the pools: what the most urgent work needs first, and in proportion to the
/// needs where they exceed what is left. VMs that cannot leave their pool count towards its share.
fn shares(pools: &[PoolLoad]) -> Vec<usize> {
    let vms: usize = pools.iter().map(|pool| pool.supply).sum();
    let mut shares: Vec<usize> = pools.iter().map(fixed_vms).collect();
    for needed in PoolNeed::BY_URGENCY {
        let met = |part: f64| {
            let needs = pools.iter().map(|pool| needed(&pool.need) as f64 * part);
            let met = needs
                .zip(&shares)
                .map(|(need, share)| (*share).max(need as usize));
            met.collect::<Vec<usize>>()
        };
        let part = largest_part(|part| met(part).iter().sum::<usize>() <= vms);
        shares = met(part);
        if part < 1.0 {
            break;
        }
    }
    shares
}

/// Returns the largest part from 0 to 1 that fits, where smaller parts fit as well.
fn largest_part(fits: impl Fn(f64) -> bool) -> f64 {
    if fits(1.0) {
        return 1.0;
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..PART_BISECTIONS {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
