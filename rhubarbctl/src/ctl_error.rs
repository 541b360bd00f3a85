use std::io;
use std::path::PathBuf;

use quick_error::quick_error;
use rhubarbfall_document::DocumentError;
use rhubarbfall_document::api::ErrorAnswer;

use crate::exit_status::ExitStatus;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CtlError {
        /// An argument or the settings are wrong.
        Usage(message: String) {
            display("{message}")
        }
        /// A file could not be read or written.
        File(path: PathBuf, error: io::Error) {
            display("{}: {error}", path.display())
        }
        /// A document has faults.
        Document(path: PathBuf, error: DocumentError) {
            display("{}:\n{error}", path.display())
        }
        /// The entry refused.
        Refused(answer: Box<ErrorAnswer>) {
            display("{answer}")
        }
        /// The entry's answer could not be read.
        MalformedResponse(message: String) {
            display("the entry's answer could not be read: {message}")
        }
        /// No connection to the entry could be made, so that nothing was changed.
        Unreachable(endpoint: String, message: String) {
            display("no answer from {endpoint}: {message}")
        }
        /// The request was sent, and no answer came.
        ResponseLost(endpoint: String, message: String) {
            display("the answer of {endpoint} was lost: {message}")
        }
        /// A change was sent, and whether it was made is not known.
        UnknownOutcome(transaction_id: String, message: String) {
            display("the change may have been made: {message}\nrepeat it with --transaction-id {transaction_id}")
        }
    }
}

impl CtlError {
    /// Returns the exit status that stands for the error.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::File(..) | Self::Document(..) => ExitStatus::Invalid,
            Self::Refused(answer) => ExitStatus::from_result_code(answer.code),
            Self::MalformedResponse(_) => ExitStatus::Refused,
            Self::Unreachable(..) | Self::ResponseLost(..) => ExitStatus::Unreachable,
            Self::UnknownOutcome(..) => ExitStatus::UnknownOutcome,
        }
    }
}
