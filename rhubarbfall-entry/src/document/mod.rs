//! The document in the platform's table: reads it and records accepted changes.

mod acceptance;
mod store;

pub(crate) use acceptance::{ChangeRequest, accept_change, check_change, table_read_error};
pub(crate) use store::{read_head, read_newer, read_state};
