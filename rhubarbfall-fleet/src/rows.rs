use std::fmt;

use rhubarbfall_core::{LiteMap, PoolId, RowVersion, VmId, WaveId};
use serde::{Deserialize, Serialize};

use crate::{PermitLedger, VmRow, WaveRow};

/// A row's value with the version at which it was read; version 0 means that the row is absent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Version of the row when it was read.
    pub version: RowVersion,
    /// Value of the row.
    pub value: T,
}

impl<T> Versioned<T> {
    /// Creates a value read at `version`.
    #[must_use]
    pub const fn new(version: RowVersion, value: T) -> Self {
        Self { version, value }
    }
}

/// The key of a row that this package writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RowKey {
    /// Key of a pool's row, `pool/<pool>`.
    Pool(PoolId),
    /// Key of a VM's row, `vm/<vm>`.
    Vm(VmId),
    /// Key of a wave's row, `wave/<wave>`.
    Wave(WaveId),
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pool(pool) => write!(f, "pool/{pool}"),
            Self::Vm(vm) => write!(f, "vm/{vm}"),
            Self::Wave(wave) => write!(f, "wave/{wave}"),
        }
    }
}

/// The value of a row that this package writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum RowValue {
    /// Value of a pool's row.
    Pool(PermitLedger),
    /// Value of a VM's row.
    Vm(VmRow),
    /// Value of a wave's row.
    Wave(WaveRow),
}

/// The rows of this package as read from the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// Rows of pools.
    pub pools: LiteMap<PoolId, Versioned<PermitLedger>>,
    /// Rows of the VMs of all zones.
    pub vms: LiteMap<VmId, Versioned<VmRow>>,
    /// Rows of waves.
    pub waves: LiteMap<WaveId, Versioned<WaveRow>>,
}
