//! What entries send each other: callers' requests for the owner, and beacons.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use prost::Message;
use rhubarbfall_core::{QueueId, SubmissionId};
use rhubarbfall_runs::scheduler::SubmissionState;
use rhubarbfall_runs::{Submission, decode_submission, encode_submission};
use rhubarbfall_site::CallError;

use crate::beacon::{self, BeaconAnswer, BeaconRequest};
use crate::http_server::{Answer, Request};
use crate::node::Node;
use crate::owner::Submitted;

const SUBMIT_PATH: &str = "/submit";
const STATE_PATH: &str = "/state/";
const CANCEL_PATH: &str = "/cancel/";
const PENDING_PATH: &str = "/pending/";
const BEACON_PATH: &str = "/beacon";

/// Why another entry did not answer for the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// It has taken nothing.
    NotTaken,
    /// It may have taken the request.
    Unknown,
}

/// An answer of the owner to a submission or a cancellation.
#[derive(Clone, PartialEq, Message)]
struct OutcomeMessage {
    #[prost(enumeration = "OutcomeKind", tag = "1")]
    kind: i32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
enum OutcomeKind {
    Stored = 0,
    NoOwner = 1,
    Unknown = 2,
    NotFound = 3,
}

#[derive(Clone, PartialEq, Message)]
struct StateMessage {
    /// 0 for a submission that is not known.
    #[prost(uint32, tag = "1")]
    state: u32,
}

#[derive(Clone, PartialEq, Message)]
struct PendingMessage {
    #[prost(uint64, tag = "1")]
    pending: u64,
}

/// Hands a submission to the owner at `address`.
pub(crate) async fn submit(
    node: &Node,
    address: SocketAddr,
    submission: &Submission,
    timeout: Duration,
) -> Result<Submitted, PeerError> {
    let body = Bytes::from(encode_submission(submission));
    let answer = call(node, address, Method::POST, SUBMIT_PATH, body, timeout).await?;
    let outcome: OutcomeMessage = decode(&answer)?;
    Ok(outcome.into())
}

/// Asks the owner to cancel a submission.
pub(crate) async fn cancel(
    node: &Node,
    address: SocketAddr,
    id: &SubmissionId,
    timeout: Duration,
) -> Result<Submitted, PeerError> {
    let path = format!("{CANCEL_PATH}{id}");
    let answer = call(node, address, Method::POST, &path, Bytes::new(), timeout).await?;
    let outcome: OutcomeMessage = decode(&answer)?;
    Ok(outcome.into())
}

/// Asks the owner for a submission's state; `None` for one that is not known.
pub(crate) async fn state(
    node: &Node,
    address: SocketAddr,
    id: &SubmissionId,
    timeout: Duration,
) -> Result<Option<SubmissionState>, PeerError> {
    let path = format!("{STATE_PATH}{id}");
    let answer = call(node, address, Method::GET, &path, Bytes::new(), timeout).await?;
    let message: StateMessage = decode(&answer)?;
    Ok(match message.state {
        1 => Some(SubmissionState::Queued),
        2 => Some(SubmissionState::Running),
        3 => Some(SubmissionState::Completed),
        4 => Some(SubmissionState::Failed),
        5 => Some(SubmissionState::Cancelled),
        _ => None,
    })
}

/// Asks the owner how many submissions of a queue have not begun.
pub(crate) async fn pending(
    node: &Node,
    address: SocketAddr,
    queue: &QueueId,
    timeout: Duration,
) -> Result<u64, PeerError> {
    let path = format!("{PENDING_PATH}{queue}");
    let answer = call(node, address, Method::GET, &path, Bytes::new(), timeout).await?;
    let message: PendingMessage = decode(&answer)?;
    Ok(message.pending)
}

/// Tells another entry what this one knows, and asks for what is newer.
pub(crate) async fn beacon(
    node: &Node,
    address: SocketAddr,
    request: &BeaconRequest,
    timeout: Duration,
) -> Result<BeaconAnswer, PeerError> {
    let body = Bytes::from(request.encode_to_vec());
    let answer = call(node, address, Method::POST, BEACON_PATH, body, timeout).await?;
    decode(&answer)
}

async fn call(
    node: &Node,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Bytes, PeerError> {
    let peer = node.peer(address);
    match peer.call(method, path, &[], body, timeout).await {
        Ok(answer) if answer.status == StatusCode::OK => Ok(answer.body),
        Ok(answer) => {
            log::debug!(
                "event=peer_refused peer={address} path={path} status={}",
                answer.status
            );
            Err(PeerError::NotTaken)
        }
        Err(CallError::NotSent(_)) => Err(PeerError::NotTaken),
        Err(CallError::Unknown(cause)) => {
            log::debug!("event=peer_silent peer={address} path={path} cause={cause}");
            Err(PeerError::Unknown)
        }
    }
}

fn decode<M: Message + Default>(body: &Bytes) -> Result<M, PeerError> {
    M::decode(body.clone()).map_err(|error| {
        log::error!("event=peer_answer_malformed error={error}");
        PeerError::Unknown
    })
}

/// Serves one request of another entry.
pub(crate) async fn serve(node: Rc<Node>, request: Request) -> Answer {
    let path = request.path.as_str();
    if path == BEACON_PATH {
        return match BeaconRequest::decode(request.body) {
            Ok(request) => message(&beacon::answer(&node, &request)),
            Err(_) => Answer::empty(StatusCode::BAD_REQUEST),
        };
    }
    let Some(owner) = node.acting_owner() else {
        return Answer::empty(StatusCode::MISDIRECTED_REQUEST);
    };
    if path == SUBMIT_PATH {
        return match decode_submission(&request.body) {
            Ok(submission) => message(&OutcomeMessage::from(owner.submit(&node, submission).await)),
            Err(error) => {
                log::error!("event=peer_request_malformed error={error}");
                Answer::empty(StatusCode::BAD_REQUEST)
            }
        };
    }
    if let Some(id) = read_id(path, CANCEL_PATH) {
        return message(&OutcomeMessage::from(owner.cancel(&node, &id).await));
    }
    if let Some(id) = read_id(path, STATE_PATH) {
        let state = owner.with(|scheduler| scheduler.submission_state(&id));
        return message(&StateMessage {
            state: state_number(state),
        });
    }
    if let Some(queue) = path
        .strip_prefix(PENDING_PATH)
        .and_then(|queue| queue.parse().ok())
    {
        let pending = owner.with(|scheduler| scheduler.pending(&queue)) as u64;
        return message(&PendingMessage { pending });
    }
    Answer::empty(StatusCode::NOT_FOUND)
}

fn read_id(path: &str, prefix: &str) -> Option<SubmissionId> {
    path.strip_prefix(prefix)?.parse().ok()
}

fn message(message: &impl Message) -> Answer {
    Answer::new(StatusCode::OK, message.encode_to_vec())
}

const fn state_number(state: Option<SubmissionState>) -> u32 {
    match state {
        None => 0,
        Some(SubmissionState::Queued) => 1,
        Some(SubmissionState::Running) => 2,
        Some(SubmissionState::Completed) => 3,
        Some(SubmissionState::Failed) => 4,
        Some(SubmissionState::Cancelled) => 5,
    }
}

impl From<Submitted> for OutcomeMessage {
    fn from(outcome: Submitted) -> Self {
        let kind = match outcome {
            Submitted::Stored => OutcomeKind::Stored,
            Submitted::NoOwner => OutcomeKind::NoOwner,
            Submitted::Unknown => OutcomeKind::Unknown,
            Submitted::NotFound => OutcomeKind::NotFound,
        };
        Self { kind: kind.into() }
    }
}

impl From<OutcomeMessage> for Submitted {
    fn from(message: OutcomeMessage) -> Self {
        match message.kind() {
            OutcomeKind::Stored => Self::Stored,
            OutcomeKind::NoOwner => Self::NoOwner,
            OutcomeKind::Unknown => Self::Unknown,
            OutcomeKind::NotFound => Self::NotFound,
        }
    }
}

impl From<Result<Self, PeerError>> for Submitted {
    fn from(answer: Result<Self, PeerError>) -> Self {
        match answer {
            Ok(outcome) => outcome,
            Err(PeerError::NotTaken) => Self::NoOwner,
            Err(PeerError::Unknown) => Self::Unknown,
        }
    }
}
