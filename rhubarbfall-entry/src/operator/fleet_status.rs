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

/// How long the other entries have to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the asker looks whether all have answered.
const TICK: Duration = Duration::from_millis(10);

/// How many questions are remembered; an answer to an earlier one is left out.
const MAX_QUESTIONS: usize = 16;

/// What the other entries have said of the revision that they have in force.
#[derive(Debug, Default)]
pub struct FleetStatus {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next_number: u64,
    questions: LiteMap<u64, Instant>,
    answers: LiteMap<EntryId, Answer>,
}

/// An answer with the moment of its question, after which it was true.
#[derive(Debug, Clone, Copy)]
struct Answer {
    asked_at: Instant,
    revision: Option<Revision>,
}

impl FleetStatus {
    fn ask(&self, now: Instant) -> u64 {
        let mut state = self.state.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.questions.insert(number, now);
        if state.questions.len() > MAX_QUESTIONS {
            let oldest = number - MAX_QUESTIONS as u64;
            state.questions.remove(&oldest);
        }
        number
    }

    fn answered(&self, entry: &EntryId, message: StatusResponse) {
        let mut state = self.state.lock();
        let Some(asked_at) = state.questions.get(&message.number).copied() else {
            return;
        };
        let known = state.answers.get(entry).map(|answer| answer.asked_at);
        if known <= Some(asked_at) {
            let revision = message.revision.map(Revision::new);
            let answer = Answer { asked_at, revision };
            state.answers.insert(entry.clone(), answer);
        }
    }

    fn has_answered(&self, entry: &EntryId, since: Instant) -> bool {
        let state = self.state.lock();
        let answer = state.answers.get(entry);
        answer.is_some_and(|answer| answer.asked_at >= since)
    }

    fn status(&self, peer: Peer, now: Instant) -> EntryStatus {
        let answer = self.state.lock().answers.get(&peer.entry).copied();
        let age = answer.map(|answer| now.saturating_duration_since(answer.asked_at));
        EntryStatus {
            availability_zone: peer.zone,
            entry: peer.entry,
            revision: answer.and_then(|answer| answer.revision),
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }
}

/// Lets this entry answer questions, and take in the answers to its own.
pub(crate) fn register(shared: &Arc<Shared>, network: &PeerNetwork) {
    let for_requests = Arc::clone(shared);
    network.register(STATUS_REQUEST_KIND, move |received| {
        answer_request(&for_requests, &received);
    });
    let for_answers = Arc::clone(shared);
    network.register(STATUS_RESPONSE_KIND, move |received| {
        if let Ok(message) = StatusResponse::decode(received.payload.as_ref()) {
            for_answers.fleet_status.answered(&received.sender, message);
        }
    });
}

fn answer_request(shared: &Shared, received: &ReceivedMessage) {
    let Ok(request) = StatusRequest::decode(received.payload.as_ref()) else {
        return;
    };
    let document = shared.document.load();
    let answer = StatusResponse {
        number: request.number,
        revision: document.as_ref().map(|document| document.revision.get()),
    };
    if let Some(network) = shared.membership.network() {
        let _ = network.send(
            &received.sender,
            STATUS_RESPONSE_KIND,
            answer.encode_to_vec(),
        );
    }
}

/// Asks every other entry, and returns what each has said last.
pub(super) async fn ask_all(shared: &Shared) -> Vec<EntryStatus> {
    let Some(network) = shared.membership.network() else {
        return Vec::new();
    };
    let asked_at = shared.clock.now();
    let number = shared.fleet_status.ask(asked_at);
    let payload = StatusRequest { number }.encode_to_vec();
    let peers = network.peers();
    for peer in &peers {
        let _ = network.send(&peer.entry, STATUS_REQUEST_KIND, payload.clone());
    }
    let is_due = |peer: &Peer| {
        let status = &shared.fleet_status;
        peer.is_live && !status.has_answered(&peer.entry, asked_at)
    };
    let deadline = asked_at + ANSWER_TIMEOUT;
    while shared.clock.now() < deadline && peers.iter().any(is_due) {
        sleep(TICK).await;
    }
    let now = shared.clock.now();
    let statuses = peers
        .into_iter()
        .map(|peer| shared.fleet_status.status(peer, now));
    statuses.collect()
}
