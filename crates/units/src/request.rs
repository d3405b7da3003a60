//! Requests and the attempts made to run them.

use std::{fmt, num, str};

use serde::{Deserialize, Serialize};

macro_rules! hex_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Serialize,
            Deserialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u64::from_str_radix(text, 16).map(Self)
            }
        }
    };
}

hex_id! {
    /// The identifier of a request, drawn at random by the entry router.
    Id
}

hex_id! {
    /// The identifier of one attempt to run a request, drawn at random by the router that makes it.
    Attempt
}

hex_id! {
    /// The keyed hash of a request's workspace, route and body.
    Fingerprint
}

hex_id! {
    /// The hash of a part of a prompt and of the service that reads it. Requests share parts.
    Part
}

/// The priority of a request; a higher one is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Requests that may wait, such as batch summaries.
    Batch,
    /// Ordinary requests.
    #[default]
    Normal,
    /// Requests that a user waits for, such as completions while typing.
    Interactive,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Batch => "batch",
            Self::Normal => "normal",
            Self::Interactive => "interactive",
        })
    }
}
