//! Caller-facing API: authenticates the caller, resolves the queue and forwards the request to the
//! owner.

use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use rhubarbfall_core::{BootTime, CustomerId, QueueId, ResultCode, SubmissionId};
use rhubarbfall_runs::{FleetConfig, Queue, Submission};
use rhubarbfall_site::{
    CUSTOMER_KEY_HEADER, DEADLINE_HEADER, decode_submission_request, encode_pending, encode_state,
};

use crate::http_server::{ServerRequest, ServerResponse};
use crate::node::{Node, OwnerLocation};
use crate::owner::{RequestOutcome, read_stored_state};
use crate::peer;
use crate::peer_status;
use crate::telemetry;

/// Time limit of a request without a deadline header.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(3);

/// Part of the caller's time limit reserved for returning the response.
const TIME_LIMIT_RESERVE: Duration = Duration::from_millis(150);

/// Timeout of a state or pending query to the owner; a state is then read from the store.
const STATE_TIMEOUT: Duration = Duration::from_millis(700);

/// Suggested retry delay when no owner is reachable: about the duration of a takeover.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which a request that was not sent to any owner waits for one. Most takeovers are
/// shorter, and `retry-after` cannot be less than one second.
const OWNER_WAIT_LIMIT: Duration = Duration::from_millis(1_400);

/// Timeout of one call to the owner before a retry: several slow transactions.
const OWNER_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shortest remaining time in which a request is still sent to the owner. With less time, the
/// outcome would only be unknown.
const MIN_OWNER_CALL_TIME: Duration = Duration::from_millis(50);

/// Pause before a call to the owner is retried.
const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Rc<Node>);

impl InFlightGuard {
    fn new(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Logs a request whose caller closed the connection before the response: the server then drops
/// the future that serves it.
struct AbandonedLog<'a> {
    node: &'a Node,
    request: &'a ServerRequest,
    began_at: BootTime,
    is_answered: bool,
}

impl Drop for AbandonedLog<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            log::info!(
                "event=request_abandoned method={} path={} took_ms={}",
                self.request.method,
                self.request.path,
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
    let started = node.now();
    let mut abandoned = AbandonedLog {
        node: &node,
        request: &request,
        began_at: started,
        is_answered: false,
    };
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
    abandoned.is_answered = true;
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
            Err(error) => {
                log::info!("event=submission_refused id={id} code=2026 error={error}");
                return error_response(ResultCode::SubmissionInvalid, None);
            }
        };
    let outcome = retry_until_answered(node, limit, async |timeout| {
        submit_to_owner(node, &submission, timeout).await
    })
    .await;
    log::info!(
        "event=submission id={id} queue={} outcome={outcome:?} took_ms={} limit_ms={} fence={} \
         owner_silent_ms={} config={}",
        queue.id,
        node.now().since(began_at).as_millis(),
        limit.as_millis(),
        node.known_owner.borrow().fencing_number,
        node.owner_silence().as_millis(),
        node.config.borrow().version
    );
    outcome_response(outcome)
}

async fn cancel(node: &Rc<Node>, id: &SubmissionId, request: &ServerRequest) -> ServerResponse {
    let limit = time_limit(request);
    let outcome = retry_until_answered(node, limit, async |timeout| {
        cancel_at_owner(node, id, timeout).await
    })
    .await;
    log::info!("event=cancel id={id} outcome={outcome:?}");
    outcome_response(outcome)
}

/// Calls the owner until it answers or the caller's time limit is reached. Retries are safe,
/// because the submission identifier makes them idempotent, and the ownership may be moving to
/// another entry. A request that no owner has received is rejected earlier, so that the caller can
/// retry at another entry.
async fn retry_until_answered(
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

async fn submit_to_owner(
    node: &Node,
    submission: &Submission,
    timeout: Duration,
) -> RequestOutcome {
    match reachable_owner(node).await {
        Some(OwnerLocation::Local(owner)) => {
            let stored = owner.submit(node, submission.clone());
            tokio::time::timeout(timeout, stored)
                .await
                .unwrap_or(RequestOutcome::Unknown)
        }
        Some(OwnerLocation::Peer(address)) => peer::submit(node, address, submission, timeout)
            .await
            .into(),
        None => RequestOutcome::NoOwner,
    }
}

async fn cancel_at_owner(node: &Node, id: &SubmissionId, timeout: Duration) -> RequestOutcome {
    match reachable_owner(node).await {
        Some(OwnerLocation::Local(owner)) => tokio::time::timeout(timeout, owner.cancel(node, id))
            .await
            .unwrap_or(RequestOutcome::Unknown),
        Some(OwnerLocation::Peer(address)) => peer::cancel(node, address, id, timeout).await.into(),
        None => RequestOutcome::NoOwner,
    }
}

/// Returns the location of the owner, or `None` if it does not answer a probe. A request to an
/// unreachable owner could only end with an unknown outcome.
async fn reachable_owner(node: &Node) -> Option<OwnerLocation> {
    let owner = node.find_owner()?;
    if let OwnerLocation::Peer(address) = &owner
        && node.is_owner_silent()
        && !peer_status::probe(node, *address).await
    {
        return None;
    }
    Some(owner)
}

fn outcome_response(outcome: RequestOutcome) -> ServerResponse {
    match outcome {
        RequestOutcome::Stored => ServerResponse::empty(StatusCode::OK),
        RequestOutcome::NotFound => error_response(ResultCode::SubmissionUnknown, None),
        RequestOutcome::NoOwner => error_response(ResultCode::NoOwner, Some(NO_OWNER_RETRY_AFTER)),
        RequestOutcome::Unknown => error_response(ResultCode::OwnerSilent, None),
    }
}

async fn state(node: &Rc<Node>, id: &SubmissionId) -> ServerResponse {
    let result = match node.find_owner() {
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
            read_stored_state(node, id).await
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
    let result = match node.find_owner() {
        Some(OwnerLocation::Local(owner)) => Some(owner.with(|s| s.pending(queue)) as u64),
        Some(OwnerLocation::Peer(address)) => peer::pending(node, address, queue, STATE_TIMEOUT)
            .await
            .ok(),
        None => None,
    };
    match result {
        Some(pending) => ServerResponse::new(StatusCode::OK, encode_pending(pending)),
        None => error_response(ResultCode::NoOwner, Some(NO_OWNER_RETRY_AFTER)),
    }
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
