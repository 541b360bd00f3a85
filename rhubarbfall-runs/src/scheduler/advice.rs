//! Permissions of the advice service to run steps on workers, requested ahead in batches because
//! the service takes one call at a time and each call takes long.

use std::sync::Arc;
use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, WorkerId};

use super::Scheduler;
use super::action::Action;
use crate::{AdviceTiming, Step, StepId, Worker};

/// The maximum number of workers in one call: enough for most steps, and few enough that a call
/// stays within a step's share of the service's time.
const MAX_WORKERS_PER_CALL: usize = 30;

/// The last part of a ticket's validity, which is not used because a placement is stored before its
/// start is sent.
const TICKET_EXPIRY_MARGIN: Duration = Duration::from_millis(300);

/// The pause after a call that got no response or was refused.
const FAILED_CALL_BACKOFF: Duration = Duration::from_millis(150);

/// The response of the advice service for the workers of one call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AdviceResponse {
    /// The permitted workers, each with the ticket for its starts.
    pub permitted: Vec<(WorkerId, Arc<str>)>,
    /// How long the tickets are valid after they were issued.
    pub ticket_validity: Duration,
}

/// The permission of a worker to run one step.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Permission {
    /// The worker may never run the step.
    Denied,
    /// The worker may run the step with this ticket.
    Granted {
        ticket: Arc<str>,
        /// The incarnation of the worker for which the ticket was issued.
        incarnation_unix_ms: u64,
        valid_until: BootTime,
    },
}

/// Known permissions and the state of the calls.
#[derive(Debug, Default)]
pub(super) struct Advice {
    steps: LiteMap<StepId, LiteMap<WorkerId, Permission>>,
    has_call_in_flight: bool,
    backoff_until: BootTime,
}

impl Advice {
    /// Returns the ticket with which a worker may currently start tasks of a step.
    pub(super) fn ticket(&self, step: &StepId, worker: &Worker, now: BootTime) -> Option<Arc<str>> {
        match self.steps.get(step)?.get(&worker.report.id)? {
            Permission::Granted {
                ticket,
                incarnation_unix_ms,
                valid_until,
            } if *incarnation_unix_ms == worker.report.incarnation_unix_ms
                && now < *valid_until =>
            {
                Some(Arc::clone(ticket))
            }
            Permission::Granted { .. } | Permission::Denied => None,
        }
    }

    /// Removes a ticket that a worker refused.
    pub(super) fn remove_ticket(&mut self, step: &StepId, worker: &WorkerId) {
        if let Some(permissions) = self.steps.get_mut(step) {
            permissions.remove(worker);
        }
    }

    fn is_denied(&self, step: &StepId, worker: &WorkerId) -> bool {
        let permission = self
            .steps
            .get(step)
            .and_then(|permissions| permissions.get(worker));
        permission == Some(&Permission::Denied)
    }
}

impl Scheduler {
    /// Asks which workers may run a step that found none, unless a call is in flight. The most
    /// urgent step asks first.
    pub(super) fn request_advice(
        &mut self,
        id: &StepId,
        step: &Step,
        usable: &[usize],
        now: BootTime,
    ) {
        if self.advice.has_call_in_flight || now < self.advice.backoff_until {
            // The next tick asks again.
            self.needs_placement = true;
            return;
        }
        let mut candidates: Vec<&Worker> = usable
            .iter()
            .filter_map(|index| self.workers.get_indexed(*index).map(|(_, worker)| worker))
            .filter(|worker| !self.advice.is_denied(id, &worker.report.id))
            .filter(|worker| self.advice.ticket(id, worker, now).is_none())
            .filter(|worker| step.reserved().fits_in(worker.report.capacity))
            .collect();
        // Workers with enough free capacity come first, and among them those that placement would
        // choose.
        candidates.sort_by_key(|worker| {
            let free = worker.free_capacity();
            (!step.reserved().fits_in(free), free.cpu_millis)
        });
        candidates.truncate(MAX_WORKERS_PER_CALL);
        if candidates.is_empty() {
            return;
        }
        let workers: Vec<WorkerId> = candidates
            .iter()
            .map(|worker| worker.report.id.clone())
            .collect();
        log::info!("event=advice_asked step={id} workers={}", workers.len());
        self.advice.has_call_in_flight = true;
        self.actions.push(Action::Advise {
            step: id.clone(),
            workers,
        });
    }

    /// Returns the timing of the advice service for a step's queue, or `None` if the queue has no
    /// advice service.
    #[must_use]
    pub fn advice_timing(&self, step: &StepId) -> Option<AdviceTiming> {
        let job = self.jobs.get(&step.submission)?;
        self.config.queue(&job.submission.queue)?.advice
    }

    /// Processes the response to a call for advice that was sent at `sent_at`; `None` means that
    /// the service did not answer or was busy.
    pub fn advice_answered(
        &mut self,
        step: &StepId,
        asked: &[WorkerId],
        response: Option<AdviceResponse>,
        sent_at: BootTime,
        now: BootTime,
    ) {
        self.advice.has_call_in_flight = false;
        self.needs_placement = true;
        let Some(response) = response else {
            self.advice.backoff_until = now + FAILED_CALL_BACKOFF;
            return;
        };
        log::info!(
            "event=advice_given step={step} asked={} good={} took_ms={}",
            asked.len(),
            response.permitted.len(),
            now.since(sent_at).as_millis()
        );
        self.remove_ended_advice();
        let valid_until = sent_at
            + response
                .ticket_validity
                .saturating_sub(TICKET_EXPIRY_MARGIN);
        let mut permissions = self.advice.steps.remove(step).unwrap_or_default();
        for id in asked {
            let ticket = response
                .permitted
                .iter()
                .find(|(permitted, _)| permitted == id);
            let permission = match (ticket, self.workers.get(id)) {
                (None, _) => Permission::Denied,
                (Some(_), None) => continue,
                (Some((_, ticket)), Some(worker)) => Permission::Granted {
                    ticket: Arc::clone(ticket),
                    incarnation_unix_ms: worker.report.incarnation_unix_ms,
                    valid_until,
                },
            };
            permissions.insert(id.clone(), permission);
        }
        self.advice.steps.insert(step.clone(), permissions);
    }

    /// Removes the permissions of submissions that have ended.
    fn remove_ended_advice(&mut self) {
        let jobs = &self.jobs;
        self.advice.steps.retain(|step, _| {
            jobs.get(&step.submission)
                .is_some_and(|job| !job.state.is_final())
        });
    }
}
