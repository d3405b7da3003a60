//! Values of flags that more than one of them has.

use std::{net::SocketAddr, time::Duration};

use settings::{Faults, Raw};

/// The longest time that a flag may give, in milliseconds.
const MAX_MS: u64 = 3_600_000;
/// What a list of addresses looks like.
pub const ADDRESSES: &str = "IP:PORT, several divided by commas";

/// Reads a list of addresses.
pub fn addresses(raw: &Raw, faults: &mut Faults) -> Option<Vec<SocketAddr>> {
    let parts = raw.as_str().unwrap_or_default().split(',');
    let parts = parts.filter(|part| !part.is_empty());
    let parsed = parts.map(str::parse).collect::<Result<_, _>>();
    if parsed.is_err() {
        faults.add(raw, ADDRESSES);
    }
    parsed.ok()
}

/// Reads the times at which phases begin.
pub fn phases(raw: &Raw, faults: &mut Faults) -> Option<Vec<Duration>> {
    let parts = raw.as_str().unwrap_or_default().split(',');
    let parts = parts.filter(|part| !part.is_empty());
    let parsed: Result<Vec<u64>, _> = parts.map(str::parse).collect();
    let ascending = parsed.ok().filter(|millis| millis.is_sorted());
    if ascending.is_none() {
        faults.add(raw, "rising numbers of milliseconds, divided by commas");
    }
    Some(ascending?.into_iter().map(Duration::from_millis).collect())
}

/// Reads a path.
pub fn path(raw: &Raw, default: String, faults: &mut Faults) -> Option<String> {
    let path = raw.as_str().map_or(default, String::from);
    if path.starts_with('/') {
        return Some(path);
    }
    faults.add(raw, "a path that begins with /");
    None
}

/// Reads a time in milliseconds.
pub fn millis(raw: &Raw, default: Duration, faults: &mut Faults) -> Option<Duration> {
    let default = u64::try_from(default.as_millis()).unwrap_or(MAX_MS);
    let millis = faults.within(raw, default, 0..=MAX_MS)?;
    Some(Duration::from_millis(millis))
}
