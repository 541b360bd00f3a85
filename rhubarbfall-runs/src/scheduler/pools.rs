//! Moves of VMs between pools to follow the load: queues surge one after the other beyond their own
//! pools, while VMs of other pools are idle.

use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, ServiceId, VmId};

use super::Scheduler;
use super::long_running_places::LongRunningPlaces;
use super::pool_demand::{FleetDemand, ServiceDemand};
use super::pool_plan::{PoolLoad, PoolNeed, plan_moves, vms_left};
use super::token_bucket::TokenBucket;
use super::vm_gaps::VmGaps;
use super::vm_operations::{ActiveOperation, VmOperation, VmPhase, VmRow, VmState};
use crate::submission::MAX_SHORT_ESTIMATE;
use crate::{Resources, Service, Worker, WorkerState};

/// The burst of moves, as a duration at their rate: with a quarter of a second, the platform's
/// limit for any one second holds if the rate is three quarters of it.
const MOVE_BURST: Duration = Duration::from_millis(250);

/// The interval between log entries about the pools.
const POOL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long late work waits, and a VM is idle beside it, before the work counts as unable to use it.
const MAX_IDLE_BESIDE_LATE: Duration = Duration::from_millis(500);

/// How long a pool gets no VMs for late work that was unable to use them.
const LATE_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// How long a VM may take to become empty for a move.
const MAX_MOVE_DRAIN: Duration = MAX_SHORT_ESTIMATE;

/// How long a VM is not drained for a move again after a drain of it was withdrawn.
const WITHDRAWN_DRAIN_INTERVAL: Duration = Duration::from_secs(10);

/// The late work of a pool.
#[derive(Debug)]
pub(super) struct LateWork {
    /// Since when tasks of the work have waited that may start; `None` if none wait.
    waiting_since: Option<BootTime>,
    /// When the pool may get VMs for the work again after it left some idle; from then on it gets as
    /// many as it uses already, and one at least.
    paused_until: Option<BootTime>,
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
        let mut pools = self.pool_loads(now);
        self.limit_unused_late_work(&mut pools, now);
        self.vm_ops.room = Some((vms_left(&pools), now));
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
            self.begin_drain(&vm, VmOperation::Move(to), now);
        }
    }

    fn log_pools(&mut self, pools: &[PoolLoad], now: BootTime) {
        if now.since(self.pools_logged_at) < POOL_LOG_INTERVAL {
            return;
        }
        self.pools_logged_at = now;
        for pool in pools {
            let late_work = self.vm_ops.late_work.get(&pool.service);
            let late_paused = late_work.and_then(|late| late.paused_until).unwrap_or(now);
            log::info!(
                "event=pool service={} long_running={} in_time={} needed={} supply={} moving_to={} idle={} \
                 drainable={} late_paused_ms={}",
                pool.service,
                pool.need.long_running,
                pool.need.in_time,
                pool.need.total,
                pool.supply,
                self.usable_moving_to(&pool.service),
                pool.idle.len(),
                pool.drainable.len(),
                late_paused.since(now).as_millis()
            );
        }
    }

    pub(super) fn pool_loads(&self, now: BootTime) -> Vec<PoolLoad> {
        let vm_sizes = self.vm_sizes();
        let vm_size = |service: &ServiceId| vm_sizes.get(service).copied().unwrap_or_default();
        let mut demand = self.fleet_demand(vm_size, now);
        let services = self.config.services.iter();
        let mut loads: Vec<PoolLoad> = services
            .map(|service| self.pool_supply(service, now))
            .collect();
        let places = self.places_for_long_running(&loads, &demand, vm_size, now);
        self.set_needs(&mut loads, &demand, &places, vm_size, now);
        demand.admit_late(vms_left(&loads), vm_size);
        self.set_needs(&mut loads, &demand, &places, vm_size, now);
        for (load, places) in loads.iter_mut().zip(&places) {
            let is_kept = |vm: &VmId| places.kept.contains(vm);
            load.idle.retain(|(vm, _)| !is_kept(vm));
            load.drainable.retain(|vm| !is_kept(vm));
        }
        loads
    }

    /// Returns where the waiting long-running tasks of each pool can go.
    fn places_for_long_running(
        &self,
        loads: &[PoolLoad],
        demand: &FleetDemand,
        vm_size: impl Fn(&ServiceId) -> Resources,
        now: BootTime,
    ) -> Vec<LongRunningPlaces> {
        let places = |load: &PoolLoad| {
            let demand = demand.services.get(&load.service);
            let waiting = demand.map_or(&[][..], |demand| &demand.waiting_long_running);
            let arriving = self.usable_moving_to(&load.service);
            let size = vm_size(&load.service);
            let vms = self.usable_vms(&load.service, now);
            self.long_running_places(waiting, vms, arriving, size)
        };
        loads.iter().map(places).collect()
    }

    fn set_needs(
        &self,
        loads: &mut [PoolLoad],
        demand: &FleetDemand,
        places: &[LongRunningPlaces],
        vm_size: impl Fn(&ServiceId) -> Resources,
        now: BootTime,
    ) {
        let loads = loads.iter_mut().zip(places);
        for (load, places) in loads.filter(|(load, _)| !load.is_spare) {
            let no_demand = ServiceDemand::default();
            let demand = demand.services.get(&load.service).unwrap_or(&no_demand);
            let for_waiting = match demand.for_waiting_long_running {
                0 => 0,
                waiting => load.supply - load.idle.len() + waiting,
            };
            let arriving = self.recent_work.forecast(&load.service, now);
            load.need = demand.vms(vm_size(&load.service), arriving);
            load.need.raise(for_waiting);
            if places.missing > 0 {
                load.need.long_running = load.supply + places.missing;
                load.need.raise(load.need.long_running);
            }
        }
    }

    /// Returns the load of a pool without what it needs.
    fn pool_supply(&self, service: &Service, now: BootTime) -> PoolLoad {
        let mut load = PoolLoad {
            service: service.id.clone(),
            is_spare: service.is_spare,
            need: PoolNeed::default(),
            supply: self.usable_moving_to(&service.id),
            idle: Vec::new(),
            drainable: Vec::new(),
        };
        let mut drainable = Vec::new();
        for (row, worker) in self.usable_vms(&service.id, now) {
            load.supply += 1;
            if service.is_spare {
                load.idle.push((row.vm.clone(), Duration::MAX));
                continue;
            }
            let Some(worker) = worker else {
                continue;
            };
            if worker.is_empty() {
                load.idle
                    .push((row.vm.clone(), now.since(worker.idle_since)));
            } else if self.is_empty_soon(&row.vm, worker) {
                drainable.push((worker.reserved.cpu_millis, row.vm.clone()));
            }
        }
        drainable.sort();
        load.drainable = drainable.into_iter().map(|(_, vm)| vm).collect();
        load
    }

    /// Returns the VMs of a pool that work can be given to, each with its worker once it is known.
    pub(super) fn usable_vms(
        &self,
        service: &ServiceId,
        now: BootTime,
    ) -> impl Iterator<Item = (&VmRow, Option<&Worker>)> {
        let services = &self.config.services;
        let is_spare = services.iter().any(|of| of.is_spare && of.id == *service);
        let of_pool = self.vm_ops.vms().filter(move |row| row.pool == *service);
        of_pool.filter_map(move |row| {
            // Spare VMs may be listed as down, since they are switched off.
            let is_available = match row.state {
                VmState::Up => true,
                VmState::Down => is_spare,
                VmState::Moving | VmState::Maintenance => false,
            };
            // VMs of an evacuated zone do no work for their pool and move to no other one.
            if !is_available || self.vm_ops.is_busy(&row.vm) || self.is_in_evacuated_zone(row) {
                return None;
            }
            let worker = row.worker.as_ref().and_then(|id| self.workers.get(id));
            // An unusable worker is replaced; one that has not answered yet is expected to
            // answer soon.
            let is_lost = worker.is_some_and(|worker| {
                worker.state != WorkerState::New
                    && !worker.accepts_work(now, self.settings.unreachable_after)
            });
            (is_spare || !is_lost).then_some((row, worker))
        })
    }

    /// Returns what is left on the VMs of a pool that hold tasks which are not short.
    pub(super) fn vm_gaps(&self, service: &ServiceId, now: BootTime) -> VmGaps {
        let mut gaps = VmGaps::default();
        let workers = self
            .usable_vms(service, now)
            .filter_map(|(_, worker)| worker);
        for worker in workers.filter(|worker| worker.lasting_tasks > 0) {
            let lasting = self.lasting_load(worker);
            let capacity = worker.report.capacity;
            gaps.add(
                capacity
                    .saturating_sub(lasting)
                    .saturating_sub(worker.unexpected_load),
            );
        }
        gaps
    }

    /// Returns whether a VM with work is empty soon if it gets no new work: all of its tasks are short,
    /// and a drain of it was not withdrawn lately.
    fn is_empty_soon(&self, vm: &VmId, worker: &Worker) -> bool {
        worker.unexpected_load == Resources::default()
            && self.vm_ops.withdrawn_drains.get(vm).is_none()
            && worker.lasting_tasks == 0
    }

    /// Returns the number of VMs that move to a pool and will get work there.
    pub(super) fn usable_moving_to(&self, service: &ServiceId) -> usize {
        let is_unusable = |vm: &VmId| {
            let row = self.vm_ops.vms.get(vm);
            row.is_some_and(|row| self.is_in_evacuated_zone(row))
        };
        self.vm_ops.moving_to(service, is_unusable)
    }

    /// Ends the drains for moves that have taken too long, or that an evacuation has made useless:
    /// their VMs get work again when they may.
    pub(super) fn withdraw_slow_drains(&mut self, now: BootTime) {
        let is_evacuated = |vm: &VmId| {
            let row = self.vm_ops.vms.get(vm);
            row.is_some_and(|row| self.is_in_evacuated_zone(row))
        };
        let is_slow = |vm: &VmId, active: &ActiveOperation| {
            matches!(active.operation, VmOperation::Move(_))
                && active.phase == VmPhase::Draining
                && (now.since(active.since) > MAX_MOVE_DRAIN || is_evacuated(vm))
        };
        let operations = self.vm_ops.active.iter();
        let slow = operations.filter(|(vm, active)| is_slow(vm, active));
        let slow: Vec<VmId> = slow.map(|(vm, _)| vm.clone()).collect();
        let is_recent = |at: &BootTime| now.since(*at) < WITHDRAWN_DRAIN_INTERVAL;
        self.vm_ops.withdrawn_drains.retain(|_, at| is_recent(at));
        for vm in slow {
            log::info!("event=vm_drain_withdrawn vm={vm}");
            self.vm_ops.active.remove(&vm);
            self.vm_ops.withdrawn_drains.insert(vm, now);
            self.needs_placement = true;
        }
    }

    /// Returns the size of each pool's largest VM; an empty pool gets VMs of any pool.
    fn vm_sizes(&self) -> LiteMap<ServiceId, Resources> {
        let mut largest = Resources::default();
        let mut sizes: LiteMap<ServiceId, Resources> = LiteMap::new();
        for row in self.vm_ops.vms() {
            let size = sizes.entry(row.pool.clone()).or_default();
            *size = size.max(row.capacity);
            largest = largest.max(row.capacity);
        }
        for service in &self.config.services {
            let size = sizes.entry(service.id.clone()).or_default();
            if *size == Resources::default() {
                *size = largest;
            }
        }
        sizes
    }

    /// Asks for no more VMs than work in time needs in pools whose late work leaves VMs idle: it
    /// waits for something else.
    fn limit_unused_late_work(&mut self, pools: &mut [PoolLoad], now: BootTime) {
        for pool in pools.iter_mut().filter(|pool| !pool.is_spare) {
            let arriving = self.usable_moving_to(&pool.service);
            let known = &mut self.vm_ops.late_work;
            if pool.need.total <= pool.need.in_time {
                known.remove(&pool.service);
                continue;
            }
            let begin = || LateWork {
                waiting_since: None,
                paused_until: None,
            };
            let late_work = known.entry(pool.service.clone()).or_insert_with(begin);
            if pool.need.late_waiting == 0 {
                late_work.waiting_since = None;
            } else {
                late_work.waiting_since.get_or_insert(now);
            }
            let is_long = |time: Duration| time >= MAX_IDLE_BESIDE_LATE;
            let has_waited = late_work.waiting_since.map(|since| now.since(since));
            if has_waited.is_some_and(is_long)
                && pool.idle.iter().any(|(_, idle_for)| is_long(*idle_for))
            {
                late_work.paused_until = Some(now + LATE_RETRY_INTERVAL);
            }
            let Some(paused_until) = late_work.paused_until else {
                continue;
            };
            let in_use = (pool.supply - pool.idle.len()).saturating_sub(arriving);
            let allowed = if now < paused_until {
                0
            } else {
                in_use + in_use.max(1)
            };
            pool.need.total = pool.need.total.min(allowed).max(pool.need.in_time);
        }
    }
}
