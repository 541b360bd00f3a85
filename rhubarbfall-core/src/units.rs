use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! quantities {
    ($($(#[$doc:meta])* $name:ident, $inner:ty;)*) => {$(
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use rhubarbfall_core::", stringify!($name), ";")]
        ///
        #[doc = concat!("let value: ", stringify!($name), " = \"8\".parse()?;")]
        /// assert_eq!(value.get(), 8);
        #[doc = concat!("assert_eq!(value.saturating_sub(", stringify!($name), "::new(9)).get(), 0);")]
        /// # Ok::<(), std::num::ParseIntError>(())
        /// ```
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// The quantity zero.
            pub const ZERO: Self = Self(0);

            /// Creates a quantity from its number.
            #[must_use]
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Adds two quantities, saturating at the maximum value.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts a quantity, saturating at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
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

quantities! {
    /// A size in bytes.
    Bytes, u64;
    /// A number of connections.
    Connections, u32;
    /// A team's weight in the weighted fair sharing of slots.
    ShareWeight, u32;
    /// A number of slots; each running request occupies one.
    Slots, u32;
    /// A number of VMs.
    VmCount, u32;
}
