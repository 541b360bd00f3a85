use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use rand::RngExt;
use rhubarbfall_core::ResultCode;
use rhubarbfall_document::api::{ChangeResponse, OperatorErrorResponse};
use rhubarbfall_document::{
    ChangeError, ChangeOutcome, DocumentChange, DocumentDraft, DocumentState, KeyDigest, KeyOwner,
    NextRevision, accept, accept_first,
};
use rhubarbfall_platform::PlatformError;
use tokio::time::sleep;

use super::store::{read_state, to_transaction};
use crate::Shared;
use crate::control::put_in_force;
use crate::membership::announce;

/// Maximum number of times a change is decided again because another one was recorded first.
const MAX_HEAD_CONFLICTS: u32 = 40;

/// Maximum back-off before a change is decided again; its length is random, so that concurrent
/// changes do not collide again.
const MAX_CONFLICT_BACKOFF_MS: u64 = 50;

/// Change request that was received over the operators' interface.
#[derive(Debug, Clone)]
pub(crate) struct ChangeRequest {
    /// Digest of the key that the request carried.
    pub(crate) digest: KeyDigest,
    /// Identifier that the author gave the change.
    pub(crate) transaction_id: Arc<str>,
    /// Requested sections.
    pub(crate) draft: DocumentDraft,
    /// Whether this is the fleet's first document.
    pub(crate) is_first: bool,
}

/// Decides on a change and records it in the table.
///
/// If another change is recorded first, this one is decided again on the new state, so that
/// concurrent changes of different sections both succeed.
pub(crate) async fn accept_change(
    shared: &Arc<Shared>,
    request: &ChangeRequest,
) -> Result<ChangeResponse, OperatorErrorResponse> {
    let mut head_conflicts = 0;
    loop {
        let next = match decide(shared, request).await? {
            ChangeOutcome::Next(next) => *next,
            other => return Ok(outcome_response(&other)),
        };
        let revision = next.record.revision;
        let announced = announce(shared, revision, &next.state.document).await;
        let announced = announced.map_err(OperatorErrorResponse::new)?;
        match shared
            .table
            .commit(&to_transaction(&next.transaction))
            .await
        {
            Ok(_) => {
                put_in_force(shared, next.state.document.clone());
                log_accepted_change(&next);
                return Ok(change_response(&next));
            }
            Err(PlatformError::ConditionFailed(..)) if head_conflicts < MAX_HEAD_CONFLICTS => {
                announced.abandon();
                head_conflicts += 1;
                let delay_ms = rand::rng().random_range(0..MAX_CONFLICT_BACKOFF_MS);
                sleep(Duration::from_millis(delay_ms)).await;
            }
            Err(error) => {
                if !error.may_have_taken_effect() {
                    announced.abandon();
                }
                return Err(commit_error(&error));
            }
        }
    }
}

/// Decides on a change without recording it.
pub(crate) async fn check_change(
    shared: &Arc<Shared>,
    request: &ChangeRequest,
) -> Result<ChangeResponse, OperatorErrorResponse> {
    match decide(shared, request).await? {
        ChangeOutcome::Next(next) => Ok(change_response(&next)),
        other => Ok(outcome_response(&other)),
    }
}

async fn decide(
    shared: &Shared,
    request: &ChangeRequest,
) -> Result<ChangeOutcome, OperatorErrorResponse> {
    let state = read_state(&shared.table).await;
    let state = state.map_err(|error| table_read_error(&error))?;
    let owner = owner_of(&state, request);
    let change = DocumentChange {
        owner: owner.ok_or_else(|| OperatorErrorResponse::new(ResultCode::OperatorKeyRefused))?,
        transaction_id: Arc::clone(&request.transaction_id),
        draft: request.draft.clone(),
        now_unix_ms: unix_ms(shared),
    };
    let outcome = if request.is_first {
        accept_first(&state, &change)
    } else {
        accept(&state, &change)
    };
    outcome.map_err(|error: ChangeError| OperatorErrorResponse::from(error))
}

/// Returns the owner of the key in the newest state, so that a withdrawn key can change nothing;
/// the first document grants its author's key itself.
fn owner_of(state: &DocumentState, request: &ChangeRequest) -> Option<KeyOwner> {
    if request.is_first && state.head.revision.get() == 0 {
        let first = request.draft.to_document().sorted();
        return first.key(&request.digest).map(|key| key.owner.clone());
    }
    let granted_key = state.document.key(&request.digest);
    granted_key.map(|key| key.owner.clone())
}

fn unix_ms(shared: &Shared) -> u64 {
    let since_epoch = shared.clock.wall_time().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn change_response(next: &NextRevision) -> ChangeResponse {
    ChangeResponse {
        code: ResultCode::Accepted,
        revision: next.record.revision,
        changes: next.record.changes.clone(),
    }
}

fn outcome_response(outcome: &ChangeOutcome) -> ChangeResponse {
    let (code, revision) = match outcome {
        ChangeOutcome::AlreadyAccepted(revision) => (ResultCode::AlreadyAccepted, *revision),
        ChangeOutcome::Unchanged(revision) => (ResultCode::Accepted, *revision),
        ChangeOutcome::Next(next) => (ResultCode::Accepted, next.record.revision),
    };
    ChangeResponse {
        code,
        revision,
        changes: Vec::new(),
    }
}

/// Returns the error for a failed read of the table, after which no change was made.
pub(crate) fn table_read_error(error: &PlatformError) -> OperatorErrorResponse {
    OperatorErrorResponse::new(ResultCode::PlatformUnavailable).message(error.to_string())
}

fn commit_error(error: &PlatformError) -> OperatorErrorResponse {
    let code = match error {
        PlatformError::Unavailable(_) => ResultCode::PlatformUnavailable,
        PlatformError::ConditionFailed(..) => ResultCode::ConditionFailed,
        PlatformError::ResponseLost(_) | PlatformError::Malformed(_) => ResultCode::ChangeUnknown,
    };
    OperatorErrorResponse::new(code).message(error.to_string())
}

fn log_accepted_change(next: &NextRevision) {
    let record = &next.record;
    let sections = record
        .changes
        .iter()
        .map(|change| change.section.to_string());
    let sections = sections.collect::<Vec<_>>().join(",");
    let (revision, author) = (record.revision, &record.author);
    log::info!("event=document-accepted revision={revision} author={author:?} sections={sections}");
}
