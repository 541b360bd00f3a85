use std::fmt::{self, Write};
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use rand::CryptoRng;

/// What every generated key starts with, so that scanners for leaked secrets can find it.
const KEY_PREFIX: &str = "rhk-";

/// How many random bytes a generated key carries.
const KEY_RANDOM_BYTES: usize = 32;

/// The longest key that is looked at, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

quick_error! {
    /// Why a text cannot be a key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseAccessKeyError {
        /// The text is empty.
        Empty {
            display("a key must not be empty")
        }
        /// The text is longer than a key may be.
        TooLong(length_bytes: usize) {
            display("a key has at most {MAX_KEY_BYTES} bytes, this one has {length_bytes}")
        }
        /// The text has a character that a header cannot carry.
        BadCharacter {
            display("a key has only visible ASCII characters")
        }
    }
}

/// A key as its holder presents it; shown only by [`AccessKey::reveal`].
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::AccessKey;
///
/// let key = AccessKey::generate(&mut rand::rng());
/// assert!(key.reveal().starts_with("rhk-"));
/// assert_eq!(format!("{key:?}"), "AccessKey(..)");
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct AccessKey(Arc<str>);

impl AccessKey {
    /// Generates a key of 256 random bits.
    #[must_use]
    pub fn generate(random: &mut (impl CryptoRng + ?Sized)) -> Self {
        let mut bytes = [0; KEY_RANDOM_BYTES];
        random.fill_bytes(&mut bytes);
        let mut text = String::from(KEY_PREFIX);
        for byte in bytes {
            write!(text, "{byte:02x}").expect("writing to a string succeeds");
        }
        Self(Arc::from(text))
    }

    /// Returns the key itself, to hand it to its holder or to digest it.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for AccessKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccessKey(..)")
    }
}

impl FromStr for AccessKey {
    type Err = ParseAccessKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseAccessKeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(ParseAccessKeyError::TooLong(text.len()));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ParseAccessKeyError::BadCharacter);
        }
        Ok(Self(Arc::from(text)))
    }
}
