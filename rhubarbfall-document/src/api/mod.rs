//! What the operators' HTTP interface and the command line say to each other, as JSON.

mod change_answer;
mod document_view;
mod error_answer;
mod key_digest_answer;
mod status_view;
mod upstream_view;

pub use change_answer::ChangeAnswer;
pub use document_view::{DocumentView, ViewSource};
pub use error_answer::ErrorAnswer;
pub use key_digest_answer::KeyDigestAnswer;
pub use status_view::{EntryStatus, StatusView};
pub use upstream_view::UpstreamView;

/// The header that carries the key of an operator or a team.
pub const KEY_HEADER: &str = "x-rhubarbfall-key";

/// The header that identifies a change, so that a repeat is recognised.
pub const TRANSACTION_HEADER: &str = "x-transaction-id";
