//! Which router owns a backend server.

use units::{availability, backend, host};
use xxhash_rust::xxh3;

/// The router that owns `server`, one of the live `routers`.
///
/// Every router computes the same owner from the same list, in any order of
/// the list, and a router that comes or goes changes the owner of only those
/// servers that it gains or loses. The owner is in the server's `zone`; a zone
/// without a router is served by those of all other zones.
pub fn owner<'a, I>(
    server: &backend::Server,
    zone: &availability::Zone,
    routers: I,
) -> Option<&'a host::Id>
where
    I: IntoIterator<Item = (&'a host::Id, &'a availability::Zone)>,
{
    let seed = xxh3::xxh3_64(server.as_str().as_bytes());
    let score = |host: &host::Id| xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), seed);
    routers
        .into_iter()
        .max_by_key(|(host, router_zone)| (*router_zone == zone, score(host), *host))
        .map(|(host, _)| host)
}
