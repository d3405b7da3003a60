//! Exit codes, and the errors that lead to them.

use std::{error, fmt};

/// The exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// Done.
    Success = 0,
    /// `diff` found differences.
    Different = 1,
    /// A flag, a file or a change is faulty. Nothing was changed.
    InvalidInput = 2,
    /// The administration or the platform cannot be reached. Nothing was changed.
    Unavailable = 3,
    /// Another operator's change came first. Nothing was changed.
    Conflict = 4,
    /// The outcome is unknown. A repeat with the same `--id` is safe.
    Unknown = 5,
    /// There is no such resource.
    NotFound = 6,
    /// The token is missing, unknown or not allowed to do this.
    Denied = 7,
}

/// A command that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The exit code.
    pub code: Code,
    /// What the operator is shown, one line or more.
    pub message: String,
}

impl Error {
    /// A failure with `code`.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for Error {}
