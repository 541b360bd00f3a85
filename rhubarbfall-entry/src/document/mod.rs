//! The document in the platform's table: reading it, and recording accepted changes.

mod acceptance;
mod store;

pub(crate) use acceptance::{ChangeRequest, accept_change, check_change, table_read_error};
pub(crate) use store::{read_head, read_newer, read_state};
