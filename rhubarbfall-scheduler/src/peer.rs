//! Calls between entries: callers' requests forwarded to the owner, and the status exchange.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use prost::Message;
use rhubarbfall_core::{CellId, QueueId, SubmissionId};
use rhubarbfall_runs::scheduler::SubmissionState;
use rhubarbfall_runs::{Submission, decode_submission, encode_submission};
use rhubarbfall_site::CallError;

use crate::http_server::{ServerRequest, ServerResponse};
use crate::node::Node;
use crate::owner::{Owner, RequestOutcome};
use crate::peer_status::{self, PeerStatusRequest, PeerStatusResponse};

const SUBMIT_PATH: &str = "/submit";
const STATE_PATH: &str = "/state/";
const CANCEL_PATH: &str = "/cancel/";
const PENDING_PATH: &str = "/pending/";
const PEER_STATUS_PATH: &str = "/beacon";

/// Reason why a call to another entry failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The other entry did not accept the request.
    NotTaken,
    /// The other entry may have accepted the request.
    Unknown,
}

/// Owner's answer to a submission or a cancellation.
#[derive(Clone, PartialEq, Message)]
struct OutcomeMessage {
    #[prost(enumeration = "OutcomeKind", tag = "1")]
    kind: i32,
    /// With `NoOwner`: the owner is busy, and the caller may come back after this time. Earlier
    /// versions try again for a while instead.
    #[prost(uint64, optional, tag = "2")]
    retry_after_ms: Option<u64>,
}

/// No number stands for a confirmation by default: an empty or unknown message confirms nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
enum OutcomeKind {
    Unspecified = 0,
    NoOwner = 1,
    Unknown = 2,
    NotFound = 3,
    Stored = 4,
    Invalid = 5,
}

#[derive(Clone, PartialEq, Message)]
struct StateMessage {
    /// State number as in [`state_number`].
    #[prost(uint32, tag = "1")]
    state: u32,
}

#[derive(Clone, PartialEq, Message)]
struct PendingMessage {
    #[prost(uint64, optional, tag = "1")]
    pending: Option<u64>,
    /// The cells that are counted; none stands for the first one, which earlier versions count.
    #[prost(uint32, repeated, tag = "2")]
    cells: Vec<u32>,
}

/// Forwards a submission to the owner at `address`.
pub(crate) async fn submit(
    node: &Node,
    address: SocketAddr,
    submission: &Submission,
    timeout: Duration,
) -> Result<RequestOutcome, PeerError> {
    let body = Bytes::from(encode_submission(submission));
    let answer = call(node, address, Method::POST, SUBMIT_PATH, body, timeout).await?;
    let outcome: OutcomeMessage = decode(&answer)?;
    Ok(outcome.into())
}

/// Forwards a cancellation to the owner at `address`.
pub(crate) async fn cancel(
    node: &Node,
    address: SocketAddr,
    id: &SubmissionId,
    timeout: Duration,
) -> Result<RequestOutcome, PeerError> {
    let path = format!("{CANCEL_PATH}{id}");
    // The server carries out a DELETE also if this entry does not wait for the answer.
    let answer = call(node, address, Method::DELETE, &path, Bytes::new(), timeout).await?;
    let outcome: OutcomeMessage = decode(&answer)?;
    Ok(outcome.into())
}

/// Returns a submission's state from the owner at `address`, or `None` if it is unknown there.
pub(crate) async fn state(
    node: &Node,
    address: SocketAddr,
    id: &SubmissionId,
    timeout: Duration,
) -> Result<Option<SubmissionState>, PeerError> {
    let path = format!("{STATE_PATH}{id}");
    let answer = call(node, address, Method::GET, &path, Bytes::new(), timeout).await?;
    let message: StateMessage = decode(&answer)?;
    message.submission_state()
}

/// Returns how many submissions of a queue in these cells have not started, from their owner at
/// `address`.
pub(crate) async fn pending(
    node: &Node,
    address: SocketAddr,
    queue: &QueueId,
    cells: &[CellId],
    timeout: Duration,
) -> Result<u64, PeerError> {
    let path = format!("{PENDING_PATH}{queue}");
    let answer = call(node, address, Method::GET, &path, Bytes::new(), timeout).await?;
    let message: PendingMessage = decode(&answer)?;
    if message.counted_cells() != cells {
        return Err(PeerError::Unknown);
    }
    message.pending.ok_or(PeerError::Unknown)
}

/// Requests the status of the entry at `address`.
pub(crate) async fn exchange_status(
    node: &Node,
    address: SocketAddr,
    request: &PeerStatusRequest,
    timeout: Duration,
) -> Result<PeerStatusResponse, PeerError> {
    let body = Bytes::from(request.encode_to_vec());
    let answer = call(node, address, Method::POST, PEER_STATUS_PATH, body, timeout).await?;
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
    let client = node.peer_client(address);
    match client.call(method, path, &[], body, timeout).await {
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
pub(crate) async fn serve(node: Rc<Node>, request: ServerRequest) -> ServerResponse {
    let path = request.path.as_str();
    if path == PEER_STATUS_PATH {
        return match PeerStatusRequest::decode(request.body) {
            Ok(request) => respond(&peer_status::respond(&node, &request)),
            Err(_) => ServerResponse::empty(StatusCode::BAD_REQUEST),
        };
    }
    if path == SUBMIT_PATH {
        return match decode_submission(&request.body) {
            Ok(submission) => match active_owner_of(&node, &submission.id) {
                Some(owner) => {
                    respond(&OutcomeMessage::from(owner.submit(&node, submission).await))
                }
                None => not_owned(),
            },
            Err(error) => {
                log::error!("event=peer_request_malformed error={error}");
                ServerResponse::empty(StatusCode::BAD_REQUEST)
            }
        };
    }
    if let Some(id) = read_id(path, CANCEL_PATH) {
        return match active_owner_of(&node, &id) {
            Some(owner) => respond(&OutcomeMessage::from(owner.cancel(&node, &id).await)),
            None => not_owned(),
        };
    }
    if let Some(id) = read_id(path, STATE_PATH) {
        let Some(owner) = active_owner_of(&node, &id) else {
            return not_owned();
        };
        let state = owner.with(|scheduler| scheduler.submission_state(&id));
        return respond(&StateMessage {
            state: state_number(state),
        });
    }
    if let Some(queue) = path
        .strip_prefix(PENDING_PATH)
        .and_then(|queue| queue.parse().ok())
    {
        return match pending_here(&node, &queue) {
            Some(message) => respond(&message),
            None => not_owned(),
        };
    }
    ServerResponse::empty(StatusCode::NOT_FOUND)
}

fn active_owner_of(node: &Node, id: &SubmissionId) -> Option<Rc<Owner>> {
    node.cell_of(id)?.active_owner(node.now())
}

/// Answers a request for a cell that this entry does not own.
fn not_owned() -> ServerResponse {
    ServerResponse::empty(StatusCode::MISDIRECTED_REQUEST)
}

/// Counts a queue's submissions that have not started in the cells that this entry owns, or returns
/// `None` if there are none.
fn pending_here(node: &Node, queue: &QueueId) -> Option<PendingMessage> {
    let cells = node.cells();
    let owners = cells
        .iter()
        .filter_map(|cell| cell.active_owner(node.now()));
    let owners: Vec<Rc<Owner>> = owners.collect();
    if owners.is_empty() {
        return None;
    }
    let counts = owners
        .iter()
        .map(|owner| owner.with(|scheduler| scheduler.pending(queue)));
    let pending: usize = counts.sum();
    let is_divided = cells.len() > 1;
    let counted = owners
        .iter()
        .filter(|_| is_divided)
        .map(|owner| u32::from(owner.cell().id.number()));
    Some(PendingMessage {
        pending: Some(pending as u64),
        cells: counted.collect(),
    })
}

impl PendingMessage {
    /// Returns the cells that are counted, by number.
    fn counted_cells(&self) -> Vec<CellId> {
        if self.cells.is_empty() {
            return vec![CellId::FIRST];
        }
        let numbers = self
            .cells
            .iter()
            .filter_map(|number| u16::try_from(*number).ok());
        numbers.map(CellId::new).collect()
    }
}

fn read_id(path: &str, prefix: &str) -> Option<SubmissionId> {
    path.strip_prefix(prefix)?.parse().ok()
}

fn respond(message: &impl Message) -> ServerResponse {
    ServerResponse::new(StatusCode::OK, message.encode_to_vec())
}

const fn state_number(state: Option<SubmissionState>) -> u32 {
    match state {
        Some(SubmissionState::Queued) => 1,
        Some(SubmissionState::Running) => 2,
        Some(SubmissionState::Completed) => 3,
        Some(SubmissionState::Failed) => 4,
        Some(SubmissionState::Cancelled) => 5,
        None => 6,
    }
}

impl StateMessage {
    /// Returns the state, or `None` if the submission is unknown to the owner.
    fn submission_state(&self) -> Result<Option<SubmissionState>, PeerError> {
        Ok(match self.state {
            1 => Some(SubmissionState::Queued),
            2 => Some(SubmissionState::Running),
            3 => Some(SubmissionState::Completed),
            4 => Some(SubmissionState::Failed),
            5 => Some(SubmissionState::Cancelled),
            6 => None,
            number => {
                log::error!("event=peer_answer_malformed state={number}");
                return Err(PeerError::Unknown);
            }
        })
    }
}

impl From<RequestOutcome> for OutcomeMessage {
    fn from(outcome: RequestOutcome) -> Self {
        let kind = match outcome {
            RequestOutcome::Stored => OutcomeKind::Stored,
            RequestOutcome::NoOwner | RequestOutcome::Busy { .. } => OutcomeKind::NoOwner,
            RequestOutcome::Unknown => OutcomeKind::Unknown,
            RequestOutcome::NotFound => OutcomeKind::NotFound,
            RequestOutcome::Invalid => OutcomeKind::Invalid,
        };
        let retry_after_ms = match outcome {
            RequestOutcome::Busy { retry_after } => Some(retry_after.as_millis() as u64),
            _ => None,
        };
        Self {
            kind: kind.into(),
            retry_after_ms,
        }
    }
}

impl From<OutcomeMessage> for RequestOutcome {
    fn from(message: OutcomeMessage) -> Self {
        match message.kind() {
            OutcomeKind::Stored => Self::Stored,
            OutcomeKind::NoOwner => match message.retry_after_ms.map(Duration::from_millis) {
                Some(retry_after) => Self::Busy { retry_after },
                None => Self::NoOwner,
            },
            OutcomeKind::Unspecified | OutcomeKind::Unknown => Self::Unknown,
            OutcomeKind::NotFound => Self::NotFound,
            OutcomeKind::Invalid => Self::Invalid,
        }
    }
}

impl From<Result<Self, PeerError>> for RequestOutcome {
    fn from(answer: Result<Self, PeerError>) -> Self {
        match answer {
            Ok(outcome) => outcome,
            Err(PeerError::NotTaken) => Self::NoOwner,
            Err(PeerError::Unknown) => Self::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
