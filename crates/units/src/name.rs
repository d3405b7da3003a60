//! Textual identifiers: the rules they share and the macro that declares them.

use std::{error, fmt};

/// The maximum length of an identifier that this project's own interface declares, in bytes.
pub const MAX_LENGTH: usize = 64;
/// The maximum length of an identifier, in bytes.
pub const MAX_TEXT_LENGTH: usize = 1024;

/// The rule that a text breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    Name,
    Text,
}

/// The error for a text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    text: String,
    rule: Rule,
}

impl Invalid {
    fn new(text: &str, rule: Rule) -> Self {
        Self {
            text: text.chars().take(MAX_LENGTH).collect(),
            rule,
        }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a name: ", self.text)?;
        match self.rule {
            Rule::Name => write!(
                f,
                "1 to {MAX_LENGTH} of a-z, A-Z, 0-9, '.', '_' and '-' are allowed"
            ),
            Rule::Text => write!(f, "at most {MAX_TEXT_LENGTH} bytes are allowed"),
        }
    }
}

impl error::Error for Invalid {}

/// Checks that `text` is a name that this project's own interface may declare.
///
/// # Errors
///
/// [`Invalid`] when it is empty, too long or contains a character that is not allowed.
pub fn check(text: &str) -> Result<(), Invalid> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if (1..=MAX_LENGTH).contains(&text.len()) && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(Invalid::new(text, Rule::Name))
}

/// Checks that `text` is not too long for an identifier.
///
/// Names that others give to their customers, servers and versions are any text. Whatever writes one
/// into a log line, a header or a page has to escape it, or refuse it there.
///
/// # Errors
///
/// [`Invalid`] when it is longer than [`MAX_TEXT_LENGTH`].
pub fn check_text(text: &str) -> Result<(), Invalid> {
    if text.len() <= MAX_TEXT_LENGTH {
        return Ok(());
    }
    Err(Invalid::new(text, Rule::Text))
}

/// Declares a textual identifier as a newtype of `String`. It is parsed by the rule of this project's
/// own interface, and converted from a `String`, or deserialized, by `$check`.
macro_rules! identifier {
    ($(#[$meta:meta])* $name:ident, $check:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Invalid;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                crate::name::check(text)?;
                Ok(Self(String::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::Invalid;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                crate::name::$check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

pub(crate) use identifier;
