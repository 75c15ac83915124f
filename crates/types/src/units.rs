//! Units of quantity. Arithmetic saturates: an overflow must never wrap into a small reservation.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident, $suffix:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The zero quantity.
            pub const ZERO: Self = Self(0);

            /// The sum, at most `u64::MAX`.
            pub fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// The difference, at least zero.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, concat!("{} ", $suffix), self.0)
            }
        }
    };
}

quantity!(
    /// A number of model tokens.
    Tokens,
    "tokens"
);
quantity!(
    /// A number of bytes.
    Bytes,
    "bytes"
);
