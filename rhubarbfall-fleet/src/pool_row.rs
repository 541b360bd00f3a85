use rhubarbfall_core::{AvailabilityZoneId, FencingNumber, LiteMap, PoolId, VmId, WaveId};
use serde::{Deserialize, Serialize};

use crate::{Budget, BudgetRefusal};

/// Why a VM is deliberately taken out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// The platform reboots the VM.
    Maintenance {
        /// Wave that announced the reboot.
        wave: WaveId,
    },
    /// The VM moves to another pool.
    Move {
        /// Pool to which the VM moves.
        to: PoolId,
    },
}

/// Permission for the planned unavailability of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Availability zone of the VM.
    pub zone: AvailabilityZoneId,
    /// Why the VM is taken out of service.
    pub purpose: Purpose,
    /// Fencing number of the lease under which the permit was granted.
    pub fence: FencingNumber,
}

/// The unplanned unavailability of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// Availability zone of the VM.
    pub zone: AvailabilityZoneId,
}

/// The row of one pool: its unavailable VMs in all zones, planned and unplanned.
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
    /// Identifier of the pool, also the key of the row.
    pub pool: PoolId,
    /// Newest budget that a lease holder has written.
    pub budget: Budget,
    /// Permits by VM: planned unavailability.
    pub permits: LiteMap<VmId, Permit>,
    /// Outages by VM: unplanned unavailability.
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

    /// Stores the budget of a newer document revision; returns whether the limit changed.
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

    /// Returns how many more VMs may become unavailable within the budget.
    #[must_use]
    pub fn room_vms(&self) -> usize {
        let max = self.budget.max_unavailable_vms.get() as usize;
        max.saturating_sub(self.unavailable_vms())
    }

    /// Grants a permit if the budget allows one more unavailable VM.
    ///
    /// A VM that is already unavailable is not counted again.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetRefusal`] with the current counts if the budget would be exceeded.
    pub fn grant(&mut self, vm: VmId, permit: Permit) -> Result<(), BudgetRefusal> {
        let is_counted = self.permits.contains_key(&vm) || self.outages.contains_key(&vm);
        let after = self.unavailable_vms() + usize::from(!is_counted);
        if after > self.budget.max_unavailable_vms.get() as usize {
            return Err(self.refusal());
        }
        self.permits.insert(vm, permit);
        Ok(())
    }

    /// Returns a refusal with the current counts.
    #[must_use]
    pub fn refusal(&self) -> BudgetRefusal {
        BudgetRefusal::Spent(
            self.pool.clone(),
            self.permits.len() as u32,
            self.unplanned_vms() as u32,
            self.budget.max_unavailable_vms.get(),
        )
    }

    /// Removes a VM's permit; returns whether it had one.
    pub fn release(&mut self, vm: &VmId) -> bool {
        self.permits.remove(vm).is_some()
    }

    /// Records a VM's outage; returns whether it had none before.
    pub fn record_outage(&mut self, vm: VmId, outage: Outage) -> bool {
        self.outages.insert(vm, outage).is_none()
    }

    /// Removes a VM's outage; returns whether it had one.
    pub fn clear_outage(&mut self, vm: &VmId) -> bool {
        self.outages.remove(vm).is_some()
    }
}
