//! Where the long-running tasks that wait can go: which VMs of their pool are kept for them, and how many
//! more they need.
//!
//! The load: each VM of a pool holds a long-running task and little room beside it, and short tasks come
//! and go on what is left. The sum of the demands says that the pool has enough, and no VM has room for
//! one more. A task whose run has just ended leaves a VM that looks empty soon.

use rhubarbfall_core::VmId;

use super::Scheduler;
use super::placing::has_label;
use super::vm_operations::VmRow;
use crate::{Resources, Step, StepId, Worker};

/// Tasks of a long-running step that wait, or have to leave their VM.
#[derive(Debug, Clone)]
pub(super) struct WaitingLongRunning {
    pub(super) step: StepId,
    pub(super) tasks: usize,
}

/// Where the waiting long-running tasks of a service can go.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct LongRunningPlaces {
    /// The VMs of the pool that are kept for them.
    pub(super) kept: Vec<VmId>,
    /// The number of VMs that they need beside those that the pool has and those on their way to it.
    pub(super) missing: usize,
}

/// What one VM can hold.
#[derive(Debug)]
struct Place<'a> {
    /// The VM, or `None` for one that is not in the pool yet.
    vm: Option<&'a VmId>,
    worker: Option<&'a Worker>,
    /// What is free now.
    free: Resources,
    /// What is free once the short tasks have ended.
    room: Resources,
    /// Whether only short tasks are on the VM, and no task is to go there.
    is_open: bool,
    /// The steps of the tasks that are to go there.
    taken: Vec<StepId>,
}

impl<'a> Place<'a> {
    const fn of_new_vm(capacity: Resources) -> Self {
        Self {
            vm: None,
            worker: None,
            free: capacity,
            room: capacity,
            is_open: true,
            taken: Vec::new(),
        }
    }

    fn of_vm(row: &'a VmRow, worker: Option<&'a Worker>, lasting: Resources) -> Self {
        let capacity = worker.map_or(row.capacity, |worker| worker.report.capacity);
        let unexpected = worker.map_or_else(Resources::default, |worker| worker.unexpected_load);
        Self {
            vm: Some(&row.vm),
            worker,
            free: worker.map_or(capacity, Worker::free_capacity),
            room: capacity.saturating_sub(lasting).saturating_sub(unexpected),
            is_open: lasting == Resources::default() && unexpected == Resources::default(),
            taken: Vec::new(),
        }
    }

    fn may_hold(&self, id: &StepId, step: &Step) -> bool {
        let placed = self.worker.iter().flat_map(|worker| &worker.placed);
        let of_step = placed.filter(|task| id.contains(task)).count()
            + self.taken.iter().filter(|taken| *taken == id).count();
        step.reserved().fits_in(self.room)
            && step.max_per_worker.is_none_or(|max| of_step < max as usize)
            && self.worker.is_none_or(|worker| has_label(worker, step))
    }

    fn take(&mut self, id: &StepId, reserved: Resources) {
        self.free = self.free.saturating_sub(reserved);
        self.room = self.room.saturating_sub(reserved);
        self.is_open = false;
        self.taken.push(id.clone());
    }
}

impl Scheduler {
    /// Finds places for tasks on the VMs of a pool, `arriving` VMs on their way to it and new ones of
    /// this size.
    pub(super) fn long_running_places<'a>(
        &'a self,
        waiting: &[WaitingLongRunning],
        vms: impl Iterator<Item = (&'a VmRow, Option<&'a Worker>)>,
        arriving: usize,
        vm_size: Resources,
    ) -> LongRunningPlaces {
        if waiting.is_empty() {
            return LongRunningPlaces::default();
        }
        let mut places: Vec<Place<'_>> = vms
            .map(|(row, worker)| {
                let lasting = worker.map(|worker| self.lasting_load(worker));
                Place::of_vm(row, worker, lasting.unwrap_or_default())
            })
            .collect();
        let mut new_vms: Vec<Place<'_>> = Vec::new();
        for (id, step) in self.largest_first(waiting) {
            let reserved = step.reserved();
            let fitting = places.iter_mut().filter(|place| place.may_hold(id, step));
            let best =
                fitting.min_by_key(|place| (!reserved.fits_in(place.free), place.room.cpu_millis));
            // A VM without lasting tasks that cannot hold the task is kept all the same: other VMs
            // would be no better.
            let chosen = match best {
                Some(place) => Some(place),
                None => places.iter_mut().find(|place| place.is_open),
            };
            let chosen =
                chosen.or_else(|| new_vms.iter_mut().find(|place| place.may_hold(id, step)));
            if let Some(place) = chosen {
                place.take(id, reserved);
            } else {
                let mut place = Place::of_new_vm(vm_size);
                place.take(id, reserved);
                new_vms.push(place);
            }
        }
        let kept = places.iter().filter(|place| !place.taken.is_empty());
        LongRunningPlaces {
            kept: kept.filter_map(|place| place.vm.cloned()).collect(),
            missing: new_vms.len().saturating_sub(arriving),
        }
    }

    /// Returns each waiting task as its step, those with the largest demand first.
    fn largest_first<'a>(
        &'a self,
        waiting: &'a [WaitingLongRunning],
    ) -> impl Iterator<Item = (&'a StepId, &'a Step)> {
        let step_of = |id: &StepId| {
            let job = self.jobs.get(&id.submission)?;
            job.submission.steps.get(usize::from(id.step))
        };
        let mut steps: Vec<(&StepId, &Step, usize)> = waiting
            .iter()
            .filter_map(|of_step| Some((&of_step.step, step_of(&of_step.step)?, of_step.tasks)))
            .collect();
        steps.sort_by_key(|(_, step, _)| {
            let reserved = step.reserved();
            std::cmp::Reverse((reserved.gpus, reserved.cpu_millis, reserved.memory_mb))
        });
        steps
            .into_iter()
            .flat_map(|(id, step, tasks)| std::iter::repeat_n((id, step), tasks))
    }

    /// Returns what the tasks on a worker reserve that are not short.
    pub(super) fn lasting_load(&self, worker: &Worker) -> Resources {
        let mut load = Resources::default();
        if worker.lasting_tasks == 0 {
            return load;
        }
        for id in &worker.placed {
            if let Some(job) = self.jobs.get(&id.submission)
                && job.step(id).is_lasting()
            {
                load += job.step(id).reserved();
            }
        }
        load
    }
}
