//! Passes an owner's calls to workers to other entries while the fleet is large: the decisions for
//! all workers fit into one entry's processor time, the calls do not.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, WorkerId};
use rhubarbfall_site::{CallError, HttpClient, HttpResponse, WorkerCall, send_worker_call};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;

use super::Owner;
use crate::node::Node;
use crate::peer::{self, PeerError};
use crate::relay_messages::{RelayRequest, RelayedCall};

/// Number of VMs from which calls are passed on.
const MIN_VMS: usize = 500;

/// Largest number of entries that make calls; each costs the owner two requests in flight.
const MAX_RELAYS: usize = 8;

/// Time after which an entry that sent no status request makes no calls any more: several polls.
const ENTRY_LIVE_FOR: Duration = Duration::from_millis(1_200);

/// Interval at which the entries that make calls are chosen.
const CHOICE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which calls are collected before they are passed on.
const COLLECT_TIME: Duration = Duration::from_millis(15);

/// Time for which an entry may hold a request for results.
const RESULT_WAIT: Duration = Duration::from_millis(500);

/// Added to the timeout of a call for the way to the entry and back.
const RELAY_MARGIN: Duration = Duration::from_millis(150);

/// Time for which an entry that has left a call without a result makes no calls.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

/// The entries that can make calls, and those that do.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    /// Entries that asked for the status lately: processor share in thousandths of a core, and when.
    entries: RefCell<LiteMap<SocketAddr, (u32, BootTime)>>,
    links: RefCell<Vec<Rc<RelayLink>>>,
}

/// The calls that one entry makes.
#[derive(Debug)]
struct RelayLink {
    address: SocketAddr,
    session: u64,
    next_number: Cell<u64>,
    queue: RefCell<Vec<RelayedCall>>,
    waiting: RefCell<LiteMap<u64, oneshot::Sender<Result<HttpResponse, CallError>>>>,
    has_calls: Notify,
    has_waiting: Notify,
    failed_at: Cell<Option<BootTime>>,
    is_closed: Cell<bool>,
}

impl Relays {
    /// Records that an entry has asked for the status.
    pub(crate) fn entry_seen(&self, address: SocketAddr, cpu_millis: u32, now: BootTime) {
        self.entries.borrow_mut().insert(address, (cpu_millis, now));
    }

    /// Returns the live entries with the most processor time.
    fn best_entries(&self, now: BootTime) -> Vec<SocketAddr> {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, (_, seen_at)| now.since(*seen_at) <= ENTRY_LIVE_FOR);
        let mut best: Vec<(u32, SocketAddr)> = entries
            .iter()
            .map(|(address, (cpu_millis, _))| (*cpu_millis, *address))
            .collect();
        best.sort_by_key(|(cpu_millis, address)| (std::cmp::Reverse(*cpu_millis), *address));
        best.truncate(MAX_RELAYS);
        best.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the link that makes a worker's calls: the one with the highest hash, so that few
    /// workers change their link when an entry comes or goes.
    fn link_for(&self, worker: &WorkerId, now: BootTime) -> Option<Rc<RelayLink>> {
        let links = self.links.borrow();
        let usable = links.iter().filter(|link| link.is_usable(now));
        usable
            .max_by_key(|link| {
                let mut hasher = DefaultHasher::new();
                (worker.as_str(), link.address).hash(&mut hasher);
                hasher.finish()
            })
            .cloned()
    }
}

impl RelayLink {
    fn is_usable(&self, now: BootTime) -> bool {
        let has_failed = |at: BootTime| now.since(at) < FAILURE_PAUSE;
        !self.is_closed.get() && !self.failed_at.get().is_some_and(has_failed)
    }

    /// Queues a call and returns the receiver of its result.
    fn queue(
        &self,
        call: &WorkerCall,
    ) -> (u64, oneshot::Receiver<Result<HttpResponse, CallError>>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        self.queue.borrow_mut().push(RelayedCall {
            number,
            worker: call.worker.to_string(),
            address: call.address.to_string(),
            path: call.path.to_string(),
            body: call.body.clone(),
            timeout_ms: call.timeout.as_millis() as u64,
        });
        self.has_calls.notify_one();
        self.has_waiting.notify_one();
        (number, receiver)
    }

    fn finish(&self, number: u64, result: Result<HttpResponse, CallError>) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&number) {
            // The caller may have given up.
            let _ = sender.send(result);
        }
    }

    fn fail(&self, now: BootTime) {
        if self.is_usable(now) {
            log::warn!("event=relay_failed entry={}", self.address);
        }
        self.failed_at.set(Some(now));
    }

    fn close(&self) {
        self.is_closed.set(true);
        self.waiting.borrow_mut().clear();
        self.has_calls.notify_one();
        self.has_waiting.notify_one();
    }
}

/// Sends a call to a worker through another entry, or with `direct` if none makes calls.
///
/// # Errors
///
/// Returns a [`CallError`] that states whether the worker may have executed the call.
pub(super) async fn send(
    node: &Node,
    relays: &Relays,
    direct: &HttpClient,
    call: WorkerCall,
) -> Result<HttpResponse, CallError> {
    let Some(link) = relays.link_for(&call.worker, node.now()) else {
        return send_worker_call(direct, call, None).await;
    };
    let (number, receiver) = link.queue(&call);
    match tokio::time::timeout(call.timeout + RELAY_MARGIN, receiver).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(CallError::Unknown("relay closed".to_owned())),
        Err(_) => {
            link.waiting.borrow_mut().remove(&number);
            link.fail(node.now());
            Err(CallError::Unknown("relay timeout".to_owned()))
        }
    }
}

/// Chooses the entries that make calls until the ownership ends.
pub(super) async fn run(node: Rc<Node>, owner: Rc<Owner>) {
    while !owner.has_ended() {
        let is_large = owner.scheduler.borrow().vm_count() >= MIN_VMS;
        let chosen = if is_large {
            owner.relays.best_entries(node.now())
        } else {
            Vec::new()
        };
        update_links(&node, &owner, &chosen);
        tokio::time::sleep(CHOICE_INTERVAL).await;
    }
    for link in owner.relays.links.borrow_mut().drain(..) {
        link.close();
    }
}

fn update_links(node: &Rc<Node>, owner: &Rc<Owner>, chosen: &[SocketAddr]) {
    let mut links = owner.relays.links.borrow_mut();
    links.retain(|link| {
        let is_chosen = chosen.contains(&link.address);
        if !is_chosen {
            log::info!("event=relay_removed entry={}", link.address);
            link.close();
        }
        is_chosen
    });
    for address in chosen {
        if links.iter().any(|link| link.address == *address) {
            continue;
        }
        log::info!("event=relay_added entry={address}");
        let link = Rc::new(RelayLink {
            address: *address,
            session: rand::random(),
            next_number: Cell::new(0),
            queue: RefCell::default(),
            waiting: RefCell::new(LiteMap::new()),
            has_calls: Notify::new(),
            has_waiting: Notify::new(),
            failed_at: Cell::new(None),
            is_closed: Cell::new(false),
        });
        spawn_local(pass_calls(
            Rc::clone(node),
            owner.fencing_number().get(),
            Rc::clone(&link),
        ));
        spawn_local(fetch_results(
            Rc::clone(node),
            owner.fencing_number().get(),
            Rc::clone(&link),
        ));
        links.push(link);
    }
}

/// Passes queued calls to the entry.
async fn pass_calls(node: Rc<Node>, fencing_number: u64, link: Rc<RelayLink>) {
    while !link.is_closed.get() {
        link.has_calls.notified().await;
        tokio::time::sleep(COLLECT_TIME).await;
        let calls = std::mem::take(&mut *link.queue.borrow_mut());
        if calls.is_empty() {
            continue;
        }
        // Calls that arrive meanwhile are passed on by the next request.
        exchange(&node, fencing_number, &link, calls, Duration::ZERO).await;
    }
}

/// Fetches results while calls wait for them.
async fn fetch_results(node: Rc<Node>, fencing_number: u64, link: Rc<RelayLink>) {
    while !link.is_closed.get() {
        if link.waiting.borrow().is_empty() {
            link.has_waiting.notified().await;
            continue;
        }
        let is_answered = exchange(&node, fencing_number, &link, Vec::new(), RESULT_WAIT).await;
        if !is_answered {
            tokio::time::sleep(COLLECT_TIME).await;
        }
    }
}

/// Sends one request to the entry and finishes the calls whose results it returns.
async fn exchange(
    node: &Node,
    fencing_number: u64,
    link: &RelayLink,
    calls: Vec<RelayedCall>,
    wait: Duration,
) -> bool {
    let numbers: Vec<u64> = calls.iter().map(|call| call.number).collect();
    let request = RelayRequest {
        session: link.session,
        fencing_number,
        calls,
        wait_ms: wait.as_millis() as u64,
    };
    let timeout = wait + RELAY_MARGIN * 2;
    match peer::relay(node, link.address, &request, timeout).await {
        Ok(response) => {
            for result in response.results {
                link.finish(result.number, result.into_response());
            }
            true
        }
        Err(error) => {
            link.fail(node.now());
            for number in numbers {
                let cause = "relay did not answer".to_owned();
                let error = match error {
                    PeerError::NotTaken => CallError::NotSent(cause),
                    PeerError::Unknown => CallError::Unknown(cause),
                };
                link.finish(number, Err(error));
            }
            false
        }
    }
}
