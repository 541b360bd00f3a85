use std::time::{Duration, Instant};

use rhubarbfall_core::{EntryId, Incarnation};

/// Proof that all earlier processes of an entry have ended.
#[derive(Debug, Clone)]
struct TerminationProof {
    entry: EntryId,
    /// Every process of the entry with a lower incarnation has ended.
    ended_below: Incarnation,
    proven_at: Instant,
}

/// Determines when the grant of a dead process may be reclaimed.
///
/// A process counts as dead once the platform lists its VM as gone or a successor on the same VM is
/// known; being unreachable is no proof. The grant is left alone for a delay after the proof was
/// first recorded, in which all its loans expire and all its requests end.
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
    /// Creates a watch without any proof, with the given delay between proof and reclaim.
    #[must_use]
    pub const fn new(delay: Duration) -> Self {
        Self {
            delay,
            proofs: Vec::new(),
        }
    }

    /// Raises the delay to `delay`; a shorter one is ignored.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = self.delay.max(delay);
    }

    /// Records that a process with this incarnation runs on the entry's VM, which proves that
    /// earlier processes have ended.
    pub fn record_successor(&mut self, now: Instant, entry: &EntryId, incarnation: Incarnation) {
        self.record_proof(now, entry, incarnation);
    }

    /// Records all entries whose VMs the platform lists as gone, and drops this proof for any entry
    /// that is no longer among them.
    pub fn record_gone<'a>(&mut self, now: Instant, gone: impl IntoIterator<Item = &'a EntryId>) {
        let gone: Vec<&EntryId> = gone.into_iter().collect();
        self.proofs
            .retain(|proof| proof.ended_below != MAX_INCARNATION || gone.contains(&&proof.entry));
        for entry in gone {
            self.record_proof(now, entry, MAX_INCARNATION);
        }
    }

    /// Drops the proofs of entries for which `keep` returns `false`, to bound memory.
    pub fn retain(&mut self, keep: impl Fn(&EntryId) -> bool) {
        self.proofs.retain(|proof| keep(&proof.entry));
    }

    /// Returns whether the grant of a process may be reclaimed at `now`.
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
