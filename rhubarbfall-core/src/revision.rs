use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use rhubarbfall_core::", stringify!($name), ";")]
        ///
        #[doc = concat!("let first = ", stringify!($name), "::new(1);")]
        /// assert!(first.next() > first);
        #[doc = concat!("assert_eq!(\"1\".parse::<", stringify!($name), ">(), Ok(first));")]
        /// ```
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates a value from its number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the value with the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )*};
}

counters! {
    /// Fencing token of a lease; increases with each holder, so that writes of an earlier holder
    /// are rejected.
    FencingNumber;
    /// Generation of a VM's row; increases with each change of the VM's pool or state.
    Generation;
    /// Distinguishes the processes that run one after another on one VM; a later process has a
    /// greater value.
    Incarnation;
    /// Revision of the whole document; increases by one with each accepted change.
    Revision;
    /// Version of a table row; increases with each write. Zero stands for an absent row.
    RowVersion;
    /// Version of one section of the document.
    SectionVersion;
}
