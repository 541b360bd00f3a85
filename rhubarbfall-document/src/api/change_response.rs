use rhubarbfall_core::{ResultCode, Revision};
use serde::{Deserialize, Serialize};

use crate::SectionChange;

/// The response to a change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// [`ResultCode::Accepted`] or [`ResultCode::AlreadyAccepted`].
    pub code: ResultCode,
    /// Revision that contains the change.
    pub revision: Revision,
    /// Changes by section; empty for a repeated submission and for a change without effect.
    pub changes: Vec<SectionChange>,
}
