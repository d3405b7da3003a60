//! Lookup of the sender of a datagram.

use std::{collections::BTreeMap, sync::Arc};

use wire::seal::Tag;

use crate::source::Member;

/// The registered routers, indexed by the tags that they seal with.
///
/// An aggregator of a large zone receives hundreds of datagrams a second. Hashing the names
/// of all routers for each of them would take more CPU time than serving requests.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: Arc<Vec<Member>>,
    positions: BTreeMap<Tag, usize>,
}

impl Directory {
    /// Finds the router of `members` that seals with `tag`.
    pub fn find(&mut self, members: &Arc<Vec<Member>>, tag: Tag) -> Option<&Member> {
        if !Arc::ptr_eq(&self.members, members) {
            self.members = Arc::clone(members);
            let tags = members.iter().map(|member| Tag::new(&member.host));
            self.positions = tags.zip(0..).collect();
        }
        let position = self.positions.get(&tag)?;
        self.members.get(*position)
    }
}
