use std::fmt::{self, Write};
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use rand::CryptoRng;

/// Prefix of every generated key, by which secret scanners can detect leaked keys.
const KEY_PREFIX: &str = "rhk-";

/// Number of random bytes in a generated key.
const KEY_RANDOM_BYTES: usize = 32;

/// Maximum length of a key in bytes; longer texts are rejected.
pub const MAX_KEY_BYTES: usize = 256;

quick_error! {
    /// The reason why a text is not a valid key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseAccessKeyError {
        /// The text is empty.
        Empty {
            display("a key must not be empty")
        }
        /// The text has more than [`MAX_KEY_BYTES`] bytes.
        TooLong(length_bytes: usize) {
            display("a key must have at most {MAX_KEY_BYTES} bytes, this one has {length_bytes}")
        }
        /// The text contains a character other than visible ASCII, which a header cannot carry.
        BadCharacter {
            display("a key may contain only visible ASCII characters")
        }
    }
}

/// A key in clear text; `Debug` hides it, only [`AccessKey::reveal`] returns it.
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

    /// Returns the key in clear text, to pass it to its holder or to digest it.
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
