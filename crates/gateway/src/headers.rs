//! Hop-by-hop headers.

use hyper::{HeaderMap, header};
use smallvec::SmallVec;

/// Headers that are hop-by-hop even if the `Connection` header does not list them.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes all hop-by-hop headers.
pub fn strip(headers: &mut HeaderMap) {
    let named: SmallVec<[String; 4]> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in named {
        headers.remove(name.as_str());
    }
    headers.remove(header::EXPECT);
}
