//! JSON messages between the operators' HTTP interface and the command line.

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

/// Name of the header that carries the key of an operator or a team.
pub const KEY_HEADER: &str = "x-rhubarbfall-key";

/// Name of the header that identifies a change, so that a repeated submission is recognised.
pub const TRANSACTION_HEADER: &str = "x-transaction-id";
