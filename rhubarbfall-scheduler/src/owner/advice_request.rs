//! Requests to the advice service, which decides which workers may run a step.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::WorkerId;
use rhubarbfall_runs::{AdviceTiming, StepId};

use super::Owner;
use crate::node::Node;

/// Added to the call time that the queue's advice timing gives: network time, and one earlier call
/// that may still be in progress.
const MARGIN: Duration = Duration::from_millis(800);

/// Sends a request in the background and passes the answer to the scheduler.
pub(super) fn send(node: &Rc<Node>, owner: &Rc<Owner>, step: StepId, workers: Vec<WorkerId>) {
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    tokio::task::spawn_local(async move {
        let sent_at = node.now();
        let timing = owner.scheduler.borrow().advice_timing(&step);
        let timeout = timing.map_or(MARGIN, |timing| call_time(timing, workers.len()) + MARGIN);
        let response = if let Some(service) = &node.advice {
            service.ask(&step, &workers, timeout).await
        } else {
            log::error!(
                "event=advice_not_configured step={step} error=no advice service in the settings"
            );
            None
        };
        let now = node.now();
        owner.with(|scheduler| {
            scheduler.advice_answered(&step, &workers, response, sent_at, now);
        });
    });
}

fn call_time(timing: AdviceTiming, workers: usize) -> Duration {
    timing.call_time + timing.time_per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
}
