//! Calls to the owner, which is this process or another entry, with retries while the ownership
//! moves.

use std::time::Duration;

use rhubarbfall_core::SubmissionId;
use rhubarbfall_runs::Submission;

use crate::cell_state::{CellState, OwnerLocation};
use crate::node::Node;
use crate::owner::RequestOutcome;
use crate::peer::PeerError;
use crate::{peer, peer_status};

/// Time for which a request that was not sent to any owner waits for one. Most takeovers are
/// shorter, and `retry-after` cannot be less than one second.
const OWNER_WAIT_LIMIT: Duration = Duration::from_millis(1_400);

/// Timeout of one call to the owner before a retry: several slow transactions.
pub(crate) const OWNER_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shortest remaining time in which a request is still sent to the owner. With less time, the
/// outcome would only be unknown.
const MIN_OWNER_CALL_TIME: Duration = Duration::from_millis(50);

/// Pause before a call to the owner is retried.
const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Calls the owner until it answers or the caller's time limit is reached. Retries are safe,
/// because the submission identifier makes them idempotent, and the ownership may be moving to
/// another entry. A request that no owner has received is rejected earlier, so that the caller can
/// retry at another entry.
pub(crate) async fn retry_until_answered(
    node: &Node,
    limit: Duration,
    call_owner: impl AsyncFn(Duration) -> RequestOutcome,
) -> RequestOutcome {
    let began_at = node.now();
    let mut may_be_accepted = false;
    if limit < MIN_OWNER_CALL_TIME || node.is_isolated() {
        return RequestOutcome::NoOwner;
    }
    loop {
        let remaining = limit.saturating_sub(node.now().since(began_at));
        match call_owner(remaining.min(OWNER_CALL_TIMEOUT)).await {
            RequestOutcome::Unknown => may_be_accepted = true,
            RequestOutcome::NoOwner => {}
            // The refusal of a repetition proves nothing of the call before it.
            RequestOutcome::Busy { .. } if may_be_accepted => return RequestOutcome::Unknown,
            answered => return answered,
        }
        let waited = node.now().since(began_at);
        if waited + OWNER_RETRY_PAUSE >= limit {
            return if may_be_accepted {
                RequestOutcome::Unknown
            } else {
                RequestOutcome::NoOwner
            };
        }
        if !may_be_accepted && (waited >= OWNER_WAIT_LIMIT || node.is_isolated()) {
            return RequestOutcome::NoOwner;
        }
        tokio::time::sleep(OWNER_RETRY_PAUSE).await;
    }
}

pub(crate) async fn submit_to_owner(
    node: &Node,
    submission: &Submission,
    timeout: Duration,
) -> RequestOutcome {
    let Some(cell) = node.cell_of(&submission.id) else {
        return RequestOutcome::NoOwner;
    };
    match reachable_owner(node, &cell).await {
        Some(OwnerLocation::Local(owner)) => {
            let stored = owner.submit(node, submission.clone());
            tokio::time::timeout(timeout, stored)
                .await
                .unwrap_or(RequestOutcome::Unknown)
        }
        Some(OwnerLocation::Peer(address)) => {
            let answer = peer::submit(node, address, submission, timeout).await;
            record_contact(node, &cell, &answer);
            answer.into()
        }
        None => RequestOutcome::NoOwner,
    }
}

pub(crate) async fn cancel_at_owner(
    node: &Node,
    id: &SubmissionId,
    timeout: Duration,
) -> RequestOutcome {
    let Some(cell) = node.cell_of(id) else {
        return RequestOutcome::NoOwner;
    };
    match reachable_owner(node, &cell).await {
        Some(OwnerLocation::Local(owner)) => tokio::time::timeout(timeout, owner.cancel(node, id))
            .await
            .unwrap_or(RequestOutcome::Unknown),
        Some(OwnerLocation::Peer(address)) => {
            let answer = peer::cancel(node, address, id, timeout).await;
            record_contact(node, &cell, &answer);
            answer.into()
        }
        None => RequestOutcome::NoOwner,
    }
}

/// Returns the location of the owner, or `None` if it does not answer a probe. A request to an
/// unreachable owner could only end with an unknown outcome.
async fn reachable_owner(node: &Node, cell: &CellState) -> Option<OwnerLocation> {
    let owner = cell.find_owner(node)?;
    if let OwnerLocation::Peer(address) = &owner
        && node.is_owner_silent(cell)
        && !peer_status::probe(node, cell, *address).await
    {
        return None;
    }
    Some(owner)
}

/// Counts an answer that the active owner of a cell has given as a sign of life. An undivided fleet's
/// owner is polled often enough.
fn record_contact(node: &Node, cell: &CellState, answer: &Result<RequestOutcome, PeerError>) {
    if node.cells().len() > 1 && answer.is_ok() {
        cell.record_owner_contact(node.now());
    }
}
