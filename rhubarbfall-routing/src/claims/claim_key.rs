use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use rhubarbfall_core::RequestId;
use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use sha2::{Digest, Sha256};

/// Number of hexadecimal digits of a claim key.
const HEX_LENGTH: usize = 32;

quick_error! {
    /// Error returned when a text is not a claim key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseClaimKeyError {
        /// The text is not exactly 32 hexadecimal digits.
        NotHexadecimal {
            display("a claim key has 32 hexadecimal digits")
        }
    }
}

/// A 128-bit digest that identifies a non-idempotent request of one team.
///
/// The digest keeps the log's rows small whatever the length of the caller's request identifier,
/// and keeps that identifier out of the table.
///
/// # Examples
///
/// ```
/// use rhubarbfall_routing::ClaimKey;
///
/// let request = "req-7f3a".parse()?;
/// let key = ClaimKey::new("house-a", &request);
/// assert_eq!(key, ClaimKey::new("house-a", &request));
/// assert_ne!(key, ClaimKey::new("house-b", &request));
/// assert_eq!(key.to_string().parse(), Ok(key));
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Computes the key of `request` within `scope`, which is the team or, for an open queue, the
    /// queue.
    #[must_use]
    pub fn new(scope: &str, request: &RequestId) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((scope.len() as u64).to_be_bytes());
        hasher.update(scope.as_bytes());
        hasher.update(request.as_str().as_bytes());
        let digest = hasher.finalize();
        let value = digest
            .iter()
            .take(size_of::<u128>())
            .fold(0, |value: u128, byte| (value << 8) | u128::from(*byte));
        Self(value)
    }

    /// Returns the `bits` most significant bits.
    pub(crate) const fn prefix(self, bits: u32) -> usize {
        (self.0 >> (u128::BITS - bits)) as usize
    }
}

impl fmt::Debug for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ClaimKey({self})")
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ClaimKey {
    type Err = ParseClaimKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != HEX_LENGTH || !is_hexadecimal {
            return Err(ParseClaimKeyError::NotHexadecimal);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseClaimKeyError::NotHexadecimal)
    }
}

impl Serialize for ClaimKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ClaimKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(KeyVisitor)
    }
}

struct KeyVisitor;

impl Visitor<'_> for KeyVisitor {
    type Value = ClaimKey;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("32 hexadecimal digits")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<ClaimKey, E> {
        text.parse().map_err(E::custom)
    }
}
