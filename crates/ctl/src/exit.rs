//! Exit codes and errors of commands.

use std::{error, fmt};

/// The exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// The command succeeded.
    Success = 0,
    /// `diff` found differences.
    Different = 1,
    /// A flag, a file or a change is invalid. Nothing was changed.
    InvalidInput = 2,
    /// The administration or the platform cannot be reached. Nothing was changed.
    Unavailable = 3,
    /// Another operator's change was committed first. Nothing was changed.
    Conflict = 4,
    /// The outcome is unknown. Repeating the command with the same `--id` is safe.
    Unknown = 5,
    /// The resource does not exist.
    NotFound = 6,
    /// The token is missing or unknown, or its operator lacks the required role.
    Denied = 7,
}

/// The error of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The exit code.
    pub code: Code,
    /// The message printed to the operator, one or more lines.
    pub message: String,
}

impl Error {
    /// Returns an error with `code` and `message`.
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
