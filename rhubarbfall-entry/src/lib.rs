//! The entry process: settings, traffic, control and the operators' interface.
//!
//! Traffic threads serve callers. One control thread polls the platform and keeps the state in
//! [`Shared`] up to date. Operators use an HTTP interface of their own.

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
