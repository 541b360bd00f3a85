//! Placement by what waits and what ends: which worker empties when, and where room is held.

use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, ServiceId, WorkerId};

use super::Scheduler;
use super::ordering::Standing;
use super::placement_pass::PlacementPass;
use super::placing::{WaitingStep, has_label, is_step_full};
use super::reservations::{
    Hold, Passage, Passing, Reservation, Reservations, RoomTimes, first_room,
};
use super::run_estimates::{Forecast, RunEstimates, RunKind};
use crate::expected_ends::NEVER;
use crate::{Job, Resources, RunEnd, RunEndKind, Step, StepId, TaskId, TaskPhase, Worker};

/// The number of parts of a run's length in which the putting off of a VM's emptying is compared.
const PUT_OFF_PARTS: u128 = 2;

/// What an owner remembers of ended runs and holds for waiting tasks.
#[derive(Debug, Default)]
pub(super) struct Lookahead {
    estimates: RunEstimates,
    reservations: Reservations,
}

/// When the tasks of a step are expected to end if they start now.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepOutlook {
    pub(super) now: BootTime,
    pub(super) likely_end: BootTime,
    pub(super) late_end: BootTime,
}

/// A task that found no room but held room; others that need as much, for as long, are skipped.
#[derive(Debug)]
pub(super) struct ClosedTo {
    pub(super) service: ServiceId,
    pub(super) standing: Standing,
    pub(super) reserved: Resources,
    pub(super) late_end: BootTime,
}

/// What no worker of a service is expected to have room for, at any time.
#[derive(Debug)]
pub(super) struct Placeless {
    service: ServiceId,
    required_label: Option<Arc<str>>,
    reserved: Resources,
    tasks: usize,
}

impl Placeless {
    fn new(waiting_step: &WaitingStep, step: &Step) -> Self {
        Self {
            service: waiting_step.service.clone(),
            required_label: step.required_label.clone(),
            reserved: step.reserved(),
            tasks: places_of(step),
        }
    }

    /// Returns whether there is no room for `other`, either.
    fn covers(&self, other: &Self) -> bool {
        let is_any = self.required_label.is_none();
        self.tasks <= other.tasks
            && self.reserved.fits_in(other.reserved)
            && (is_any || self.required_label == other.required_label)
            && self.service == other.service
    }
}

impl StepOutlook {
    /// Returns by how many halves of its own length a run puts off the time at which a worker
    /// is empty.
    pub(super) fn put_off(&self, worker: &Worker) -> u128 {
        let busy_until = worker.expected_ends.empties_at().max(self.now);
        let put_off = self.likely_end.since(busy_until).as_nanos();
        let length = self.likely_end.since(self.now).as_nanos().max(1);
        (put_off * PUT_OFF_PARTS).div_ceil(length)
    }
}

fn kind<'a>(job: &'a Job, step: &Step) -> RunKind<'a> {
    RunKind {
        queue: &job.submission.queue,
        customer: job.submission.customer.as_ref(),
        announced: step.estimate,
    }
}

impl Scheduler {
    /// Brings the expected ends of runs up to date, and drops the reservations that do not hold any
    /// more.
    pub(super) fn begin_lookahead(
        &mut self,
        pass: &mut PlacementPass,
        waiting_steps: &[WaitingStep],
    ) {
        if !self.settings.placement_lookahead {
            return;
        }
        let now = pass.now;
        for waiting_step in waiting_steps {
            pass.note_demand(waiting_step);
        }
        let mut reservations = std::mem::take(&mut self.lookahead.reservations);
        let (jobs, estimates) = (&self.jobs, &self.lookahead.estimates);
        for (_, worker) in self.workers.iter_mut() {
            let placed = &worker.placed;
            worker.expected_ends.refresh(now, |index, lasted| {
                let id = placed.get(index);
                let Some((job, id)) = id.and_then(|id| Some((jobs.get(&id.submission)?, id)))
                else {
                    return now;
                };
                let step = job.step(id);
                if step.is_long_running {
                    return NEVER;
                }
                now + estimates.forecast(kind(job, step), lasted).likely
            });
        }
        let waits = |held: &Reservation| {
            let mut waiting_steps = waiting_steps.iter();
            let found = waiting_steps.find(|waiting_step| waiting_step.step == held.step)?;
            let may_start = found.service == held.service && self.may_hold_place(found);
            may_start.then(|| found.rank.standing())
        };
        let workers = &self.workers;
        let is_usable = |worker: &WorkerId, service: &ServiceId| {
            let index = workers.find_index(worker);
            index.is_ok_and(|index| pass.usable_of(service).binary_search(&index).is_ok())
        };
        reservations.update(now, waits, is_usable);
        self.lookahead.reservations = reservations;
    }

    /// Returns whether the tasks of a step could start if there was room: all members of a gang wait,
    /// and its customer may use as much.
    fn may_hold_place(&self, waiting_step: &WaitingStep) -> bool {
        let id = &waiting_step.step;
        let Some(job) = self.jobs.get(&id.submission) else {
            return false;
        };
        let step = &job.submission.steps[usize::from(id.step)];
        let tasks = places_of(step);
        let demand = step.demand.times(tasks as u64);
        waiting_step.tasks >= tasks
            && self.is_within_customer_limit(job.submission.customer.as_ref(), demand)
    }

    /// Returns when the tasks of a step end if they start now, or `None` without lookahead.
    pub(super) fn outlook(&self, job: &Job, step: &Step, now: BootTime) -> Option<StepOutlook> {
        if !self.settings.placement_lookahead {
            return None;
        }
        if step.is_long_running {
            return Some(StepOutlook {
                now,
                likely_end: NEVER,
                late_end: NEVER,
            });
        }
        let estimates = &self.lookahead.estimates;
        let Forecast { likely, late } = estimates.forecast(kind(job, step), Duration::ZERO);
        Some(StepOutlook {
            now,
            likely_end: now + likely,
            late_end: now + late,
        })
    }

    /// Returns whether another task has shown in this pass that there is no room but held room.
    pub(super) fn is_closed_to(
        &self,
        waiting_step: &WaitingStep,
        reserved: Resources,
        pass: &PlacementPass,
    ) -> bool {
        let Some(outlook) = pass.outlook.filter(|_| !pass.closed.is_empty()) else {
            return false;
        };
        let standing = waiting_step.rank.standing();
        let mut closed = pass.closed.iter();
        let is_closed = closed.any(|closed| {
            closed.standing <= standing
                && closed.late_end <= outlook.late_end
                && closed.reserved.fits_in(reserved)
                && closed.service == waiting_step.service
        });
        is_closed && !self.lookahead.reservations.has(&waiting_step.step)
    }

    /// Returns whether a task of a step may be placed on a worker where other steps hold room.
    pub(super) fn passage(
        &self,
        worker: &Worker,
        waiting_step: &WaitingStep,
        reserved: Resources,
        outlook: Option<StepOutlook>,
    ) -> Passage {
        let reservations = &self.lookahead.reservations;
        let Some(outlook) = outlook.filter(|_| !reservations.is_empty()) else {
            return Passage::Free;
        };
        let passing = passing(waiting_step, reserved, outlook);
        reservations.passage(&worker.report.id, &passing)
    }

    /// Returns whether room is held on a worker that a step may not take for a task of any length.
    pub(super) fn is_held_against(
        &self,
        worker: &Worker,
        step: &StepId,
        standing: Standing,
        reserved: Resources,
    ) -> bool {
        let passing = Passing {
            step,
            standing,
            reserved,
            late_end: NEVER,
        };
        let reservations = &self.lookahead.reservations;
        reservations.passage(&worker.report.id, &passing) == Passage::Closed
    }

    /// Records the expected end of a task that was just placed on a worker.
    pub(super) fn expect_end(&mut self, id: &TaskId, worker: &WorkerId, now: BootTime) {
        let Some(job) = self.jobs.get(&id.submission) else {
            return;
        };
        let Some(outlook) = self.outlook(job, job.step(id), now) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.expected_ends.set_last(now, outlook.likely_end);
        }
    }

    /// Records that a task has taken room on a worker beside what others hold there.
    pub(super) fn take_passage(
        &mut self,
        worker: &WorkerId,
        waiting_step: &WaitingStep,
        step: &Step,
        pass: &mut PlacementPass,
    ) {
        pass.placed_of_step += 1;
        if let Some(outlook) = pass.outlook {
            let passing = passing(waiting_step, step.reserved(), outlook);
            self.lookahead.reservations.passed(worker, &passing);
        }
    }

    /// Learns from a run that is done how long such runs last; must be called before its place is
    /// released.
    pub(super) fn learn_duration(&mut self, worker: &WorkerId, end: &RunEnd, now: BootTime) {
        if !self.settings.placement_lookahead || end.kind != RunEndKind::Done {
            return;
        }
        let Some(worker) = self.workers.get(worker) else {
            return;
        };
        let index = worker.placed.iter().position(|task| *task == end.task);
        let lasted = index.and_then(|index| worker.expected_ends.lasted(index, now));
        let (Some(lasted), Some(job)) = (lasted, self.jobs.get(&end.task.submission)) else {
            return;
        };
        let step = job.step(&end.task);
        if !step.is_long_running {
            let estimates = &mut self.lookahead.estimates;
            estimates.record(kind(job, step), lasted, now);
        }
    }

    /// Ends the reservation of a step of which a task was placed, and holds a place for one that
    /// fits nowhere.
    pub(super) fn settle_reservation(
        &mut self,
        waiting_step: &WaitingStep,
        step: &Step,
        is_placed: bool,
        pass: &mut PlacementPass,
    ) {
        if pass.placed_of_step > 0 && self.lookahead.reservations.remove(&waiting_step.step) {
            pass.closed.clear();
            // Steps that come earlier in the pass may have been kept out.
            self.needs_placement = true;
        }
        if !is_placed {
            self.hold_place(waiting_step, step, pass);
        }
    }

    /// Returns whether room is held for a step.
    pub(super) fn has_reservations(&self) -> bool {
        !self.lookahead.reservations.is_empty()
    }

    /// Returns whether a step that finds no room is to be given a place in this pass.
    pub(super) fn is_place_due(
        &self,
        waiting_step: &WaitingStep,
        step: &Step,
        pass: &PlacementPass,
    ) -> bool {
        if !self.settings.placement_lookahead || waiting_step.needs_ticket {
            return false;
        }
        let standing = waiting_step.rank.standing();
        let reservations = &self.lookahead.reservations;
        let (service, id) = (&waiting_step.service, &waiting_step.step);
        let is_passed = step.is_gang || pass.has_smaller(service, step.reserved());
        // One place for each service and pass: a search looks at all runs of the service.
        let may_search = is_passed && !pass.given_place.contains(service);
        may_search
            && reservations.is_due(service, id, standing, pass.now)
            && self.may_hold_place(waiting_step)
    }

    /// Holds the place where room for a step that fits nowhere comes first.
    fn hold_place(&mut self, waiting_step: &WaitingStep, step: &Step, pass: &mut PlacementPass) {
        if !self.is_place_due(waiting_step, step, pass) {
            return;
        }
        let (now, reserved) = (pass.now, step.reserved());
        let standing = waiting_step.rank.standing();
        let reservations = &self.lookahead.reservations;
        let (service, id) = (&waiting_step.service, &waiting_step.step);
        let search = Placeless::new(waiting_step, step);
        let is_known = pass.placeless.iter().any(|known| known.covers(&search));
        if is_known && !reservations.has(id) {
            return;
        }
        let Some((expected_at, places)) = self.first_place(waiting_step, step, pass) else {
            if step.max_per_worker.is_none() && !reservations.has(id) {
                pass.placeless.push(search);
            }
            return;
        };
        pass.given_place.push(service.clone());
        let hold = |(worker, count): (WorkerId, u64)| {
            let known = self.workers.get(&worker);
            let by_then = known
                .map(|known| known.free_capacity() + known.expected_ends.freed_by(expected_at));
            Hold {
                spare: by_then
                    .unwrap_or_default()
                    .saturating_sub(reserved.times(count)),
                worker,
            }
        };
        let holds: Vec<Hold> = places.into_iter().map(hold).collect();
        let job = self.jobs.get(&id.submission);
        let first_index = job.and_then(|job| first_waiting(job, id));
        log::info!(
            "event=place_reserved id={} worker={} workers={} expected_wait={:?}",
            id.task(first_index.unwrap_or_default()),
            holds[0].worker,
            holds.len(),
            expected_at.since(now)
        );
        let (service, id) = (service.clone(), id.clone());
        let reservations = &mut self.lookahead.reservations;
        reservations.hold(service, id, standing, (expected_at, holds), now);
    }

    /// Returns where room for a step comes first: when, and for how many of its tasks on which worker.
    fn first_place(
        &self,
        waiting_step: &WaitingStep,
        step: &Step,
        pass: &PlacementPass,
    ) -> Option<(BootTime, Vec<(WorkerId, u64)>)> {
        let (service, id) = (&waiting_step.service, &waiting_step.step);
        let (now, reserved) = (pass.now, step.reserved());
        let reservations = &self.lookahead.reservations;
        let job = self.jobs.get(&id.submission)?;
        let tasks = places_of(step);
        let task = job.task(&id.task(first_waiting(job, id)?));
        let avoided = task.and_then(|task| task.avoided_worker.as_ref());
        let usable = pass.usable_of(service).iter();
        let candidates = usable
            .filter_map(|index| self.workers.get_indexed(*index).map(|(_, worker)| worker))
            .filter(|worker| reserved.fits_in(worker.report.capacity));
        let may_hold = |worker: &Worker| {
            has_label(worker, step)
                && !is_step_full(worker, id, step)
                && !reservations.is_held_for_other(&worker.report.id, id)
        };
        let reluctance = |worker: &Worker| {
            let awaits_wave = step.is_long_running && pass.awaits_wave(&worker.report.id);
            u8::from(avoided == Some(&worker.report.id)) * 2 + u8::from(awaits_wave)
        };
        if step.is_gang {
            let max_tasks = step
                .max_per_worker
                .map_or(tasks, |max| tasks.min(max as usize));
            let rooms = candidates.filter(|worker| may_hold(worker)).map(|worker| {
                let free = worker.free_capacity();
                let ends = &worker.expected_ends;
                RoomTimes {
                    reluctance: reluctance(worker),
                    worker: worker.report.id.clone(),
                    times: ends.room_times(free, reserved, max_tasks, now),
                }
            });
            first_room(&rooms.collect::<Vec<_>>(), tasks)
        } else {
            let mut best: Option<(u8, BootTime, &Worker)> = None;
            for worker in candidates {
                let reluctance = reluctance(worker);
                let before = match best {
                    Some((best, _, _)) if reluctance > best => continue,
                    Some((best, at, _)) if reluctance == best => at,
                    _ => NEVER,
                };
                let free = worker.free_capacity();
                let at = worker
                    .expected_ends
                    .room_before(before, free, reserved, now);
                if let Some(at) = at.filter(|_| may_hold(worker)) {
                    best = Some((reluctance, at, worker));
                }
            }
            best.map(|(_, at, worker)| (at, vec![(worker.report.id.clone(), 1)]))
        }
    }
}

fn passing(waiting_step: &WaitingStep, reserved: Resources, outlook: StepOutlook) -> Passing<'_> {
    Passing {
        step: &waiting_step.step,
        standing: waiting_step.rank.standing(),
        reserved,
        late_end: outlook.late_end,
    }
}

/// Returns the number of tasks for which a step needs room at the same time.
const fn places_of(step: &Step) -> usize {
    if step.is_gang { step.tasks as usize } else { 1 }
}

/// Returns the index of the first waiting task of a step.
fn first_waiting(job: &Job, step: &StepId) -> Option<u32> {
    let occurrence = job.occurrence(step.occurrence)?;
    let run = occurrence.steps.get(usize::from(step.step))?;
    let mut tasks = run.tasks.iter();
    let index = tasks.position(|task| task.phase == TaskPhase::Waiting)?;
    Some(index as u32)
}
