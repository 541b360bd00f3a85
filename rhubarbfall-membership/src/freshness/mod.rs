//! Whether the configuration in force is proved to be the newest, and until when.

pub(crate) mod evidence;
mod intent;
mod member_report;

pub use evidence::Freshness;
pub use intent::{Intent, IntentId};
pub use member_report::MemberReport;
