//! Makes calls to workers for the owner, and keeps the results until the owner fetches them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use litemap::LiteMap;
use rhubarbfall_core::WorkerId;
use rhubarbfall_site::{
    CallError, HttpClient, HttpResponse, SendDeadline, WorkerCall, send_worker_call,
};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::node::Node;
use crate::relay_messages::{RelayRequest, RelayResponse, RelayedCall, RelayedResult};

/// Time for which results are collected after the first one: each response costs the owner as much
/// as a call to a worker.
const COLLECT_TIME: Duration = Duration::from_millis(25);

/// Longest time for which a request may wait for a result.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Largest size of the results in one response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Largest number of results that wait for the owner; the oldest are dropped, and their calls time
/// out at the owner.
const MAX_RESULTS: usize = 10_000;

/// The calls of one owner's link.
#[derive(Debug)]
pub(crate) struct RelaySession {
    number: u64,
    fencing_number: u64,
    clients: RefCell<LiteMap<WorkerId, Rc<HttpClient>>>,
    results: RefCell<VecDeque<RelayedResult>>,
    has_results: Notify,
}

/// Starts the calls of a request and returns the results that are there or arrive in time. Returns
/// `None` if a later owner has a session.
pub(crate) async fn serve(node: &Rc<Node>, request: RelayRequest) -> Option<RelayResponse> {
    let session = session_of(node, &request)?;
    for call in request.calls {
        match to_worker_call(&call) {
            Some(worker_call) => spawn_call(node, &session, call.number, worker_call),
            None => log::error!("event=relayed_call_malformed number={}", call.number),
        }
    }
    let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
    if !wait.is_zero() {
        let arrived = async {
            while session.results.borrow().is_empty() {
                session.has_results.notified().await;
            }
            tokio::time::sleep(COLLECT_TIME).await;
        };
        // A timeout leads to a response without results.
        let _ = tokio::time::timeout(wait, arrived).await;
    }
    Some(RelayResponse {
        results: session.take_results(),
    })
}

fn session_of(node: &Node, request: &RelayRequest) -> Option<Rc<RelaySession>> {
    let mut current = node.relay_session.borrow_mut();
    if let Some(session) = &*current {
        if session.number == request.session {
            return Some(Rc::clone(session));
        }
        if session.fencing_number > request.fencing_number {
            return None;
        }
    }
    let session = Rc::new(RelaySession {
        number: request.session,
        fencing_number: request.fencing_number,
        clients: RefCell::new(LiteMap::new()),
        results: RefCell::default(),
        has_results: Notify::new(),
    });
    log::info!(
        "event=relay_session_started fence={}",
        request.fencing_number
    );
    *current = Some(Rc::clone(&session));
    Some(session)
}

fn to_worker_call(call: &RelayedCall) -> Option<WorkerCall> {
    Some(WorkerCall {
        worker: call.worker.parse().ok()?,
        address: call.address.parse().ok()?,
        path: Arc::from(&*call.path),
        body: call.body.clone(),
        timeout: Duration::from_millis(call.timeout_ms),
    })
}

fn spawn_call(node: &Node, session: &Rc<RelaySession>, number: u64, call: WorkerCall) {
    let deadline = SendDeadline::new(node.clock.clone(), node.now() + call.timeout);
    let session = Rc::clone(session);
    spawn_local(async move {
        let client = session.client(&call.worker, call.address);
        let result = send_worker_call(&client, call, Some(deadline)).await;
        session.add_result(to_result(number, result));
    });
}

fn to_result(number: u64, result: Result<HttpResponse, CallError>) -> RelayedResult {
    match result {
        Ok(response) => RelayedResult {
            number,
            status: u32::from(response.status.as_u16()),
            body: response.body,
            was_not_sent: false,
        },
        Err(error) => RelayedResult {
            number,
            was_not_sent: matches!(error, CallError::NotSent(_)),
            ..RelayedResult::default()
        },
    }
}

impl RelayedResult {
    /// Converts the result to that of a call that this process has made itself.
    pub(crate) fn into_response(self) -> Result<HttpResponse, CallError> {
        if let Ok(status) = u16::try_from(self.status)
            && let Ok(status) = StatusCode::from_u16(status)
        {
            return Ok(HttpResponse {
                status,
                body: self.body,
            });
        }
        let cause = "no response to the relaying entry".to_owned();
        Err(if self.was_not_sent {
            CallError::NotSent(cause)
        } else {
            CallError::Unknown(cause)
        })
    }
}

impl RelaySession {
    fn client(&self, worker: &WorkerId, address: SocketAddr) -> Rc<HttpClient> {
        let mut clients = self.clients.borrow_mut();
        if let Some(client) = clients.get(worker)
            && client.address() == address
        {
            return Rc::clone(client);
        }
        let client = Rc::new(HttpClient::new(address));
        clients.insert(worker.clone(), Rc::clone(&client));
        client
    }

    fn add_result(&self, result: RelayedResult) {
        let mut results = self.results.borrow_mut();
        if results.len() >= MAX_RESULTS {
            results.pop_front();
        }
        results.push_back(result);
        self.has_results.notify_one();
    }

    fn take_results(&self) -> Vec<RelayedResult> {
        let mut results = self.results.borrow_mut();
        let mut bytes = 0;
        let mut taken = Vec::new();
        while let Some(result) = results.front()
            && (taken.is_empty() || bytes + result.body.len() <= MAX_RESPONSE_BYTES)
        {
            bytes += result.body.len();
            taken.extend(results.pop_front());
        }
        taken
    }
}
