use prost::Message;
use rhubarbfall_core::{QueueId, TeamId};
use rhubarbfall_document::{Document, KeyDigest, QueueAccess};
use rhubarbfall_wire::messages::membership::{ClosedQueue, NarrowingMessage};

/// What a change takes away: keys that no longer stand for their owner, and queues that teams lose.
///
/// Holders of an intent enforce it before they know whether the change was recorded.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::Document;
/// use rhubarbfall_membership::Narrowing;
///
/// let document = Document::default();
/// assert!(Narrowing::between(&document, &document).is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Narrowing {
    withdrawn_keys: Vec<KeyDigest>,
    closed_queues: Vec<(QueueId, TeamId)>,
}

impl Narrowing {
    /// Returns what `after` takes away from `before`.
    #[must_use]
    pub fn between(before: &Document, after: &Document) -> Self {
        let keys = before.keys.keys.iter();
        let withdrawn = keys.filter(|key| {
            let kept = after.key(&key.digest);
            kept.is_none_or(|kept| kept.owner != key.owner)
        });
        let mut narrowing = Self {
            withdrawn_keys: withdrawn.map(|key| key.digest).collect(),
            closed_queues: Vec::new(),
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
            let closed = teams.iter().filter(|team| !is_kept(team));
            let closed = closed.map(|team| (queue.id.clone(), team.clone()));
            narrowing.closed_queues.extend(closed);
        }
        narrowing.sorted()
    }

    /// Returns whether nothing is taken away.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.withdrawn_keys.is_empty() && self.closed_queues.is_empty()
    }

    /// Returns whether a key may not be used, or its team not this queue.
    #[must_use]
    pub fn forbids(&self, key: &KeyDigest, queue: &QueueId, team: &TeamId) -> bool {
        let closed = |(closed, loser): &(QueueId, TeamId)| (closed, loser).cmp(&(queue, team));
        self.withdrawn_keys.binary_search(key).is_ok()
            || self.closed_queues.binary_search_by(closed).is_ok()
    }

    /// Encodes the content of an intent.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let closed = self.closed_queues.iter().map(|(queue, team)| ClosedQueue {
            queue: queue.to_string(),
            team: team.to_string(),
        });
        let message = NarrowingMessage {
            withdrawn_keys: self
                .withdrawn_keys
                .iter()
                .map(ToString::to_string)
                .collect(),
            closed_queues: closed.collect(),
        };
        message.encode_to_vec()
    }

    /// Decodes the content of an intent; nothing when it is malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let message = NarrowingMessage::decode(bytes).ok()?;
        let keys = message.withdrawn_keys.iter().map(|key| key.parse().ok());
        let closed = message.closed_queues.iter();
        let closed =
            closed.map(|closed| Some((closed.queue.parse().ok()?, closed.team.parse().ok()?)));
        let narrowing = Self {
            withdrawn_keys: keys.collect::<Option<_>>()?,
            closed_queues: closed.collect::<Option<_>>()?,
        };
        Some(narrowing.sorted())
    }

    /// Adds what another change takes away.
    #[must_use]
    pub fn and(mut self, other: &Self) -> Self {
        self.withdrawn_keys.extend_from_slice(&other.withdrawn_keys);
        self.closed_queues.extend_from_slice(&other.closed_queues);
        self.sorted()
    }

    fn sorted(mut self) -> Self {
        self.withdrawn_keys.sort();
        self.closed_queues.sort();
        self
    }
}
