//! Caller-facing API: authenticates the caller, resolves the queue and answers the request.

use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use rhubarbfall_core::{BootTime, CellId, CustomerId, QueueId, ResultCode, SubmissionId};
use rhubarbfall_runs::{FleetConfig, Queue};
use rhubarbfall_site::{
    CUSTOMER_KEY_HEADER, DEADLINE_HEADER, decode_submission_request, encode_pending,
    encode_refusal, encode_state,
};
use tokio::task::JoinSet;

use crate::cell_state::OwnerLocation;
use crate::http_server::{ServerRequest, ServerResponse};
use crate::node::{InFlightGuard, Node};
use crate::owner::{RequestOutcome, read_stored_state};
use crate::owner_call::{retry_until_answered, submit_to_owner};
use crate::telemetry;
use crate::{cancel_delivery, peer};

/// Time limit of a request without a deadline header.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(3);

/// Part of the caller's time limit reserved for returning the response.
const TIME_LIMIT_RESERVE: Duration = Duration::from_millis(150);

/// Timeout of a state or pending query to the owner; a state is then read from the store.
const STATE_TIMEOUT: Duration = Duration::from_millis(700);

/// Suggested retry delay when no owner is reachable: about the duration of a takeover.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Logs that a request ended without an answer, unless it is marked as answered before it is
/// dropped: the server drops a request when its caller closes the connection.
struct AbandonmentLog {
    node: Rc<Node>,
    method: Method,
    path: String,
    began_at: BootTime,
    is_answered: bool,
}

impl AbandonmentLog {
    fn new(node: &Rc<Node>, request: &ServerRequest) -> Self {
        Self {
            node: Rc::clone(node),
            method: request.method.clone(),
            path: request.path.clone(),
            began_at: node.now(),
            is_answered: false,
        }
    }
}

impl Drop for AbandonmentLog {
    fn drop(&mut self) {
        if !self.is_answered {
            log::info!(
                "event=request_abandoned method={} path={} took_ms={}",
                self.method,
                self.path,
                self.node.now().since(self.began_at).as_millis()
            );
        }
    }
}

/// Operation requested by a caller.
enum Operation {
    Submit(SubmissionId),
    State(SubmissionId),
    Cancel(SubmissionId),
    Pending,
}

impl Operation {
    const fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::State(_) => "state",
            Self::Cancel(_) => "cancel",
            Self::Pending => "pending",
        }
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(node: Rc<Node>, request: ServerRequest) -> ServerResponse {
    let _in_flight = InFlightGuard::new(&node);
    let mut abandonment = AbandonmentLog::new(&node, &request);
    let started = node.now();
    let (name, response) = match authorize(&node, &request) {
        Ok((operation, queue, customer)) => {
            let name = operation.name();
            (
                name,
                handle(&node, operation, &queue, customer, &request).await,
            )
        }
        Err(code) => {
            log::info!(
                "event=refused method={} path={} code={code} config={}",
                request.method,
                request.path,
                node.config.borrow().version
            );
            ("unauthorized", error_response(code, None))
        }
    };
    abandonment.is_answered = true;
    telemetry::count_answer(name, response.status.as_u16(), node.now().since(started));
    response
}

fn authorize(
    node: &Node,
    request: &ServerRequest,
) -> Result<(Operation, Queue, Option<CustomerId>), ResultCode> {
    let config = node.config.borrow().clone();
    if config.version == 0 {
        return Err(ResultCode::NotReady);
    }
    let host = request.header("host").unwrap_or_default();
    let queue = config
        .route(host, &request.path)
        .ok_or(ResultCode::UnknownQueue)?
        .clone();
    let customer = customer(&config, &queue, request.header(CUSTOMER_KEY_HEADER))?;
    let rest = &request.path[queue.path_prefix.len()..];
    let id = || {
        rest.parse::<SubmissionId>()
            .map_err(|_| ResultCode::UnknownQueue)
    };
    let operation = match request.method {
        Method::POST => Operation::Submit(id()?),
        Method::DELETE => Operation::Cancel(id()?),
        Method::GET if rest.is_empty() => Operation::Pending,
        Method::GET => Operation::State(id()?),
        _ => return Err(ResultCode::BadRequest),
    };
    Ok((operation, queue, customer))
}

fn customer(
    config: &FleetConfig,
    queue: &Queue,
    key: Option<&str>,
) -> Result<Option<CustomerId>, ResultCode> {
    let customer = key
        .and_then(|key| config.customer_of_key(key))
        .map(|found| found.id.clone());
    match (customer, key) {
        (Some(customer), _) => Ok(Some(customer)),
        (None, _) if queue.is_public => Ok(None),
        (None, Some(_)) => Err(ResultCode::KeyUnknown),
        (None, None) => Err(ResultCode::KeyMissing),
    }
}

async fn handle(
    node: &Rc<Node>,
    operation: Operation,
    queue: &Queue,
    customer: Option<CustomerId>,
    request: &ServerRequest,
) -> ServerResponse {
    match operation {
        Operation::Submit(id) => submit(node, id, queue, customer, request).await,
        Operation::Cancel(id) => cancel(node, &id, request).await,
        Operation::State(id) => state(node, &id).await,
        Operation::Pending => pending(node, &queue.id).await,
    }
}

fn time_limit(request: &ServerRequest) -> Duration {
    request
        .header(DEADLINE_HEADER)
        .and_then(|text| text.parse::<f64>().ok())
        .map_or(DEFAULT_TIME_LIMIT, |ms| {
            Duration::from_secs_f64(ms.clamp(1.0, 60_000.0) / 1_000.0)
        })
        .saturating_sub(TIME_LIMIT_RESERVE)
}

async fn submit(
    node: &Rc<Node>,
    id: SubmissionId,
    queue: &Queue,
    customer: Option<CustomerId>,
    request: &ServerRequest,
) -> ServerResponse {
    let began_at = node.now();
    let limit = time_limit(request);
    let received_unix_ms = node.unix_ms();
    let (queue_id, body) = (queue.id.clone(), &request.body);
    let submission =
        match decode_submission_request(id.clone(), queue_id, customer, body, received_unix_ms) {
            Ok(submission) => submission,
            Err(error) => return refuse_submission(&id, &error),
        };
    let max_row_bytes = node.settings.scheduler().max_row_bytes;
    if let Err(error) = submission.check_storable(max_row_bytes) {
        return refuse_submission(&id, &error.to_string());
    }
    let outcome = retry_until_answered(node, limit, async |timeout| {
        submit_to_owner(node, &submission, timeout).await
    })
    .await;
    let cell = node.cell_of(&id);
    log::info!(
        "event=submission id={id} queue={} outcome={outcome:?} took_ms={} limit_ms={} cell={:?} \
         fence={:?} owner_silent_ms={:?} config={}",
        queue.id,
        node.now().since(began_at).as_millis(),
        limit.as_millis(),
        cell.as_ref().map(|cell| cell.id.number()),
        cell.as_ref()
            .map(|cell| cell.known_owner.borrow().fencing_number.get()),
        cell.map(|cell| cell.owner_silence(node.now()).as_millis()),
        node.config.borrow().version
    );
    outcome_response(outcome)
}

fn refuse_submission(id: &SubmissionId, reason: &str) -> ServerResponse {
    log::info!("event=submission_refused id={id} code=2026 error={reason}");
    let refusal = error_response(ResultCode::SubmissionInvalid, None);
    let body = encode_refusal(ResultCode::SubmissionInvalid.number(), reason);
    ServerResponse::new(refusal.status, body)
}

async fn cancel(node: &Rc<Node>, id: &SubmissionId, request: &ServerRequest) -> ServerResponse {
    outcome_response(cancel_delivery::cancel(node, id, time_limit(request)).await)
}

fn outcome_response(outcome: RequestOutcome) -> ServerResponse {
    match outcome {
        RequestOutcome::Stored => ServerResponse::empty(StatusCode::OK),
        RequestOutcome::NotFound => error_response(ResultCode::SubmissionUnknown, None),
        RequestOutcome::NoOwner => error_response(ResultCode::NoOwner, Some(NO_OWNER_RETRY_AFTER)),
        RequestOutcome::Unknown => error_response(ResultCode::OwnerSilent, None),
        RequestOutcome::Busy { retry_after } => {
            error_response(ResultCode::OwnerBusy, Some(retry_after))
        }
        RequestOutcome::Invalid => error_response(ResultCode::SubmissionInvalid, None),
    }
}

async fn state(node: &Rc<Node>, id: &SubmissionId) -> ServerResponse {
    let Some(cell) = node.cell_of(id) else {
        return error_response(ResultCode::NoOwner, Some(NO_OWNER_RETRY_AFTER));
    };
    let result = match cell.find_owner(node) {
        Some(OwnerLocation::Local(owner)) => Ok(owner.with(|s| s.submission_state(id))),
        Some(OwnerLocation::Peer(address)) => peer::state(node, address, id, STATE_TIMEOUT)
            .await
            .map_err(|error| format!("{error:?}")),
        None => Err("no known owner".to_owned()),
    };
    let result = match result {
        Ok(state) => Ok(state),
        Err(cause) => {
            log::info!("event=state_from_store id={id} cause={cause}");
            read_stored_state(node, &cell, id).await
        }
    };
    match result {
        Ok(Some(state)) => ServerResponse::new(StatusCode::OK, encode_state(state)),
        Ok(None) => {
            log::info!("event=submission_unknown id={id}");
            error_response(ResultCode::SubmissionUnknown, None)
        }
        Err(error) => {
            log::info!("event=state_unavailable id={id} error={error}");
            error_response(ResultCode::NoOwner, Some(NO_OWNER_RETRY_AFTER))
        }
    }
}

async fn pending(node: &Rc<Node>, queue: &QueueId) -> ServerResponse {
    match pending_in_all_cells(node, queue).await {
        Some(pending) => ServerResponse::new(StatusCode::OK, encode_pending(pending)),
        None => error_response(ResultCode::NoOwner, Some(NO_OWNER_RETRY_AFTER)),
    }
}

/// Returns how many submissions of a queue have not started, or `None` if the owner of a cell does not
/// tell.
async fn pending_in_all_cells(node: &Rc<Node>, queue: &QueueId) -> Option<u64> {
    node.layout()?;
    let (mut pending, mut addresses) = (0, Vec::new());
    for cell in node.cells() {
        match cell.find_owner(node)? {
            OwnerLocation::Local(owner) => pending += owner.with(|s| s.pending(queue)) as u64,
            OwnerLocation::Peer(address) => addresses.push((address, cell.id)),
        }
    }
    addresses.sort_unstable();
    let mut queries = JoinSet::new();
    for of_address in addresses.chunk_by(|(one, _), (other, _)| one == other) {
        let cells: Vec<CellId> = of_address.iter().map(|(_, cell)| *cell).collect();
        let (node, queue, address) = (Rc::clone(node), queue.clone(), of_address[0].0);
        queries.spawn_local(async move {
            peer::pending(&node, address, &queue, &cells, STATE_TIMEOUT).await
        });
    }
    while let Some(answer) = queries.join_next().await {
        pending += answer.ok()?.ok()?;
    }
    Some(pending)
}

fn error_response(code: ResultCode, retry_after: Option<Duration>) -> ServerResponse {
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = format!(
        "{{\"code\":{},\"error\":\"{}\"}}",
        code.number(),
        code.summary()
    );
    ServerResponse {
        retry_after,
        ..ServerResponse::new(status, body)
    }
}
