use std::sync::Arc;
use std::time::{Duration, Instant};

use rhubarbfall_core::{LiteMap, UpstreamId};

use super::{MembershipView, slot_owner};

/// Identifies one slot of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotId {
    /// The upstream that has the slot.
    pub upstream: UpstreamId,
    /// Index of the slot at the upstream.
    pub index: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct SlotState {
    is_owned: bool,
    is_busy: bool,
    /// The epoch in which the slot was gained, until the first use afterwards; the slot is not used
    /// before the hand-over for that epoch is complete.
    gained_in_epoch: Option<u64>,
}

/// The slots that one entry may use, such that no two entries of a zone use a slot at once.
///
/// A lost slot accepts no new request. A gained slot accepts requests only after every member that
/// may have used it before has adopted the new view and finished its requests, or after every
/// earlier view has expired and the longest request has ended.
#[derive(Debug)]
pub struct SlotOwnership {
    member: Arc<str>,
    /// Longest remaining validity of a superseded view plus the duration of the longest request.
    handover_timeout: Duration,
    view: Option<MembershipView>,
    adopted_at: Option<Instant>,
    /// Members that have not yet confirmed the hand-over for the current epoch.
    unconfirmed_members: Vec<Arc<str>>,
    slots: LiteMap<SlotId, SlotState>,
}

impl SlotOwnership {
    /// Creates the state of a process that has no view yet.
    ///
    /// A view is valid for `view_validity`; no request runs for longer than `longest_request`.
    #[must_use]
    pub fn new(
        member: impl Into<Arc<str>>,
        view_validity: Duration,
        longest_request: Duration,
    ) -> Self {
        Self {
            member: member.into(),
            handover_timeout: view_validity + longest_request,
            view: None,
            adopted_at: None,
            unconfirmed_members: Vec::new(),
            slots: LiteMap::new(),
        }
    }

    /// Sets the slots of the zone's upstreams; a slot in use is kept even if it is not listed.
    pub fn set_slots(&mut self, slots: impl IntoIterator<Item = SlotId>) {
        let listed: Vec<SlotId> = slots.into_iter().collect();
        self.slots
            .retain(|id, slot| slot.is_busy || listed.contains(id));
        for id in listed {
            if self.slots.contains_key(&id) {
                continue;
            }
            let owner = self
                .view
                .as_ref()
                .and_then(|view| slot_owner(&view.members, &id.upstream, id.index));
            let is_owned = owner == Some(&self.member);
            let epoch = self.view.as_ref().map(|view| view.epoch);
            let state = SlotState {
                is_owned,
                is_busy: false,
                gained_in_epoch: epoch.filter(|_| is_owned),
            };
            self.slots.insert(id, state);
        }
    }

    /// Adopts a newer view, or extends the current one if the epochs are equal. Older views are
    /// ignored.
    pub fn on_view(&mut self, now: Instant, view: MembershipView) {
        let current_epoch = self.view.as_ref().map_or(0, |current| current.epoch);
        if view.epoch < current_epoch {
            return;
        }
        if view.epoch == current_epoch {
            if let Some(current) = &mut self.view {
                current.expires_at = current.expires_at.max(view.expires_at);
            }
            return;
        }
        // If a view was missed, another member may have owned any slot in the meantime.
        let is_next = view.epoch == current_epoch + 1;
        self.adopted_at = Some(now);
        self.unconfirmed_members = view
            .earlier_members
            .iter()
            .filter(|earlier| **earlier != self.member)
            .cloned()
            .collect();
        self.view = Some(view);
        self.reassign_slots(is_next);
    }

    /// Records that a member has adopted an epoch and no longer uses any slot that it lost.
    pub fn on_handover_confirmed(&mut self, member: &str, epoch: u64) {
        if self.view.as_ref().is_some_and(|view| view.epoch == epoch) {
            self.unconfirmed_members
                .retain(|unconfirmed| **unconfirmed != *member);
        }
    }

    /// Returns the adopted epoch, or `None` while this entry still uses a slot that it lost.
    #[must_use]
    pub fn handed_over_epoch(&self) -> Option<u64> {
        let is_handover_pending = self
            .slots
            .values()
            .any(|slot| slot.is_busy && (!slot.is_owned || slot.gained_in_epoch.is_some()));
        let epoch = self.view.as_ref().map(|view| view.epoch);
        epoch.filter(|_| !is_handover_pending)
    }

    /// Acquires a free slot of an upstream, or returns `None` if this entry may use none at `now`.
    pub fn acquire(&mut self, now: Instant, upstream: &UpstreamId) -> Option<SlotId> {
        if self.view.as_ref().is_none_or(|view| now >= view.expires_at) {
            return None;
        }
        let may_use_gained = self.may_use_gained(now);
        let (id, slot) = self.slots.iter_mut().find(|(id, slot)| {
            let is_usable = slot.gained_in_epoch.is_none() || may_use_gained;
            id.upstream == *upstream && slot.is_owned && !slot.is_busy && is_usable
        })?;
        slot.is_busy = true;
        slot.gained_in_epoch = None;
        Some(id.clone())
    }

    /// Releases a slot after its request has ended at the upstream.
    pub fn release(&mut self, slot: &SlotId) {
        if let Some(slot) = self.slots.get_mut(slot) {
            slot.is_busy = false;
        }
    }

    fn may_use_gained(&self, now: Instant) -> bool {
        let has_timed_out = |at| now.saturating_duration_since(at) >= self.handover_timeout;
        self.unconfirmed_members.is_empty() || self.adopted_at.is_some_and(has_timed_out)
    }

    /// Recomputes the owners; `is_next` states that the view directly follows the previous one.
    fn reassign_slots(&mut self, is_next: bool) {
        let Some(view) = &self.view else {
            return;
        };
        for (id, slot) in &mut self.slots {
            let was_usable = slot.is_owned && slot.gained_in_epoch.is_none();
            slot.is_owned = slot_owner(&view.members, &id.upstream, id.index) == Some(&self.member);
            let is_kept = was_usable && is_next;
            slot.gained_in_epoch = (slot.is_owned && !is_kept).then_some(view.epoch);
        }
    }
}
