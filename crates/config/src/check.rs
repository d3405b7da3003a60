//! Validation of resources before they are accepted.
//!
//! One pass reports all faults, each with the path of its field.

mod fields;
mod resource;
mod snapshot;

use std::fmt;

use serde::{Deserialize, Serialize};

pub(crate) use fields::{Fields, elements};
pub use resource::resource;
pub use snapshot::snapshot;

/// The maximum number of faults that one check reports.
///
/// Without a limit, a small change with many invalid fields could exhaust the
/// memory of the process that reports them.
pub const MAX_FAULTS: usize = 100;

/// The maximum length of a fault's message, in characters. Messages quote invalid values.
const MAX_MESSAGE_CHARS: usize = 200;

/// A fault in one field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the field, such as `puts[0].servers[2].address`.
    pub path: String,
    /// The description of the fault and of the allowed values.
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
    /// Adds a fault in the field `path`. Faults beyond [`MAX_FAULTS`] are dropped.
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

    /// Whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The faults in the order in which they were found.
    pub fn into_vec(self) -> Vec<Fault> {
        self.list
    }
}
