//! The VMs that the open work of each service needs.

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, CustomerId, ServiceId};

use super::Scheduler;
use super::ordering::{is_in_time, is_still_useful};
use super::pool_plan::PoolNeed;
use crate::{Job, JobState, Resources, Step, Task, TaskPhase};

/// The factor on the sum of demands that allows for capacity lost in packing tasks of different
/// sizes.
const PACKING_HEADROOM_FACTOR: f64 = 1.15;

/// What the open work of a service needs.
#[derive(Debug, Default)]
pub(super) struct ServiceDemand {
    /// Work that is long-running or can still be in time.
    in_time: Demand,
    /// Other work that still has value.
    late: Demand,
    /// The number of empty VMs that the waiting long-running tasks need. They may wait although the
    /// pool has the resources that all tasks need together, since what is left on each VM is too
    /// small for them.
    pub(super) for_waiting_long_running: usize,
    /// Work without value any more.
    overdue: Demand,
}

/// The sum of the demands of tasks.
#[derive(Debug, Default, Clone, Copy)]
struct Demand {
    resources: Resources,
    /// The number of VMs that the step with the lowest `max_per_worker` has to use.
    min_spread_vms: usize,
}

impl Demand {
    fn add(&mut self, step: &Step, tasks: usize) {
        self.resources += step.reserved().times(tasks as u64);
        if let Some(max_per_worker) = step.max_per_worker {
            let spread_vms = tasks.div_ceil(max_per_worker.max(1) as usize);
            self.min_spread_vms = self.min_spread_vms.max(spread_vms);
        }
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            resources: self.resources + other.resources,
            min_spread_vms: self.min_spread_vms.max(other.min_spread_vms),
        }
    }

    /// Returns the number of VMs of this size for the tasks and for what is forecast to arrive.
    fn vms(&self, vm_size: Resources, arriving: Resources) -> usize {
        let open = self.resources.fraction_of(vm_size) * PACKING_HEADROOM_FACTOR;
        let vms = open.max(arriving.fraction_of(vm_size)).ceil() as usize;
        vms.max(self.min_spread_vms)
    }
}

impl ServiceDemand {
    /// Returns the number of VMs of this size that a pool needs for the work and for what is forecast
    /// to arrive.
    pub(super) fn vms(&self, vm_size: Resources, arriving: Resources) -> PoolNeed {
        let valuable = self.in_time.plus(&self.late);
        PoolNeed {
            in_time: self.in_time.vms(vm_size, arriving),
            valuable: valuable.vms(vm_size, arriving),
            total: valuable.plus(&self.overdue).vms(vm_size, arriving),
        }
    }
}

impl Scheduler {
    /// Returns what the open work of each service needs, where a VM of a service has the size that
    /// `vm_size` returns.
    pub(super) fn service_demands(
        &self,
        vm_size: impl Fn(&ServiceId) -> Resources,
        now: BootTime,
    ) -> LiteMap<ServiceId, ServiceDemand> {
        let mut demands: LiteMap<ServiceId, ServiceDemand> = LiteMap::new();
        let mut overdue_usage: LiteMap<CustomerId, Resources> = LiteMap::new();
        for job in self.jobs().filter(|job| job.state == JobState::Active) {
            let Some(queue) = self.config.queue(&job.submission.queue) else {
                continue;
            };
            let demand = demands.entry(queue.service.clone()).or_default();
            demand.for_waiting_long_running +=
                self.vms_for_waiting_long_running(job, vm_size(&queue.service), now);
            if !is_still_useful(job, queue, now) {
                self.add_overdue(job, &mut demand.overdue, &mut overdue_usage);
                continue;
            }
            let of_urgency = if is_in_time(job, queue, now) {
                &mut demand.in_time
            } else {
                &mut demand.late
            };
            for (_, _, step, run) in job.open_steps() {
                of_urgency.add(step, run.tasks.len() - run.done as usize);
            }
        }
        demands
    }

    /// Adds the tasks of an overdue job that run, and those that could run in this fleet and within
    /// the limit of their customer. Overdue work waits without end, so that what cannot run would
    /// hold VMs for as long.
    fn add_overdue(
        &self,
        job: &Job,
        demand: &mut Demand,
        usage: &mut LiteMap<CustomerId, Resources>,
    ) {
        for (_, _, step, run) in job.open_steps() {
            let is_waiting = |task: &&Task| task.phase == TaskPhase::Waiting;
            let waiting = run.tasks.iter().filter(is_waiting).count();
            let placed = run.tasks.len() - run.done as usize - waiting;
            let mut runnable = 0;
            if waiting > 0 && self.has_vm_for(step) {
                runnable =
                    self.within_limit(job.submission.customer.as_ref(), step, waiting, usage);
            }
            if step.is_gang && runnable < waiting {
                runnable = 0;
            }
            demand.add(step, placed + runnable);
        }
    }

    /// Returns how many of the waiting tasks of a step the limit of their customer allows, and adds
    /// them to what waiting tasks use of the limit.
    fn within_limit(
        &self,
        customer: Option<&CustomerId>,
        step: &Step,
        waiting: usize,
        usage: &mut LiteMap<CustomerId, Resources>,
    ) -> usize {
        let Some(customer) = customer else {
            return waiting;
        };
        let used = usage.entry(customer.clone()).or_default();
        let mut allowed = 0;
        while allowed < waiting
            && self.is_within_customer_limit(Some(customer), *used + step.demand)
        {
            *used += step.demand;
            allowed += 1;
        }
        allowed
    }

    /// Returns whether the fleet has VMs that can run the tasks of a step, for a gang as many as it
    /// needs.
    fn has_vm_for(&self, step: &Step) -> bool {
        let demand = step.reserved();
        let can_run = |row: &&super::VmRow| {
            demand.fits_in(row.capacity)
                && step
                    .required_label
                    .as_ref()
                    .is_none_or(|needed| row.labels.contains(needed))
        };
        let mut able = self.vm_ops.vms().filter(can_run);
        if !step.is_gang {
            return able.next().is_some();
        }
        let fitting = |row: &super::VmRow| {
            let share = demand.fraction_of(row.capacity);
            let room = if share > 0.0 { 1.0 / share } else { f64::MAX };
            let max_tasks = step.max_per_worker.unwrap_or(u32::MAX);
            (room as u64).min(u64::from(max_tasks.max(1)))
        };
        able.map(fitting).fold(0, u64::saturating_add) >= u64::from(step.tasks)
    }

    /// Returns the number of empty VMs of this size that the waiting long-running tasks of a job need.
    fn vms_for_waiting_long_running(&self, job: &Job, vm_size: Resources, now: BootTime) -> usize {
        let mut vms = 0;
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
        vms
    }
}
