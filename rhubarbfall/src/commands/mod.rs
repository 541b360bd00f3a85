//! The commands of the command line.

mod check_settings;
mod schedule;
mod serve;
mod stand_in;

pub(crate) use check_settings::{EXIT_BAD_SETTINGS, check_settings, read_settings};
pub(crate) use schedule::schedule;
pub(crate) use serve::serve;
pub(crate) use stand_in::stand_in;
