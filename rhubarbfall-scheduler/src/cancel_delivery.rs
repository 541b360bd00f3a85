//! Delivery of cancellations to the owner, directly or through the store.
//!
//! An owner can hold the ownership and be out of another entry's reach, with a busy processor or
//! link. What runs goes on meanwhile, so that a cancellation must not depend on that reach: an entry
//! stores it itself, and the owner reads it from the store. A caller may also send a cancellation
//! only once and leave, so that an entry that has read one delivers it whether the caller still waits
//! or not.

use std::rc::Rc;
use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, SubmissionId};
use tokio::task::JoinSet;

use crate::node::Node;
use crate::owner::{RequestOutcome, store_cancellation};
use crate::owner_call::{OWNER_CALL_TIMEOUT, cancel_at_owner, retry_until_answered};

/// Time for which an entry tries to deliver a cancellation after its caller's time limit; it covers
/// outages of the store.
const DELIVERY_TIMEOUT: Duration = Duration::from_mins(1);

/// Part of the caller's time limit that is left to store a cancellation which no owner has confirmed:
/// several transactions.
const STORE_RESERVE: Duration = Duration::from_millis(500);

/// Pause between two rounds of deliveries.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Maximum number of cancellations that an entry keeps for delivery, which bounds their memory.
const MAX_UNDELIVERED: usize = 1_000;

/// Number of deliveries at once, which bounds the calls to a new owner.
const MAX_CONCURRENT: usize = 8;

/// Cancellations that no owner has confirmed within their callers' time limits, each with the time
/// until which it is kept.
pub(crate) type UndeliveredCancellations = LiteMap<SubmissionId, BootTime>;

/// Cancels a submission and returns the outcome for the caller after at most `limit`. Without a
/// final outcome by then, the delivery goes on in [`run`].
pub(crate) async fn cancel(node: &Node, id: &SubmissionId, limit: Duration) -> RequestOutcome {
    let began_at = node.now();
    let owner_limit = limit.saturating_sub(STORE_RESERVE);
    let mut outcome = retry_until_answered(node, owner_limit, async |timeout| {
        cancel_at_owner(node, id, timeout).await
    })
    .await;
    if !is_final(outcome) && !node.is_isolated() {
        let remaining = limit.saturating_sub(node.now().since(began_at));
        outcome = store(node, id, remaining).await.unwrap_or(outcome);
    }
    let owner_silence = node.cell_of(id).map(|cell| cell.owner_silence(node.now()));
    log::info!(
        "event=cancel id={id} outcome={outcome:?} took_ms={} owner_silent_ms={:?}",
        node.now().since(began_at).as_millis(),
        owner_silence.map(|silence| silence.as_millis())
    );
    if !is_final(outcome) {
        keep(node, id);
    }
    outcome
}

/// Stores a cancellation for the owner to read, and returns the outcome if it is certainly stored.
async fn store(node: &Node, id: &SubmissionId, timeout: Duration) -> Option<RequestOutcome> {
    let cell = node.cell_of(id)?;
    let is_read = {
        let known_owner = cell.known_owner.borrow();
        let holder = known_owner.holder.as_ref();
        holder.is_some_and(|holder| holder.reads_cancellations)
    };
    if !is_read {
        return None;
    }
    match tokio::time::timeout(timeout, store_cancellation(node, &cell, id)).await {
        Ok(Ok(())) => {
            log::info!("event=cancel_stored id={id}");
            Some(RequestOutcome::Stored)
        }
        Ok(Err(error)) => {
            log::info!("event=cancel_store_failed id={id} error={error}");
            None
        }
        Err(_) => {
            log::info!("event=cancel_store_failed id={id} error=timeout");
            None
        }
    }
}

const fn is_final(outcome: RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Stored | RequestOutcome::NotFound)
}

fn keep(node: &Node, id: &SubmissionId) {
    let mut undelivered = node.undelivered_cancellations.borrow_mut();
    if undelivered.len() >= MAX_UNDELIVERED && !undelivered.contains_key(id) {
        log::warn!("event=cancel_not_delivered id={id} reason=too_many kept={MAX_UNDELIVERED}");
        return;
    }
    undelivered.insert(id.clone(), node.now() + DELIVERY_TIMEOUT);
    node.cancellation_kept.notify_one();
}

/// Delivers the cancellations that are kept until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        if node.undelivered_cancellations.borrow().is_empty() {
            node.cancellation_kept.notified().await;
        }
        deliver_round(&node).await;
        drop_expired(&node);
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Attempts to deliver each cancellation once, or until no owner is found.
async fn deliver_round(node: &Rc<Node>) {
    let ids: Vec<SubmissionId> = {
        let undelivered = node.undelivered_cancellations.borrow();
        undelivered.keys().cloned().collect()
    };
    for ids in ids.chunks(MAX_CONCURRENT) {
        let mut calls = JoinSet::new();
        for id in ids {
            let (node, id) = (Rc::clone(node), id.clone());
            calls.spawn_local(async move {
                let mut outcome = cancel_at_owner(&node, &id, OWNER_CALL_TIMEOUT).await;
                if !is_final(outcome) {
                    let stored = store(&node, &id, OWNER_CALL_TIMEOUT).await;
                    outcome = stored.unwrap_or(outcome);
                }
                (id, outcome)
            });
        }
        let mut has_owner = true;
        for (id, outcome) in calls.join_all().await {
            has_owner &= outcome != RequestOutcome::NoOwner;
            if is_final(outcome) {
                log::info!("event=cancel_delivered id={id} outcome={outcome:?}");
                node.undelivered_cancellations.borrow_mut().remove(&id);
            }
        }
        if !has_owner {
            return;
        }
    }
}

fn drop_expired(node: &Node) {
    let now = node.now();
    let mut undelivered = node.undelivered_cancellations.borrow_mut();
    undelivered.retain(|id, until| {
        let is_kept = now < *until;
        if !is_kept {
            log::warn!("event=cancel_not_delivered id={id} reason=timeout");
        }
        is_kept
    });
}
