use std::time::{Duration, Instant};

use rhubarbfall_core::{EntryId, Incarnation, LiteMap, Revision, Slots, TeamId};

use super::ledger_plan::{self, LedgerContext};
use super::ledger_row::LedgerRow;
use super::loan::{LoanReply, LoanRequest};
use super::rights_settings::RightsSettings;
use super::rights_snapshot::{RightsSnapshot, TeamRightsSnapshot};
use super::team_rights::TeamRights;

/// A borrower that is short asks again this many times within one renewal.
const SHORTAGE_REQUESTS_PER_RENEWAL: u32 = 8;

/// A request for a loan and the entry that it goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingLoanRequest {
    /// The lender.
    pub lender: EntryId,
    /// The team whose slots are asked for.
    pub team: TeamId,
    /// The request.
    pub request: LoanRequest,
}

/// The rights of every team at one entry.
///
/// All work of a team starts against a right that this entry holds; the rights of all entries
/// together never exceed the team's upper limit. `docs/design/upper-limits.md` has the argument.
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
    /// The document that the limits come from, also for teams that it does not name.
    revision: Revision,
    sequence: u64,
}

impl Rights {
    /// Creates the rights of a process that holds none.
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

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &RightsSettings {
        &self.settings
    }

    /// Sets the incarnation of this process, before it has written anything.
    pub const fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Sets how long work may go on at an upstream; it never becomes shorter.
    pub fn set_longest_request(&mut self, longest_request: Duration) {
        self.settings.longest_request = self.settings.longest_request.max(longest_request);
    }

    /// Takes over the limits of a revision; a team that is not named has limit zero from now on.
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

    /// Sets how many requests of a team wait here.
    pub fn set_waiting(&mut self, team: &TeamId, waiting: u32) {
        if let Some(team) = self.teams.get_mut(team) {
            team.waiting = waiting;
        }
    }

    /// Counts requests of a team that begin or cease to wait here.
    pub fn change_waiting(&mut self, team: &TeamId, change: i32) {
        let team = self.team_mut(team);
        team.waiting = team.waiting.saturating_add_signed(change);
    }

    /// Returns how many requests of the team may start now.
    #[must_use]
    pub fn free_slots(&self, now: Instant, team: &TeamId) -> u32 {
        self.teams
            .get(team)
            .map_or(0, |team| team.free_slots(now, &self.settings))
    }

    /// Takes a right for work that starts now; call it right before the work is sent.
    pub fn try_acquire(&mut self, now: Instant, team: &TeamId) -> bool {
        let settings = self.settings;
        self.teams
            .get_mut(team)
            .is_some_and(|team| team.try_acquire(now, &settings))
    }

    /// Gives back the right of work that has ended at its upstream.
    pub fn release(&mut self, now: Instant, team: &TeamId) {
        if let Some(team) = self.teams.get_mut(team) {
            team.release(now);
        }
    }

    /// Keeps the right of work whose end is unknown until it must have ended.
    ///
    /// `sent_at` is any time that is no earlier than the sending.
    pub fn release_later(&mut self, sent_at: Instant, team: &TeamId) {
        let until = sent_at + self.settings.request_hold();
        if let Some(team) = self.teams.get_mut(team) {
            team.hold_expiries.push(until);
        }
    }

    /// Drops what has lapsed and returns the requests for loans that are due.
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

    /// Answers a borrower; `None` when the request is out of date.
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

    /// Takes a lender's answer.
    pub fn handle_reply(&mut self, lender: &EntryId, team: &TeamId, reply: &LoanReply) {
        let settings = self.settings;
        if let Some(team) = self.teams.get_mut(team) {
            team.handle_reply(lender, reply, &settings);
        }
    }

    /// Returns the teams whose ledger row should be read soon.
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

    /// Takes over what a team's ledger row says of the owners.
    pub fn observe_row(&mut self, team: &TeamId, row: &LedgerRow) {
        let entry = self.entry.clone();
        self.team_mut(team).observe_row(&entry, row);
    }

    /// Returns the row to write in place of `row`, if this process would change it.
    ///
    /// `is_reclaimable` tells whether all work and loans of a process have ended for certain.
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

    /// Returns the row without this process's idle slots, for a process that stops.
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

    /// Starts the write of `next`; slots that it gives up are not used from now on.
    pub fn begin_write(&mut self, team: &TeamId, next: &LedgerRow) {
        let after = next.slots_of(&self.entry, self.incarnation);
        self.team_mut(team).begin_write(after);
    }

    /// Ends a write once its result is certain: applied, or certain never to be.
    pub fn finish_write(&mut self, team: &TeamId, was_applied: bool) {
        self.team_mut(team).finish_write(was_applied);
    }

    /// Returns the state for the process's dump.
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

    /// Forgets withdrawn teams of which nothing is left here.
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
        self.teams.get_mut(id).expect("the team was just inserted")
    }
}

/// Returns the borrowed slots that have not lapsed.
fn valid_borrowed_slots(team: &TeamRights, now: Instant) -> u32 {
    team.borrowed.iter().map(|loan| loan.valid_slots(now)).sum()
}

/// Returns the requests to lenders that are due, with what each should lend.
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
        // A lender without spare slots is asked for one, since its own demand may have gone.
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
