use crate::{FleetCommand, FleetTransaction};

/// What one round decided: at most one transaction, and commands that the committed rows call for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Round {
    /// The transaction, if any row is to change.
    pub transaction: Option<FleetTransaction>,
    /// Orders to the entries and the platform.
    pub commands: Vec<FleetCommand>,
}
