use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use rhubarbfall_core::{ResultCode, Revision};
use rhubarbfall_document::Document;
use rhubarbfall_membership::{
    AnnouncementStep, ChangeAnnouncement, Intent, IntentId, MembershipConfig, Revocations,
};
use rhubarbfall_wire::messages::membership::{INTENT_KIND, INTENT_RELEASE_KIND, IntentReference};
use tokio::time::sleep;

use super::handlers::to_message;
use crate::Shared;

/// How often an acceptor looks at the answers.
const TICK: Duration = Duration::from_millis(10);

/// How long a change waits for the other entries to admit this one.
const ADMISSION_PATIENCE: Duration = Duration::from_secs(8);

/// A change that other entries hold as an intent; to be concluded once its outcome is known.
#[derive(Debug)]
pub(crate) struct Announced {
    shared: Arc<Shared>,
    id: Option<IntentId>,
}

impl Announced {
    /// Tells the others that the change was surely not recorded.
    ///
    /// Without this the intent stays, until a newer revision is in force: its outcome is unknown.
    pub(crate) fn give_up(self) {
        let Some(id) = &self.id else { return };
        let now = self.shared.clock.now();
        self.shared.membership.update(now, |state| {
            state.announced.retain(|(known, _)| known != id);
            state.gossip.freshness_mut().release_intent(id);
        });
        if let Some(network) = self.shared.membership.network() {
            let payload = IntentReference::from(id).encode_to_vec();
            for peer in network.peers() {
                let _ = network.send(&peer.entry, INTENT_RELEASE_KIND, payload.clone());
            }
        }
    }
}

/// Announces what a change takes away and waits until it may be recorded.
///
/// # Errors
///
/// [`ResultCode::AcceptanceUnproved`] when it is not proved that every entry will learn of the
/// change in time.
pub(crate) async fn announce(
    shared: &Arc<Shared>,
    revision: Revision,
    after: &Document,
) -> Result<Announced, ResultCode> {
    let before = shared.document.load_full();
    let narrowing = before.map_or_else(Revocations::default, |before| {
        Revocations::between(&before, &after.clone().sorted())
    });
    if narrowing.is_empty() {
        return Ok(Announced {
            shared: Arc::clone(shared),
            id: None,
        });
    }
    wait_admitted(shared).await?;
    let id = send_intent(shared, revision, &narrowing).ok_or(ResultCode::AcceptanceUnproved)?;
    let announced = Announced {
        shared: Arc::clone(shared),
        id: Some(id.clone()),
    };
    loop {
        let now = shared.clock.now();
        let step = shared.membership.update(now, |state| {
            let known = state.announced.iter().find(|(known, _)| *known == id);
            known.map_or(AnnouncementStep::Abandon, |(_, acceptance)| {
                acceptance.step(now)
            })
        });
        match step {
            Some(AnnouncementStep::Commit) => return Ok(announced),
            Some(AnnouncementStep::Wait(_)) => sleep(TICK).await,
            Some(AnnouncementStep::Abandon) | None => {
                announced.give_up();
                return Err(ResultCode::AcceptanceUnproved);
            }
        }
    }
}

async fn wait_admitted(shared: &Shared) -> Result<(), ResultCode> {
    let deadline = shared.clock.now() + ADMISSION_PATIENCE;
    loop {
        let now = shared.clock.now();
        let is_admitted = shared.membership.update(now, |state| {
            state.gossip.is_admitted() && !state.is_superseded
        });
        if is_admitted == Some(true) {
            return Ok(());
        }
        if now >= deadline {
            return Err(ResultCode::AcceptanceUnproved);
        }
        sleep(TICK * 5).await;
    }
}

fn send_intent(shared: &Shared, revision: Revision, narrowing: &Revocations) -> Option<IntentId> {
    let network = shared.membership.network()?;
    let identity = network.identity().clone();
    let now = shared.clock.now();
    let intent = shared.membership.update(now, |state| {
        state.next_intent += 1;
        let intent = Intent {
            id: IntentId {
                acceptor: identity.entry,
                incarnation: identity.incarnation,
                number: state.next_intent,
            },
            revision,
            held_since: now,
            change: narrowing.encode().into(),
        };
        state.gossip.freshness_mut().hold_intent(intent.clone());
        let members = state.gossip.members();
        let members = members.map(|(entry, member)| (entry.clone(), member.zone.clone()));
        let config = MembershipConfig::new();
        let acceptance = ChangeAnnouncement::new(config, identity.zone, now, members);
        // Earlier changes of this process are decided: their conflicts or revisions show it.
        state
            .announced
            .retain(|(id, _)| state.gossip.freshness().intents().contains_key(id));
        state.announced.push((intent.id.clone(), acceptance));
        intent
    })?;
    let payload = to_message(&intent).encode_to_vec();
    for peer in network.peers() {
        let _ = network.send(&peer.entry, INTENT_KIND, payload.clone());
    }
    Some(intent.id)
}
