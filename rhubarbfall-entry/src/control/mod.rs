//! The control thread: polls the platform and updates the shared state.

mod control_thread;
mod document_poll;
mod upstream_poll;

pub use control_thread::run;
pub(crate) use document_poll::{poll as poll_document, put_in_force};
