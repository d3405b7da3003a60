//! Parsers of the values that several flags share.

use std::{net::SocketAddr, time::Duration};

use settings::{Faults, Raw};

/// Maximum duration that a flag accepts: one hour.
const MAX_MS: u64 = 3_600_000;
/// Expected format of a list of addresses, for error messages.
pub const ADDRESSES: &str = "a comma-separated list of IP:PORT";

/// Parses a list of addresses.
pub fn addresses(raw: &Raw, faults: &mut Faults) -> Option<Vec<SocketAddr>> {
    let parts = raw.as_str().unwrap_or_default().split(',');
    let parts = parts.filter(|part| !part.is_empty());
    let parsed = parts.map(str::parse).collect::<Result<_, _>>();
    if parsed.is_err() {
        faults.add(raw, ADDRESSES);
    }
    parsed.ok()
}

/// Parses the start times of the phases.
pub fn phases(raw: &Raw, faults: &mut Faults) -> Option<Vec<Duration>> {
    let parts = raw.as_str().unwrap_or_default().split(',');
    let parts = parts.filter(|part| !part.is_empty());
    let parsed: Result<Vec<u64>, _> = parts.map(str::parse).collect();
    let ascending = parsed.ok().filter(|millis| millis.is_sorted());
    if ascending.is_none() {
        faults.add(
            raw,
            "a comma-separated list of milliseconds in ascending order",
        );
    }
    Some(ascending?.into_iter().map(Duration::from_millis).collect())
}

/// Parses a URL path.
pub fn path(raw: &Raw, default: String, faults: &mut Faults) -> Option<String> {
    let path = raw.as_str().map_or(default, String::from);
    if path.starts_with('/') {
        return Some(path);
    }
    faults.add(raw, "a path that begins with /");
    None
}

/// Parses a duration in milliseconds.
pub fn millis(raw: &Raw, default: Duration, faults: &mut Faults) -> Option<Duration> {
    let default = u64::try_from(default.as_millis()).unwrap_or(MAX_MS);
    let millis = faults.within(raw, default, 0..=MAX_MS)?;
    Some(Duration::from_millis(millis))
}
