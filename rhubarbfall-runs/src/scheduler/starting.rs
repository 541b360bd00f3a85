//! Orders to start runs whose placements are stored.

use rhubarbfall_core::{BootTime, WorkerId};

use super::Scheduler;
use super::action::{Action, StartOrder};
use crate::{Resources, RunState, Stage, StepId, TaskId};

impl Scheduler {
    /// Sends the starts whose placements are stored. What a placement was decided on may have
    /// changed while it waited; such tasks are requeued. A gang starts with all its members or
    /// none, because a member waits for the others. `cordoned` are the sorted workers on VMs with an
    /// active operation.
    pub(super) fn send_stored_starts(
        &mut self,
        ready: &[TaskId],
        cordoned: &[WorkerId],
        now: BootTime,
    ) {
        let mut rest = ready;
        while let Some(first) = rest.first() {
            let members = self.gang_members(first);
            let step = StepId::of(first);
            let count = match members {
                Some(_) => rest.iter().take_while(|id| step.contains(id)).count(),
                None => 1,
            };
            let (group, later) = rest.split_at(count);
            rest = later;
            let obstacle = if members.is_some_and(|members| count < members) {
                Some("gang_incomplete")
            } else {
                let mut obstacles = group.iter();
                obstacles.find_map(|id| self.start_obstacle(id, cordoned, now))
            };
            for id in group {
                match obstacle {
                    Some(obstacle) => self.requeue(id, now, obstacle),
                    None => self.send_start(id, now),
                }
            }
        }
    }

    /// Returns the number of members of a task's gang, or `None` if it is in none.
    fn gang_members(&self, id: &TaskId) -> Option<usize> {
        let step = self.jobs.get(&id.submission)?.step(id);
        step.is_gang.then_some(step.tasks as usize)
    }

    /// Returns why a placed task may not start on its worker any more, or `None` if it may.
    fn start_obstacle(
        &self,
        id: &TaskId,
        cordoned: &[WorkerId],
        now: BootTime,
    ) -> Option<&'static str> {
        let placement = self.placement(id)?;
        let job = self.jobs.get(&id.submission)?;
        let Some(worker) = self.workers.get(&placement.worker) else {
            return Some("worker_gone");
        };
        if worker.report.incarnation_unix_ms != placement.incarnation_unix_ms {
            return Some("worker_reborn");
        }
        if !self.is_operator_view_current(now) {
            return Some("operator_view_outdated");
        }
        if !self.evacuation.allows(worker, now) {
            return Some("zone_evacuated");
        }
        if !self.is_usable(worker, cordoned, now) {
            return Some("worker_unusable");
        }
        if worker.is_overcommitted() {
            return Some("no_room");
        }
        let queue = self.config.queue(&job.submission.queue);
        if queue.is_none_or(|queue| queue.service != worker.report.service) {
            return Some("queue_moved");
        }
        // The customer's usage already contains the task.
        let customer = job.submission.customer.as_ref();
        if !self.is_within_customer_limit(customer, Resources::default()) {
            return Some("customer_limit");
        }
        if self.max_lease_end <= now || worker.clock.is_none() {
            return Some("no_lease");
        }
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        if needs_ticket && self.advice.ticket(&StepId::of(id), worker, now).is_none() {
            return Some("ticket_expired");
        }
        None
    }

    /// Returns whether a start that was not carried out yet is still wanted.
    pub(super) fn is_to_be_sent(&self, order: &StartOrder) -> bool {
        self.placement(&order.task).is_some_and(|placed| {
            placed.run == order.run
                && placed.worker == order.worker
                && placed.state == RunState::Sending
        })
    }

    fn send_start(&mut self, id: &TaskId, now: BootTime) {
        let Some(placement) = self.placement(id) else {
            return;
        };
        let (worker_id, run) = (placement.worker.clone(), placement.run);
        let usual_lease = (now + self.settings.lease).min(self.max_lease_end);
        let Some(lease) = self.start_lease(usual_lease, now) else {
            return;
        };
        let (Some(job), Some(worker)) = (
            self.jobs.get(&id.submission),
            self.workers.get_mut(&worker_id),
        ) else {
            return;
        };
        let Some(lease_deadline_ms) = worker.grant_lease(lease) else {
            return;
        };
        let needs_ticket = self.config.needs_ticket(&job.submission.queue);
        let ticket = needs_ticket
            .then(|| self.advice.ticket(&StepId::of(id), worker, now))
            .flatten();
        let order = StartOrder {
            worker: worker_id,
            incarnation_unix_ms: worker.report.incarnation_unix_ms,
            address: worker.report.address,
            task: id.clone(),
            run,
            program: job.submission.program.clone(),
            checkpoint: job.task(id).and_then(|task| task.checkpoint.clone()),
            lease_deadline_ms,
            ticket,
        };
        self.set_run_state(id, RunState::Sending);
        self.end_stage(id, Stage::Storing, now);
        self.actions.push(Action::Start(order));
    }
}
