//! Engine ownership by rendezvous hashing.

use units::{availability, backend, host};
use xxhash_rust::xxh3;

/// The router among `routers` that owns `server`.
///
/// The result does not depend on the order of `routers`, so all routers with the
/// same list agree. Adding or removing a router changes the owner of only those
/// servers that this router gains or loses. The owner is in the server's `zone`;
/// the servers of a zone without a router are owned by routers of all other zones.
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
