use std::sync::Arc;

use prost::Message;
use rhubarbfall_core::Revision;
use rhubarbfall_document::Document;
use rhubarbfall_membership::{DeltaLog, DocumentDelta, Intent, IntentId, Member};
use rhubarbfall_wire::messages::membership::{
    DOCUMENT_KIND, DOCUMENT_REQUEST_KIND, DocumentMessage, DocumentRequest, HEARTBEAT_KIND,
    Heartbeat, INTENT_ANSWER_KIND, INTENT_KIND, INTENT_RELEASE_KIND, INTENT_REQUEST_KIND,
    IntentMessage, IntentReference, ROSTER_KIND, Roster,
};
use rhubarbfall_wire::{PeerNetwork, Received};

use super::registration::drain_if_superseded;
use crate::{Shared, control};

type Handler = fn(&Arc<Shared>, &PeerNetwork, &Received);

/// Handler of each kind of message.
const HANDLERS: [(u32, Handler); 8] = [
    (HEARTBEAT_KIND, on_heartbeat),
    (ROSTER_KIND, on_roster),
    (INTENT_KIND, on_intent),
    (INTENT_ANSWER_KIND, on_intent_answer),
    (INTENT_RELEASE_KIND, on_intent_release),
    (INTENT_REQUEST_KIND, on_intent_request),
    (DOCUMENT_KIND, on_document),
    (DOCUMENT_REQUEST_KIND, on_document_request),
];

pub(super) fn register(shared: &Arc<Shared>, network: &PeerNetwork) {
    for (kind, handler) in HANDLERS {
        let shared = Arc::clone(shared);
        network.register(kind, move |received| {
            if let Some(network) = shared.membership.network() {
                handler(&shared, network, &received);
            }
        });
    }
}

fn on_heartbeat(shared: &Arc<Shared>, network: &PeerNetwork, received: &Received) {
    let Ok(message) = Heartbeat::decode(received.payload.as_ref()) else {
        return;
    };
    let now = shared.clock.now();
    let received_heartbeat = shared.membership.update(now, |state| {
        let sender = Member {
            zone: received.zone.clone(),
            incarnation: received.incarnation,
            address: received.address,
        };
        let gossip = &mut state.gossip;
        gossip.add_members([(received.sender.clone(), sender)]);
        let outcome = gossip.receive(now, &received.sender, received.incarnation, &message);
        let roster = outcome.needs_roster.then(|| gossip.roster());
        (outcome, roster, gossip.freshness().in_force())
    });
    let Some((outcome, roster, in_force)) = received_heartbeat else {
        return;
    };
    if let Some(roster) = roster {
        let _ = network.send(&received.sender, ROSTER_KIND, roster.encode_to_vec());
    }
    if outcome.has_newer_document {
        let request = DocumentRequest {
            revision: in_force.unwrap_or_default().get(),
        };
        let _ = network.send(
            &received.sender,
            DOCUMENT_REQUEST_KIND,
            request.encode_to_vec(),
        );
    }
}

fn on_roster(shared: &Arc<Shared>, _: &PeerNetwork, received: &Received) {
    let Ok(message) = Roster::decode(received.payload.as_ref()) else {
        return;
    };
    let own = shared.settings.entry.id.as_str();
    if let Some(own) = message.members.iter().find(|member| member.entry == own) {
        drain_if_superseded(shared, rhubarbfall_core::Incarnation::new(own.incarnation));
    }
    let now = shared.clock.now();
    shared
        .membership
        .update(now, |state| state.gossip.receive_roster(&message));
}

fn on_intent(shared: &Arc<Shared>, network: &PeerNetwork, received: &Received) {
    let Ok(message) = IntentMessage::decode(received.payload.as_ref()) else {
        return;
    };
    let Some(reference) = message.reference else {
        return;
    };
    let Some(id) = IntentId::from_reference(&reference) else {
        return;
    };
    let is_from_acceptor = id.acceptor == received.sender;
    let now = shared.clock.now();
    let may_answer = shared.membership.update(now, |state| {
        state.gossip.freshness_mut().hold_intent(Intent {
            id,
            revision: Revision::new(message.revision),
            held_since: now,
            change: message.change,
        });
        state.gossip.is_admitted()
    });
    if is_from_acceptor && may_answer == Some(true) {
        let _ = network.send(
            &received.sender,
            INTENT_ANSWER_KIND,
            reference.encode_to_vec(),
        );
    }
}

fn on_intent_answer(shared: &Arc<Shared>, _: &PeerNetwork, received: &Received) {
    let Some(id) = decode_reference(received) else {
        return;
    };
    let now = shared.clock.now();
    shared.membership.update(now, |state| {
        let announcement = state
            .announcements
            .iter_mut()
            .find(|(known, _)| *known == id);
        if let Some((_, announcement)) = announcement {
            announcement.observe_answer(&received.sender);
        }
    });
}

fn on_intent_release(shared: &Arc<Shared>, _: &PeerNetwork, received: &Received) {
    let Some(id) = decode_reference(received) else {
        return;
    };
    if id.acceptor != received.sender {
        return;
    }
    let now = shared.clock.now();
    shared.membership.update(now, |state| {
        state.gossip.freshness_mut().release_intent(&id);
    });
}

fn on_intent_request(shared: &Arc<Shared>, network: &PeerNetwork, received: &Received) {
    let Some(id) = decode_reference(received) else {
        return;
    };
    let now = shared.clock.now();
    let held = shared.membership.update(now, |state| {
        state.gossip.freshness().intents().get(&id).cloned()
    });
    if let Some(intent) = held.flatten() {
        let _ = network.send(
            &received.sender,
            INTENT_KIND,
            to_message(&intent).encode_to_vec(),
        );
    }
}

fn on_document_request(shared: &Arc<Shared>, network: &PeerNetwork, received: &Received) {
    let Ok(request) = DocumentRequest::decode(received.payload.as_ref()) else {
        return;
    };
    let Some(document) = shared.document.load_full() else {
        return;
    };
    if document.revision.get() <= request.revision {
        return;
    }
    let base = Revision::new(request.revision);
    let now = shared.clock.now();
    let steps = shared
        .membership
        .update(now, |state| state.deltas.since(base));
    let steps = steps.flatten();
    let content = match &steps {
        Some(steps) => serde_json::to_vec(steps),
        None => serde_json::to_vec(&*document),
    };
    let Ok(content) = content else { return };
    let message = DocumentMessage {
        base_revision: steps.map(|_| base.get()),
        revision: document.revision.get(),
        content: content.into(),
    };
    let _ = network.send(&received.sender, DOCUMENT_KIND, message.encode_to_vec());
}

fn on_document(shared: &Arc<Shared>, network: &PeerNetwork, received: &Received) {
    let Ok(message) = DocumentMessage::decode(received.payload.as_ref()) else {
        return;
    };
    let documents = match message.base_revision {
        Some(_) => catch_up(shared, &message.content),
        None => serde_json::from_slice(&message.content)
            .ok()
            .map(|document| vec![document]),
    };
    let Some(documents) = documents else {
        log::warn!(
            "event=peer-document sender={} error=malformed",
            received.sender
        );
        let full_request = DocumentRequest { revision: 0 };
        let _ = network.send(
            &received.sender,
            DOCUMENT_REQUEST_KIND,
            full_request.encode_to_vec(),
        );
        return;
    };
    for document in documents {
        control::put_in_force(shared, document);
    }
}

fn catch_up(shared: &Shared, content: &[u8]) -> Option<Vec<Document>> {
    let steps: Vec<DocumentDelta> = serde_json::from_slice(content).ok()?;
    let document = shared.document.load_full()?;
    DeltaLog::catch_up(&document, &steps)
}

fn decode_reference(received: &Received) -> Option<IntentId> {
    let reference = IntentReference::decode(received.payload.as_ref()).ok()?;
    IntentId::from_reference(&reference)
}

/// Converts an intent to the message for a peer.
pub(super) fn to_message(intent: &Intent) -> IntentMessage {
    IntentMessage {
        reference: Some(IntentReference::from(&intent.id)),
        revision: intent.revision.get(),
        change: intent.change.clone(),
    }
}
