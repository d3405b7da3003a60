//! Operators, their roles and the authentication of their tokens.

use std::{error, fmt, net, str};

use subtle::ConstantTimeEq;
use units::operator;

/// Operator name recorded for changes when no operators are configured.
const LOCAL_OPERATOR: &str = "local";

/// Minimum length of a token in bytes. Shorter tokens can be guessed.
pub const MIN_TOKEN_BYTES: usize = 16;

/// The permissions of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May read the configuration and its state.
    Read,
    /// May read and change the configuration.
    Write,
}

/// An operator and the hash of its token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name recorded in the audit trail.
    pub name: operator::Id,
    /// The permissions of the operator.
    pub role: Role,
    hash: blake3::Hash,
}

/// An invalid description of an operator.
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

/// The configured operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operators {
    list: Vec<Operator>,
}

impl str::FromStr for Operators {
    type Err = Invalid;

    /// Parses operators separated by commas or line breaks. Lines that begin with `#`
    /// are ignored.
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

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The token is missing or unknown.
    Unauthenticated,
    /// The operator's role does not allow it.
    PermissionDenied,
}

impl Operators {
    /// Returns whether the administration may listen on `address`.
    ///
    /// Without operators, anyone who reaches the port may change the configuration, so
    /// only loopback addresses are allowed.
    pub fn may_listen_on(&self, address: net::SocketAddr) -> bool {
        !self.list.is_empty() || address.ip().is_loopback()
    }

    /// Returns the operator with `token` if its role is at least `required`.
    ///
    /// # Errors
    ///
    /// Returns a [`Denial`] if the token is missing or unknown or the role is too low.
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

    /// Finds the operator with `token`. Compares all hashes in constant time, so that
    /// the response time reveals nothing about valid tokens.
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
