use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use prost::Message;
use rhubarbfall_core::{EntryId, LiteMap, Revision};
use rhubarbfall_document::api::EntryStatus;
use rhubarbfall_wire::messages::status::{
    STATUS_REQUEST_KIND, STATUS_RESPONSE_KIND, StatusRequest, StatusResponse,
};
use rhubarbfall_wire::{Peer, PeerNetwork, ReceivedMessage};
use tokio::time::sleep;

use crate::Shared;

/// How long the other entries have to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the requester checks whether all entries have responded.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of requests that are remembered; responses to earlier ones are ignored.
const MAX_REMEMBERED_REQUESTS: usize = 16;

/// Revisions that the other entries have reported as in force.
#[derive(Debug, Default)]
pub struct FleetStatus {
    state: Mutex<StatusReports>,
}

#[derive(Debug, Default)]
struct StatusReports {
    next_number: u64,
    requests: LiteMap<u64, Instant>,
    reports: LiteMap<EntryId, RevisionReport>,
}

/// Reported revision with the time of its request; it was in force at or after that time.
#[derive(Debug, Clone, Copy)]
struct RevisionReport {
    requested_at: Instant,
    revision: Option<Revision>,
}

impl FleetStatus {
    fn add_request(&self, now: Instant) -> u64 {
        let mut state = self.state.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.requests.insert(number, now);
        if state.requests.len() > MAX_REMEMBERED_REQUESTS {
            let oldest = number - MAX_REMEMBERED_REQUESTS as u64;
            state.requests.remove(&oldest);
        }
        number
    }

    fn record_response(&self, entry: &EntryId, message: StatusResponse) {
        let mut state = self.state.lock();
        let Some(requested_at) = state.requests.get(&message.number).copied() else {
            return;
        };
        let known = state.reports.get(entry).map(|report| report.requested_at);
        if known <= Some(requested_at) {
            let revision = message.revision.map(Revision::new);
            let report = RevisionReport {
                requested_at,
                revision,
            };
            state.reports.insert(entry.clone(), report);
        }
    }

    fn has_responded(&self, entry: &EntryId, since: Instant) -> bool {
        let state = self.state.lock();
        let report = state.reports.get(entry);
        report.is_some_and(|report| report.requested_at >= since)
    }

    fn status(&self, peer: Peer, now: Instant) -> EntryStatus {
        let report = self.state.lock().reports.get(&peer.entry).copied();
        let age = report.map(|report| now.saturating_duration_since(report.requested_at));
        EntryStatus {
            availability_zone: peer.zone,
            entry: peer.entry,
            revision: report.and_then(|report| report.revision),
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }
}

/// Registers the handlers for status requests of other entries and for their responses.
pub(crate) fn register(shared: &Arc<Shared>, network: &PeerNetwork) {
    let shared_for_requests = Arc::clone(shared);
    network.register(STATUS_REQUEST_KIND, move |received| {
        respond_to_request(&shared_for_requests, &received);
    });
    let shared_for_answers = Arc::clone(shared);
    network.register(STATUS_RESPONSE_KIND, move |received| {
        if let Ok(message) = StatusResponse::decode(received.payload.as_ref()) {
            shared_for_answers
                .fleet_status
                .record_response(&received.sender, message);
        }
    });
}

fn respond_to_request(shared: &Shared, received: &ReceivedMessage) {
    let Ok(request) = StatusRequest::decode(received.payload.as_ref()) else {
        return;
    };
    let document = shared.document.load();
    let response = StatusResponse {
        number: request.number,
        revision: document.as_ref().map(|document| document.revision.get()),
    };
    if let Some(network) = shared.membership.network() {
        let _ = network.send(
            &received.sender,
            STATUS_RESPONSE_KIND,
            response.encode_to_vec(),
        );
    }
}

/// Requests the status of every other entry, and returns the latest report of each.
///
/// Waits until every live entry has responded, or for the response timeout.
pub(super) async fn poll_entries(shared: &Shared) -> Vec<EntryStatus> {
    let Some(network) = shared.membership.network() else {
        return Vec::new();
    };
    let requested_at = shared.clock.now();
    let number = shared.fleet_status.add_request(requested_at);
    let payload = StatusRequest { number }.encode_to_vec();
    let peers = network.peers();
    for peer in &peers {
        let _ = network.send(&peer.entry, STATUS_REQUEST_KIND, payload.clone());
    }
    let is_awaited = |peer: &Peer| {
        let status = &shared.fleet_status;
        peer.is_live && !status.has_responded(&peer.entry, requested_at)
    };
    let deadline = requested_at + RESPONSE_TIMEOUT;
    while shared.clock.now() < deadline && peers.iter().any(is_awaited) {
        sleep(CHECK_INTERVAL).await;
    }
    let now = shared.clock.now();
    let statuses = peers
        .into_iter()
        .map(|peer| shared.fleet_status.status(peer, now));
    statuses.collect()
}
