//! Conversion of HTTP headers for links between routers.

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};
use wire::hop;

/// Headers that apply to a single connection or that must not be forwarded.
const STRIPPED: [HeaderName; 10] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that only the router may set, and that are removed from requests of
/// callers.
const RESERVED: [&str; 5] = [
    "x-weir-attempt",
    "x-weir-chat",
    "x-weir-priority",
    "x-weir-workspace",
    "x-request-id",
];

/// Returns the headers of a request or response that are forwarded.
pub fn from_map(map: &HeaderMap) -> Vec<hop::Header> {
    map.iter()
        .filter(|(name, _)| !STRIPPED.contains(name) && !RESERVED.contains(&name.as_str()))
        .map(|(name, value)| hop::Header {
            name: String::from(name.as_str()),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Builds a header map from `headers`, without malformed ones.
pub fn to_map(headers: Vec<hop::Header>) -> HeaderMap {
    headers
        .into_iter()
        .filter_map(|header| {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&header.value).ok()?;
            Some((name, value))
        })
        .collect()
}
