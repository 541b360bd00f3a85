//! Moves of VMs between pools to follow the load: queues surge one after the other beyond their own
//! pools, while VMs of other pools are idle.

use std::time::Duration;

use rhubarbfall_core::{BootTime, ServiceId, VmId};

use super::Scheduler;
use super::ordering::is_still_useful;
use super::token_bucket::TokenBucket;
use super::vm_operations::{VmOperation, VmState};
use crate::{JobState, Resources, Task, TaskPhase, WorkerState};

/// The factor on the sum of demands that allows for capacity lost in packing tasks of different
/// sizes.
const PACKING_HEADROOM_FACTOR: f64 = 1.15;

/// How long a VM is idle before it moves to the spare pool: a move costs about as much as one
/// second in a pool.
const MIN_IDLE_BEFORE_SPARE: Duration = Duration::from_secs(1);

/// How long a VM is idle before it may move to another pool.
const MIN_IDLE_BEFORE_MOVE: Duration = Duration::from_millis(300);

/// The burst of moves, as a duration at their rate: with a quarter of a second, the platform's
/// limit for any one second holds if the rate is three quarters of it.
const MOVE_BURST: Duration = Duration::from_millis(250);

/// The interval between log entries about the pools.
const POOL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The demand and supply of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLoad {
    /// The service that the pool belongs to.
    pub service: ServiceId,
    /// Whether this is the spare pool, whose VMs are switched off until another pool needs them.
    pub is_spare: bool,
    /// The number of VMs that the open work needs.
    pub needed: usize,
    /// The number of usable VMs, including those that are moving to the pool.
    pub supply: usize,
    /// The VMs without work, and for how long they have been idle.
    pub idle: Vec<(VmId, Duration)>,
}

/// Plans moves of VMs between pools: idle VMs move to pools with waiting work, those of the spare
/// pool first, and the others move to the spare pool if no pool needs them.
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
    let mut short_pools: Vec<(usize, &PoolLoad)> = pools
        .iter()
        .filter(|pool| !pool.is_spare && pool.needed > pool.supply)
        .map(|pool| (pool.needed - pool.supply, pool))
        .collect();
    short_pools.sort_by_key(|(missing, _)| std::cmp::Reverse(*missing));
    // Pools that are short get one VM in turn, so that one surge does not take all of them.
    while !donors.is_empty() && short_pools.iter().any(|(missing, _)| *missing > 0) {
        for (missing, pool) in short_pools.iter_mut().filter(|(missing, _)| *missing > 0) {
            if let Some(index) = donors.iter().rposition(|donor| donor.pool != pool.service) {
                moves.push((donors.remove(index).vm, pool.service.clone()));
            }
            *missing -= 1;
        }
    }
    if let Some(spare) = pools.iter().find(|pool| pool.is_spare) {
        let unused = donors
            .into_iter()
            .filter(|donor| donor.pool != spare.service && donor.idle_for >= MIN_IDLE_BEFORE_SPARE);
        moves.extend(unused.map(|donor| (donor.vm, spare.service.clone())));
    }
    moves
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

impl Scheduler {
    /// Starts the moves that the load requires, within the limits on calls and on their rate.
    pub(super) fn resize_pools(&mut self, now: BootTime) {
        if !self.config.services.iter().any(|service| service.is_spare) {
            return;
        }
        let free_calls = self
            .settings
            .max_vm_calls
            .saturating_sub(self.vm_ops.calls_in_flight());
        if free_calls == 0 {
            return;
        }
        let pools = self.pool_loads(now);
        self.log_pools(&pools, now);
        let rate_per_s = self.settings.vm_moves_per_s / f64::from(self.settings.cells);
        // A bucket holds one token at least.
        let burst = MOVE_BURST.max(Duration::from_secs_f64(1.0 / rate_per_s));
        let full_bucket = || TokenBucket::new(rate_per_s, burst, now);
        for (vm, to) in plan_moves(&pools).into_iter().take(free_calls) {
            let move_bucket = self.vm_ops.move_bucket.get_or_insert_with(full_bucket);
            if !move_bucket.admit(rate_per_s, now) {
                break;
            }
            self.begin_drain(&vm, VmOperation::Move(to));
        }
    }

    fn log_pools(&mut self, pools: &[PoolLoad], now: BootTime) {
        if now.since(self.pools_logged_at) < POOL_LOG_INTERVAL {
            return;
        }
        self.pools_logged_at = now;
        for pool in pools {
            log::info!(
                "event=pool service={} needed={} supply={} idle={}",
                pool.service,
                pool.needed,
                pool.supply,
                pool.idle.len()
            );
        }
    }

    fn pool_loads(&self, now: BootTime) -> Vec<PoolLoad> {
        let mut loads = Vec::with_capacity(self.config.services.len());
        for service in &self.config.services {
            let mut load = PoolLoad {
                service: service.id.clone(),
                is_spare: service.is_spare,
                needed: 0,
                supply: self.vm_ops.moving_to(&service.id),
                idle: Vec::new(),
            };
            let mut vm_size = Resources::default();
            for row in self.vm_ops.vms().filter(|row| row.pool == service.id) {
                vm_size = vm_size.max(row.capacity);
                if row.state != VmState::Up && !service.is_spare || self.vm_ops.is_busy(&row.vm) {
                    continue;
                }
                if service.is_spare {
                    load.supply += 1;
                    load.idle.push((row.vm.clone(), Duration::MAX));
                    continue;
                }
                let worker = row.worker.as_ref().and_then(|id| self.workers.get(id));
                // An unusable worker is replaced; one that has not answered yet is expected to
                // answer soon.
                let is_lost = worker.is_some_and(|worker| {
                    worker.state != WorkerState::New
                        && !worker.accepts_work(now, self.settings.unreachable_after)
                });
                if is_lost {
                    continue;
                }
                load.supply += 1;
                if let Some(worker) = worker.filter(|worker| worker.is_empty()) {
                    load.idle
                        .push((row.vm.clone(), now.since(worker.idle_since)));
                }
            }
            if !service.is_spare {
                let occupied = load.supply - load.idle.len();
                let for_waiting = self.vms_for_waiting_long_running(&service.id, vm_size, now);
                load.needed = self.needed_vms(&service.id, vm_size, now);
                if for_waiting > 0 {
                    load.needed = load.needed.max(occupied + for_waiting);
                }
            }
            loads.push(load);
        }
        loads
    }

    /// Returns the number of empty VMs of this size that the waiting long-running tasks of a service
    /// need. They may wait although the pool has the resources that all tasks need together, since
    /// what is left on each VM is too small for them.
    fn vms_for_waiting_long_running(
        &self,
        service: &ServiceId,
        vm_size: Resources,
        now: BootTime,
    ) -> usize {
        let mut vms = 0;
        for job in self.jobs().filter(|job| job.state == JobState::Active) {
            let queue = self.config.queue(&job.submission.queue);
            if queue.is_none_or(|queue| queue.service != *service) {
                continue;
            }
            let customer = job.submission.customer.as_ref();
            for (_, _, step, run) in job.open_steps() {
                if !step.is_long_running || !self.is_within_customer_limit(customer, step.demand) {
                    continue;
                }
                let is_waiting =
                    |task: &&Task| task.phase == TaskPhase::Waiting && task.not_before <= now;
                let waiting = run.tasks.iter().filter(is_waiting).count();
                let share = step.reserved().fraction_of(vm_size);
                let per_vm = if share > 0.0 {
                    (1.0 / share) as usize
                } else {
                    waiting
                };
                vms += waiting.div_ceil(per_vm.max(1));
            }
        }
        vms
    }

    /// Returns the number of VMs of this size that the open work of a service needs.
    fn needed_vms(&self, service: &ServiceId, vm_size: Resources, now: BootTime) -> usize {
        let vm_size = if vm_size == Resources::default() {
            self.vm_ops
                .vms()
                .map(|row| row.capacity)
                .fold(vm_size, Resources::max)
        } else {
            vm_size
        };
        let mut demand = Resources::default();
        let mut min_spread_vms = 0_usize;
        for job in self.jobs().filter(|job| job.state == JobState::Active) {
            let Some(queue) = self.config.queue(&job.submission.queue) else {
                continue;
            };
            if queue.service != *service || !is_still_useful(job, queue, now) {
                continue;
            }
            for (_, _, step, run) in job.open_steps() {
                let open = run.tasks.len() - run.done as usize;
                demand += step.reserved().times(open as u64);
                if let Some(max_per_worker) = step.max_per_worker {
                    min_spread_vms =
                        min_spread_vms.max(open.div_ceil(max_per_worker.max(1) as usize));
                }
            }
        }
        let open = demand.fraction_of(vm_size);
        let arriving = self.recent_work.forecast(service, now).fraction_of(vm_size);
        let vms = (open * PACKING_HEADROOM_FACTOR).max(arriving);
        (vms.ceil() as usize).max(min_spread_vms)
    }
}
