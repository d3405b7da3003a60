//! Which router a datagram comes from.

use std::{collections::BTreeMap, sync::Arc};

use wire::seal::Tag;

use crate::source::Member;

/// The registered routers by the tags that they seal with.
///
/// A router that adds up in a large zone hears hundreds of datagrams a second.
/// Were the names of all routers hashed for each, that would take more of the
/// processor than its requests.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: Arc<Vec<Member>>,
    positions: BTreeMap<Tag, usize>,
}

impl Directory {
    /// The router of `members` that a tag stands for.
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
