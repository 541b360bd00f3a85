use prost::Message;
use rhubarbfall_core::{QueueId, TeamId};
use rhubarbfall_document::{Document, KeyDigest, QueueAccess};
use rhubarbfall_wire::messages::membership::{ClosedQueue, NarrowingMessage};

/// Permissions that a change revokes: keys that no longer identify their owner, and queues that
/// teams may no longer use.
///
/// Entries that hold an intent enforce its revocations before they know whether the change was
/// committed.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::Document;
/// use rhubarbfall_membership::Revocations;
///
/// let document = Document::default();
/// assert!(Revocations::between(&document, &document).is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Revocations {
    withdrawn_keys: Vec<KeyDigest>,
    revoked_queues: Vec<(QueueId, TeamId)>,
}

impl Revocations {
    /// Returns the permissions that `before` grants and `after` does not.
    #[must_use]
    pub fn between(before: &Document, after: &Document) -> Self {
        let old_keys = before.keys.keys.iter();
        let withdrawn = old_keys.filter(|key| {
            let kept = after.key(&key.digest);
            kept.is_none_or(|kept| kept.owner != key.owner)
        });
        let mut revocations = Self {
            withdrawn_keys: withdrawn.map(|key| key.digest).collect(),
            revoked_queues: Vec::new(),
        };
        for queue in &before.fleet.queues {
            let QueueAccess::Teams(teams) = &queue.access else {
                continue;
            };
            let access = after.queue(&queue.id).map(|queue| &queue.access);
            let is_kept = |team: &TeamId| match access {
                Some(QueueAccess::Teams(teams)) => teams.contains(team),
                Some(QueueAccess::OpenAs(_)) => true,
                None => false,
            };
            let revoked = teams.iter().filter(|team| !is_kept(team));
            let revoked = revoked.map(|team| (queue.id.clone(), team.clone()));
            revocations.revoked_queues.extend(revoked);
        }
        revocations.sorted()
    }

    /// Returns whether nothing is revoked.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.withdrawn_keys.is_empty() && self.revoked_queues.is_empty()
    }

    /// Returns whether the key is revoked or the team may no longer use the queue.
    #[must_use]
    pub fn forbids(&self, key: &KeyDigest, queue: &QueueId, team: &TeamId) -> bool {
        let compare = |(revoked, from): &(QueueId, TeamId)| (revoked, from).cmp(&(queue, team));
        self.withdrawn_keys.binary_search(key).is_ok()
            || self.revoked_queues.binary_search_by(compare).is_ok()
    }

    /// Encodes the revocations as the `change` of an intent.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let revoked = self.revoked_queues.iter().map(|(queue, team)| ClosedQueue {
            queue: queue.to_string(),
            team: team.to_string(),
        });
        let message = NarrowingMessage {
            withdrawn_keys: self
                .withdrawn_keys
                .iter()
                .map(ToString::to_string)
                .collect(),
            closed_queues: revoked.collect(),
        };
        message.encode_to_vec()
    }

    /// Decodes the `change` of an intent; returns `None` if it is malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let message = NarrowingMessage::decode(bytes).ok()?;
        let keys = message.withdrawn_keys.iter().map(|key| key.parse().ok());
        let revoked = message.closed_queues.iter();
        let revoked = revoked.map(|pair| Some((pair.queue.parse().ok()?, pair.team.parse().ok()?)));
        let revocations = Self {
            withdrawn_keys: keys.collect::<Option<_>>()?,
            revoked_queues: revoked.collect::<Option<_>>()?,
        };
        Some(revocations.sorted())
    }

    /// Adds the revocations of another change.
    #[must_use]
    pub fn merge(mut self, other: &Self) -> Self {
        self.withdrawn_keys.extend_from_slice(&other.withdrawn_keys);
        self.revoked_queues.extend_from_slice(&other.revoked_queues);
        self.sorted()
    }

    fn sorted(mut self) -> Self {
        self.withdrawn_keys.sort();
        self.revoked_queues.sort();
        self
    }
}
