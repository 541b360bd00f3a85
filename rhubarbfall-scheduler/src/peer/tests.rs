use std::time::Duration;

use bytes::Bytes;
use expect_test::expect;
use prost::Message;

use super::{OutcomeMessage, PeerError, PendingMessage, StateMessage, decode, state_number};
use crate::owner::RequestOutcome;
use rhubarbfall_runs::scheduler::SubmissionState;

fn decoded<M: Message + Default>(body: &[u8]) -> M {
    decode(&Bytes::copy_from_slice(body)).expect("a message of this kind")
}

/// A response of another process, or of a later version, must not confirm a request or deny that a
/// submission exists.
#[test]
fn responses_without_content_or_with_unknown_numbers_confirm_nothing() {
    let mut lines = Vec::new();
    for body in [&[][..], &[8, 99]] {
        let outcome = RequestOutcome::from(decoded::<OutcomeMessage>(body));
        let state = decoded::<StateMessage>(body).submission_state();
        lines.push(format!("{body:?}: outcome {outcome:?}, state {state:?}"));
    }
    let pending = decoded::<PendingMessage>(&[]).pending;
    lines.push(format!("[]: pending {pending:?}"));
    expect![[r"
        []: outcome Unknown, state Err(Unknown)
        [8, 99]: outcome Unknown, state Err(Unknown)
        []: pending None"]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn responses_are_decoded_as_they_were_encoded() {
    for outcome in [
        RequestOutcome::Stored,
        RequestOutcome::NoOwner,
        RequestOutcome::Unknown,
        RequestOutcome::NotFound,
        RequestOutcome::Invalid,
        RequestOutcome::Busy {
            retry_after: Duration::from_millis(2_400),
        },
    ] {
        let body = OutcomeMessage::from(outcome).encode_to_vec();
        assert_eq!(
            RequestOutcome::from(decoded::<OutcomeMessage>(&body)),
            outcome
        );
    }
    for state in [
        None,
        Some(SubmissionState::Queued),
        Some(SubmissionState::Running),
        Some(SubmissionState::Completed),
        Some(SubmissionState::Failed),
        Some(SubmissionState::Cancelled),
    ] {
        let state_message = StateMessage {
            state: state_number(state),
        };
        let body = state_message.encode_to_vec();
        let read: Result<_, PeerError> = decoded::<StateMessage>(&body).submission_state();
        assert_eq!(read, Ok(state));
    }
}

/// An entry of an earlier version, which knows no busy owner, must not take its answer for an unknown
/// outcome: the submission was not accepted.
#[test]
fn busy_owner_counts_as_no_owner_for_earlier_versions() {
    let busy = RequestOutcome::Busy {
        retry_after: Duration::from_secs(1),
    };
    assert_eq!(
        OutcomeMessage::from(busy).kind(),
        super::OutcomeKind::NoOwner
    );
}
