use rhubarbfall_core::{EntryId, Incarnation, Revision};

use super::ledger_row::LedgerRow;
use super::team_rights::TeamRights;

/// What a process knows when it changes a team's ledger row.
pub(crate) struct LedgerContext<'a> {
    /// The process that writes.
    pub(crate) entry: &'a EntryId,
    /// Its incarnation.
    pub(crate) incarnation: Incarnation,
    /// The document in force at this process.
    pub(crate) revision: Revision,
    /// The entries among which a limit is divided evenly.
    pub(crate) entry_count: u32,
    /// Whether the work and the loans of this process have ended for certain.
    pub(crate) is_reclaimable: &'a dyn Fn(&EntryId, Incarnation) -> bool,
}

/// Returns the row that this process would write after it has read `row`, if it would change it.
pub(crate) fn plan_row(
    team: &TeamRights,
    row: &LedgerRow,
    borrowed_slots: u32,
    context: &LedgerContext<'_>,
) -> Option<LedgerRow> {
    let mut next = row.clone();
    // A row written under a newer document binds a process that has not read that document yet.
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

/// Returns the slots that this process should own and those it should want besides.
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
    // Rounded down, so that the first entries to ask do not leave the last one without a slot.
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
    // The even part is claimed before it is needed, so that it is there when the table is not.
    let even_shortfall = even_share.saturating_sub(owned);
    // Slots that another entry waits for go to that entry before this one takes more than its part.
    let reserved = if even_shortfall == 0 {
        wanted_by_others
    } else {
        0
    };
    let free = (limit - granted).saturating_sub(reserved);
    let acquired = even_shortfall.max(shortfall).min(free);
    // An idle entry asks for its even part too; otherwise whoever starts first keeps the whole
    // limit, and the others have nothing when they are cut off or the first one dies.
    let still_wanted = even_shortfall.saturating_sub(acquired);
    (owned + acquired, still_wanted)
}

/// Returns whether reading the team's row may lead to a change.
pub(crate) fn needs_ledger(team: &TeamRights, borrowed_slots: u32) -> bool {
    let is_short = team.demand() > team.owned + borrowed_slots;
    let is_over = team.granted_total > team.limit && team.owned > 0;
    is_short || is_over
}
