//! Headers that concern only one connection.

use hyper::{HeaderMap, header};
use smallvec::SmallVec;

/// Headers of one connection, whatever its `Connection` header names.
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

/// Takes out the headers that concern only the connection they came on.
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
