//! Deltas between successive documents, so that peers receive only what changed.

mod delta_log;
mod patch;

pub use delta_log::{DeltaLog, DocumentDelta};
pub use patch::Patch;
