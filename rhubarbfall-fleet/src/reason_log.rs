use std::collections::VecDeque;

use rhubarbfall_core::LiteMap;
use serde::{Deserialize, Serialize};

use crate::{Reason, Subject};

/// Maximum number of decisions about one subject; the oldest are dropped first.
const DECISIONS_PER_SUBJECT: usize = 8;

/// Maximum number of subjects; the one whose newest decision is the oldest is dropped first.
const MAX_SUBJECTS: usize = 4096;

/// A decision with its reason and the period during which it was repeated unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// When the decision was first made, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// When the decision was last repeated unchanged, in milliseconds since the Unix epoch.
    pub last_unix_ms: u64,
    /// Rule behind the decision, with its figures.
    pub reason: Reason,
}

/// A bounded log of the newest decisions about each subject.
///
/// # Examples
///
/// ```
/// use rhubarbfall_fleet::{Reason, ReasonLog, Subject};
///
/// let mut log = ReasonLog::default();
/// let vm = Subject::Vm("vm-1".parse()?);
/// log.record(&vm, Reason::WaitsForVm, 1_000);
/// log.record(&vm, Reason::WaitsForVm, 2_000);
/// let decisions = log.explain(&vm);
/// assert_eq!(decisions.len(), 1);
/// assert_eq!(decisions[0].last_unix_ms, 2_000);
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReasonLog {
    decisions: LiteMap<Subject, VecDeque<Decision>>,
}

impl ReasonLog {
    /// Records a decision; one with the same reason as the newest only extends its period.
    pub fn record(&mut self, subject: &Subject, reason: Reason, now_unix_ms: u64) {
        if !self.decisions.contains_key(subject) {
            self.evict_oldest();
            self.decisions.insert(subject.clone(), VecDeque::new());
        }
        let Some(list) = self.decisions.get_mut(subject) else {
            return;
        };
        if let Some(newest) = list.back_mut().filter(|newest| newest.reason == reason) {
            newest.last_unix_ms = now_unix_ms;
            return;
        }
        if list.len() == DECISIONS_PER_SUBJECT {
            list.pop_front();
        }
        list.push_back(Decision {
            first_unix_ms: now_unix_ms,
            last_unix_ms: now_unix_ms,
            reason,
        });
    }

    /// Returns the decisions about a subject, oldest first.
    pub fn explain(&self, subject: &Subject) -> Vec<Decision> {
        self.decisions
            .get(subject)
            .map(|list| list.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns how many subjects have recorded decisions.
    #[must_use]
    pub fn subject_count(&self) -> usize {
        self.decisions.len()
    }

    /// Returns every subject with its decisions, oldest first, for the dump of a process's state.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, &VecDeque<Decision>)> {
        self.decisions.iter()
    }

    fn evict_oldest(&mut self) {
        if self.decisions.len() < MAX_SUBJECTS {
            return;
        }
        let last_time = |list: &VecDeque<Decision>| list.back().map_or(0, |d| d.last_unix_ms);
        let oldest = self
            .decisions
            .iter()
            .min_by_key(|(_, list)| last_time(list))
            .map(|(subject, _)| subject.clone());
        if let Some(subject) = oldest {
            self.decisions.remove(&subject);
        }
    }
}
