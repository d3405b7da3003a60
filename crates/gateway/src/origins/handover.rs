//! Which records routers are told again, because they have become their keepers.

use std::{collections::BTreeSet, mem, sync::Arc};

use units::host;

use super::{COPIES, Key, keepers};
use crate::source::Member;

/// The records that this router holds and other routers may lack.
///
/// A router that starts knows nothing, and one that moves up in the order of a stream's keepers was never
/// told of it. All that hold a record tell it to such a router, since any of them may end next.
#[derive(Clone, Debug, Default)]
pub struct Handover {
    /// The routers among which keepers are chosen.
    members: Arc<Vec<Member>>,
    /// Those among which they were chosen when all records were last told.
    former: Arc<Vec<Member>>,
    /// The routers that have started since.
    started: BTreeSet<host::Id>,
    /// The streams that have not been looked at since.
    pending: Vec<Key>,
}

impl Handover {
    /// The routers among which keepers are chosen.
    pub fn members(&self) -> &Arc<Vec<Member>> {
        &self.members
    }

    /// Chooses keepers among `members` from now on. `keys` are the streams on record.
    pub fn set_members(&mut self, members: Arc<Vec<Member>>, keys: impl Iterator<Item = Key>) {
        if self.members != members {
            self.members = members;
            self.pending = keys.collect();
        }
    }

    /// Records that a router has started. `keys` are the streams on record.
    pub fn started(&mut self, host: &host::Id, keys: impl Iterator<Item = Key>) {
        self.started.insert(host.clone());
        self.pending = keys.collect();
    }

    /// Looks at up to `most` streams. Returns those of which a router other than `own` has to be told.
    pub fn next(&mut self, own: &host::Id, most: usize) -> Vec<(Member, Key)> {
        let left = self.pending.len().saturating_sub(most);
        let mut told = Vec::new();
        for key in self.pending.split_off(left) {
            let before = keepers(&self.former, key, COPIES);
            for keeper in keepers(&self.members, key, COPIES) {
                let is_new = !before.contains(&keeper) || self.started.contains(&keeper.host);
                if is_new && keeper.host != *own {
                    told.push((keeper.clone(), key));
                }
            }
        }
        if self.pending.is_empty() {
            self.former = Arc::clone(&self.members);
            drop(mem::take(&mut self.started));
        }
        told
    }
}
