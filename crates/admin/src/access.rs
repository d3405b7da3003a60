//! Who may read and change the configuration.

use std::{error, fmt, net, str};

use subtle::ConstantTimeEq;
use units::operator;

/// The name under which changes stand when no operators are set.
const LOCAL_OPERATOR: &str = "local";

/// The fewest bytes of a token that is worth guessing at.
pub const MIN_TOKEN_BYTES: usize = 16;

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Read the configuration and its state.
    Read,
    /// Change the configuration, and read it.
    Write,
}

/// An operator and the hash of its token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Its name, as it stands in the audit trail.
    pub name: operator::Id,
    /// What it may do.
    pub role: Role,
    hash: blake3::Hash,
}

/// A text that describes no operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an operator is NAME:ROLE:HASH, with the role read or write and the BLAKE3 hash of the token in hex")
    }
}

impl error::Error for Invalid {}

impl str::FromStr for Operator {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, ':');
        let mut part = || parts.next().ok_or(Invalid);
        let name = part()?.parse().map_err(|_| Invalid)?;
        let role = match part()? {
            "read" => Role::Read,
            "write" => Role::Write,
            _ => return Err(Invalid),
        };
        let hash = blake3::Hash::from_hex(part()?).map_err(|_| Invalid)?;
        Ok(Self { name, role, hash })
    }
}

/// All operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operators {
    list: Vec<Operator>,
}

impl str::FromStr for Operators {
    type Err = Invalid;

    /// Reads operators separated by commas or line breaks; lines that begin with `#` are skipped.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let lines = text.lines().map(str::trim);
        let lines = lines.filter(|line| !line.starts_with('#'));
        let parts = lines.flat_map(|line| line.split(',')).map(str::trim);
        let list: Result<_, _> = parts
            .filter(|part| !part.is_empty())
            .map(str::parse)
            .collect();
        Ok(Self { list: list? })
    }
}

/// Why a call is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The token is missing or unknown.
    Unauthenticated,
    /// The operator's role does not allow it.
    PermissionDenied,
}

impl Operators {
    /// Whether an administration without tokens may listen on `address`.
    ///
    /// Without operators anybody who reaches the port may change everything,
    /// so the port must be reachable from its own host only.
    pub fn may_listen_on(&self, address: net::SocketAddr) -> bool {
        !self.list.is_empty() || address.ip().is_loopback()
    }

    /// The operator with `token`, if its role reaches `required`.
    ///
    /// # Errors
    ///
    /// [`Denial`].
    pub fn authorize(&self, token: Option<&str>, required: Role) -> Result<operator::Id, Denial> {
        if self.list.is_empty() {
            return LOCAL_OPERATOR.parse().map_err(|_| Denial::Unauthenticated);
        }
        let operator = self.authenticate(token.ok_or(Denial::Unauthenticated)?)?;
        if operator.role < required {
            return Err(Denial::PermissionDenied);
        }
        Ok(operator.name.clone())
    }

    /// Compares with every hash in a time that does not depend on the token,
    /// so that the time of an answer does not help to guess one.
    fn authenticate(&self, token: &str) -> Result<&Operator, Denial> {
        let hash = blake3::hash(token.as_bytes());
        let mut found = None;
        for operator in &self.list {
            if bool::from(operator.hash.as_bytes().ct_eq(hash.as_bytes())) {
                found = Some(operator);
            }
        }
        found.ok_or(Denial::Unauthenticated)
    }
}
