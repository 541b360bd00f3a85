//! Evidence that the configuration in force is the newest, and the time until which it is valid.

pub(crate) mod evidence;
mod intent;
mod member_report;

pub use evidence::Freshness;
pub use intent::{Intent, IntentId};
pub use member_report::MemberReport;
