use crate::{FleetCommand, FleetTransaction};

/// The outcome of one round: at most one transaction, and the commands that the committed rows
/// require.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Round {
    /// Transaction to commit, if any row changes.
    pub transaction: Option<FleetTransaction>,
    /// Commands to the entries and the platform.
    pub commands: Vec<FleetCommand>,
}
