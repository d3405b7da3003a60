//! The aggregation tree over which the routers of a zone sum up their loads.
//!
//! Sums are sent up and the total is sent down, so that each router exchanges
//! heartbeats with a few others whatever the size of the zone, and a change
//! reaches all routers in twice as many steps as the tree has levels. All routers
//! compute the same tree from the same member list; while their lists differ, a
//! part of the zone may be missing from the total.

use units::host;
use xxhash_rust::xxh3;

/// The most children of a router.
///
/// More children make the tree flatter and increase the traffic of its inner routers.
const CHILDREN: usize = 3;

/// Whether the router at `index` of the tree order in a zone of `size` routers has all
/// [`CHILDREN`].
pub(crate) fn is_full(index: usize, size: usize) -> bool {
    CHILDREN * (index + 1) < size
}

/// A router's position in the load tree of its zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) parent: Option<host::Id>,
    pub(crate) children: Vec<host::Id>,
}

impl Position {
    /// The position of `local` among the routers of its zone, itself included.
    pub(crate) fn new<'a>(local: &host::Id, zone: impl Iterator<Item = &'a host::Id>) -> Self {
        let mut order: Vec<(u64, &host::Id)> = zone
            .map(|host| (xxh3::xxh3_64(host.as_str().as_bytes()), host))
            .collect();
        order.sort();
        let Some(index) = order.iter().position(|(_, host)| *host == local) else {
            return Self::default();
        };
        let parent = index.checked_sub(1).map(|index| index / CHILDREN);
        let first = CHILDREN * index + 1;
        Self {
            parent: parent.map(|parent| order[parent].1.clone()),
            children: order
                .iter()
                .skip(first)
                .take(CHILDREN)
                .map(|(_, host)| (*host).clone())
                .collect(),
        }
    }

    /// The parent and the children of this router.
    pub(crate) fn neighbours(&self) -> impl Iterator<Item = &host::Id> {
        self.parent.iter().chain(&self.children)
    }

    pub(crate) fn is_root(&self) -> bool {
        self.parent.is_none()
    }
}
