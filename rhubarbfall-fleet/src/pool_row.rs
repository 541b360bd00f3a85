use rhubarbfall_core::{AvailabilityZoneId, FencingNumber, LiteMap, PoolId, VmId, WaveId};
use serde::{Deserialize, Serialize};

use crate::{Budget, BudgetRefusal};

/// Why a VM is taken out of service on purpose.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// The platform reboots the VM.
    Maintenance {
        /// The wave.
        wave: WaveId,
    },
    /// The VM moves to another pool.
    Move {
        /// The pool that it moves to.
        to: PoolId,
    },
}

/// The right to have one VM unavailable on purpose.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The VM's availability zone.
    pub zone: AvailabilityZoneId,
    /// What the permit is for.
    pub purpose: Purpose,
    /// The fencing number of the lease under which it was granted.
    pub fence: FencingNumber,
}

/// A VM that is unavailable without a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// The VM's availability zone.
    pub zone: AvailabilityZoneId,
}

/// The row of one pool: which of its VMs are unavailable, planned and unplanned, in all zones.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::{FencingNumber, Revision, VmCount};
/// use rhubarbfall_fleet::{Budget, Outage, Permit, PermitLedger, Purpose};
///
/// let mut ledger = PermitLedger::new("labels".parse()?);
/// ledger.update_budget(Budget {
///     max_unavailable_vms: VmCount::new(1),
///     revision: Revision::new(1),
/// });
/// ledger.record_outage("vm-1".parse()?, Outage { zone: "a".parse()? });
/// let permit = Permit {
///     zone: "a".parse()?,
///     purpose: Purpose::Move { to: "spare".parse()? },
///     fence: FencingNumber::new(0),
/// };
/// assert!(ledger.grant("vm-2".parse()?, permit).is_err());
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitLedger {
    /// The pool.
    pub pool: PoolId,
    /// The newest budget that a holder has written.
    pub budget: Budget,
    /// VMs that are unavailable on purpose.
    pub permits: LiteMap<VmId, Permit>,
    /// VMs that are unavailable without a permit.
    pub outages: LiteMap<VmId, Outage>,
}

impl PermitLedger {
    /// Creates the row of a pool that has no budget yet.
    #[must_use]
    pub fn new(pool: PoolId) -> Self {
        Self {
            pool,
            budget: Budget::default(),
            permits: LiteMap::new(),
            outages: LiteMap::new(),
        }
    }

    /// Takes a budget from a newer revision of the document; returns whether its figure changed.
    pub fn update_budget(&mut self, budget: Budget) -> bool {
        if budget.revision <= self.budget.revision {
            return false;
        }
        let has_changed = budget.max_unavailable_vms != self.budget.max_unavailable_vms;
        self.budget = budget;
        has_changed
    }

    /// Returns how many VMs are unavailable without a permit.
    #[must_use]
    pub fn unplanned_vms(&self) -> usize {
        self.outages
            .keys()
            .filter(|vm| !self.permits.contains_key(*vm))
            .count()
    }

    /// Returns how many VMs are unavailable, planned and unplanned together.
    #[must_use]
    pub fn unavailable_vms(&self) -> usize {
        self.permits.len() + self.unplanned_vms()
    }

    /// Returns how many VMs may become unavailable before the budget is spent.
    #[must_use]
    pub fn room_vms(&self) -> usize {
        let max = self.budget.max_unavailable_vms.get() as usize;
        max.saturating_sub(self.unavailable_vms())
    }

    /// Grants a permit if the budget has room for one more unavailable VM.
    ///
    /// A VM that is unavailable already takes no more room.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetRefusal`] with the figures when the budget is spent.
    pub fn grant(&mut self, vm: VmId, permit: Permit) -> Result<(), BudgetRefusal> {
        let is_counted = self.permits.contains_key(&vm) || self.outages.contains_key(&vm);
        let after = self.unavailable_vms() + usize::from(!is_counted);
        if after > self.budget.max_unavailable_vms.get() as usize {
            return Err(self.refusal());
        }
        self.permits.insert(vm, permit);
        Ok(())
    }

    /// Returns the figures of a refusal.
    #[must_use]
    pub fn refusal(&self) -> BudgetRefusal {
        BudgetRefusal::Spent(
            self.pool.clone(),
            self.permits.len() as u32,
            self.unplanned_vms() as u32,
            self.budget.max_unavailable_vms.get(),
        )
    }

    /// Gives back a VM's permit; returns whether it had one.
    pub fn release(&mut self, vm: &VmId) -> bool {
        self.permits.remove(vm).is_some()
    }

    /// Records that a VM is unavailable; returns whether that is new.
    pub fn record_outage(&mut self, vm: VmId, outage: Outage) -> bool {
        self.outages.insert(vm, outage).is_none()
    }

    /// Records that a VM is available again; returns whether that is new.
    pub fn clear_outage(&mut self, vm: &VmId) -> bool {
        self.outages.remove(vm).is_some()
    }
}
