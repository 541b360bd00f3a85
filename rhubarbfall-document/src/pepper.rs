use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use quick_error::quick_error;
use serde::{Deserialize, Deserializer, de};
use sha2::Sha256;

use crate::KeyDigest;

/// Minimum length of a pepper in bytes; a shorter one could be guessed.
const MIN_PEPPER_BYTES: usize = 16;

quick_error! {
    /// The reason why a text is not a valid pepper.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParsePepperError {
        /// The text is too short to resist guessing; carries its length in bytes.
        TooShort(length_bytes: usize) {
            display("the secret must have at least {MIN_PEPPER_BYTES} bytes, this one has {length_bytes}")
        }
    }
}

/// The fleet's secret for digesting keys; every entry has the same one in its settings.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::Pepper;
///
/// let pepper: Pepper = "0123456789abcdef0123456789abcdef".parse()?;
/// assert_eq!(format!("{pepper:?}"), "Pepper(..)");
/// assert!("short".parse::<Pepper>().is_err());
/// # Ok::<(), rhubarbfall_document::ParsePepperError>(())
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Pepper(Arc<str>);

impl fmt::Debug for Pepper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Pepper(..)")
    }
}

impl FromStr for Pepper {
    type Err = ParsePepperError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() < MIN_PEPPER_BYTES {
            return Err(ParsePepperError::TooShort(text.len()));
        }
        Ok(Self(Arc::from(text)))
    }
}

impl<'de> Deserialize<'de> for Pepper {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

impl Pepper {
    /// Returns the secret in clear text, for deriving keys from it.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

/// Returns the keyed digest of a key, the only form in which keys are stored.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::{Pepper, digest_key};
///
/// let pepper: Pepper = "0123456789abcdef0123456789abcdef".parse()?;
/// let other: Pepper = "another-secret-of-the-fleet".parse()?;
/// assert_ne!(digest_key(&pepper, "rhk-1"), digest_key(&other, "rhk-1"));
/// # Ok::<(), rhubarbfall_document::ParsePepperError>(())
/// ```
pub fn digest_key(pepper: &Pepper, key: impl AsRef<str>) -> KeyDigest {
    let mut mac = Hmac::<Sha256>::new_from_slice(pepper.0.as_bytes())
        .expect("HMAC accepts a secret of any length");
    mac.update(key.as_ref().as_bytes());
    KeyDigest::new(mac.finalize().into_bytes().into())
}
