//! The waiting tasks that compete for an owner's starts.
//!
//! The load: several queues surge at once beyond what the owner's processor starts, and the pool of
//! one of them is full. Tasks that wait for room in a full pool need no start until other tasks have
//! ended there, and late work waits behind what can still be in time. Neither delays the start of a
//! submission that arrives for another pool, which would otherwise be refused beside idle VMs.

use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, ServiceId};

use super::Scheduler;
use super::ordering::{Urgency, urgency};
use crate::{Resources, TaskPhase};

/// The time within which a task that waits for room counts as competing for starts: about as long as
/// a submission can wait for its starts and be in time.
const HORIZON: Duration = Duration::from_secs(1);

/// The shortest duration that counts for a running task, so that estimates of zero stay harmless.
const MIN_TASK_TIME: Duration = Duration::from_millis(50);

/// What waits for a pool and what room it has, where 1 is a whole worker.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct PoolBacklog {
    /// The number of waiting tasks.
    pub(super) waiting: usize,
    /// What the waiting tasks need together.
    pub(super) waiting_load: f64,
    /// What the pool has free.
    pub(super) free: f64,
    /// What running tasks leave a second, by their estimates.
    pub(super) freed_per_s: f64,
}

impl PoolBacklog {
    /// Returns how many of the waiting tasks find room within `horizon`.
    pub(super) fn startable(&self, horizon: Duration) -> usize {
        let room = self.free + self.freed_per_s * horizon.as_secs_f64();
        if self.waiting_load <= room {
            return self.waiting;
        }
        (self.waiting as f64 * room / self.waiting_load) as usize
    }
}

impl Scheduler {
    /// Returns the number of waiting tasks that compete for starts with a submission that arrives
    /// now: those that can still be in time and find room soon.
    pub(super) fn competing_starts(&self, now: BootTime) -> usize {
        let mut pools = self.pool_room(now);
        for job in self.jobs.active() {
            let Some(queue) = self.config.queue(&job.submission.queue) else {
                continue;
            };
            let is_deferred = job.was_deferred && !job.has_begun;
            let is_in_time = !is_deferred && urgency(job, queue, now) == Urgency::InTime;
            let Some((size, pool)) = pools.get_mut(&queue.service) else {
                continue;
            };
            for (_, _, step, run) in job.open_steps() {
                let share = step.reserved().fraction_of(*size);
                let task_s = step.estimate.max(MIN_TASK_TIME).as_secs_f64();
                for task in &run.tasks {
                    match task.phase {
                        TaskPhase::Waiting if is_in_time => {
                            pool.waiting += 1;
                            pool.waiting_load += share;
                        }
                        TaskPhase::Placed(_) if !step.is_long_running => {
                            pool.freed_per_s += share / task_s;
                        }
                        _ => {}
                    }
                }
            }
        }
        let startable = pools.iter().map(|(_, (_, pool))| pool.startable(HORIZON));
        startable.sum()
    }

    /// Returns the size of each pool's largest worker, and what its workers have free.
    fn pool_room(&self, now: BootTime) -> LiteMap<ServiceId, (Resources, PoolBacklog)> {
        let cordoned = self.vm_ops.cordoned();
        let mut pools: LiteMap<ServiceId, (Resources, PoolBacklog)> = LiteMap::new();
        for service in &self.config.services {
            let arriving = PoolBacklog {
                free: self.usable_moving_to(&service.id) as f64,
                ..PoolBacklog::default()
            };
            pools.insert(service.id.clone(), (Resources::default(), arriving));
        }
        for worker in self.workers() {
            let Some((size, pool)) = pools.get_mut(&worker.report.service) else {
                continue;
            };
            let capacity = worker.report.capacity;
            *size = size.max(capacity);
            if self.is_usable(worker, &cordoned, now) {
                let used = capacity.saturating_sub(worker.free_capacity());
                pool.free += (1.0 - used.fraction_of(capacity)).max(0.0);
            }
        }
        pools
    }
}

#[cfg(test)]
mod tests;
