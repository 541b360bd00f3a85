use std::sync::Arc;

use prost::Message;
use rhubarbfall_admission::{LoanReply, LoanRequest};
use rhubarbfall_core::{EntryId, LiteMap, TeamId};
use rhubarbfall_wire::messages::admission::{
    LOAN_REPLIES_KIND, LOAN_REQUESTS_KIND, LoanReplies, LoanRequests, TeamLoanReply,
    TeamLoanRequest,
};
use rhubarbfall_wire::{PeerNetwork, Received};

use crate::Shared;

/// Registers the handlers of loan requests and loan replies.
pub(super) fn register(shared: &Arc<Shared>, network: &PeerNetwork) {
    let request_shared = Arc::clone(shared);
    network.register(LOAN_REQUESTS_KIND, move |received| {
        handle_requests(&request_shared, &received);
    });
    let reply_shared = Arc::clone(shared);
    network.register(LOAN_REPLIES_KIND, move |received| {
        handle_replies(&reply_shared, &received);
    });
}

/// Sends the loan requests that are due, in one message to each lender.
pub(super) fn send_requests(shared: &Arc<Shared>, network: &PeerNetwork) {
    let now = shared.clock.now();
    let due = shared
        .dispatcher
        .with_admission(|admission| admission.rights_mut().tick(now));
    let mut messages: LiteMap<EntryId, LoanRequests> = LiteMap::new();
    for outgoing in due {
        let message = messages.entry(outgoing.lender).or_default();
        message.requests.push(TeamLoanRequest {
            team: outgoing.team.to_string(),
            sequence: outgoing.request.sequence,
            held_slots: outgoing.request.held_slots,
            wanted_slots: outgoing.request.wanted_slots,
        });
    }
    for (lender, message) in &messages {
        send(network, lender, LOAN_REQUESTS_KIND, message);
    }
}

fn handle_requests(shared: &Arc<Shared>, received: &Received) {
    let Ok(message) = LoanRequests::decode(received.payload.as_ref()) else {
        return;
    };
    let now = shared.clock.now();
    let replies = shared.dispatcher.with_admission(|admission| {
        let rights = admission.rights_mut();
        let mut replies = Vec::new();
        for item in message.requests {
            let Ok(team) = item.team.parse::<TeamId>() else {
                continue;
            };
            let request = LoanRequest {
                sequence: item.sequence,
                held_slots: item.held_slots,
                wanted_slots: item.wanted_slots,
            };
            let sender = &received.sender;
            if let Some(reply) = rights.lend(now, sender, received.incarnation, &team, &request) {
                replies.push(TeamLoanReply {
                    team: item.team,
                    sequence: reply.sequence,
                    granted_slots: reply.granted_slots,
                    spare_slots: reply.spare_slots,
                });
            }
        }
        replies
    });
    if let Some(network) = shared.membership.network().filter(|_| !replies.is_empty()) {
        let message = LoanReplies { replies };
        send(network, &received.sender, LOAN_REPLIES_KIND, &message);
    }
}

fn handle_replies(shared: &Arc<Shared>, received: &Received) {
    let Ok(message) = LoanReplies::decode(received.payload.as_ref()) else {
        return;
    };
    shared.dispatcher.with_admission(|admission| {
        for item in &message.replies {
            if let Ok(team) = item.team.parse::<TeamId>() {
                let reply = LoanReply {
                    sequence: item.sequence,
                    granted_slots: item.granted_slots,
                    spare_slots: item.spare_slots,
                };
                let rights = admission.rights_mut();
                rights.handle_reply(&received.sender, &team, &reply);
            }
        }
    });
}

fn send(network: &PeerNetwork, entry: &EntryId, kind: u32, message: &impl Message) {
    // The next request replaces a lost message, so an unknown entry is not an error.
    if let Err(error) = network.send(entry, kind, message.encode_to_vec()) {
        log::debug!("event=loan-message error={error}");
    }
}
