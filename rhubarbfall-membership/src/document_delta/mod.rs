//! The differences between successive documents, so that a change costs a peer only what changed.

mod delta_log;
mod patch;

pub use delta_log::{DeltaLog, DocumentDelta};
pub use patch::Patch;
