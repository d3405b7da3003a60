//! Keys of resources, which consist of type and name.

use std::{error, fmt, str};

use serde::{Deserialize, Serialize};
use units::name;

/// The type of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Type {
    /// A workspace.
    Workspace,
    /// A pool of backend servers.
    Pool,
    /// A route.
    Route,
    /// An availability zone.
    Zone,
    /// A drained backend server.
    Drain,
}

impl Type {
    /// All types, in the order of [`Ord`].
    pub const ALL: [Self; 5] = [
        Self::Workspace,
        Self::Pool,
        Self::Route,
        Self::Zone,
        Self::Drain,
    ];

    /// The name of the type.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Workspace => "workspace",
            Self::Pool => "pool",
            Self::Route => "route",
            Self::Zone => "zone",
            Self::Drain => "drain",
        }
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Type {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| Invalid(String::from(text)))
    }
}

/// The key of a resource: its type and name, written as `pool/weir-llm`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key {
    kind: Type,
    name: String,
}

impl Key {
    /// Creates the key of the resource of type `kind` and name `name`.
    pub fn new(kind: Type, name: &str) -> Self {
        Self {
            kind,
            name: String::from(name),
        }
    }

    /// The type of the resource.
    pub fn kind(&self) -> Type {
        self.kind
    }

    /// The name of the resource.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl str::FromStr for Key {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || Invalid(text.chars().take(MAX_SHOWN_CHARS).collect());
        let (kind, rest) = text.split_once('/').ok_or_else(invalid)?;
        let kind = kind.parse().map_err(|_| invalid())?;
        name::check(rest).map_err(|_| invalid())?;
        Ok(Self::new(kind, rest))
    }
}

impl TryFrom<String> for Key {
    type Error = Invalid;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.to_string()
    }
}

/// The maximum length of an invalid key in an error message, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// The error for text that is not a resource type or key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid(String);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} names no resource: TYPE/NAME is needed, with the type one of workspace, pool, route, zone, drain",
            self.0
        )
    }
}

impl error::Error for Invalid {}
