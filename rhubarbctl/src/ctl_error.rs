use std::io;
use std::path::PathBuf;

use quick_error::quick_error;
use rhubarbfall_document::DocumentError;
use rhubarbfall_document::api::OperatorErrorResponse;

use crate::exit_status::ExitStatus;

quick_error! {
    /// Reason for the failure of a command.
    #[derive(Debug)]
    pub enum CtlError {
        /// An argument or the settings are invalid, or an argument names nothing that exists.
        Usage(message: String) {
            display("{message}")
        }
        /// A file could not be read or written.
        File(path: PathBuf, error: io::Error) {
            display("{}: {error}", path.display())
        }
        /// A document is not valid.
        Document(path: PathBuf, error: DocumentError) {
            display("{}:\n{error}", path.display())
        }
        /// The entry rejected the request.
        Rejected(response: Box<OperatorErrorResponse>) {
            display("{response}")
        }
        /// The entry's response could not be decoded.
        MalformedResponse(message: String) {
            display("malformed response from the entry: {message}")
        }
        /// No connection to the entry could be made; nothing was changed.
        Unreachable(endpoint: String, message: String) {
            display("cannot connect to {endpoint}: {message}")
        }
        /// The request was sent, but no complete response arrived.
        ResponseLost(endpoint: String, message: String) {
            display("no complete response from {endpoint}: {message}")
        }
        /// A change was sent, and it is unknown whether it was made.
        UnknownOutcome(transaction_id: String, message: String) {
            display("the change may have been made: {message}\nretry it with --transaction-id {transaction_id}")
        }
    }
}

impl CtlError {
    /// Returns the exit status for the error.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::File(..) | Self::Document(..) => ExitStatus::Invalid,
            Self::Rejected(response) => ExitStatus::from_result_code(response.code),
            Self::MalformedResponse(_) => ExitStatus::Rejected,
            Self::Unreachable(..) | Self::ResponseLost(..) => ExitStatus::Unreachable,
            Self::UnknownOutcome(..) => ExitStatus::UnknownOutcome,
        }
    }
}
