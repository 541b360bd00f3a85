use std::io;

use quick_error::quick_error;
use rhubarbfall_core::ResultCode;

quick_error! {
    /// Why a connection between two entries was closed.
    #[derive(Debug)]
    pub enum WireError {
        /// The connection broke.
        Io(error: io::Error) {
            from()
            display("the connection broke: {error}")
            source(error)
        }
        /// The peer closed the connection.
        Closed {
            display("the peer closed the connection")
        }
        /// The peer did not answer in time.
        TimedOut {
            display("the peer did not answer in time")
        }
        /// A frame could not be read.
        Malformed {
            display("{}", ResultCode::FrameMalformed)
        }
        /// A frame is larger than allowed.
        TooLarge {
            display("{}", ResultCode::FrameTooLarge)
        }
        /// The peer speaks another version of the protocol.
        Version(version: u32) {
            display("{}: {version}", ResultCode::PeerVersionUnsupported)
        }
        /// The peer does not hold the fleet key, or is not the entry that was called.
        Authentication {
            display("{}", ResultCode::PeerAuthenticationFailed)
        }
    }
}

impl WireError {
    /// Returns the result code of a refusal; a broken connection has none.
    #[must_use]
    pub const fn result_code(&self) -> Option<ResultCode> {
        match self {
            Self::Io(_) | Self::Closed | Self::TimedOut => None,
            Self::Malformed => Some(ResultCode::FrameMalformed),
            Self::TooLarge => Some(ResultCode::FrameTooLarge),
            Self::Version(_) => Some(ResultCode::PeerVersionUnsupported),
            Self::Authentication => Some(ResultCode::PeerAuthenticationFailed),
        }
    }
}
