//! The entry process: settings, traffic, control and the operators' interface.
//!
//! Traffic threads serve callers. One control thread polls the platform and updates the state in
//! [`Shared`]. Operators use a separate HTTP interface.

mod admission;
pub mod control;
pub mod dispatch;
mod document;
mod entry;
pub mod fleet;
mod lifecycle;
pub mod membership;
pub mod operator;
pub mod routing;
pub mod settings;
mod shared;
pub mod traffic;

pub use entry::{Entry, ListenAddresses, StartError};
pub use lifecycle::{Lifecycle, Phase};
pub use settings::Settings;
pub use shared::Shared;
