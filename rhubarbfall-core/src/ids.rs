use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize, Serializer};

/// The maximum length of an identifier.
const MAX_ID_LENGTH_BYTES: usize = 128;

quick_error! {
    /// Why a text is not a valid identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseIdError {
        /// The text is empty.
        Empty {
            display("identifier is empty")
        }
        /// The text exceeds the maximum length; holds its length in bytes.
        TooLong(length_bytes: usize) {
            display("identifier has {length_bytes} bytes, at most {MAX_ID_LENGTH_BYTES} are allowed")
        }
        /// The text contains this character, which identifiers may not contain.
        BadCharacter(character: char) {
            display("identifiers have letters, digits, '-', '_', '.' and ':', not {character:?}")
        }
    }
}

fn check_id(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > MAX_ID_LENGTH_BYTES {
        return Err(ParseIdError::TooLong(text.len()));
    }
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    // Only ASCII characters are allowed, so that the first other byte begins a character.
    let bad = text.bytes().position(|byte| !is_allowed(byte));
    match bad.and_then(|index| text[index..].chars().next()) {
        Some(character) => Err(ParseIdError::BadCharacter(character)),
        None => Ok(()),
    }
}

macro_rules! id_types {
    ($($(#[$doc:meta])* $name:ident, $example:literal;)*) => {$(
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use rhubarbfall_core::", stringify!($name), ";")]
        ///
        #[doc = concat!("let id: ", stringify!($name), " = \"", $example, "\".parse()?;")]
        #[doc = concat!("assert_eq!(id.as_str(), \"", $example, "\");")]
        /// # Ok::<(), rhubarbfall_core::ParseIdError>(())
        /// ```
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_id(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(IdVisitor).map(Self)
            }
        }
    )*};
}

struct IdVisitor;

impl Visitor<'_> for IdVisitor {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an identifier")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Arc<str>, E> {
        check_id(text).map_err(E::custom)?;
        Ok(Arc::from(text))
    }
}

id_types! {
    /// Identifies an availability zone.
    AvailabilityZoneId, "zone-a";
    /// Identifies a customer.
    CustomerId, "house-a";
    /// Identifies an entry by its VM; a new process on the same VM has the same identifier and a
    /// later [`Incarnation`](crate::Incarnation).
    EntryId, "zone-a-entry-1";
    /// Identifies a pool of VMs.
    PoolId, "labels-pool";
    /// Identifies a queue, to which callers send requests.
    QueueId, "labels-urgent";
    /// Identifies a rack, the smallest failure domain that holds more than one VM.
    RackId, "zone-a-rack-3";
    /// Identifies a region.
    RegionId, "west";
    /// Identifies a request; chosen by the caller and repeated when it resends the request.
    RequestId, "req-7f3a";
    /// Identifies a run of a task.
    RunId, "run-2026-12-04-1";
    /// Identifies a service, to which queues and upstreams belong.
    ServiceId, "labels";
    /// Identifies a submission; chosen by the caller and repeated when it resends the submission.
    SubmissionId, "5c0e7a21d94b36f8";
    /// Identifies a team.
    TeamId, "house-a";
    /// Identifies an upstream.
    UpstreamId, "zone-a-labels-1";
    /// Identifies a VM.
    VmId, "vm-0042";
    /// Identifies a maintenance wave.
    WaveId, "wave-12";
    /// Identifies a worker: one lifetime of a VM in a pool.
    WorkerId, "worker-7f3a91c2";
}
