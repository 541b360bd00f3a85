//! The VMs that the open work of each service needs.

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, CustomerId, ServiceId};

use super::Scheduler;
use super::long_running_places::WaitingLongRunning;
use super::ordering::{Urgency, urgency};
use super::pool_plan::PoolNeed;
use super::vm_gaps::VmGaps;
use crate::{Job, Queue, Resources, Step, StepId, StepState, Task, TaskPhase};

/// The factor on the sum of demands that allows for capacity lost in packing tasks of different
/// sizes.
const PACKING_HEADROOM_FACTOR: f64 = 1.15;

/// What the open work of a service needs.
#[derive(Debug, Default)]
pub(super) struct ServiceDemand {
    /// Work that is long-running or can still be in time.
    in_time: Demand,
    /// The number of empty VMs that the waiting long-running tasks need. They may wait although the
    /// pool has the resources that all tasks need together, since what is left on each VM is too
    /// small for them.
    pub(super) for_waiting_long_running: usize,
    /// The waiting long-running tasks that the limits of their customers allow, also those that may
    /// not start yet: they keep the place of their last run until then.
    pub(super) waiting_long_running: Vec<WaitingLongRunning>,
    /// The other work that may have VMs.
    late: Demand,
    /// What tasks that are not short leave on their VMs.
    gaps: VmGaps,
}

/// What the open work of all services needs.
#[derive(Debug, Default)]
pub(super) struct FleetDemand {
    pub(super) services: LiteMap<ServiceId, ServiceDemand>,
    /// The submissions that are late, in the order in which they get VMs that work in time leaves.
    late: Vec<LateDemand>,
}

/// What a late submission needs.
#[derive(Debug)]
struct LateDemand {
    service: ServiceId,
    demand: Demand,
}

impl FleetDemand {
    /// Admits late submissions, the oldest first, until they need this number of VMs, so that the
    /// backlog of one service does not keep older submissions of another one waiting.
    pub(super) fn admit_late(&mut self, vms: usize, vm_size: impl Fn(&ServiceId) -> Resources) {
        let mut left = vms as f64;
        for job in &self.late {
            if left <= 0.0 {
                break;
            }
            left -= job.demand.all.fraction_of(vm_size(&job.service));
            let demand = self.services.entry(job.service.clone()).or_default();
            demand.late = demand.late.plus(&job.demand);
        }
    }
}

/// The sum of the demands of tasks.
#[derive(Debug, Default, Clone, Copy)]
struct Load {
    resources: Resources,
    /// The number of tasks that need more than half a VM, each of which takes one.
    large_tasks: usize,
}

impl Load {
    /// Adds tasks of a step, for VMs of this size.
    fn add(&mut self, step: &Step, tasks: usize, vm_size: Resources) {
        if step.reserved().fraction_of(vm_size) > 0.5 {
            self.large_tasks += tasks;
        }
        self.resources += step.reserved().times(tasks as u64);
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            resources: self.resources + other.resources,
            large_tasks: self.large_tasks + other.large_tasks,
        }
    }

    /// Returns the tasks' part of a VM of this size, with the headroom for packing.
    fn fraction_of(&self, vm_size: Resources) -> f64 {
        let packed = self.resources.fraction_of(vm_size) * PACKING_HEADROOM_FACTOR;
        packed.max(self.large_tasks as f64)
    }
}

/// What tasks need.
#[derive(Debug, Default, Clone, Copy)]
struct Demand {
    /// All tasks.
    all: Load,
    /// The tasks for which there is no room beside tasks that are not short.
    beyond_gaps: Load,
    /// The number of VMs that the step with the lowest `max_per_worker` has to use.
    min_spread_vms: usize,
    /// The number of tasks that wait.
    waiting: usize,
}

impl Demand {
    /// Adds tasks of a step, for VMs of this size with these gaps.
    fn add(&mut self, step: &Step, tasks: OpenTasks, vm_size: Resources, gaps: &VmGaps) {
        let open = tasks.placed + tasks.waiting;
        self.waiting += tasks.waiting;
        self.all.add(step, open, vm_size);
        // There are other numbers for long-running tasks, and the VMs of the other placed ones that are
        // not short count among those with gaps.
        if !step.is_long_running && !gaps.has_room(step.reserved()) {
            let placed = if step.is_lasting() { 0 } else { tasks.placed };
            self.beyond_gaps.add(step, placed + tasks.waiting, vm_size);
        }
        if let Some(max_per_worker) = step.max_per_worker {
            let spread_vms = open.div_ceil(max_per_worker.max(1) as usize);
            self.min_spread_vms = self.min_spread_vms.max(spread_vms);
        }
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            all: self.all.plus(&other.all),
            beyond_gaps: self.beyond_gaps.plus(&other.beyond_gaps),
            min_spread_vms: self.min_spread_vms.max(other.min_spread_vms),
            waiting: self.waiting + other.waiting,
        }
    }

    /// Returns the number of VMs of this size for the tasks and for what is forecast to arrive, in a
    /// pool with these gaps.
    fn vms(&self, vm_size: Resources, arriving: Resources, gaps: &VmGaps) -> usize {
        let open = self.all.fraction_of(vm_size);
        let vms = open.max(arriving.fraction_of(vm_size)).ceil() as usize;
        let beyond_gaps = match self.beyond_gaps.fraction_of(vm_size).ceil() as usize {
            0 => 0,
            vms => gaps.vms + vms,
        };
        vms.max(beyond_gaps).max(self.min_spread_vms)
    }
}

/// The tasks of a step that are not done and may run.
#[derive(Debug, Clone, Copy)]
struct OpenTasks {
    placed: usize,
    waiting: usize,
}

impl ServiceDemand {
    /// Returns the number of VMs of this size that a pool needs for the work and for what is forecast
    /// to arrive.
    pub(super) fn vms(&self, vm_size: Resources, arriving: Resources) -> PoolNeed {
        let total = self.in_time.plus(&self.late);
        PoolNeed {
            long_running: 0,
            in_time: self.in_time.vms(vm_size, arriving, &self.gaps),
            total: total.vms(vm_size, arriving, &self.gaps),
            late_waiting: self.late.waiting,
        }
    }
}

impl Scheduler {
    /// Returns what the open work of all services needs, where a VM of a service has the size that
    /// `vm_size` returns.
    pub(super) fn fleet_demand(
        &self,
        vm_size: impl Fn(&ServiceId) -> Resources,
        now: BootTime,
    ) -> FleetDemand {
        let mut jobs: Vec<(Urgency, &Job, &Queue)> = Vec::new();
        for job in self.jobs.active() {
            if let Some(queue) = self.config.queue(&job.submission.queue) {
                jobs.push((urgency(job, queue, now), job, queue));
            }
        }
        // The most urgent work comes first within the limit of its customer.
        jobs.sort_by_key(|(urgency, job, _)| (*urgency, job.accepted_at));
        let mut fleet = FleetDemand::default();
        for service in &self.config.services {
            let gaps = self.vm_gaps(&service.id, now);
            let demand = ServiceDemand {
                gaps,
                ..ServiceDemand::default()
            };
            fleet.services.insert(service.id.clone(), demand);
        }
        let mut usage: LiteMap<CustomerId, Resources> = LiteMap::new();
        for (urgency, job, queue) in jobs {
            let demand = fleet.services.entry(queue.service.clone()).or_default();
            let mut late = Demand::default();
            let vm_size = vm_size(&queue.service);
            for (occurrence, number, step, run) in job.open_steps() {
                let waiting = waiting_tasks(run);
                let placed = run.tasks.len() - run.done as usize - waiting;
                let customer = job.submission.customer.as_ref();
                let allowed = self.within_limit(customer, step, waiting, &mut usage);
                if step.is_long_running {
                    let ready = ready_tasks(run, now).min(allowed);
                    let to_leave = self.long_running_to_leave(step, &run.tasks);
                    demand.for_waiting_long_running +=
                        empty_vms_for(step, ready + to_leave, vm_size);
                    let tasks = allowed + to_leave;
                    if tasks > 0 && self.has_vm_for(step) {
                        let submission = job.submission.id.clone();
                        let step = StepId {
                            submission,
                            occurrence,
                            step: number as u16,
                        };
                        demand
                            .waiting_long_running
                            .push(WaitingLongRunning { step, tasks });
                    }
                }
                let waiting = allowed;
                let open = OpenTasks { placed, waiting };
                match urgency {
                    Urgency::InTime => demand.in_time.add(step, open, vm_size, &demand.gaps),
                    // Late work waits without end, so that what no VM can run would hold VMs for as
                    // long.
                    Urgency::Late | Urgency::Excess if allowed > 0 && !self.has_vm_for(step) => {
                        late.add(
                            step,
                            OpenTasks { placed, waiting: 0 },
                            vm_size,
                            &demand.gaps,
                        );
                    }
                    Urgency::Late | Urgency::Excess => late.add(step, open, vm_size, &demand.gaps),
                }
            }
            if late.all.resources != Resources::default() {
                fleet.late.push(LateDemand {
                    service: queue.service.clone(),
                    demand: late,
                });
            }
        }
        fleet
    }

    /// Returns how many of the waiting tasks of a step the limit of their customer allows, none for a
    /// gang that does not fit whole, and adds them to what waiting tasks use of the limit.
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
        let with = |tasks: usize| *used + step.demand.times(tasks as u64);
        let fits = |tasks: usize| self.is_within_customer_limit(Some(customer), with(tasks));
        let (mut allowed, mut too_many) = (0, waiting + 1);
        while too_many - allowed > 1 {
            let middle = usize::midpoint(allowed, too_many);
            if fits(middle) {
                allowed = middle;
            } else {
                too_many = middle;
            }
        }
        if step.is_gang && allowed < waiting {
            allowed = 0;
        }
        *used = with(allowed);
        allowed
    }

    /// Returns whether the fleet has VMs that can run the tasks of a step, for a gang as many as it
    /// needs.
    fn has_vm_for(&self, step: &Step) -> bool {
        let demand = step.reserved();
        let can_run = |row: &&super::VmRow| {
            demand.fits_in(row.capacity)
                && !self.is_in_evacuated_zone(row)
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
}

fn waiting_tasks(run: &StepState) -> usize {
    let is_waiting = |task: &&Task| task.phase == TaskPhase::Waiting;
    run.tasks.iter().filter(is_waiting).count()
}

/// Returns the number of waiting tasks that may start now.
fn ready_tasks(run: &StepState, now: BootTime) -> usize {
    let is_ready = |task: &&Task| task.phase == TaskPhase::Waiting && task.not_before <= now;
    run.tasks.iter().filter(is_ready).count()
}

/// Returns the number of empty VMs of this size that tasks of a step need.
fn empty_vms_for(step: &Step, tasks: usize, vm_size: Resources) -> usize {
    let share = step.reserved().fraction_of(vm_size);
    let per_vm = if share > 0.0 {
        (1.0 / share) as usize
    } else {
        tasks
    };
    tasks.div_ceil(per_vm.max(1))
}
