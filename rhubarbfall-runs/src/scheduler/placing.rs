use std::sync::Arc;

use rhubarbfall_core::{BootTime, CustomerId, ServiceId, SubmissionId, WorkerId};

use super::Scheduler;
use super::ordering::{Candidate, Rank, beyond_capacity, load_s, rank};
use super::placement_pass::PlacementPass;
use super::reservations::Passage;
use super::service_view::FleetView;
use crate::row_size::{always_fits, room_for_new_tasks};
use crate::{
    Job, Placement, Resources, RunState, Service, Stage, Step, StepId, TaskId, TaskPhase, Worker,
};

/// The average share of work that is still to be done in the open tasks of a submission that has
/// begun: they are taken as halfway through.
const BEGUN_REMAINING_SHARE: f64 = 0.5;

/// What speaks against a worker for a task, the most important first; the least free capacity decides
/// between equals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerPreference {
    is_avoided: bool,
    awaits_wave: bool,
    interferes: bool,
    is_suspect: bool,
    is_on_other_rack: bool,
    passage: Passage,
    /// By how much the task puts off the time at which the worker is empty; 0 without lookahead.
    put_off: u128,
}

/// The tasks of one step that are waiting and may start.
#[derive(Debug)]
pub(super) struct WaitingStep {
    pub(super) rank: Rank,
    pub(super) step: StepId,
    pub(super) service: ServiceId,
    /// The position of the service in the configuration.
    service_number: Option<usize>,
    /// Whether starting the tasks requires a ticket of the advice service.
    pub(super) needs_ticket: bool,
    /// The resources that each task reserves.
    pub(super) reserved: Resources,
    /// The number of the tasks.
    pub(super) tasks: usize,
}

/// The work of one service that can be in time.
#[derive(Debug, Default)]
struct WorkInTime {
    /// The submissions that have not begun.
    candidates: Vec<Candidate>,
    /// The remaining work of those that have begun, in seconds of one whole worker.
    begun_load_s: f64,
}

impl Scheduler {
    /// Places waiting tasks on workers in the order of their ranks.
    pub(super) fn place_waiting(&mut self, now: BootTime) {
        let has_quarantine_ended = self.quarantine_end.is_some_and(|end| end <= now);
        if !std::mem::take(&mut self.needs_placement) && !has_quarantine_ended {
            self.start_rate.observe(false, now);
            return;
        }
        let fleet = self.fleet_view(now);
        self.quarantine_end = fleet.first_quarantine_end;
        let (mut waiting_steps, work) = self.waiting_steps(&fleet, now);
        self.demote_beyond_capacity(&mut waiting_steps, work, &fleet, now);
        self.demote_beyond_start_rate(&mut waiting_steps, now);
        waiting_steps.sort_by_key(|waiting_step| waiting_step.rank);
        let mut pass = PlacementPass {
            now,
            fleet,
            awaiting_wave: self.workers_awaiting_wave(),
            ..PlacementPass::default()
        };
        self.begin_lookahead(&mut pass, &waiting_steps);
        let mut is_limited = false;
        for waiting_step in &waiting_steps {
            is_limited = self.pending_starts.len() >= self.settings.max_pending_starts;
            if is_limited {
                break;
            }
            self.place_step(waiting_step, &mut pass, now);
        }
        self.start_rate.observe(is_limited, now);
    }

    /// Returns whether tasks may start on a worker, given the sorted workers on VMs with an active
    /// operation.
    pub(super) fn is_usable(&self, worker: &Worker, cordoned: &[WorkerId], now: BootTime) -> bool {
        cordoned.binary_search(&worker.report.id).is_err()
            && self.evacuation.allows(worker, now)
            && worker.accepts_work(now, self.settings.unreachable_after)
    }

    /// Ranks submissions that exceed the capacity with those that can only be late.
    fn demote_beyond_capacity(
        &mut self,
        waiting_steps: &mut [WaitingStep],
        work: Vec<WorkInTime>,
        fleet: &FleetView,
        now: BootTime,
    ) {
        let config = Arc::clone(&self.config);
        let services = config.services.iter().zip(work).enumerate();
        let with_candidates = services.filter(|(_, (_, work))| !work.candidates.is_empty());
        for (number, (service, work)) in with_candidates {
            let accepting = fleet.service(&service.id).map_or(0, |view| view.accepting);
            let workers = accepting + self.usable_moving_to(&service.id);
            let (capacity_per_s, begun_load_s) = (workers.max(1) as f64, work.begun_load_s);
            let mut deferred = beyond_capacity(work.candidates, begun_load_s, capacity_per_s, now);
            if deferred.is_empty() {
                continue;
            }
            deferred.sort();
            self.record_deferred(&deferred, workers, begun_load_s);
            let of_service = |waiting_step: &&mut WaitingStep| {
                waiting_step.service_number == Some(number) && waiting_step.rank.is_new_in_time()
            };
            for waiting_step in waiting_steps.iter_mut().filter(of_service) {
                let id = &waiting_step.step.submission;
                if deferred.binary_search(id).is_ok() {
                    waiting_step.rank.demote();
                }
            }
        }
    }

    /// Ranks submissions that exceed the rate at which this owner starts tasks with those that can
    /// only be late.
    fn demote_beyond_start_rate(&mut self, waiting_steps: &mut [WaitingStep], now: BootTime) {
        let Some(rate_per_s) = self.start_rate.per_s(now) else {
            return;
        };
        let mut candidates: Vec<Candidate> = Vec::new();
        let mut begun_starts = 0;
        for waiting_step in waiting_steps.iter() {
            let id = &waiting_step.step.submission;
            let starts = waiting_step.tasks;
            if waiting_step.rank.is_begun_in_time() {
                begun_starts += starts;
            }
            if !waiting_step.rank.is_new_in_time() {
                continue;
            }
            match candidates.last_mut().filter(|last| last.id == *id) {
                Some(last) => last.load_s += starts as f64,
                None => candidates.push(Candidate {
                    id: id.clone(),
                    latest_start: waiting_step.rank.latest_start(),
                    load_s: starts as f64,
                }),
            }
        }
        // A start counts as one second of load, of which the owner does `rate_per_s` a second.
        let mut deferred = beyond_capacity(candidates, begun_starts as f64, rate_per_s, now);
        deferred.sort();
        for waiting_step in waiting_steps.iter_mut() {
            let id = &waiting_step.step.submission;
            if deferred.binary_search(id).is_ok() {
                waiting_step.rank.demote();
            }
        }
    }

    fn record_deferred(&mut self, ids: &[SubmissionId], workers: usize, begun_load_s: f64) {
        for id in ids {
            if let Some(job) = self.jobs.get_mut(id)
                && !job.was_deferred
            {
                job.was_deferred = true;
                log::info!(
                    "event=job_deferred id={id} queue={} workers={workers} \
                     begun_load_s={begun_load_s:.1}",
                    job.submission.queue
                );
            }
        }
    }

    /// Returns the steps with tasks that may start, and the work in time of each configured service,
    /// from one walk over the active jobs.
    fn waiting_steps(
        &mut self,
        fleet: &FleetView,
        now: BootTime,
    ) -> (Vec<WaitingStep>, Vec<WorkInTime>) {
        let services = &self.config.services;
        let size = |service: &Service| fleet.service(&service.id).map(|view| view.worker_size);
        let sizes: Vec<Resources> = services
            .iter()
            .map(|service| size(service).unwrap_or_default())
            .collect();
        let mut work: Vec<WorkInTime> = Vec::new();
        work.resize_with(services.len(), WorkInTime::default);
        let mut waiting_steps = Vec::new();
        let mut has_delayed_tasks = false;
        for job in self.jobs.active() {
            let Some(queue) = self.config.queue(&job.submission.queue) else {
                continue;
            };
            let rank = rank(job, queue, now);
            let service_number = services
                .iter()
                .position(|service| service.id == queue.service);
            let steps_before = waiting_steps.len();
            for (occurrence, number, step, run) in job.open_steps() {
                let mut tasks = 0;
                for task in &run.tasks {
                    let is_waiting = task.phase == TaskPhase::Waiting;
                    let is_due = task.not_before <= now;
                    tasks += usize::from(is_waiting && is_due);
                    has_delayed_tasks |= is_waiting && !is_due;
                }
                if tasks > 0 {
                    waiting_steps.push(WaitingStep {
                        rank,
                        step: StepId {
                            submission: job.submission.id.clone(),
                            occurrence,
                            step: number as u16,
                        },
                        service: queue.service.clone(),
                        service_number,
                        needs_ticket: queue.advice.is_some(),
                        reserved: step.reserved(),
                        tasks,
                    });
                }
            }
            let Some(number) = service_number else {
                continue;
            };
            if rank.is_begun_in_time() {
                work[number].begun_load_s += load_s(job, sizes[number]) * BEGUN_REMAINING_SHARE;
            } else if rank.is_new_in_time() && waiting_steps.len() > steps_before {
                work[number].candidates.push(Candidate {
                    id: job.submission.id.clone(),
                    latest_start: rank.latest_start(),
                    load_s: load_s(job, sizes[number]),
                });
            }
        }
        self.needs_placement |= has_delayed_tasks;
        (waiting_steps, work)
    }

    fn place_step(&mut self, waiting_step: &WaitingStep, pass: &mut PlacementPass, now: BootTime) {
        let Some(job) = self.jobs.get(&waiting_step.step.submission) else {
            return;
        };
        let submission = Arc::clone(&job.submission);
        let step = &submission.steps[usize::from(waiting_step.step.step)];
        if !waiting_step.needs_ticket
            && pass.is_unplaceable(&waiting_step.service, step)
            && !self.is_place_due(waiting_step, step, pass)
        {
            return;
        }
        pass.outlook = self.outlook(job, step, now);
        pass.placed_of_step = 0;
        let tasks = ready_tasks(job, &waiting_step.step, now);
        let are_placed = if step.is_gang {
            self.place_gang(waiting_step, step, &tasks, pass, now)
        } else {
            self.place_each(waiting_step, step, tasks.into_iter(), pass, now)
        };
        self.settle_reservation(waiting_step, step, are_placed, pass);
        if !are_placed && waiting_step.needs_ticket {
            let usable = pass.usable_of(&waiting_step.service);
            self.request_advice(&waiting_step.step, step, usable, now);
        }
    }

    /// Places tasks one by one until the limit on pending starts, and returns false if a task found
    /// no worker.
    fn place_each(
        &mut self,
        waiting_step: &WaitingStep,
        step: &Step,
        tasks: impl Iterator<Item = TaskId>,
        pass: &mut PlacementPass,
        now: BootTime,
    ) -> bool {
        let submission = &waiting_step.step.submission;
        let mut room = self.row_room(submission, pass);
        for id in tasks {
            if self.pending_starts.len() >= self.settings.max_pending_starts {
                return true;
            }
            let is_new = self.next_run(&id) == 1;
            if is_new && room == 0 {
                continue;
            }
            let Some(worker) = self.choose_worker(&id, step, waiting_step, pass) else {
                return false;
            };
            let run = self.next_run(&id);
            self.with_room_of(&mut pass.fleet, &worker, |scheduler| {
                scheduler.place(&id, &worker, run, now);
            });
            self.take_passage(&worker, waiting_step, step, pass);
            room -= usize::from(is_new);
            pass.row_room = Some((submission.clone(), room));
        }
        true
    }

    /// Returns how many tasks that were never placed a job may place in the rest of a pass. The steps of
    /// a job follow each other in it.
    fn row_room(&self, id: &SubmissionId, pass: &mut PlacementPass) -> usize {
        match &pass.row_room {
            Some((known, room)) if known == id => *room,
            _ => {
                let room = self.room_for_new_tasks(id);
                pass.row_room = Some((id.clone(), room));
                room
            }
        }
    }

    /// Returns how many tasks that were never placed a job may place, so that its rows stay within
    /// the size that the store accepts.
    fn room_for_new_tasks(&self, id: &SubmissionId) -> usize {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let max_bytes = self.settings.max_row_bytes;
        if always_fits(job, max_bytes) {
            return job.begun_tasks();
        }
        let names = self.workers().map(|worker| worker.report.id.as_str().len());
        room_for_new_tasks(job, max_bytes, names.max().unwrap_or_default())
    }

    /// Places all members of a gang or none, and returns whether they were placed.
    fn place_gang(
        &mut self,
        waiting_step: &WaitingStep,
        step: &Step,
        tasks: &[TaskId],
        pass: &mut PlacementPass,
        now: BootTime,
    ) -> bool {
        if tasks.len() < step.tasks as usize {
            return false;
        }
        let new = tasks.iter().filter(|id| self.next_run(id) == 1).count();
        let submission = &waiting_step.step.submission;
        let room = self.row_room(submission, pass);
        if new > room {
            return true;
        }
        let run = tasks.iter().map(|id| self.next_run(id)).max().unwrap_or(1);
        let needs_placement = self.needs_placement;
        let mut placed: Vec<(TaskId, WorkerId)> = Vec::new();
        for id in tasks {
            let Some(worker) = self.choose_worker(id, step, waiting_step, pass) else {
                break;
            };
            self.with_room_of(&mut pass.fleet, &worker, |scheduler| {
                scheduler.place(id, &worker, run, now);
            });
            placed.push((id.clone(), worker));
        }
        if placed.len() == tasks.len() {
            for (_, worker) in &placed {
                self.take_passage(worker, waiting_step, step, pass);
            }
            pass.row_room = Some((submission.clone(), room - new));
            return true;
        }
        for (id, worker) in placed {
            self.with_room_of(&mut pass.fleet, &worker, |scheduler| {
                scheduler.release(&id, now);
            });
            if let Some(job) = self.jobs.get_mut(&id.submission)
                && let Some(task) = job.task_mut(&id)
            {
                task.phase = TaskPhase::Waiting;
            }
        }
        // Releasing the members makes no room that was not there before.
        self.needs_placement = needs_placement;
        false
    }

    fn next_run(&self, id: &TaskId) -> u64 {
        self.jobs
            .get(&id.submission)
            .and_then(|job| job.task(id))
            .map_or(1, |task| task.last_run + 1)
    }

    /// Chooses the worker that the task leaves with the least free capacity, so that other workers
    /// stay empty for large tasks, moves and maintenance.
    fn choose_worker(
        &self,
        id: &TaskId,
        step: &Step,
        waiting_step: &WaitingStep,
        pass: &mut PlacementPass,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&id.submission)?;
        let task = job.task(id)?;
        if !self.is_within_customer_limit(job.submission.customer.as_ref(), step.demand) {
            return None;
        }
        let reserved = step.reserved();
        if pass.is_unplaceable(&waiting_step.service, step) {
            return None;
        }
        if self.is_closed_to(waiting_step, reserved, pass) {
            return None;
        }
        self.sort_by_room(&mut pass.fleet, &waiting_step.service);
        let fleet_service = pass.fleet.service(&waiting_step.service)?;
        let (mut has_room, mut is_open) = (false, false);
        let mut chosen: Option<(WorkerPreference, &Worker)> = None;
        // Workers come with the least free capacity first, so that only an earlier part of the
        // preference can make a later one better.
        for index in fleet_service.fitting(reserved) {
            let Some((_, worker)) = self.workers.get_indexed(index) else {
                continue;
            };
            if !reserved.fits_in(worker.free_capacity()) {
                continue;
            }
            has_room = true;
            let passage = self.passage(worker, waiting_step, reserved, pass.outlook);
            if passage == Passage::Closed {
                continue;
            }
            is_open = true;
            if !has_label(worker, step) || is_step_full(worker, &waiting_step.step, step) {
                continue;
            }
            let ticket = || self.advice.ticket(&waiting_step.step, worker, pass.now);
            if waiting_step.needs_ticket && ticket().is_none() {
                continue;
            }
            let preference = WorkerPreference {
                is_avoided: task.avoided_worker.as_ref() == Some(&worker.report.id),
                awaits_wave: step.is_long_running && pass.awaits_wave(&worker.report.id),
                interferes: (step.is_best_effort && worker.latency_sensitive_tasks > 0)
                    || (step.tail_latency_target.is_some() && worker.best_effort_tasks > 0),
                is_suspect: !worker.failed_submissions.is_empty(),
                is_on_other_rack: step.data_rack.is_some() && step.data_rack != worker.report.rack,
                passage,
                put_off: pass.outlook.map_or(0, |outlook| outlook.put_off(worker)),
            };
            if chosen.is_none_or(|(best, _)| preference < best) {
                chosen = Some((preference, worker));
            }
            if preference == WorkerPreference::default() {
                break;
            }
        }
        let chosen = chosen.map(|(_, worker)| worker.report.id.clone());
        if !has_room {
            let unplaceable = pass.unplaceable.entry(waiting_step.service.clone());
            unplaceable.or_default().push(reserved);
        } else if !is_open && !step.is_gang {
            pass.record_closed(waiting_step, reserved);
        }
        chosen
    }

    /// Returns whether a customer's limit allows it to use these resources more.
    pub(super) fn is_within_customer_limit(
        &self,
        customer: Option<&CustomerId>,
        demand: Resources,
    ) -> bool {
        let Some(id) = customer else { return true };
        let Some(customer) = self.config.customer(id) else {
            return true;
        };
        let used = self.customer_usage.get(id).copied().unwrap_or_default();
        self.is_within_share(customer, used + demand)
    }

    fn place(&mut self, id: &TaskId, worker_id: &WorkerId, run: u64, now: BootTime) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let incarnation_unix_ms = worker.report.incarnation_unix_ms;
        self.reserve(id, worker_id);
        self.expect_end(id, worker_id, now);
        let Some(job) = self.jobs.get_mut(&id.submission) else {
            return;
        };
        let state = RunState::Storing(job.version + 1);
        let demand = job.step(id).demand;
        job.has_begun = true;
        job.placed_at.get_or_insert(now);
        job.stages.end(Stage::Waiting, now);
        if let Some(task) = job.task_mut(id) {
            task.last_run = run;
            task.phase = TaskPhase::Placed(Placement {
                worker: worker_id.clone(),
                incarnation_unix_ms,
                run,
                state,
                is_listed: false,
                progress_percent: 0,
                progress_at: now,
                pace_percent: 100,
            });
        }
        let left = self.workers.get(worker_id).map(Worker::free_capacity);
        log::info!(
            "event=run_placed id={id} run={run} worker={worker_id} demand={demand} left={}",
            left.unwrap_or_default()
        );
        self.set_start_pending(id, true);
        self.mark_dirty(&id.submission);
    }
}

/// Returns the tasks of a step that may start.
fn ready_tasks(job: &Job, step: &StepId, now: BootTime) -> Vec<TaskId> {
    let occurrence = job.occurrence(step.occurrence);
    let run = occurrence.and_then(|occurrence| occurrence.steps.get(usize::from(step.step)));
    let tasks = run.into_iter().flat_map(|run| run.tasks.iter().enumerate());
    tasks
        .filter(|(_, task)| task.phase == TaskPhase::Waiting && task.not_before <= now)
        .map(|(index, _)| step.task(index as u32))
        .collect()
}

pub(super) fn has_label(worker: &Worker, step: &Step) -> bool {
    step.required_label
        .as_ref()
        .is_none_or(|needed| worker.report.labels.contains(needed))
}

/// Returns whether a worker has the maximum number of tasks of a step.
pub(super) fn is_step_full(worker: &Worker, id: &StepId, step: &Step) -> bool {
    let Some(max_tasks) = step.max_per_worker else {
        return false;
    };
    let placed = worker.placed.iter().filter(|task| id.contains(task));
    placed.count() >= max_tasks as usize
}
