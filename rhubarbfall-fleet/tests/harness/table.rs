use std::sync::Arc;

use rhubarbfall_core::{LiteMap, RowVersion};
use rhubarbfall_fleet::{FleetTransaction, RowKey, RowValue, Rows, Versioned, VmRowState};

/// A simulated table with conditional transactions; each identifier is applied at most once.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: Rows,
    results: LiteMap<Arc<str>, bool>,
    /// Commits that added permits beyond a budget, and ticks with more VMs taken out than budgeted.
    pub budget_violations: u32,
    /// Moves of a VM to another pool.
    pub moves: u32,
}

impl Table {
    /// Applies a transaction if its conditions hold; returns whether they held.
    pub fn commit(&mut self, transaction: &FleetTransaction) -> bool {
        if let Some(result) = self.results.get(&transaction.id) {
            return *result;
        }
        let holds = transaction
            .conditions
            .iter()
            .all(|(key, version)| self.version(key) == *version);
        if holds {
            for (key, value) in &transaction.writes {
                self.write(key, value);
            }
        }
        self.results.insert(transaction.id.clone(), holds);
        holds
    }

    fn version(&self, key: &RowKey) -> RowVersion {
        let version = match key {
            RowKey::Pool(id) => self.rows.pools.get(id).map(|row| row.version),
            RowKey::Vm(id) => self.rows.vms.get(id).map(|row| row.version),
            RowKey::Wave(id) => self.rows.waves.get(id).map(|row| row.version),
        };
        version.unwrap_or_default()
    }

    fn write(&mut self, key: &RowKey, value: &RowValue) {
        let version = self.version(key).next();
        match (key, value) {
            (RowKey::Pool(id), RowValue::Pool(ledger)) => {
                let before = self.rows.pools.get(id).map(|row| row.value.permits.len());
                let is_more = ledger.permits.len() > before.unwrap_or(0);
                let max = ledger.budget.max_unavailable_vms.get() as usize;
                let is_over = ledger.unavailable_vms() > max;
                self.budget_violations += u32::from(is_more && is_over);
                let row = Versioned::new(version, ledger.clone());
                self.rows.pools.insert(id.clone(), row);
            }
            (RowKey::Vm(id), RowValue::Vm(vm)) => {
                let before = self.rows.vms.get(id).map(|row| row.value.pool.clone());
                self.moves += u32::from(before.is_some_and(|pool| pool != vm.pool));
                let row = Versioned::new(version, vm.clone());
                self.rows.vms.insert(id.clone(), row);
            }
            (RowKey::Wave(id), RowValue::Wave(wave)) => {
                let row = Versioned::new(version, wave.clone());
                self.rows.waves.insert(id.clone(), row);
            }
            _ => panic!("the value does not match the kind of its key"),
        }
    }

    /// Returns how many VMs of a pool are deliberately out of service, according to their own rows.
    pub fn planned_unavailable_vms(&self, pool: &rhubarbfall_core::PoolId) -> usize {
        let rows = self.rows.vms.values().map(|row| &row.value);
        rows.filter(|row| row.pool == *pool)
            .filter(|row| {
                matches!(
                    row.state,
                    VmRowState::Draining { .. }
                        | VmRowState::Rebooting { .. }
                        | VmRowState::Proving { .. }
                )
            })
            .count()
    }
}
