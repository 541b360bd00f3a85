use rhubarbfall_core::{ResultCode, Revision};
use serde::{Deserialize, Serialize};

use crate::SectionChange;

/// The answer to a change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// [`ResultCode::Accepted`] or [`ResultCode::AlreadyAccepted`].
    pub code: ResultCode,
    /// The revision that holds the change.
    pub revision: Revision,
    /// The sections that it changed; empty for a repeat and for a change that changes nothing.
    pub changes: Vec<SectionChange>,
}
