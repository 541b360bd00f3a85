//! Delivery of cancellations to the owner. A caller may send a cancellation only once and leave, so
//! that an entry that has read one delivers it whether the caller still waits or not.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::SubmissionId;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::node::{InFlightGuard, Node};
use crate::owner::RequestOutcome;
use crate::owner_call::{OWNER_CALL_TIMEOUT, cancel_at_owner, retry_until_answered};

/// Time for which an entry tries to deliver a cancellation that no caller waits for; it covers
/// outages of the store.
const DELIVERY_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause between two attempts to deliver a cancellation that no caller waits for.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Maximum number of cancellations that are delivered while no caller waits, which bounds the calls
/// to a new owner.
const MAX_UNANSWERED: usize = 1_000;

/// Cancels a submission and returns the outcome for the caller after at most `limit`. The delivery
/// goes on if the outcome is unknown by then, or if the caller has left.
pub(crate) async fn cancel(node: &Rc<Node>, id: &SubmissionId, limit: Duration) -> RequestOutcome {
    let (caller, answer) = oneshot::channel();
    spawn_local(deliver(Rc::clone(node), id.clone(), limit, caller));
    answer.await.unwrap_or(RequestOutcome::Unknown)
}

async fn deliver(
    node: Rc<Node>,
    id: SubmissionId,
    limit: Duration,
    caller: oneshot::Sender<RequestOutcome>,
) {
    let _in_flight = InFlightGuard::new(&node);
    let outcome = retry_until_answered(&node, limit, async |timeout| {
        cancel_at_owner(&node, &id, timeout).await
    })
    .await;
    let is_answered = caller.send(outcome).is_ok();
    log::info!("event=cancel id={id} outcome={outcome:?} is_answered={is_answered}");
    match outcome {
        RequestOutcome::Stored | RequestOutcome::NotFound => {}
        // The caller was told that nothing was cancelled.
        RequestOutcome::NoOwner if is_answered => {}
        RequestOutcome::NoOwner | RequestOutcome::Unknown => deliver_unanswered(&node, &id).await,
    }
}

/// Delivers a cancellation that no caller waits for, unless this entry already does.
async fn deliver_unanswered(node: &Node, id: &SubmissionId) {
    {
        let mut unanswered = node.unanswered_cancellations.borrow_mut();
        let Err(index) = unanswered.binary_search(id) else {
            return;
        };
        if unanswered.len() >= MAX_UNANSWERED {
            log::warn!("event=cancel_not_delivered id={id} unanswered={MAX_UNANSWERED}");
            return;
        }
        unanswered.insert(index, id.clone());
    }
    let outcome = retry_until_delivered(node, id).await;
    log::info!("event=cancel_delivered id={id} outcome={outcome:?}");
    let mut unanswered = node.unanswered_cancellations.borrow_mut();
    if let Ok(index) = unanswered.binary_search(id) {
        unanswered.remove(index);
    }
}

async fn retry_until_delivered(node: &Node, id: &SubmissionId) -> RequestOutcome {
    let began_at = node.now();
    loop {
        let outcome = cancel_at_owner(node, id, OWNER_CALL_TIMEOUT).await;
        let is_delivered = matches!(outcome, RequestOutcome::Stored | RequestOutcome::NotFound);
        if is_delivered || node.now().since(began_at) >= DELIVERY_TIMEOUT {
            return outcome;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
