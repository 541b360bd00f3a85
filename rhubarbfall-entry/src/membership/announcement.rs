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

/// Interval at which the acceptor checks the answers to its intent.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How long a change waits until the other entries have admitted this one.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(8);

/// Change that other entries hold as an intent until its outcome is known.
#[derive(Debug)]
pub(crate) struct AnnouncedChange {
    shared: Arc<Shared>,
    id: Option<IntentId>,
}

impl AnnouncedChange {
    /// Notifies the other entries that the change is certain not to be recorded.
    ///
    /// Without this notice they hold the intent until a newer revision is in force, because its
    /// outcome is unknown.
    pub(crate) fn abandon(self) {
        let Some(id) = &self.id else { return };
        let now = self.shared.clock.now();
        self.shared.membership.update(now, |state| {
            state.announcements.retain(|(known, _)| known != id);
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

/// Announces the revocations of a change and waits until the change may be recorded.
///
/// # Errors
///
/// Returns [`ResultCode::AcceptanceUnproved`] if it is not proven that every entry learns of the
/// change in time.
pub(crate) async fn announce(
    shared: &Arc<Shared>,
    revision: Revision,
    after: &Document,
) -> Result<AnnouncedChange, ResultCode> {
    let before = shared.document.load_full();
    let revocations = before.map_or_else(Revocations::default, |before| {
        Revocations::between(&before, &after.clone().sorted())
    });
    if revocations.is_empty() {
        return Ok(AnnouncedChange {
            shared: Arc::clone(shared),
            id: None,
        });
    }
    wait_for_admission(shared).await?;
    let id = send_intent(shared, revision, &revocations).ok_or(ResultCode::AcceptanceUnproved)?;
    let announced = AnnouncedChange {
        shared: Arc::clone(shared),
        id: Some(id.clone()),
    };
    loop {
        let now = shared.clock.now();
        let step = shared.membership.update(now, |state| {
            let known = state.announcements.iter().find(|(known, _)| *known == id);
            known.map_or(AnnouncementStep::Abandon, |(_, announcement)| {
                announcement.step(now)
            })
        });
        match step {
            Some(AnnouncementStep::Commit) => return Ok(announced),
            Some(AnnouncementStep::Wait(_)) => sleep(CHECK_INTERVAL).await,
            Some(AnnouncementStep::Abandon) | None => {
                announced.abandon();
                return Err(ResultCode::AcceptanceUnproved);
            }
        }
    }
}

async fn wait_for_admission(shared: &Shared) -> Result<(), ResultCode> {
    let deadline = shared.clock.now() + ADMISSION_TIMEOUT;
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
        sleep(CHECK_INTERVAL * 5).await;
    }
}

fn send_intent(shared: &Shared, revision: Revision, revocations: &Revocations) -> Option<IntentId> {
    let network = shared.membership.network()?;
    let identity = network.identity().clone();
    let now = shared.clock.now();
    let intent = shared.membership.update(now, |state| {
        state.next_intent_number += 1;
        let intent = Intent {
            id: IntentId {
                acceptor: identity.entry,
                incarnation: identity.incarnation,
                number: state.next_intent_number,
            },
            revision,
            held_since: now,
            change: revocations.encode().into(),
        };
        state.gossip.freshness_mut().hold_intent(intent.clone());
        let members = state.gossip.members();
        let members = members.map(|(entry, member)| (entry.clone(), member.zone.clone()));
        let config = MembershipConfig::new();
        let announcement = ChangeAnnouncement::new(config, identity.zone, now, members);
        // Drop earlier announcements whose intents are no longer held: a conflict or a newer
        // revision has decided their changes.
        state
            .announcements
            .retain(|(id, _)| state.gossip.freshness().intents().contains_key(id));
        state.announcements.push((intent.id.clone(), announcement));
        intent
    })?;
    let payload = to_message(&intent).encode_to_vec();
    for peer in network.peers() {
        let _ = network.send(&peer.entry, INTENT_KIND, payload.clone());
    }
    Some(intent.id)
}
