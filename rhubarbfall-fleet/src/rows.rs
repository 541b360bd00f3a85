use std::fmt;

use rhubarbfall_core::{LiteMap, PoolId, RowVersion, VmId, WaveId};
use serde::{Deserialize, Serialize};

use crate::{PermitLedger, VmRow, WaveRow};

/// A row's value with the version that it was read at; version 0 means that the row is absent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The version.
    pub version: RowVersion,
    /// The value.
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
    /// `pool/<pool>`
    Pool(PoolId),
    /// `vm/<vm>`
    Vm(VmId),
    /// `wave/<wave>`
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
    /// A pool's row.
    Pool(PermitLedger),
    /// A VM's row.
    Vm(VmRow),
    /// A wave's row.
    Wave(WaveRow),
}

/// The rows of this package as read from the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows of pools, of all zones.
    pub pools: LiteMap<PoolId, Versioned<PermitLedger>>,
    /// The rows of VMs.
    pub vms: LiteMap<VmId, Versioned<VmRow>>,
    /// The rows of waves.
    pub waves: LiteMap<WaveId, Versioned<WaveRow>>,
}
