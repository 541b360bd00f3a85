//! JSON messages between the operators' HTTP interface and the command line.

mod change_response;
mod document_view;
mod key_digest_response;
mod operator_error_response;
mod status_view;
mod upstream_view;

pub use change_response::ChangeResponse;
pub use document_view::{DocumentView, ViewSource};
pub use key_digest_response::KeyDigestResponse;
pub use operator_error_response::OperatorErrorResponse;
pub use status_view::{EntryStatus, StatusView};
pub use upstream_view::UpstreamView;

/// Name of the header that carries the key of an operator or a team.
pub const KEY_HEADER: &str = "x-rhubarbfall-key";

/// Name of the header that identifies a change, so that a repeated submission is recognised.
pub const TRANSACTION_HEADER: &str = "x-transaction-id";
