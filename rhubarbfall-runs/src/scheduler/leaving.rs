//! What runs in evacuated availability zones, and what leaves them ahead of the loss.
//!
//! The load: a zone that is about to be lost runs tasks of every kind. Long-running tasks leave first,
//! as few of a step at a time as its `max_unavailable` allows. A short task ends by itself, unless it
//! saves checkpoints and has long to go: then it goes on elsewhere, once. A gang leaves whole or not at
//! all. Nothing is stopped to wait: a task leaves only if a worker of another zone has room for it
//! beside the tasks that have left and wait.

use std::time::Duration;

use rhubarbfall_core::{AvailabilityZoneId, BootTime, WorkerId};

use super::Scheduler;
use super::ordering::rank;
use crate::{JobState, Resources, RunState, Step, StepId, Task, TaskId, TaskPhase, Worker};

/// A short task that has no more than this to go ends in the zone: a stop, a new start and the
/// restoring of the checkpoint take about a second.
const MIN_REST_TO_LEAVE: Duration = Duration::from_secs(3);

/// The interval at which tasks are chosen that leave. The choice looks at all open tasks.
const LEAVE_INTERVAL: Duration = Duration::from_millis(240);

/// The interval between log lines about a zone.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The number of runs that workers still have in an evacuated availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRuns {
    /// The availability zone.
    pub zone: AvailabilityZoneId,
    /// The number of runs; 0 also for a zone that has been taken back.
    pub runs: usize,
}

/// What an evacuated zone still runs, by what it waits for.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct ZoneCounts {
    /// Short tasks, which end by themselves.
    short: usize,
    /// Long-running tasks that wait until others of their step are available.
    lasting: usize,
    /// Tasks that are to leave and find no room in another zone.
    waiting_for_room: usize,
    /// Runs that are being stopped.
    stopping: usize,
    /// Workers that may run what this owner does not know.
    unknown: usize,
}

impl ZoneCounts {
    const fn runs(&self) -> usize {
        self.short + self.lasting + self.waiting_for_room + self.stopping
    }

    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The room that workers of other zones have for tasks that leave.
#[derive(Debug, Clone)]
struct Room<'a> {
    now: BootTime,
    places: Vec<Place<'a>>,
}

/// The room on one worker.
#[derive(Debug, Clone)]
struct Place<'a> {
    worker: &'a Worker,
    free: Resources,
    /// The steps of the tasks that take room here, and of those that give it up.
    taken: Vec<StepId>,
    returned: Vec<StepId>,
}

impl<'a> Place<'a> {
    const fn new(worker: &'a Worker) -> Self {
        Self {
            worker,
            free: worker.free_capacity(),
            taken: Vec::new(),
            returned: Vec::new(),
        }
    }

    /// Returns how many tasks of a step the worker would have.
    fn tasks_of(&self, id: &StepId) -> usize {
        let count = |steps: &[StepId]| steps.iter().filter(|other| *other == id).count();
        let placed = self.worker.placed.iter().filter(|task| id.contains(task));
        placed.count() + count(&self.taken) - count(&self.returned)
    }

    fn has_room(&self, id: &StepId, step: &Step) -> bool {
        step.reserved().fits_in(self.free)
            && super::placing::has_label(self.worker, step)
            && step
                .max_per_worker
                .is_none_or(|max| self.tasks_of(id) < max as usize)
    }
}

impl Room<'_> {
    /// Takes the room for a task of a step from the worker that it leaves with the least, and returns
    /// whether there was any.
    fn take(&mut self, id: &TaskId, step: &Step, scheduler: &Scheduler) -> bool {
        let Some(job) = scheduler.jobs.get(&id.submission) else {
            return false;
        };
        let Some(queue) = scheduler.config.queue(&job.submission.queue) else {
            return false;
        };
        let step_id = StepId::of(id);
        let of_service = |place: &&mut Place| place.worker.report.service == queue.service;
        let places = self.places.iter_mut().filter(of_service);
        let standing = scheduler.has_reservations().then(|| {
            let rank = rank(job, queue, self.now);
            rank.standing()
        });
        let is_open = |place: &Place<'_>| {
            standing.is_none_or(|standing| {
                let taken = place.worker.free_capacity().saturating_sub(place.free);
                let reserved = taken + step.reserved();
                !scheduler.is_held_against(place.worker, &step_id, standing, reserved)
            })
        };
        let fitting = places.filter(|place| place.has_room(&step_id, step) && is_open(place));
        let Some(best) = fitting.min_by_key(|place| (place.free.cpu_millis, place.free.memory_mb))
        else {
            return false;
        };
        best.free = best.free.saturating_sub(step.reserved());
        best.taken.push(step_id);
        true
    }

    /// Adds the place that a task gives up on one of the workers.
    fn give_up(&mut self, id: &TaskId, step: &Step, worker: &WorkerId) {
        let is_there = |place: &&mut Place| place.worker.report.id == *worker;
        if let Some(place) = self.places.iter_mut().find(is_there) {
            place.free += step.reserved();
            place.returned.push(StepId::of(id));
        }
    }
}

impl Scheduler {
    /// Stops tasks in evacuated zones for which there is room elsewhere, and counts what the zones run.
    pub(super) fn leave_evacuated_zones(&mut self, now: BootTime) {
        let is_due = now.since(self.evacuation.left_at) >= LEAVE_INTERVAL;
        if self.evacuated_zones().is_empty() || !is_due {
            return;
        }
        self.evacuation.left_at = now;
        let (leaving, waiting) = if self.is_operator_view_current(now) {
            self.choose_leaving(now)
        } else {
            (Vec::new(), Vec::new())
        };
        for id in &leaving {
            log::info!("event=run_stopped id={id} reason=zone_evacuated");
            self.set_run_state(id, RunState::STOP_REQUESTED);
            if !self.is_long_running(id)
                && let Err(index) = self.evacuation.moved.binary_search(id)
            {
                self.evacuation.moved.insert(index, id.clone());
            }
        }
        if now.since(self.evacuation.logged_at) >= LOG_INTERVAL {
            self.evacuation.logged_at = now;
            self.report_evacuated_zones(&waiting);
        }
    }

    /// Returns the tasks that leave their zone now, and those that find no room.
    fn choose_leaving(&self, now: BootTime) -> (Vec<TaskId>, Vec<TaskId>) {
        let mut candidates = self.candidates(now);
        // Long-running tasks leave first.
        candidates.sort_by_key(|id| (!self.is_long_running(id), id.clone()));
        if candidates.is_empty() {
            return (Vec::new(), Vec::new());
        }
        let mut room = self.room_elsewhere(now);
        let (mut leaving, mut waiting): (Vec<TaskId>, Vec<TaskId>) = (Vec::new(), Vec::new());
        for id in candidates {
            if leaving.contains(&id) || waiting.contains(&id) {
                continue;
            }
            let Some(job) = self.jobs.get(&id.submission) else {
                continue;
            };
            let (step, step_id) = (job.step(&id), StepId::of(&id));
            let of_step = leaving.iter().filter(|other| step_id.contains(other));
            if step.is_long_running && !self.may_interrupt(&id, of_step.count(), now) {
                continue;
            }
            let group = self.leaving_group(&id);
            // The customer's usage already contains the task.
            let customer = job.submission.customer.as_ref();
            let may_start = self.is_within_customer_limit(customer, Resources::default());
            let has_failed = waiting.iter().any(|other| step_id.contains(other));
            if may_start && !has_failed && self.take_room(&group, step, &mut room) {
                leaving.extend(group);
            } else {
                waiting.extend(group);
            }
        }
        (leaving, waiting)
    }

    /// Takes the room for tasks of a step that leave together, and returns whether there was room for
    /// all of them.
    fn take_room<'a>(&'a self, group: &[TaskId], step: &Step, room: &mut Room<'a>) -> bool {
        if let [id] = group {
            return room.take(id, step, self);
        }
        let mut left = room.clone();
        for member in group {
            if let Some(placed) = self.placement(member) {
                left.give_up(member, step, &placed.worker);
            }
        }
        let has_room = group.iter().all(|member| left.take(member, step, self));
        if has_room {
            room.places = left.places;
        }
        has_room
    }

    /// Returns the tasks in evacuated zones that are to leave as soon as there is room.
    fn candidates(&self, now: BootTime) -> Vec<TaskId> {
        let placed = self
            .evacuated_workers(now)
            .flat_map(|worker| &worker.placed);
        let is_candidate = |id: &&TaskId| {
            let Some(job) = self.jobs.get(&id.submission) else {
                return false;
            };
            let (step, Some(task)) = (job.step(id), job.task(id)) else {
                return false;
            };
            let is_running = |task: &Task| {
                let state = task.placement().map(|placed| placed.state);
                matches!(state, Some(RunState::Accepted(_)))
            };
            let group = self.leaving_group(id);
            let is_whole = group.len() == if step.is_gang { step.tasks as usize } else { 1 };
            let all_run = || group.iter().all(|id| job.task(id).is_some_and(is_running));
            let leaves = if step.is_long_running {
                now >= self.interrupt_after
                    && (!step.is_gang || step.tasks <= step.max_unavailable.max(1))
            } else {
                step.is_checkpointed
                    && rest(step, task) > MIN_REST_TO_LEAVE
                    && self.evacuation.moved.binary_search(id).is_err()
            };
            job.state == JobState::Active && leaves && is_whole && all_run()
        };
        placed.filter(is_candidate).cloned().collect()
    }

    /// Returns the tasks that leave together with a task: all members of its gang, or itself.
    fn leaving_group(&self, id: &TaskId) -> Vec<TaskId> {
        let job = self.jobs.get(&id.submission);
        let Some(job) = job.filter(|job| job.step(id).is_gang) else {
            return vec![id.clone()];
        };
        let members = job.tasks_where(|task| task.placement().is_some());
        let step = StepId::of(id);
        members.into_iter().filter(|id| step.contains(id)).collect()
    }

    /// Returns what usable workers have free, without what the tasks need that were stopped and those
    /// that are long-running and wait.
    fn room_elsewhere(&self, now: BootTime) -> Room<'_> {
        let cordoned = self.vm_ops.cordoned();
        let usable = self
            .workers()
            .filter(|worker| self.is_usable(worker, &cordoned, now));
        let mut room = Room {
            now,
            places: usable.map(Place::new).collect(),
        };
        for job in self.jobs().filter(|job| job.state == JobState::Active) {
            let is_long_running = job.submission.is_long_running();
            let is_away = |task: &Task| match &task.phase {
                TaskPhase::Waiting => task.last_run > 0 || is_long_running,
                TaskPhase::Placed(placed) => placed.state.is_stopping(),
                TaskPhase::Done => false,
            };
            for id in job.tasks_where(is_away) {
                room.take(&id, job.step(&id), self);
            }
        }
        room
    }

    /// Returns the workers in evacuated zones that answer.
    fn evacuated_workers(&self, now: BootTime) -> impl Iterator<Item = &Worker> {
        let is_evacuated =
            |worker: &&Worker| self.evacuation.includes(&worker.report.availability_zone);
        let evacuated = self.workers().filter(is_evacuated);
        evacuated.filter(move |worker| self.is_reachable(&worker.report.id, now))
    }

    /// Returns how many long-running tasks of a step leave evacuated zones next, for which VMs are
    /// needed in other zones.
    pub(super) fn long_running_to_leave(&self, step: &Step, tasks: &[Task]) -> usize {
        if self.evacuated_zones().is_empty() || !step.is_long_running {
            return 0;
        }
        let is_in_zone = |task: &&Task| {
            let worker = task
                .placement()
                .and_then(|placed| self.workers.get(&placed.worker));
            worker.is_some_and(|worker| self.evacuation.includes(&worker.report.availability_zone))
        };
        let in_zone = tasks.iter().filter(is_in_zone).count();
        in_zone.min(step.max_unavailable.max(1) as usize)
    }

    /// Returns what evacuated zones run, for each zone whose number has been counted since it was last
    /// taken.
    pub fn take_zone_runs(&mut self) -> Vec<ZoneRuns> {
        std::mem::take(&mut self.evacuation.reported)
    }

    /// Counts and logs what each evacuated zone runs, and once that it runs nothing.
    fn report_evacuated_zones(&mut self, waiting: &[TaskId]) {
        for zone in self.evacuated_zones().to_vec() {
            let counts = self.count_zone(&zone, waiting);
            let before = self.evacuation.counts.insert(zone.clone(), counts);
            let cell = &self.settings.cell;
            if !counts.is_empty() {
                log::info!(
                    "event=zone_runs zone={zone} cell={cell} short={} lasting={} \
                     waiting_for_room={} stopping={} unknown_workers={}",
                    counts.short,
                    counts.lasting,
                    counts.waiting_for_room,
                    counts.stopping,
                    counts.unknown
                );
            } else if before.is_none_or(|before| !before.is_empty()) {
                log::info!("event=zone_empty zone={zone} cell={cell}");
            }
            let runs = counts.runs();
            self.evacuation.reported.push(ZoneRuns { zone, runs });
        }
    }

    fn count_zone(&self, zone: &AvailabilityZoneId, waiting: &[TaskId]) -> ZoneCounts {
        let mut counts = ZoneCounts::default();
        let of_zone = |worker: &&Worker| worker.report.availability_zone == *zone;
        for worker in self.workers().filter(of_zone) {
            let has_unplaced = worker.unexpected_load != Resources::default();
            let may_run_unknown = !self.is_known_empty(Some(&worker.report.id));
            counts.unknown +=
                usize::from(has_unplaced || worker.placed.is_empty() && may_run_unknown);
            for id in &worker.placed {
                let state = self.placement(id).map(|placed| placed.state);
                if state.is_some_and(RunState::is_stopping) {
                    counts.stopping += 1;
                } else if waiting.contains(id) {
                    counts.waiting_for_room += 1;
                } else if self.is_long_running(id) {
                    counts.lasting += 1;
                } else {
                    counts.short += 1;
                }
            }
        }
        counts
    }
}

/// Returns how long a task has still to run, by its estimate.
fn rest(step: &Step, task: &Task) -> Duration {
    let progress = task.placement().map_or(0, |placed| placed.progress_percent);
    step.estimate
        .mul_f64(f64::from(100 - progress.min(100)) / 100.0)
}
