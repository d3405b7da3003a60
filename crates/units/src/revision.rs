//! Revisions of the configuration and generations of its resources.

use std::{fmt, num, str};

use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl $name {
            /// The next value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

counter! {
    /// The revision of the whole configuration; each accepted change increments it.
    Id
}

counter! {
    /// The generation of one resource or table row; each write increases it. Zero means absent.
    Generation
}
