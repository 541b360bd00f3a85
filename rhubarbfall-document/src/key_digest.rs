use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use subtle::ConstantTimeEq;

/// Length of a digest in bytes, as defined by SHA-256.
const DIGEST_BYTES: usize = 32;

/// Number of hexadecimal digits in the short form of a digest, which tables and logs show.
const SHORT_DIGEST_DIGITS: usize = 8;

quick_error! {
    /// The reason why a text is not a key's digest.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseKeyDigestError {
        /// The text does not have 64 bytes; carries its length in bytes.
        BadLength(length_bytes: usize) {
            display("a digest must have 64 hexadecimal digits, this one has {length_bytes}")
        }
        /// The text contains a character that is not a lower-case hexadecimal digit.
        BadDigit {
            display("a digest may contain only the digits 0 to 9 and a to f")
        }
    }
}

/// The keyed digest (HMAC-SHA-256) of a key.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::{KeyDigest, Pepper, digest_key};
///
/// let pepper: Pepper = "0123456789abcdef0123456789abcdef".parse()?;
/// let digest = digest_key(&pepper, "rhk-example");
/// assert_eq!(digest.to_string().parse::<KeyDigest>()?, digest);
/// assert_eq!(digest.short().len(), 8);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Creates a digest from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns whether two digests are equal, in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Returns the first 8 hexadecimal digits, for tables and logs.
    #[must_use]
    pub fn short(&self) -> String {
        self.to_string()[..SHORT_DIGEST_DIGITS].to_owned()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}..)", self.short())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for KeyDigest {
    type Err = ParseKeyDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * DIGEST_BYTES {
            return Err(ParseKeyDigestError::BadLength(text.len()));
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

const fn hex_digit(byte: u8) -> Result<u8, ParseKeyDigestError> {
    match byte {
        b'0'..=b'9' => Ok(byte - b'0'),
        b'a'..=b'f' => Ok(byte - b'a' + 10),
        _ => Err(ParseKeyDigestError::BadDigit),
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
