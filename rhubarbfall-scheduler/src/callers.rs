//! Serves callers: checks the key, finds the queue, and asks the owner.

use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use rhubarbfall_core::{CustomerId, QueueId, ResultCode, SubmissionId};
use rhubarbfall_runs::{FleetConfig, Queue, Submission};
use rhubarbfall_site::{
    CUSTOMER_KEY_HEADER, DEADLINE_HEADER, decode_submission, encode_pending, encode_state,
};

use crate::beacon;
use crate::http_server::{Answer, Request};
use crate::node::{Node, OwnerAt};
use crate::owner::{Submitted, read_stored_state};
use crate::peer;
use crate::telemetry;

/// The time limit of a caller that names none.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(3);

/// What is kept of a caller's time limit for the way back.
const TIME_LIMIT_RESERVE: Duration = Duration::from_millis(150);

/// How long the owner may take to tell a state before the store is read instead.
const STATE_TIMEOUT: Duration = Duration::from_millis(700);

/// When a caller is told to come back while no owner is reached: about the time of a takeover.
const NO_OWNER_RETRY: Duration = Duration::from_secs(1);

/// How long a request that no owner was sent waits for one: most takeovers take less, and a caller
/// cannot be told to come back earlier than after a second.
const OWNER_PATIENCE: Duration = Duration::from_millis(1_400);

/// How long an owner may take for one answer before it is asked again: several slow transactions.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// With less time than this nothing is sent: the answer could only be that the outcome is unknown.
const MIN_ASK: Duration = Duration::from_millis(50);

/// The pause before the owner is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(60);

/// Keeps the number of requests in service.
struct InFlight(Rc<Node>);

impl InFlight {
    fn new(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// What a caller asks for.
enum Call {
    Submit(SubmissionId),
    State(SubmissionId),
    Cancel(SubmissionId),
    Pending,
}

impl Call {
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
pub(crate) async fn serve(node: Rc<Node>, request: Request) -> Answer {
    let _in_flight = InFlight::new(&node);
    let started = node.now();
    let (name, answer) = match authorize(&node, &request) {
        Ok((call, queue, customer)) => {
            let name = call.name();
            (name, answer(&node, call, &queue, customer, &request).await)
        }
        Err(code) => {
            log::info!(
                "event=refused path={} code={code} config={}",
                request.path,
                node.config.borrow().version
            );
            ("unauthorized", refusal(code, None))
        }
    };
    telemetry::count_answer(name, answer.status.as_u16(), node.now().since(started));
    answer
}

fn authorize(
    node: &Node,
    request: &Request,
) -> Result<(Call, Queue, Option<CustomerId>), ResultCode> {
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
    let call = match request.method {
        Method::POST => Call::Submit(id()?),
        Method::DELETE => Call::Cancel(id()?),
        Method::GET if rest.is_empty() => Call::Pending,
        Method::GET => Call::State(id()?),
        _ => return Err(ResultCode::BadRequest),
    };
    Ok((call, queue, customer))
}

fn customer(
    config: &FleetConfig,
    queue: &Queue,
    key: Option<&str>,
) -> Result<Option<CustomerId>, ResultCode> {
    let holder = key
        .and_then(|key| config.customer_of_key(key))
        .map(|found| found.id.clone());
    match (holder, key) {
        (Some(holder), _) => Ok(Some(holder)),
        (None, _) if queue.is_public => Ok(None),
        (None, Some(_)) => Err(ResultCode::KeyUnknown),
        (None, None) => Err(ResultCode::KeyMissing),
    }
}

async fn answer(
    node: &Rc<Node>,
    call: Call,
    queue: &Queue,
    customer: Option<CustomerId>,
    request: &Request,
) -> Answer {
    match call {
        Call::Submit(id) => submit(node, id, queue, customer, request).await,
        Call::Cancel(id) => cancel(node, &id, request).await,
        Call::State(id) => state(node, &id).await,
        Call::Pending => pending(node, &queue.id).await,
    }
}

fn time_limit(request: &Request) -> Duration {
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
    request: &Request,
) -> Answer {
    let began_at = node.now();
    let limit = time_limit(request);
    let received = node.unix_ms();
    let (queue_id, body) = (queue.id.clone(), &request.body);
    let submission = match decode_submission(id.clone(), queue_id, customer, body, received) {
        Ok(submission) => submission,
        Err(error) => {
            log::info!("event=submission_refused id={id} code=2026 error={error}");
            return refusal(ResultCode::SubmissionInvalid, None);
        }
    };
    let outcome = until_answered(node, limit, async |timeout| {
        ask_to_submit(node, &submission, timeout).await
    })
    .await;
    log::info!(
        "event=submission id={id} queue={} outcome={outcome:?} took_ms={} limit_ms={} fence={} \
         owner_silent_ms={} config={}",
        queue.id,
        node.now().since(began_at).as_millis(),
        limit.as_millis(),
        node.belief.borrow().fencing_number,
        node.owner_silence().as_millis(),
        node.config.borrow().version
    );
    outcome_answer(outcome)
}

async fn cancel(node: &Rc<Node>, id: &SubmissionId, request: &Request) -> Answer {
    let limit = time_limit(request);
    let outcome = until_answered(node, limit, async |timeout| {
        ask_to_cancel(node, id, timeout).await
    })
    .await;
    log::info!("event=cancel id={id} outcome={outcome:?}");
    outcome_answer(outcome)
}

/// Asks the owner until it answers, for as long as the caller waits: the identifier makes a repeat
/// harmless, and the ownership may be on its way to another entry. A request that was never sent to
/// an owner is refused earlier, so that the caller can try elsewhere.
async fn until_answered(
    node: &Node,
    limit: Duration,
    ask: impl AsyncFn(Duration) -> Submitted,
) -> Submitted {
    let began_at = node.now();
    let mut may_be_taken = false;
    if limit < MIN_ASK || node.is_alone() {
        return Submitted::NoOwner;
    }
    loop {
        let left = limit.saturating_sub(node.now().since(began_at));
        match ask(left.min(ASK_TIMEOUT)).await {
            Submitted::Unknown => may_be_taken = true,
            Submitted::NoOwner => {}
            answered => return answered,
        }
        let waited = node.now().since(began_at);
        if waited + ASK_PAUSE >= limit {
            return if may_be_taken {
                Submitted::Unknown
            } else {
                Submitted::NoOwner
            };
        }
        if !may_be_taken && (waited >= OWNER_PATIENCE || node.is_alone()) {
            return Submitted::NoOwner;
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
}

async fn ask_to_submit(node: &Node, submission: &Submission, timeout: Duration) -> Submitted {
    match reachable_owner(node).await {
        Some(OwnerAt::Here(owner)) => {
            let stored = owner.submit(node, submission.clone());
            tokio::time::timeout(timeout, stored)
                .await
                .unwrap_or(Submitted::Unknown)
        }
        Some(OwnerAt::Peer(address)) => peer::submit(node, address, submission, timeout)
            .await
            .into(),
        None => Submitted::NoOwner,
    }
}

async fn ask_to_cancel(node: &Node, id: &SubmissionId, timeout: Duration) -> Submitted {
    match reachable_owner(node).await {
        Some(OwnerAt::Here(owner)) => tokio::time::timeout(timeout, owner.cancel(node, id))
            .await
            .unwrap_or(Submitted::Unknown),
        Some(OwnerAt::Peer(address)) => peer::cancel(node, address, id, timeout).await.into(),
        None => Submitted::NoOwner,
    }
}

/// Returns where the owner is, unless it is silent: what is sent to an owner out of reach could only be
/// answered with "unknown".
async fn reachable_owner(node: &Node) -> Option<OwnerAt> {
    let owner = node.find_owner()?;
    if let OwnerAt::Peer(address) = &owner
        && node.is_owner_silent()
        && !beacon::probe(node, *address).await
    {
        return None;
    }
    Some(owner)
}

fn outcome_answer(outcome: Submitted) -> Answer {
    match outcome {
        Submitted::Stored => Answer::empty(StatusCode::OK),
        Submitted::NotFound => refusal(ResultCode::SubmissionUnknown, None),
        Submitted::NoOwner => refusal(ResultCode::NoOwner, Some(NO_OWNER_RETRY)),
        Submitted::Unknown => refusal(ResultCode::OwnerSilent, None),
    }
}

async fn state(node: &Rc<Node>, id: &SubmissionId) -> Answer {
    let told = match node.find_owner() {
        Some(OwnerAt::Here(owner)) => Ok(owner.with(|scheduler| scheduler.caller_state(id))),
        Some(OwnerAt::Peer(address)) => peer::state(node, address, id, STATE_TIMEOUT)
            .await
            .map_err(|error| format!("{error:?}")),
        None => Err("no owner".to_owned()),
    };
    let told = match told {
        Ok(told) => Ok(told),
        Err(cause) => {
            log::info!("event=state_from_store id={id} cause={cause}");
            read_stored_state(node, id).await
        }
    };
    match told {
        Ok(Some(state)) => Answer::new(StatusCode::OK, encode_state(state)),
        Ok(None) => {
            log::info!("event=submission_unknown id={id}");
            refusal(ResultCode::SubmissionUnknown, None)
        }
        Err(error) => {
            log::info!("event=state_unavailable id={id} error={error}");
            refusal(ResultCode::NoOwner, Some(NO_OWNER_RETRY))
        }
    }
}

async fn pending(node: &Rc<Node>, queue: &QueueId) -> Answer {
    let told = match node.find_owner() {
        Some(OwnerAt::Here(owner)) => Some(owner.with(|scheduler| scheduler.pending(queue)) as u64),
        Some(OwnerAt::Peer(address)) => peer::pending(node, address, queue, STATE_TIMEOUT)
            .await
            .ok(),
        None => None,
    };
    match told {
        Some(pending) => Answer::new(StatusCode::OK, encode_pending(pending)),
        None => refusal(ResultCode::NoOwner, Some(NO_OWNER_RETRY)),
    }
}

fn refusal(code: ResultCode, retry_after: Option<Duration>) -> Answer {
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = format!(
        "{{\"code\":{},\"error\":\"{}\"}}",
        code.number(),
        code.summary()
    );
    Answer {
        retry_after,
        ..Answer::new(status, body)
    }
}
