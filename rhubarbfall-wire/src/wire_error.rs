use std::io;

use quick_error::quick_error;
use rhubarbfall_core::ResultCode;

quick_error! {
    /// Why a connection between two entries failed.
    #[derive(Debug)]
    pub enum WireError {
        /// An I/O error on the connection.
        Io(error: io::Error) {
            from()
            display("I/O error: {error}")
            source(error)
        }
        /// The peer closed the connection.
        Closed {
            display("connection closed by peer")
        }
        /// The peer did not respond in time.
        TimedOut {
            display("peer did not respond in time")
        }
        /// A frame is malformed: truncated, not decodable or out of sequence.
        Malformed {
            display("{}", ResultCode::FrameMalformed)
        }
        /// A frame exceeds the maximum size.
        TooLarge {
            display("{}", ResultCode::FrameTooLarge)
        }
        /// The peer uses this other protocol version.
        Version(version: u32) {
            display("{}: {version}", ResultCode::PeerVersionUnsupported)
        }
        /// The peer does not hold the fleet key or is not the entry that was dialled, or a frame
        /// has an invalid authentication tag.
        Authentication {
            display("{}", ResultCode::PeerAuthenticationFailed)
        }
    }
}

impl WireError {
    /// Returns the result code of a protocol error, or `None` for a lost connection or a timeout.
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
