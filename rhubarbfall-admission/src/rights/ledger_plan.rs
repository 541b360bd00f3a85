use rhubarbfall_core::{EntryId, Incarnation, Revision};

use super::ledger_row::LedgerRow;
use super::team_rights::TeamRights;

/// The inputs to a change of a team's ledger row, apart from the team's rights and the row.
pub(crate) struct LedgerContext<'a> {
    /// The entry that writes.
    pub(crate) entry: &'a EntryId,
    /// The incarnation of the writing process.
    pub(crate) incarnation: Incarnation,
    /// The revision of the document in force at this process.
    pub(crate) revision: Revision,
    /// The number of entries among which a limit is divided evenly.
    pub(crate) entry_count: u32,
    /// Returns whether all work and loans of a process are known to have ended.
    pub(crate) is_reclaimable: &'a dyn Fn(&EntryId, Incarnation) -> bool,
}

/// Returns the row that this process should write in place of `row`, or `None` if it has no change.
pub(crate) fn plan_row(
    team: &TeamRights,
    row: &LedgerRow,
    borrowed_slots: u32,
    context: &LedgerContext<'_>,
) -> Option<LedgerRow> {
    let mut next = row.clone();
    // The limit in a row written under a newer document stays in force for a process that has not
    // read that document yet.
    if context.revision >= row.revision {
        next.limit_slots = team.limit;
        next.revision = context.revision;
    }
    next.grants
        .retain(|grant| !(context.is_reclaimable)(&grant.entry, grant.incarnation));
    let (slots, wanted) = plan_grant(team, &next, borrowed_slots, context);
    next.set(context.entry, context.incarnation, slots, wanted);
    let is_limit_update = next.limit_slots != row.limit_slots && !row.grants.is_empty();
    (next.grants != row.grants || is_limit_update).then_some(next)
}

/// Returns the slots that this process should own, and the further slots that it should record as
/// wanted.
fn plan_grant(
    team: &TeamRights,
    row: &LedgerRow,
    borrowed_slots: u32,
    context: &LedgerContext<'_>,
) -> (u32, u32) {
    let own = (context.entry, context.incarnation);
    let owned = team.owned;
    let granted = row.granted_slots();
    let limit = row.limit_slots;
    if granted > limit {
        let scaled = u64::from(owned) * u64::from(limit) / u64::from(granted);
        let kept = (scaled as u32).max(owned - team.idle_owned().min(owned));
        return (kept, 0);
    }
    // Rounded down, so that the first entries to acquire slots do not leave the last one without.
    let even_share = (limit / context.entry_count.max(1)).max(1);
    let shortfall = team.demand().saturating_sub(owned + borrowed_slots);
    let wanted_by_others: u32 = row
        .grants
        .iter()
        .filter(|grant| (&grant.entry, grant.incarnation) != own)
        .map(|grant| grant.wanted_slots)
        .sum();
    if wanted_by_others > 0 && owned > even_share {
        let released = (owned - even_share)
            .min(team.idle_owned())
            .min(wanted_by_others);
        return (owned - released, 0);
    }
    // The even share is acquired before it is needed, so that it is usable during a table outage.
    let even_shortfall = even_share.saturating_sub(owned);
    // Slots wanted by another entry are left to it before this one takes more than its even share.
    let reserved = if even_shortfall == 0 {
        wanted_by_others
    } else {
        0
    };
    let free = (limit - granted).saturating_sub(reserved);
    let acquired = even_shortfall.max(shortfall).min(free);
    // An idle entry wants its even share too. Otherwise the entry that starts first keeps the whole
    // limit, and the others own nothing when they are partitioned or that entry dies.
    let still_wanted = even_shortfall.saturating_sub(acquired);
    (owned + acquired, still_wanted)
}

/// Returns whether reading the team's row may lead to a change: the team is short of slots, or the
/// grants exceed the limit.
pub(crate) fn needs_ledger(team: &TeamRights, borrowed_slots: u32) -> bool {
    let is_short = team.demand() > team.owned + borrowed_slots;
    let is_over = team.granted_total > team.limit && team.owned > 0;
    is_short || is_over
}
