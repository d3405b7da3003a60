//! The questions that one router has asked others.

use std::collections::HashMap;

use smallvec::SmallVec;
use tokio::sync::oneshot;
use wire::seal::Tag;

use super::{ASKED, Answer, Key};

#[derive(Debug, Default)]
struct Lookup {
    /// The routers that have not answered.
    silent: SmallVec<[Tag; ASKED]>,
    replies: Vec<oneshot::Sender<Answer>>,
}

/// Questions that have not been answered yet.
#[derive(Debug, Default)]
pub struct Lookups {
    lookups: HashMap<Key, Lookup>,
}

impl Lookups {
    /// Records that routers are asked for a stream.
    pub fn start(
        &mut self,
        key: Key,
        asked: impl Iterator<Item = Tag>,
        reply: oneshot::Sender<Answer>,
    ) {
        let lookup = self.lookups.entry(key).or_default();
        lookup.silent = asked.collect();
        lookup.replies.push(reply);
        if lookup.silent.is_empty() {
            self.finish(key, &Answer::Unknown);
        }
    }

    /// Records the answer of a router. The question is answered by the first router that knows
    /// the stream, or once none of them does.
    pub fn answer(&mut self, key: Key, from: Tag, answer: &Answer) {
        let Some(lookup) = self.lookups.get_mut(&key) else {
            return;
        };
        let asked = lookup.silent.len();
        lookup.silent.retain(|silent| *silent != from);
        let was_asked = lookup.silent.len() < asked;
        if was_asked && (lookup.silent.is_empty() || *answer != Answer::Unknown) {
            self.finish(key, answer);
        }
    }

    /// Forgets the questions that nobody waits for.
    pub fn prune(&mut self) {
        self.lookups.retain(|_, lookup| {
            lookup.replies.retain(|reply| !reply.is_closed());
            !lookup.replies.is_empty()
        });
    }

    /// The number of open questions.
    pub fn len(&self) -> usize {
        self.lookups.len()
    }

    /// Whether no question is open.
    pub fn is_empty(&self) -> bool {
        self.lookups.is_empty()
    }

    fn finish(&mut self, key: Key, answer: &Answer) {
        let replies = self.lookups.remove(&key).map(|lookup| lookup.replies);
        for reply in replies.into_iter().flatten() {
            // The caller may have left.
            drop(reply.send(answer.clone()));
        }
    }
}
