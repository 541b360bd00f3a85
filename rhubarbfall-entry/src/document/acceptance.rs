use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use rand::RngExt;
use rhubarbfall_core::ResultCode;
use rhubarbfall_document::api::{ChangeAnswer, ErrorAnswer};
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

/// How often a change is decided again after another one was recorded first.
const MAX_HEAD_CONFLICTS: u32 = 40;

/// The longest wait before a change is decided again; its length is random, so that racing changes
/// come apart.
const MAX_CONFLICT_DELAY_MS: u64 = 50;

/// A change as it came over the operators' interface.
#[derive(Debug, Clone)]
pub(crate) struct ChangeRequest {
    /// The digest of the key that came with it.
    pub(crate) digest: KeyDigest,
    /// The identifier that its author gave it.
    pub(crate) transaction_id: Arc<str>,
    /// The sections.
    pub(crate) draft: DocumentDraft,
    /// Whether it is the fleet's first document.
    pub(crate) is_first: bool,
}

/// Decides on a change and records it in the table.
///
/// A change that loses a race against another one is decided again on the new state, so that
/// changes of different sections both succeed.
pub(crate) async fn accept_change(
    shared: &Arc<Shared>,
    request: &ChangeRequest,
) -> Result<ChangeAnswer, ErrorAnswer> {
    let mut head_conflicts = 0;
    loop {
        let next = match decide(shared, request).await? {
            ChangeOutcome::Next(next) => *next,
            other => return Ok(unchanged(&other)),
        };
        let revision = next.record.revision;
        let announced = announce(shared, revision, &next.state.document).await;
        let announced = announced.map_err(ErrorAnswer::new)?;
        match shared
            .table
            .commit(&to_transaction(&next.transaction))
            .await
        {
            Ok(_) => {
                put_in_force(shared, next.state.document.clone());
                log_acceptance(&next);
                return Ok(answer_of(&next));
            }
            Err(PlatformError::ConditionFailed(..)) if head_conflicts < MAX_HEAD_CONFLICTS => {
                announced.give_up();
                head_conflicts += 1;
                let delay_ms = rand::rng().random_range(0..MAX_CONFLICT_DELAY_MS);
                sleep(Duration::from_millis(delay_ms)).await;
            }
            Err(error) => {
                if !error.may_have_taken_effect() {
                    announced.give_up();
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
) -> Result<ChangeAnswer, ErrorAnswer> {
    match decide(shared, request).await? {
        ChangeOutcome::Next(next) => Ok(answer_of(&next)),
        other => Ok(unchanged(&other)),
    }
}

async fn decide(shared: &Shared, request: &ChangeRequest) -> Result<ChangeOutcome, ErrorAnswer> {
    let state = read_state(&shared.table).await;
    let state = state.map_err(|error| not_done(&error))?;
    let owner = owner_of(&state, request);
    let change = DocumentChange {
        owner: owner.ok_or_else(|| ErrorAnswer::new(ResultCode::OperatorKeyRefused))?,
        transaction_id: Arc::clone(&request.transaction_id),
        draft: request.draft.clone(),
        now_unix_ms: unix_ms(shared),
    };
    let acceptance = if request.is_first {
        accept_first(&state, &change)
    } else {
        accept(&state, &change)
    };
    acceptance.map_err(|error: ChangeError| ErrorAnswer::from(error))
}

/// Finds the owner of the key in the newest state, so that a withdrawn key changes nothing; the
/// first document grants its author's key itself.
fn owner_of(state: &DocumentState, request: &ChangeRequest) -> Option<KeyOwner> {
    if request.is_first && state.head.revision.get() == 0 {
        let first = request.draft.to_document().sorted();
        return first.key(&request.digest).map(|key| key.owner.clone());
    }
    let granted = state.document.key(&request.digest);
    granted.map(|key| key.owner.clone())
}

fn unix_ms(shared: &Shared) -> u64 {
    let since_epoch = shared.clock.wall_time().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn answer_of(next: &NextRevision) -> ChangeAnswer {
    ChangeAnswer {
        code: ResultCode::Accepted,
        revision: next.record.revision,
        changes: next.record.changes.clone(),
    }
}

fn unchanged(acceptance: &ChangeOutcome) -> ChangeAnswer {
    let (code, revision) = match acceptance {
        ChangeOutcome::AlreadyAccepted(revision) => (ResultCode::AlreadyAccepted, *revision),
        ChangeOutcome::Unchanged(revision) => (ResultCode::Accepted, *revision),
        ChangeOutcome::Next(next) => (ResultCode::Accepted, next.record.revision),
    };
    ChangeAnswer {
        code,
        revision,
        changes: Vec::new(),
    }
}

/// A read failed before anything was sent, so that the change was not made.
pub(crate) fn not_done(error: &PlatformError) -> ErrorAnswer {
    ErrorAnswer::new(ResultCode::PlatformUnavailable).message(error.to_string())
}

fn commit_error(error: &PlatformError) -> ErrorAnswer {
    let code = match error {
        PlatformError::Unavailable(_) => ResultCode::PlatformUnavailable,
        PlatformError::ConditionFailed(..) => ResultCode::ConditionFailed,
        PlatformError::AnswerLost(_) | PlatformError::Malformed(_) => ResultCode::ChangeUnknown,
    };
    ErrorAnswer::new(code).message(error.to_string())
}

fn log_acceptance(next: &NextRevision) {
    let record = &next.record;
    let sections = record
        .changes
        .iter()
        .map(|change| change.section.to_string());
    let sections = sections.collect::<Vec<_>>().join(",");
    let (revision, author) = (record.revision, &record.author);
    log::info!("event=document-accepted revision={revision} author={author:?} sections={sections}");
}
