use std::sync::Arc;

use rhubarbfall_core::{PoolId, RowVersion, VmId, WaveId};

use crate::{FleetTransaction, PermitLedger, RowKey, RowValue, Rows, Versioned, VmRow, WaveRow};

/// The rows of one round with the changes staged so far.
#[derive(Debug)]
pub(crate) struct StagedRows {
    rows: Rows,
    changed: Vec<RowKey>,
}

impl StagedRows {
    pub(crate) fn new(rows: &Rows) -> Self {
        Self {
            rows: rows.clone(),
            changed: Vec::new(),
        }
    }

    pub(crate) const fn rows(&self) -> &Rows {
        &self.rows
    }

    pub(crate) fn insert_vm(&mut self, row: VmRow) {
        let vm = row.vm.clone();
        if self.rows.vms.contains_key(&vm) {
            return;
        }
        self.mark_changed(RowKey::Vm(vm.clone()));
        self.rows
            .vms
            .insert(vm, Versioned::new(RowVersion::new(0), row));
    }

    /// Returns a VM's row for a change and marks it as changed.
    pub(crate) fn vm_mut(&mut self, vm: &VmId) -> Option<&mut VmRow> {
        if !self.rows.vms.contains_key(vm) {
            return None;
        }
        self.mark_changed(RowKey::Vm(vm.clone()));
        self.rows.vms.get_mut(vm).map(|row| &mut row.value)
    }

    /// Returns a pool's ledger without marking it as changed; an absent row is created, but is
    /// written only once it is marked.
    pub(crate) fn ledger(&mut self, pool: &PoolId) -> &mut PermitLedger {
        if !self.rows.pools.contains_key(pool) {
            let empty = PermitLedger::new(pool.clone());
            let row = Versioned::new(RowVersion::new(0), empty);
            self.rows.pools.insert(pool.clone(), row);
        }
        let row = self.rows.pools.get_mut(pool);
        &mut row.expect("the row was inserted above").value
    }

    /// Returns a pool's ledger for a change and marks it as changed.
    pub(crate) fn ledger_mut(&mut self, pool: &PoolId) -> &mut PermitLedger {
        self.mark_changed(RowKey::Pool(pool.clone()));
        self.ledger(pool)
    }

    pub(crate) fn wave(&self, wave: &WaveId) -> Option<&WaveRow> {
        self.rows.waves.get(wave).map(|row| &row.value)
    }

    /// Returns a wave's row for a change and marks it as changed; an absent row is created.
    pub(crate) fn wave_mut(&mut self, wave: &WaveId) -> &mut WaveRow {
        self.mark_changed(RowKey::Wave(wave.clone()));
        if !self.rows.waves.contains_key(wave) {
            let row = Versioned::new(RowVersion::new(0), WaveRow::new(wave.clone()));
            self.rows.waves.insert(wave.clone(), row);
        }
        let row = self.rows.waves.get_mut(wave);
        &mut row.expect("the row was inserted above").value
    }

    /// Returns the transaction that writes every changed row on condition that its version is
    /// still the one that was read, or `None` if no row changed.
    pub(crate) fn into_transaction(self, id: Arc<str>) -> Option<FleetTransaction> {
        if self.changed.is_empty() {
            return None;
        }
        let mut conditions = Vec::with_capacity(self.changed.len());
        let mut writes = Vec::with_capacity(self.changed.len());
        for key in self.changed {
            let (version, value) = match &key {
                RowKey::Pool(id) => changed_row(&self.rows.pools, id, RowValue::Pool),
                RowKey::Vm(id) => changed_row(&self.rows.vms, id, RowValue::Vm),
                RowKey::Wave(id) => changed_row(&self.rows.waves, id, RowValue::Wave),
            };
            conditions.push((key.clone(), version));
            writes.push((key, value));
        }
        Some(FleetTransaction {
            id,
            conditions,
            writes,
        })
    }

    fn mark_changed(&mut self, key: RowKey) {
        if let Err(index) = self.changed.binary_search(&key) {
            self.changed.insert(index, key);
        }
    }
}

fn changed_row<K: Ord, T: Clone>(
    rows: &rhubarbfall_core::LiteMap<K, Versioned<T>>,
    id: &K,
    wrap: impl Fn(T) -> RowValue,
) -> (RowVersion, RowValue) {
    let row = rows.get(id).expect("every changed row is staged");
    (row.version, wrap(row.value.clone()))
}
