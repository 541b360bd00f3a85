use std::time::{Duration, Instant};

use rhubarbfall_core::{EntryId, Incarnation, LiteMap, Revision, Slots, TeamId};

use super::ledger_plan::{self, LedgerContext};
use super::ledger_row::LedgerRow;
use super::loan::{LoanReply, LoanRequest};
use super::rights_settings::RightsSettings;
use super::rights_snapshot::{RightsSnapshot, TeamRightsSnapshot};
use super::team_rights::TeamRights;

/// The number of requests per renewal interval that a borrower sends while it is short of slots.
const SHORTAGE_REQUESTS_PER_RENEWAL: u32 = 8;

/// A loan request together with its recipient.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingLoanRequest {
    /// The entry to send the request to.
    pub lender: EntryId,
    /// The team whose slots are requested.
    pub team: TeamId,
    /// The request to send.
    pub request: LoanRequest,
}

/// The rights of every team at one entry.
///
/// Each request of a team starts only with a right that this entry holds, and the rights of all
/// entries together never exceed the team's upper limit; `docs/design/upper-limits.md` explains
/// why.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use rhubarbfall_admission::{LedgerRow, Rights, RightsSettings};
/// use rhubarbfall_core::{Incarnation, Revision, Slots};
///
/// let now = Instant::now();
/// let (entry, team) = ("zone-a-entry-1".parse()?, "house-a".parse()?);
/// let mut rights = Rights::new(entry, Incarnation::new(1), RightsSettings::default());
/// rights.set_limits([("house-a".parse()?, Slots::new(2))], Revision::new(1));
/// rights.set_waiting(&team, 3);
/// let plan = rights.plan(&team, &LedgerRow::default(), 1, &|_, _| false, now);
/// rights.begin_write(&team, &plan.expect("the team is short of slots"));
/// rights.finish_write(&team, true);
/// assert!(rights.try_acquire(now, &team));
/// assert!(rights.try_acquire(now, &team));
/// assert!(!rights.try_acquire(now, &team));
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Rights {
    entry: EntryId,
    incarnation: Incarnation,
    settings: RightsSettings,
    teams: LiteMap<TeamId, TeamRights>,
    /// The revision of the document that the limits come from, also for teams that it omits.
    revision: Revision,
    sequence: u64,
}

impl Rights {
    /// Creates the state of a process that holds no rights yet.
    #[must_use]
    pub fn new(entry: EntryId, incarnation: Incarnation, settings: RightsSettings) -> Self {
        Self {
            entry,
            incarnation,
            settings,
            teams: LiteMap::new(),
            revision: Revision::default(),
            sequence: 0,
        }
    }

    /// Returns the settings, with the longest request raised by [`Rights::set_longest_request`].
    #[must_use]
    pub const fn settings(&self) -> &RightsSettings {
        &self.settings
    }

    /// Sets the incarnation of this process. Call it before the first ledger write.
    pub const fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Raises the longest time that a request may run at an upstream; a shorter one is ignored.
    pub fn set_longest_request(&mut self, longest_request: Duration) {
        self.settings.longest_request = self.settings.longest_request.max(longest_request);
    }

    /// Applies the limits of a document revision; a team that it omits gets limit zero.
    pub fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (TeamId, Slots)>,
        revision: Revision,
    ) {
        self.revision = revision;
        for (_, team) in self.teams.iter_mut() {
            team.limit = 0;
        }
        for (id, limit) in limits {
            self.team_mut(&id).limit = limit.get();
        }
    }

    /// Sets the number of requests of a team that wait at this entry.
    pub fn set_waiting(&mut self, team: &TeamId, waiting: u32) {
        if let Some(team) = self.teams.get_mut(team) {
            team.waiting = waiting;
        }
    }

    /// Changes the number of requests of a team that wait at this entry by `change`.
    pub fn change_waiting(&mut self, team: &TeamId, change: i32) {
        let team = self.team_mut(team);
        team.waiting = team.waiting.saturating_add_signed(change);
    }

    /// Returns the number of requests of the team that may start at `now`.
    #[must_use]
    pub fn free_slots(&self, now: Instant, team: &TeamId) -> u32 {
        self.teams
            .get(team)
            .map_or(0, |team| team.free_slots(now, &self.settings))
    }

    /// Acquires a right for a request that starts now; returns `false` if none is free.
    ///
    /// Send the request within [`MAX_START_DELAY`](crate::MAX_START_DELAY) or not at all.
    pub fn try_acquire(&mut self, now: Instant, team: &TeamId) -> bool {
        let settings = self.settings;
        self.teams
            .get_mut(team)
            .is_some_and(|team| team.try_acquire(now, &settings))
    }

    /// Releases the right of a request that is no longer running at its upstream.
    pub fn release(&mut self, now: Instant, team: &TeamId) {
        if let Some(team) = self.teams.get_mut(team) {
            team.release(now);
        }
    }

    /// Holds the right of a request whose completion is unknown until the request must have ended.
    ///
    /// `sent_at` is the time at which the request was sent, or any later time.
    pub fn release_later(&mut self, sent_at: Instant, team: &TeamId) {
        let until = sent_at + self.settings.request_hold();
        if let Some(team) = self.teams.get_mut(team) {
            team.hold_expiries.push(until);
        }
    }

    /// Expires loans and held rights, and returns the loan requests that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<OutgoingLoanRequest> {
        let mut requests = Vec::new();
        let settings = self.settings;
        self.remove_unused();
        for (id, team) in self.teams.iter_mut() {
            team.expire(now);
            let next = due_loan_requests(team, &mut self.sequence, now, &settings);
            requests.extend(
                next.into_iter()
                    .map(|(lender, request)| OutgoingLoanRequest {
                        lender,
                        team: id.clone(),
                        request,
                    }),
            );
        }
        requests
    }

    /// Handles a borrower's request and returns the reply, or `None` if the request is out of date
    /// or the team is unknown.
    pub fn lend(
        &mut self,
        now: Instant,
        borrower: &EntryId,
        incarnation: Incarnation,
        team: &TeamId,
        request: &LoanRequest,
    ) -> Option<LoanReply> {
        let settings = self.settings;
        self.teams
            .get_mut(team)?
            .lend(now, (borrower, incarnation), request, &settings)
    }

    /// Handles a lender's reply; a reply to an earlier request is ignored.
    pub fn handle_reply(&mut self, lender: &EntryId, team: &TeamId, reply: &LoanReply) {
        let settings = self.settings;
        if let Some(team) = self.teams.get_mut(team) {
            team.handle_reply(lender, reply, &settings);
        }
    }

    /// Returns the teams that are short of slots or whose grants exceed the limit, and whose ledger
    /// row should therefore be read soon.
    pub fn teams_needing_ledger(&self, now: Instant) -> Vec<TeamId> {
        self.teams
            .iter()
            .filter(|(_, team)| {
                team.pending_write.is_none()
                    && ledger_plan::needs_ledger(team, valid_borrowed_slots(team, now))
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Updates the known lenders and granted slots of a team from its ledger row.
    pub fn observe_row(&mut self, team: &TeamId, row: &LedgerRow) {
        let entry = self.entry.clone();
        self.team_mut(team).observe_row(&entry, row);
    }

    /// Returns the row to write in place of `row`, or `None` if there is nothing to change or a
    /// write is in progress.
    ///
    /// `entry_count` is the number of entries among which the limit is divided evenly;
    /// `is_reclaimable` returns whether all work and loans of a process are known to have ended.
    pub fn plan(
        &mut self,
        team: &TeamId,
        row: &LedgerRow,
        entry_count: u32,
        is_reclaimable: &dyn Fn(&EntryId, Incarnation) -> bool,
        now: Instant,
    ) -> Option<LedgerRow> {
        self.observe_row(team, row);
        let context = LedgerContext {
            entry: &self.entry,
            incarnation: self.incarnation,
            revision: self.revision,
            entry_count,
            is_reclaimable,
        };
        let team = self.teams.get(team)?;
        if team.pending_write.is_some() {
            return None;
        }
        ledger_plan::plan_row(team, row, valid_borrowed_slots(team, now), &context)
    }

    /// Returns the row without this process's idle slots, to write when the process stops.
    ///
    /// `None` if it has no idle slots or a write is in progress.
    pub fn plan_hand_over(&mut self, team: &TeamId, row: &LedgerRow) -> Option<LedgerRow> {
        self.observe_row(team, row);
        let state = self.teams.get(team)?;
        if state.pending_write.is_some() || state.idle_owned() == 0 {
            return None;
        }
        let mut next = row.clone();
        let kept = state.owned - state.idle_owned();
        next.set(&self.entry, self.incarnation, kept, 0);
        Some(next)
    }

    /// Starts the write of `next`; the slots that it releases are no longer used from now on.
    pub fn begin_write(&mut self, team: &TeamId, next: &LedgerRow) {
        let after = next.slots_of(&self.entry, self.incarnation);
        self.team_mut(team).begin_write(after);
    }

    /// Finishes a write once its result is certain: it was applied, or it never will be.
    pub fn finish_write(&mut self, team: &TeamId, was_applied: bool) {
        self.team_mut(team).finish_write(was_applied);
    }

    /// Returns a snapshot of the rights for the state dump.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> RightsSnapshot {
        RightsSnapshot {
            teams: self
                .teams
                .iter()
                .map(|(id, team)| (id.clone(), TeamRightsSnapshot::new(team, now)))
                .collect(),
        }
    }

    /// Removes withdrawn teams that have no work, slots or loans left at this entry.
    fn remove_unused(&mut self) {
        let unused = self.teams.iter().filter(|(_, team)| team.is_unused());
        let unused: Vec<TeamId> = unused.map(|(id, _)| id.clone()).collect();
        for id in unused {
            self.teams.remove(&id);
        }
    }

    fn team_mut(&mut self, id: &TeamId) -> &mut TeamRights {
        if self.teams.get(id).is_none() {
            self.teams.insert(id.clone(), TeamRights::default());
        }
        self.teams
            .get_mut(id)
            .expect("the team is inserted above if it was missing")
    }
}

/// Returns the borrowed slots whose lease has not expired.
fn valid_borrowed_slots(team: &TeamRights, now: Instant) -> u32 {
    team.borrowed.iter().map(|loan| loan.valid_slots(now)).sum()
}

/// Returns the loan requests that are due, with their lenders.
fn due_loan_requests(
    team: &mut TeamRights,
    sequence: &mut u64,
    now: Instant,
    settings: &RightsSettings,
) -> Vec<(EntryId, LoanRequest)> {
    let own = team.owned.min(team.limit);
    let needed = team.demand().min(team.limit).saturating_sub(own);
    let mut shortfall = needed.saturating_sub(valid_borrowed_slots(team, now));
    let mut surplus = valid_borrowed_slots(team, now).saturating_sub(needed);
    let mut requests = Vec::new();
    for loan in &mut team.borrowed {
        let returned = surplus.min(loan.slots.saturating_sub(loan.occupied));
        surplus -= returned;
        let expected = shortfall.min(loan.offered_slots.saturating_sub(loan.slots));
        // One slot is requested even from a lender without spare slots, since its own demand may
        // have ended.
        let extra = expected.max(shortfall.min(1));
        shortfall -= expected;
        let busy = if needed > 0 { loan.occupied } else { 0 };
        let wanted = (loan.slots - returned + extra).max(busy);
        let is_idle = wanted == 0 && loan.held_slots() == 0;
        let is_due = loan.next_request_at.is_none_or(|at| at <= now);
        let is_awaiting_reply = loan
            .requested_at
            .is_some_and(|at| now < at + settings.renew_interval());
        if is_idle || !is_due || is_awaiting_reply {
            continue;
        }
        loan.slots -= returned;
        *sequence += 1;
        loan.sequence = *sequence;
        loan.requested_at = Some(now);
        let delay = if wanted > loan.slots {
            settings.renew_interval() / SHORTAGE_REQUESTS_PER_RENEWAL
        } else {
            settings.renew_interval()
        };
        loan.next_request_at = Some(now + delay);
        let request = LoanRequest {
            sequence: loan.sequence,
            held_slots: loan.held_slots(),
            wanted_slots: wanted,
        };
        requests.push((loan.lender.clone(), request));
    }
    requests
}
