//! Payload messages of each component, and the envelope kinds that identify them.
//!
//! Kinds 1 to 19 are reserved for membership and configuration, 20 to 29 for admission, 30 to 39
//! for routing and 40 to 49 for fleet.

pub mod admission;
pub mod membership;
pub mod status;
