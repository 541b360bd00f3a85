//! The messages of each slice and the numbers of their kinds.
//!
//! Kinds 1 to 19 belong to membership and configuration, 20 to 29 to admission, 30 to 39 to
//! routing and 40 to 49 to fleet.

pub mod admission;
pub mod membership;
pub mod status;
