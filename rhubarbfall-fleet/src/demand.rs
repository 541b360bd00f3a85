use rhubarbfall_core::Slots;
use serde::{Deserialize, Serialize};

/// What the queues of one pool ask for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Slots that run requests.
    pub running_slots: Slots,
    /// Requests that wait for a slot.
    pub waiting_slots: Slots,
    /// Slots of one VM of the pool.
    pub slots_per_vm: Slots,
}

impl PoolDemand {
    /// Returns the slots that would run everything at once.
    #[must_use]
    pub const fn wanted_slots(&self) -> Slots {
        self.running_slots.saturating_add(self.waiting_slots)
    }

    /// Returns the fewest VMs whose slots would run everything at once.
    ///
    /// # Examples
    ///
    /// ```
    /// use rhubarbfall_core::Slots;
    /// use rhubarbfall_fleet::PoolDemand;
    ///
    /// let demand = PoolDemand {
    ///     running_slots: Slots::new(16),
    ///     waiting_slots: Slots::new(1),
    ///     slots_per_vm: Slots::new(8),
    /// };
    /// assert_eq!(demand.wanted_vms(), 3);
    /// ```
    #[must_use]
    pub const fn wanted_vms(&self) -> u32 {
        match self.slots_per_vm.get() {
            0 => 0,
            slots => self.wanted_slots().get().div_ceil(slots),
        }
    }
}
