use rhubarbfall_core::Slots;
use serde::{Deserialize, Serialize};

/// The demand of one pool's queues, in slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Slots that are running requests.
    pub running_slots: Slots,
    /// Slots for which requests are waiting.
    pub waiting_slots: Slots,
    /// Slots that one VM of the pool provides.
    pub slots_per_vm: Slots,
}

impl PoolDemand {
    /// Returns the slots needed to run all running and waiting requests at once.
    #[must_use]
    pub const fn wanted_slots(&self) -> Slots {
        self.running_slots.saturating_add(self.waiting_slots)
    }

    /// Returns the smallest number of VMs that can run all running and waiting requests at once.
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
