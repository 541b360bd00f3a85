//! Asks the advice service which workers may run a step.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::WorkerId;
use rhubarbfall_runs::{AdviceTiming, StepId};

use super::Owner;
use crate::node::Node;

/// What is added to the time that a call takes by the queue's terms: the way, and another call before
/// it.
const MARGIN: Duration = Duration::from_millis(800);

/// Asks, and hands the answer to the scheduler.
pub(super) fn ask(node: &Rc<Node>, owner: &Rc<Owner>, step: StepId, workers: Vec<WorkerId>) {
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    tokio::task::spawn_local(async move {
        let sent_at = node.now();
        let terms = owner.scheduler.borrow().advice_timing(&step);
        let timeout = terms.map_or(MARGIN, |terms| call_time(terms, workers.len()) + MARGIN);
        let answer = if let Some(service) = &node.advice {
            service.ask(&step, &workers, timeout).await
        } else {
            log::error!("event=advice_unset step={step} error=the settings name no service");
            None
        };
        let now = node.now();
        owner.with(|scheduler| {
            scheduler.advice_answered(&step, &workers, answer, sent_at, now);
        });
    });
}

fn call_time(terms: AdviceTiming, workers: usize) -> Duration {
    terms.call_time + terms.time_per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
}
