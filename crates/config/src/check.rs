//! Checks of resources before they are accepted.
//!
//! All faults are found in one pass and named by the path of their field.

mod fields;
mod resource;
mod snapshot;

use std::fmt;

use serde::{Deserialize, Serialize};

pub(crate) use fields::{Fields, elements};
pub use resource::resource;
pub use snapshot::snapshot;

/// The most faults that one check reports.
///
/// Without a bound a small change with many wrong fields would fill the memory
/// of the process that answers it.
pub const MAX_FAULTS: usize = 100;

/// The longest message of a fault, in characters. Wrong values are quoted in it.
const MAX_MESSAGE_CHARS: usize = 200;

/// A fault of one field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the field, such as `puts[0].servers[2].address`.
    pub path: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// The faults found so far, at most [`MAX_FAULTS`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    /// Notes a fault of the field `path`.
    pub fn add(&mut self, path: &str, message: impl fmt::Display) {
        if self.list.len() >= MAX_FAULTS {
            return;
        }
        let message = message
            .to_string()
            .chars()
            .take(MAX_MESSAGE_CHARS)
            .collect();
        self.list.push(Fault {
            path: String::from(path),
            message,
        });
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The faults in the order in which they were found.
    pub fn into_vec(self) -> Vec<Fault> {
        self.list
    }
}
