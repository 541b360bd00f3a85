use std::time::{Duration, Instant};

use rhubarbfall_core::{EntryId, Incarnation};

/// One proof that processes have ended.
#[derive(Debug, Clone)]
struct TerminationProof {
    entry: EntryId,
    /// Every process of the entry with a lower incarnation has ended.
    ended_below: Incarnation,
    proven_at: Instant,
}

/// Tells when a dead process's grant may be reused.
///
/// A process counts as dead when the platform lists its VM as gone or when its successor on the
/// same VM is known. Silence is no proof. The grant stays untouched for a delay after the proof was
/// first seen, in which all its loans lapse and all its work ends.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rhubarbfall_admission::ReclaimWatch;
/// use rhubarbfall_core::Incarnation;
///
/// let (now, delay) = (Instant::now(), Duration::from_secs(60));
/// let entry = "zone-a-entry-1".parse()?;
/// let mut watch = ReclaimWatch::new(delay);
/// watch.record_successor(now, &entry, Incarnation::new(2));
/// assert!(!watch.is_reclaimable(now, &entry, Incarnation::new(1)));
/// assert!(watch.is_reclaimable(now + delay, &entry, Incarnation::new(1)));
/// assert!(!watch.is_reclaimable(now + delay, &entry, Incarnation::new(2)));
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ReclaimWatch {
    delay: Duration,
    proofs: Vec<TerminationProof>,
}

impl ReclaimWatch {
    /// Creates a watch that has seen nothing.
    #[must_use]
    pub const fn new(delay: Duration) -> Self {
        Self {
            delay,
            proofs: Vec::new(),
        }
    }

    /// Sets the delay; it never becomes shorter.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = self.delay.max(delay);
    }

    /// Records that a process with this incarnation runs on the entry's VM.
    pub fn record_successor(&mut self, now: Instant, entry: &EntryId, incarnation: Incarnation) {
        self.record_proof(now, entry, incarnation);
    }

    /// Records the entries whose VMs the platform lists as gone; an entry that is listed otherwise
    /// loses this proof.
    pub fn record_gone<'a>(&mut self, now: Instant, gone: impl IntoIterator<Item = &'a EntryId>) {
        let gone: Vec<&EntryId> = gone.into_iter().collect();
        self.proofs
            .retain(|proof| proof.ended_below != MAX_INCARNATION || gone.contains(&&proof.entry));
        for entry in gone {
            self.record_proof(now, entry, MAX_INCARNATION);
        }
    }

    /// Forgets the entries that `keep` does not name, to bound the memory.
    pub fn retain(&mut self, keep: impl Fn(&EntryId) -> bool) {
        self.proofs.retain(|proof| keep(&proof.entry));
    }

    /// Returns whether the grant of a process may be reused.
    #[must_use]
    pub fn is_reclaimable(&self, now: Instant, entry: &EntryId, incarnation: Incarnation) -> bool {
        self.proofs.iter().any(|proof| {
            proof.entry == *entry
                && incarnation < proof.ended_below
                && now >= proof.proven_at + self.delay
        })
    }

    fn record_proof(&mut self, now: Instant, entry: &EntryId, ended_below: Incarnation) {
        let is_known = self
            .proofs
            .iter()
            .any(|proof| proof.entry == *entry && proof.ended_below == ended_below);
        if !is_known {
            self.proofs.push(TerminationProof {
                entry: entry.clone(),
                ended_below,
                proven_at: now,
            });
        }
    }
}

/// Greater than the incarnation of any process.
const MAX_INCARNATION: Incarnation = Incarnation::new(u64::MAX);
