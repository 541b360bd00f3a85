use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::Execution;

quick_error! {
    /// Why a text is not the number of a result code.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseResultCodeError {
        /// The text is not a number, or no result code has this number.
        Unknown(text: String) {
            display("{text:?} is not the number of a result code")
        }
    }
}

macro_rules! result_codes {
    ($($name:ident = $number:literal, $execution:ident, $status:literal, $summary:literal;)*) => {
        /// The numbered outcome of an operation.
        ///
        /// Numbers are stable: a code never changes its number or its meaning.
        /// `docs/RESULT_CODES.md` lists all codes.
        ///
        /// # Examples
        ///
        /// ```
        /// use rhubarbfall_core::ResultCode;
        ///
        /// let code = ResultCode::UnknownQueue;
        /// assert_eq!(code.number(), 2001);
        /// assert_eq!("2001".parse(), Ok(code));
        /// ```
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $(#[doc = $summary] $name,)*
        }

        impl ResultCode {
            /// All result codes, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the stable number of the code.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the name of the variant.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Returns whether the request was executed.
            #[must_use]
            pub const fn execution(self) -> Execution {
                match self { $(Self::$name => Execution::$execution,)* }
            }

            /// Returns the HTTP status code of responses with this result code.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns a one-sentence explanation for callers.
            #[must_use]
            pub const fn summary(self) -> &'static str {
                match self { $(Self::$name => $summary,)* }
            }
        }
    };
}

result_codes! {
    Completed = 1000, Ran, 200, "The upstream sent a complete response.";
    Accepted = 1001, Ran, 200, "The change is recorded.";
    AlreadyAccepted = 1002, Ran, 200, "The same change was recorded before; it was not applied again.";
    UnknownQueue = 2001, NotRun, 404, "No queue has this name.";
    KeyMissing = 2002, NotRun, 401, "The queue requires a key, and the request has none.";
    KeyRefused = 2003, NotRun, 403, "The key is not granted or has been withdrawn.";
    TeamNotAllowed = 2004, NotRun, 403, "The key's team may not use this queue.";
    ConfigurationStale = 2005, NotRun, 503, "The entry cannot prove that its configuration is up to date.";
    UpperLimitReached = 2006, NotRun, 429, "The team has reached its upper limit.";
    QueueFull = 2007, NotRun, 429, "The team's share of the queue is full.";
    DeadlineUnreachable = 2008, NotRun, 429, "The request would not start before its deadline.";
    DeadlinePassed = 2009, NotRun, 504, "The deadline passed while the request waited.";
    NoUpstream = 2010, NotRun, 503, "The service has no upstream that accepts requests.";
    EntryStopping = 2011, NotRun, 503, "The entry is stopping; send the request to another entry.";
    BadRequest = 2012, NotRun, 400, "A header or the path is malformed.";
    BodyTooLarge = 2013, NotRun, 413, "The body exceeds the entry's size limit.";
    BodyTooSlow = 2014, NotRun, 408, "The body did not arrive in time.";
    UpstreamRefused = 2015, NotRun, 503, "Upstreams refused the request before starting it.";
    ConnectFailed = 2016, NotRun, 502, "No connection to an upstream could be opened.";
    ClaimUnavailable = 2017, NotRun, 503, "The request could not be recorded as non-idempotent.";
    RetryBudgetSpent = 2018, NotRun, 503, "The service's retry budget is exhausted.";
    Cancelled = 2019, NotRun, 499, "The caller cancelled the request while it waited.";
    ForwardRefused = 2020, NotRun, 503, "No other availability zone accepted the request.";
    Overloaded = 2021, NotRun, 503, "The entry sheds load to stay within its memory limit.";
    NotReady = 2022, NotRun, 503, "The entry has no configuration in force yet.";
    KeyUnknown = 2023, NotRun, 401, "The key belongs to no customer.";
    SubmissionUnknown = 2024, NotRun, 410, "No submission has this identifier.";
    NoOwner = 2025, NotRun, 503, "No reachable entry owns the submissions.";
    SubmissionInvalid = 2026, NotRun, 400, "The submission is malformed or violates a rule.";
    OwnerBusy = 2027, NotRun, 503, "The owner has no room for the submission, or cannot start it in time.";
    UpstreamSilent = 3001, Unknown, 504, "The upstream did not respond in time.";
    UpstreamConnectionLost = 3002, Unknown, 502, "The connection to the upstream was lost after the request was sent.";
    AnswerCut = 3003, Unknown, 502, "The upstream's response was truncated.";
    DuplicateRequest = 3004, Unknown, 409, "A request with this identifier was accepted before.";
    ForwardLost = 3005, Unknown, 502, "The connection to the other entry was lost after the request was sent.";
    AnswerMismatch = 3006, Unknown, 502, "The upstream's response belongs to another request.";
    ClaimUnchecked = 3007, Unknown, 503, "It could not be checked whether a request with this identifier was accepted before.";
    OwnerSilent = 3008, Unknown, 504, "The owner of the submissions did not respond in time; it may have accepted the request.";
    DocumentSyntax = 4001, NotRun, 400, "The document is not valid TOML.";
    DocumentInvalid = 4002, NotRun, 422, "The document violates a rule.";
    SectionVersionConflict = 4003, NotRun, 409, "The section has changed since the version that was edited.";
    SectionForbidden = 4004, NotRun, 403, "The key may not edit this section.";
    AcceptanceUnproved = 4005, NotRun, 503, "Not every entry has confirmed this one as a member; retry shortly.";
    OperatorKeyRefused = 4006, NotRun, 403, "The key is not an operator's or a team's key.";
    NotFound = 4007, NotRun, 404, "Nothing has this name.";
    ChangeUnknown = 4008, Unknown, 503, "The change was sent to the table, but no response was received; it may have been recorded.";
    SettingsSyntax = 5001, NotRun, 400, "The settings are not valid TOML.";
    SettingsInvalid = 5002, NotRun, 422, "The settings violate a rule.";
    PlatformUnavailable = 6001, NotRun, 503, "The platform service is unavailable.";
    PlatformAnswerLost = 6002, Unknown, 504, "The platform service did not respond; the write may have taken effect.";
    ConditionFailed = 6003, NotRun, 409, "A row has changed since it was read.";
    PlatformAnswerMalformed = 6004, Unknown, 502, "The platform's response is malformed.";
    FrameMalformed = 7001, NotRun, 400, "A frame from a peer is malformed.";
    FrameTooLarge = 7002, NotRun, 413, "A frame from a peer exceeds the maximum size.";
    PeerVersionUnsupported = 7003, NotRun, 400, "The peer uses an unsupported protocol version.";
    PeerAuthenticationFailed = 7004, NotRun, 403, "The peer could not be authenticated with the fleet key.";
    AvailabilityBudgetSpent = 8001, NotRun, 409, "The pool's availability budget is exhausted.";
    LeaseLost = 8002, NotRun, 409, "The availability zone's lease is held by another process.";
    GenerationConflict = 8003, NotRun, 409, "The VM has changed since it was read.";
    WaveStopped = 8004, NotRun, 409, "The wave is paused or stopped.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

impl FromStr for ResultCode {
    type Err = ParseResultCodeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let unknown = || ParseResultCodeError::Unknown(text.to_owned());
        let number: u16 = text.parse().map_err(|_| unknown())?;
        let index = Self::ALL
            .binary_search_by_key(&number, |code| code.number())
            .map_err(|_| unknown())?;
        Ok(Self::ALL[index])
    }
}

impl Serialize for ResultCode {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}

impl<'de> Deserialize<'de> for ResultCode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = u16::deserialize(deserializer)?;
        number.to_string().parse().map_err(de::Error::custom)
    }
}
