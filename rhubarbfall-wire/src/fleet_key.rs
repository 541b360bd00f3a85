use std::fmt;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The shared secret with which the entries of a fleet authenticate each other.
///
/// `Debug` output does not contain the secret.
///
/// # Examples
///
/// ```
/// use rhubarbfall_wire::FleetKey;
///
/// let key = FleetKey::new("a long secret");
/// assert_eq!(format!("{key:?}"), "FleetKey(..)");
/// ```
#[derive(Clone)]
pub struct FleetKey(Arc<[u8]>);

impl FleetKey {
    /// Creates a key from a secret of any length.
    #[must_use]
    pub fn new(secret: impl AsRef<[u8]>) -> Self {
        Self(Arc::from(secret.as_ref()))
    }

    /// Returns the HMAC-SHA-256 of `label` and `parts`. The length of each part is included, so
    /// that bytes cannot be shifted from one part to the next.
    pub(crate) fn digest(&self, label: &str, parts: &[&[u8]]) -> [u8; 32] {
        let mut mac = hmac_sha256(&self.0);
        mac.update(label.as_bytes());
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// Returns an HMAC-SHA-256 instance for a key of any length.
pub(crate) fn hmac_sha256(key: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length")
}
