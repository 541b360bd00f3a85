use std::sync::Arc;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, CustomerId, ServiceId, SubmissionId, WorkerId};

use super::Scheduler;
use super::lookahead::{ClosedTo, StepOutlook};
use super::ordering::{Candidate, Rank, beyond_capacity, load_s, rank};
use super::reservations::Passage;
use crate::row_size::{always_fits, room_for_new_tasks};
use crate::{
    JobState, Placement, Resources, RunState, Stage, Step, StepId, TaskId, TaskPhase, Worker,
};

/// The average share of work that is still to be done in the open tasks of a submission that has
/// begun: they are taken as halfway through.
const BEGUN_REMAINING_SHARE: f64 = 0.5;

/// Values computed once for a placement pass.
#[derive(Debug, Default)]
pub(super) struct PlacementPass {
    /// The time of the pass.
    pub(super) now: BootTime,
    /// The indexes of each service's workers that accept work.
    usable: LiteMap<ServiceId, Vec<usize>>,
    /// The demands for which no worker of a service has capacity; demands at least as large are
    /// skipped.
    unplaceable: LiteMap<ServiceId, Vec<Resources>>,
    /// The workers on VMs that are still due for maintenance in a wave, sorted.
    awaiting_wave: Vec<WorkerId>,
    /// The smallest demand of the steps that wait for each service, by component.
    smallest: LiteMap<ServiceId, Resources>,
    /// When the tasks of the step that is being placed end, or `None` without lookahead.
    pub(super) outlook: Option<StepOutlook>,
    /// The number of its tasks that were placed.
    pub(super) placed_of_step: usize,
    /// The tasks that found no room but held room.
    pub(super) closed: Vec<ClosedTo>,
    /// The services for whose steps a place was held in this pass.
    pub(super) given_place: Vec<ServiceId>,
}

/// The tasks of one step that are waiting and may start.
#[derive(Debug)]
pub(super) struct WaitingStep {
    pub(super) rank: Rank,
    pub(super) step: StepId,
    pub(super) service: ServiceId,
    /// Whether starting the tasks requires a ticket of the advice service.
    pub(super) needs_ticket: bool,
    /// The resources that each task reserves.
    reserved: Resources,
    indexes: Vec<u32>,
}

impl PlacementPass {
    /// Takes the demand of a waiting step into account for [`Self::has_smaller`].
    pub(super) fn note_demand(&mut self, waiting_step: &WaitingStep) {
        let reserved = waiting_step.reserved;
        let known = self.smallest.get(&waiting_step.service).copied();
        let smallest = known.map_or(reserved, |known| known.min(reserved));
        self.smallest.insert(waiting_step.service.clone(), smallest);
    }

    /// Records that a task found no room but held room.
    fn record_closed(&mut self, waiting_step: &WaitingStep, reserved: Resources) {
        self.closed.extend(self.outlook.map(|outlook| ClosedTo {
            service: waiting_step.service.clone(),
            standing: waiting_step.rank.standing(),
            reserved,
            late_end: outlook.late_end,
        }));
    }

    /// Returns whether a step that waits for a service needs less than `demand` of something.
    pub(super) fn has_smaller(&self, service: &ServiceId, demand: Resources) -> bool {
        let smallest = self.smallest.get(service);
        smallest.is_some_and(|smallest| !demand.fits_in(*smallest))
    }

    /// Returns the indexes of a service's workers that accept work.
    pub(super) fn usable_of(&self, service: &ServiceId) -> &[usize] {
        self.usable.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a worker is on a VM that is still due for maintenance in a wave.
    pub(super) fn awaits_wave(&self, worker: &WorkerId) -> bool {
        self.awaiting_wave.binary_search(worker).is_ok()
    }
}

impl Scheduler {
    /// Places waiting tasks on workers in the order of their ranks.
    pub(super) fn place_waiting(&mut self, now: BootTime) {
        let has_quarantine_ended = self.quarantine_end.is_some_and(|end| end <= now);
        if !std::mem::take(&mut self.needs_placement) && !has_quarantine_ended {
            self.start_rate.observe(false, now);
            return;
        }
        let mut waiting_steps = self.waiting_steps(now);
        self.demote_beyond_capacity(&mut waiting_steps, now);
        self.demote_beyond_start_rate(&mut waiting_steps, now);
        waiting_steps.sort_by_key(|waiting_step| waiting_step.rank);
        let mut pass = self.new_pass(now);
        self.begin_lookahead(&mut pass, &waiting_steps);
        self.quarantine_end = self.first_quarantine_end(now);
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

    fn new_pass(&self, now: BootTime) -> PlacementPass {
        let cordoned = self.vm_ops.cordoned();
        let mut pass = PlacementPass {
            now,
            awaiting_wave: self.workers_awaiting_wave(),
            ..PlacementPass::default()
        };
        if !self.is_operator_view_current(now) {
            return pass;
        }
        for (index, worker) in self.workers().enumerate() {
            if !self.is_usable(worker, &cordoned, now) {
                continue;
            }
            let service = worker.report.service.clone();
            pass.usable.entry(service).or_default().push(index);
        }
        pass
    }

    /// Returns when the first of the workers in quarantine may get work again.
    fn first_quarantine_end(&self, now: BootTime) -> Option<BootTime> {
        let ends = self.workers().map(|worker| worker.quarantined_until);
        ends.filter(|end| *end > now).min()
    }

    /// Returns whether tasks may start on a worker, given the sorted workers on VMs with an active
    /// operation.
    pub(super) fn is_usable(&self, worker: &Worker, cordoned: &[WorkerId], now: BootTime) -> bool {
        cordoned.binary_search(&worker.report.id).is_err()
            && !self.evacuation.includes(&worker.report.availability_zone)
            && worker.accepts_work(now, self.settings.unreachable_after)
    }

    /// Ranks submissions that exceed the capacity with those that can only be late.
    fn demote_beyond_capacity(&mut self, waiting_steps: &mut [WaitingStep], now: BootTime) {
        let config = Arc::clone(&self.config);
        for service in &config.services {
            let of_service = |waiting_step: &&WaitingStep| waiting_step.service == service.id;
            let workers = self.usable_workers(&service.id, now);
            let worker_size = self.worker_size(&service.id);
            let mut candidates: Vec<Candidate> = Vec::new();
            for waiting_step in waiting_steps.iter().filter(of_service) {
                let is_listed = candidates
                    .last()
                    .is_some_and(|last| last.id == waiting_step.step.submission);
                if !waiting_step.rank.is_new_in_time() || is_listed {
                    continue;
                }
                if let Some(job) = self.jobs.get(&waiting_step.step.submission) {
                    candidates.push(Candidate {
                        id: waiting_step.step.submission.clone(),
                        latest_start: waiting_step.rank.latest_start(),
                        load_s: load_s(job, worker_size),
                    });
                }
            }
            if candidates.is_empty() {
                continue;
            }
            let begun_load_s = self.begun_load_s(&service.id, worker_size, now);
            let capacity_per_s = workers.max(1) as f64;
            let mut deferred = beyond_capacity(candidates, begun_load_s, capacity_per_s, now);
            deferred.sort();
            self.record_deferred(&deferred, workers, begun_load_s);
            for waiting_step in waiting_steps
                .iter_mut()
                .filter(|waiting_step| waiting_step.service == service.id)
            {
                if deferred
                    .binary_search(&waiting_step.step.submission)
                    .is_ok()
                {
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
            let starts = waiting_step.indexes.len();
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

    /// Returns the remaining work of a service's submissions that have begun and can be in time.
    fn begun_load_s(&self, service: &ServiceId, worker_size: Resources, now: BootTime) -> f64 {
        self.jobs()
            .filter(|job| job.state == JobState::Active && job.has_begun)
            .filter(|job| {
                let queue = self.config.queue(&job.submission.queue);
                queue.is_some_and(|queue| {
                    queue.service == *service && rank(job, queue, now).is_begun_in_time()
                })
            })
            .map(|job| load_s(job, worker_size) * BEGUN_REMAINING_SHARE)
            .sum()
    }

    fn usable_workers(&self, service: &ServiceId, now: BootTime) -> usize {
        let unreachable_after = self.settings.unreachable_after;
        let is_usable = |worker: &&Worker| {
            worker.report.service == *service
                && !self.evacuation.includes(&worker.report.availability_zone)
                && worker.accepts_work(now, unreachable_after)
        };
        self.workers().filter(is_usable).count() + self.vm_ops.moving_to(service)
    }

    fn worker_size(&self, service: &ServiceId) -> Resources {
        self.workers()
            .filter(|worker| worker.report.service == *service)
            .map(|worker| worker.report.capacity)
            .fold(Resources::default(), Resources::max)
    }

    fn waiting_steps(&mut self, now: BootTime) -> Vec<WaitingStep> {
        let mut waiting_steps = Vec::new();
        let mut has_delayed_tasks = false;
        for (id, job) in self.jobs.iter() {
            if job.state != JobState::Active {
                continue;
            }
            let Some(queue) = self.config.queue(&job.submission.queue) else {
                continue;
            };
            for (occurrence, number, step, run) in job.open_steps() {
                let mut indexes = Vec::new();
                for (index, task) in run.tasks.iter().enumerate() {
                    if task.phase != TaskPhase::Waiting {
                        continue;
                    }
                    if task.not_before <= now {
                        indexes.push(index as u32);
                    } else {
                        has_delayed_tasks = true;
                    }
                }
                if !indexes.is_empty() {
                    waiting_steps.push(WaitingStep {
                        rank: rank(job, queue, now),
                        step: StepId {
                            submission: id.clone(),
                            occurrence,
                            step: number as u16,
                        },
                        service: queue.service.clone(),
                        needs_ticket: queue.advice.is_some(),
                        reserved: step.reserved(),
                        indexes,
                    });
                }
            }
        }
        self.needs_placement |= has_delayed_tasks;
        waiting_steps
    }

    fn place_step(&mut self, waiting_step: &WaitingStep, pass: &mut PlacementPass, now: BootTime) {
        let Some(job) = self.jobs.get(&waiting_step.step.submission) else {
            return;
        };
        let step = job.submission.steps[usize::from(waiting_step.step.step)].clone();
        pass.outlook = self.outlook(job, &step, now);
        pass.placed_of_step = 0;
        let tasks = waiting_step
            .indexes
            .iter()
            .map(|index| waiting_step.step.task(*index));
        let are_placed = if step.is_gang {
            self.place_gang(waiting_step, &step, &tasks.collect::<Vec<_>>(), pass, now)
        } else {
            self.place_each(waiting_step, &step, tasks, pass, now)
        };
        self.settle_reservation(waiting_step, &step, are_placed, pass);
        if !are_placed && waiting_step.needs_ticket {
            let usable = pass.usable.get(&waiting_step.service);
            let usable = usable.map_or(&[][..], Vec::as_slice);
            self.request_advice(&waiting_step.step, &step, usable, now);
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
        let mut room = self.room_for_new_tasks(&waiting_step.step.submission);
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
            self.place(&id, &worker, run, now);
            self.take_passage(&worker, waiting_step, step, pass);
            room -= usize::from(is_new);
        }
        true
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
        if new > self.room_for_new_tasks(&waiting_step.step.submission) {
            return true;
        }
        let run = tasks.iter().map(|id| self.next_run(id)).max().unwrap_or(1);
        let needs_placement = self.needs_placement;
        let mut placed: Vec<(TaskId, WorkerId)> = Vec::new();
        for id in tasks {
            let Some(worker) = self.choose_worker(id, step, waiting_step, pass) else {
                break;
            };
            self.place(id, &worker, run, now);
            placed.push((id.clone(), worker));
        }
        if placed.len() == tasks.len() {
            for (_, worker) in &placed {
                self.take_passage(worker, waiting_step, step, pass);
            }
            return true;
        }
        for (id, _) in placed {
            self.release(&id, now);
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
        let unplaceable = pass.unplaceable.get(&waiting_step.service);
        if unplaceable
            .is_some_and(|unplaceable| unplaceable.iter().any(|demand| demand.fits_in(reserved)))
        {
            return None;
        }
        if self.is_closed_to(waiting_step, reserved, pass) {
            return None;
        }
        let usable = pass.usable.get(&waiting_step.service)?;
        let fitting = usable
            .iter()
            .filter_map(|index| self.workers.get_indexed(*index).map(|(_, worker)| worker))
            .filter(|worker| reserved.fits_in(worker.free_capacity()));
        let (mut has_room, mut is_open) = (false, false);
        let chosen = fitting
            .inspect(|_| has_room = true)
            .filter(|worker| {
                self.passage(worker, waiting_step, reserved, pass.outlook) != Passage::Closed
            })
            .inspect(|_| is_open = true)
            .filter(|worker| has_label(worker, step))
            .filter(|worker| {
                let ticket = || self.advice.ticket(&waiting_step.step, worker, pass.now);
                !waiting_step.needs_ticket || ticket().is_some()
            })
            .filter(|worker| !is_step_full(worker, &waiting_step.step, step))
            .min_by_key(|worker| {
                let is_avoided = task.avoided_worker.as_ref() == Some(&worker.report.id);
                let is_suspect = !worker.failed_submissions.is_empty();
                let is_on_other_rack =
                    step.data_rack.is_some() && step.data_rack != worker.report.rack;
                let interferes = (step.is_best_effort && worker.latency_sensitive_tasks > 0)
                    || (step.tail_latency_target.is_some() && worker.best_effort_tasks > 0);
                let awaits_wave = step.is_long_running && pass.awaits_wave(&worker.report.id);
                let passage = self.passage(worker, waiting_step, reserved, pass.outlook);
                let put_off = pass.outlook.map_or(0, |outlook| outlook.put_off(worker));
                let remaining = worker.free_capacity().saturating_sub(step.reserved());
                (
                    is_avoided,
                    awaits_wave,
                    interferes,
                    is_suspect,
                    is_on_other_rack,
                    passage,
                    put_off,
                    remaining.cpu_millis,
                    remaining.memory_mb,
                )
            })
            .map(|worker| worker.report.id.clone());
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
