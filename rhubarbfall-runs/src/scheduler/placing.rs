use std::sync::Arc;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, CustomerId, ServiceId, SubmissionId, WorkerId};

use super::Scheduler;
use super::ordering::{Candidate, Rank, beyond_capacity, load_s, rank};
use crate::{JobState, Order, Phase, Placement, Resources, Step, StepId, TaskId, Worker};

/// The part of a begun submission's open tasks that is still to be done, on average: they are
/// halfway through.
const BEGUN_SHARE: f64 = 0.5;

/// What is found once for all that is placed in one go.
#[derive(Debug, Default)]
struct Pass {
    /// When it takes place.
    now: BootTime,
    /// The workers of each service that take work, by their index.
    usable: LiteMap<ServiceId, Vec<usize>>,
    /// Demands that no worker of a service has room for; larger ones need no look.
    blocked: LiteMap<ServiceId, Vec<Resources>>,
    /// The workers whose VMs a wave has not taken yet, sorted.
    due: Vec<WorkerId>,
}

/// The waiting tasks of one step that may start.
#[derive(Debug)]
struct Group {
    rank: Rank,
    step: StepId,
    service: ServiceId,
    /// Whether a start carries a ticket of the advice service.
    needs_ticket: bool,
    indexes: Vec<u32>,
}

impl Scheduler {
    /// Places waiting tasks on workers, the most urgent first.
    pub(super) fn place_waiting(&mut self, now: BootTime) {
        if !std::mem::take(&mut self.has_news) {
            return;
        }
        let mut groups = self.waiting_groups(now);
        self.demote_beyond_capacity(&mut groups, now);
        groups.sort_by_key(|group| group.rank);
        let mut pass = self.start_pass(now);
        for group in &groups {
            if self.starting.len() >= self.settings.max_starting {
                break;
            }
            self.place_group(group, &mut pass, now);
        }
    }

    fn start_pass(&self, now: BootTime) -> Pass {
        let silent_after = self.settings.silent_after;
        let cordoned = self.upkeep.cordoned();
        let mut pass = Pass {
            now,
            due: self.workers_due(),
            ..Pass::default()
        };
        for (index, worker) in self.workers().enumerate() {
            let is_cordoned = cordoned.binary_search(&worker.report.id).is_ok();
            if is_cordoned || !worker.takes_work(now, silent_after) {
                continue;
            }
            let service = worker.report.service.clone();
            pass.usable.entry(service).or_default().push(index);
        }
        pass
    }

    /// Ranks what has to be given up for now among what can only be late.
    fn demote_beyond_capacity(&mut self, groups: &mut [Group], now: BootTime) {
        let config = Arc::clone(&self.config);
        for service in &config.services {
            let of_service = |group: &&Group| group.service == service.id;
            let workers = self.usable_workers(&service.id, now);
            let size = self.worker_size(&service.id);
            let mut candidates: Vec<Candidate> = Vec::new();
            for group in groups.iter().filter(of_service) {
                let is_listed = candidates
                    .last()
                    .is_some_and(|last| last.id == group.step.submission);
                if !group.rank.is_new_in_time() || is_listed {
                    continue;
                }
                if let Some(job) = self.jobs.get(&group.step.submission) {
                    candidates.push(Candidate {
                        id: group.step.submission.clone(),
                        latest_start: group.rank.latest_start(),
                        load_s: load_s(job, size),
                    });
                }
            }
            if candidates.is_empty() {
                continue;
            }
            let begun_s = self.begun_load_s(&service.id, size, now);
            let mut given_up = beyond_capacity(candidates, begun_s, workers, now);
            given_up.sort();
            self.note_given_up(&given_up, workers, begun_s);
            for group in groups
                .iter_mut()
                .filter(|group| group.service == service.id)
            {
                if given_up.binary_search(&group.step.submission).is_ok() {
                    group.rank.demote();
                }
            }
        }
    }

    fn note_given_up(&mut self, ids: &[SubmissionId], workers: usize, begun_s: f64) {
        for id in ids {
            if let Some(job) = self.jobs.get_mut(id)
                && !job.was_given_up
            {
                job.was_given_up = true;
                log::info!(
                    "event=job_given_up id={id} queue={} workers={workers} begun_load_s={begun_s:.1}",
                    job.submission.queue
                );
            }
        }
    }

    /// Returns what the submissions of a service that have begun and can be in time still need.
    fn begun_load_s(&self, service: &ServiceId, size: Resources, now: BootTime) -> f64 {
        self.jobs()
            .filter(|job| job.state == JobState::Active && job.has_begun)
            .filter(|job| {
                let queue = self.config.queue(&job.submission.queue);
                queue.is_some_and(|queue| {
                    queue.service == *service && rank(job, queue, now).is_begun_in_time()
                })
            })
            .map(|job| load_s(job, size) * BEGUN_SHARE)
            .sum()
    }

    fn usable_workers(&self, service: &ServiceId, now: BootTime) -> usize {
        let silent_after = self.settings.silent_after;
        let is_usable = |worker: &&Worker| {
            worker.report.service == *service && worker.takes_work(now, silent_after)
        };
        self.workers().filter(is_usable).count() + self.upkeep.moving_to(service)
    }

    fn worker_size(&self, service: &ServiceId) -> Resources {
        self.workers()
            .filter(|worker| worker.report.service == *service)
            .map(|worker| worker.report.capacity)
            .fold(Resources::default(), Resources::max)
    }

    fn waiting_groups(&mut self, now: BootTime) -> Vec<Group> {
        let mut groups = Vec::new();
        let mut waits_for_time = false;
        for (id, job) in self.jobs.iter() {
            if job.state != JobState::Active {
                continue;
            }
            let Some(queue) = self.config.queue(&job.submission.queue) else {
                continue;
            };
            for (occurrence, number, _, run) in job.open_steps() {
                let mut indexes = Vec::new();
                for (index, task) in run.tasks.iter().enumerate() {
                    if task.phase != Phase::Waiting {
                        continue;
                    }
                    if task.not_before <= now {
                        indexes.push(index as u32);
                    } else {
                        waits_for_time = true;
                    }
                }
                if !indexes.is_empty() {
                    groups.push(Group {
                        rank: rank(job, queue, now),
                        step: StepId {
                            submission: id.clone(),
                            occurrence,
                            step: number as u16,
                        },
                        service: queue.service.clone(),
                        needs_ticket: queue.advice.is_some(),
                        indexes,
                    });
                }
            }
        }
        self.has_news |= waits_for_time;
        groups
    }

    fn place_group(&mut self, group: &Group, pass: &mut Pass, now: BootTime) {
        let Some(job) = self.jobs.get(&group.step.submission) else {
            return;
        };
        let step = job.submission.steps[usize::from(group.step.step)].clone();
        let tasks = group.indexes.iter().map(|index| group.step.task(*index));
        let are_placed = if step.is_gang {
            self.place_gang(group, &step, &tasks.collect::<Vec<_>>(), pass, now)
        } else {
            self.place_each(group, &step, tasks, pass, now)
        };
        if !are_placed && group.needs_ticket {
            let usable = pass.usable.get(&group.service);
            let usable = usable.map_or(&[][..], Vec::as_slice);
            self.ask_advice(&group.step, &step, usable, now);
        }
    }

    /// Places tasks one by one, and returns whether each found a worker, but for those beyond the most
    /// starts on their way.
    fn place_each(
        &mut self,
        group: &Group,
        step: &Step,
        tasks: impl Iterator<Item = TaskId>,
        pass: &mut Pass,
        now: BootTime,
    ) -> bool {
        for id in tasks {
            if self.starting.len() >= self.settings.max_starting {
                return true;
            }
            let Some(worker) = self.choose_worker(&id, step, group, pass) else {
                return false;
            };
            let run = self.next_run(&id);
            self.place(&id, &worker, run, now);
        }
        true
    }

    /// Places all members of a gang, or none, and returns whether they are placed.
    fn place_gang(
        &mut self,
        group: &Group,
        step: &Step,
        tasks: &[TaskId],
        pass: &mut Pass,
        now: BootTime,
    ) -> bool {
        if tasks.len() < step.tasks as usize {
            return false;
        }
        let run = tasks.iter().map(|id| self.next_run(id)).max().unwrap_or(1);
        let mut placed: Vec<(TaskId, WorkerId)> = Vec::new();
        for id in tasks {
            let Some(worker) = self.choose_worker(id, step, group, pass) else {
                break;
            };
            self.place(id, &worker, run, now);
            placed.push((id.clone(), worker));
        }
        if placed.len() == tasks.len() {
            return true;
        }
        for (id, _) in placed {
            self.release(&id, now);
            if let Some(job) = self.jobs.get_mut(&id.submission)
                && let Some(task) = job.task_mut(&id)
            {
                task.phase = Phase::Waiting;
            }
        }
        self.has_news = false;
        false
    }

    fn next_run(&self, id: &TaskId) -> u64 {
        self.jobs
            .get(&id.submission)
            .and_then(|job| job.task(id))
            .map_or(1, |task| task.last_run + 1)
    }

    /// Chooses the worker for a task: one that leaves the least room unused, so that other workers
    /// stay empty for large tasks, moves and maintenance.
    fn choose_worker(
        &self,
        id: &TaskId,
        step: &Step,
        group: &Group,
        pass: &mut Pass,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&id.submission)?;
        let task = job.task(id)?;
        if !self.is_within_customer_limit(job.submission.customer.as_ref(), step.demand) {
            return None;
        }
        let reserved = step.reserved();
        let blocked = pass.blocked.get(&group.service);
        if blocked.is_some_and(|blocked| blocked.iter().any(|least| least.fits_in(reserved))) {
            return None;
        }
        let usable = pass.usable.get(&group.service)?;
        let fitting = usable
            .iter()
            .filter_map(|index| self.workers.get_indexed(*index).map(|(_, worker)| worker))
            .filter(|worker| reserved.fits_in(worker.room()));
        let mut has_room = false;
        let chosen = fitting
            .inspect(|_| has_room = true)
            .filter(|worker| has_label(worker, step))
            .filter(|worker| {
                let ticket = || self.advice.ticket(&group.step, worker, pass.now);
                !group.needs_ticket || ticket().is_some()
            })
            .filter(|worker| !is_step_full(worker, &group.step, step))
            .min_by_key(|worker| {
                let is_avoided = task.avoid.as_ref() == Some(&worker.report.id);
                let is_suspect = !worker.failed.is_empty();
                let is_far = step.data_rack.is_some() && step.data_rack != worker.report.rack;
                let disturbs = (step.is_filler && worker.serving > 0)
                    || (step.tail_target.is_some() && worker.fillers > 0);
                let leaves_soon =
                    step.is_lasting && pass.due.binary_search(&worker.report.id).is_ok();
                let left = worker.room().saturating_sub(step.reserved());
                (
                    is_avoided,
                    leaves_soon,
                    disturbs,
                    is_suspect,
                    is_far,
                    left.cpu_millis,
                    left.memory_mb,
                )
            })
            .map(|worker| worker.report.id.clone());
        if !has_room {
            let blocked = pass.blocked.entry(group.service.clone());
            blocked.or_default().push(reserved);
        }
        chosen
    }

    fn is_within_customer_limit(&self, customer: Option<&CustomerId>, demand: Resources) -> bool {
        let Some(id) = customer else { return true };
        let Some(customer) = self.config.customer(id) else {
            return true;
        };
        let used = self.used.get(id).copied().unwrap_or_default();
        (used + demand).is_within_limit(customer.limit)
    }

    fn place(&mut self, id: &TaskId, worker_id: &WorkerId, run: u64, now: BootTime) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let born_unix_ms = worker.report.born_unix_ms;
        self.reserve(id, worker_id);
        let Some(job) = self.jobs.get_mut(&id.submission) else {
            return;
        };
        let order = Order::Recording(job.version + 1);
        job.has_begun = true;
        job.placed_at.get_or_insert(now);
        if let Some(task) = job.task_mut(id) {
            task.last_run = run;
            task.phase = Phase::Placed(Placement {
                worker: worker_id.clone(),
                born_unix_ms,
                run,
                order,
                percent: 0,
                progress_at: now,
                pace_percent: 100,
            });
        }
        log::info!("event=run_placed id={id} run={run} worker={worker_id}");
        self.set_starting(id, true);
        self.mark_dirty(&id.submission);
    }
}

fn has_label(worker: &Worker, step: &Step) -> bool {
    step.required_label
        .as_ref()
        .is_none_or(|needed| worker.report.labels.contains(needed))
}

/// Returns whether a worker has as many tasks of a step as the step allows.
fn is_step_full(worker: &Worker, id: &StepId, step: &Step) -> bool {
    let Some(most) = step.max_per_worker else {
        return false;
    };
    let placed = worker.placed.iter().filter(|task| id.has(task));
    placed.count() >= most as usize
}
