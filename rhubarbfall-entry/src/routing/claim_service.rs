use std::fmt;
use std::sync::Arc;

use parking_lot::Mutex;
use rhubarbfall_core::{EntryId, LiteMap, RequestId, ResultCode, SharedClock, TeamId};
use rhubarbfall_routing::{
    ClaimAction, ClaimKey, ClaimLedger, ClaimLedgerSnapshot, ClaimSettings, ClaimVerdict,
};
use tokio::sync::{Notify, oneshot};

use super::ClaimGuard;

/// Claims requests for the traffic threads; the control thread does the table operations.
pub struct ClaimService {
    clock: SharedClock,
    entry: EntryId,
    incarnation: u64,
    state: Mutex<ClaimState>,
    has_work: Notify,
}

struct ClaimState {
    ledger: ClaimLedger,
    waiters: LiteMap<ClaimKey, oneshot::Sender<ClaimVerdict>>,
}

impl ClaimService {
    /// Creates a service without claims, with a random incarnation number for this process.
    #[must_use]
    pub fn new(clock: &SharedClock, entry: &EntryId, settings: ClaimSettings) -> Self {
        let incarnation: u64 = rand::random();
        let appender = format!("{entry}/{incarnation}");
        let ledger = ClaimLedger::new(clock.now(), appender, settings);
        Self {
            clock: Arc::clone(clock),
            entry: entry.clone(),
            incarnation,
            state: Mutex::new(ClaimState {
                ledger,
                waiters: LiteMap::new(),
            }),
            has_work: Notify::new(),
        }
    }

    /// Claims a request and waits until the claim is recorded in the table.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::DuplicateRequest`] if the request was claimed before, or
    /// [`ResultCode::ClaimUnchecked`] if the claim log could not be read or written in time.
    pub async fn claim(
        self: &Arc<Self>,
        team: &TeamId,
        request: &RequestId,
    ) -> Result<ClaimGuard, ResultCode> {
        let key = ClaimKey::new(team.as_str(), request);
        let verdict = match self.claim_or_wait(key) {
            Ok(verdict) => verdict,
            Err(waiter) => waiter.await.unwrap_or(ClaimVerdict::Unchecked),
        };
        match verdict.rejection_code() {
            None => Ok(ClaimGuard::new(Arc::clone(self), key)),
            Some(code) => Err(code),
        }
    }

    /// Returns a summary of the claim ledger for the state dump.
    #[must_use]
    pub fn snapshot(&self) -> ClaimLedgerSnapshot {
        self.state.lock().ledger.snapshot()
    }

    /// Returns the entry and the incarnation of this process, for transaction identifiers.
    pub(super) const fn writer(&self) -> (&EntryId, u64) {
        (&self.entry, self.incarnation)
    }

    pub(super) fn may_start(&self, key: ClaimKey) -> bool {
        self.state.lock().ledger.may_start(self.clock.now(), key)
    }

    pub(super) fn release(&self, key: ClaimKey) {
        self.state.lock().ledger.release(key);
        self.has_work.notify_one();
    }

    pub(super) async fn wait_for_work(&self) {
        self.has_work.notified().await;
    }

    pub(super) fn next_action(&self) -> Option<ClaimAction> {
        self.state.lock().ledger.next_action(self.clock.now())
    }

    /// Changes the ledger and delivers the resulting verdicts to the waiting requests.
    pub(super) fn update(&self, change: impl FnOnce(&mut ClaimLedger)) {
        let mut state = self.state.lock();
        change(&mut state.ledger);
        for (key, verdict) in state.ledger.take_verdicts() {
            let waiter = state.waiters.remove(&key);
            let is_delivered = waiter.is_some_and(|waiter| waiter.send(verdict).is_ok());
            if !is_delivered && verdict == ClaimVerdict::Granted {
                state.ledger.release(key);
            }
        }
    }

    fn claim_or_wait(
        &self,
        key: ClaimKey,
    ) -> Result<ClaimVerdict, oneshot::Receiver<ClaimVerdict>> {
        let mut state = self.state.lock();
        if let Some(verdict) = state.ledger.claim(self.clock.now(), key) {
            return Ok(verdict);
        }
        let (sender, receiver) = oneshot::channel();
        state.waiters.insert(key, sender);
        self.has_work.notify_one();
        Err(receiver)
    }
}

impl fmt::Debug for ClaimService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClaimService")
            .field("state", &self.snapshot())
            .finish_non_exhaustive()
    }
}
