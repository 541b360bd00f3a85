//! The operators' document: sections, checks, revisions and keys.
//!
//! The document is edited by section. The `fleet` and `keys` sections belong to operators; each
//! team owns the section `team.<id>`. One [`Document`] is the state of every section at one
//! revision.

mod document;
mod fleet_section;
mod keys_section;
mod pool_spec;
mod queue_access;
mod queue_spec;
mod service_spec;
mod team_section;
mod team_spec;

pub use document::Document;
pub use fleet_section::FleetSection;
pub use keys_section::{KeyOwner, KeySpec, KeysSection};
pub use pool_spec::PoolSpec;
pub use queue_access::QueueAccess;
pub use queue_spec::QueueSpec;
pub use service_spec::ServiceSpec;
pub use team_section::TeamSection;
pub use team_spec::TeamSpec;
