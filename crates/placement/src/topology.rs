//! The servers of one pool, and their ranking for a chat.

use smallvec::SmallVec;
use units::{availability, backend, chat};
use xxhash_rust::xxh3;

use crate::score;

/// Whether a server may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The server may get new requests.
    Eligible,
    /// The server gets no new requests: it is draining, leaving or ejected, or its
    /// zone is out of service.
    Excluded,
}

/// One backend server of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The server's name.
    pub id: backend::Server,
    /// The server's availability zone.
    pub zone: availability::Zone,
    /// The server's weight relative to the other servers; zero counts as one.
    pub weight: u32,
    /// Whether the server may get new requests.
    pub state: State,
}

/// The highest-ranked servers for a chat, best first.
pub type Rank<'a> = SmallVec<[&'a Member; 8]>;

/// An eligible server: the hash of its name, and its index in `members`.
#[derive(Clone, Copy, Debug)]
struct RankEntry {
    hash: u64,
    member: u32,
}

/// A snapshot of the servers of one pool.
///
/// The order of the members passed to [`Topology::new`] does not affect the ranking.
#[derive(Clone, Debug)]
pub struct Topology {
    members: Vec<Member>,
    eligible: Vec<RankEntry>,
    has_equal_weights: bool,
}

impl Topology {
    /// Creates a topology of `members`. If several have the same name, the first is
    /// kept.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members.dedup_by(|a, b| a.id == b.id);
        let eligible: Vec<RankEntry> = (0..)
            .zip(&members)
            .filter(|(_, member)| member.state == State::Eligible)
            .map(|(index, member)| RankEntry {
                hash: xxh3::xxh3_64(member.id.as_str().as_bytes()),
                member: index,
            })
            .collect();
        let weight = |entry: &RankEntry| members[entry.member as usize].weight.max(1);
        let has_equal_weights = eligible
            .windows(2)
            .all(|pair| weight(&pair[0]) == weight(&pair[1]));
        Self {
            members,
            eligible,
            has_equal_weights,
        }
    }

    /// All servers, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The server named `id`.
    pub fn member(&self, id: &backend::Server) -> Option<&Member> {
        let index = self.members.binary_search_by(|m| m.id.cmp(id)).ok()?;
        self.members.get(index)
    }

    /// The eligible servers, sorted by name.
    pub fn eligible(&self) -> impl ExactSizeIterator<Item = &Member> {
        self.eligible
            .iter()
            .map(|entry| &self.members[entry.member as usize])
    }

    /// Whether the server named `id` is eligible.
    pub fn is_eligible(&self, id: &backend::Server) -> bool {
        self.member(id)
            .is_some_and(|member| member.state == State::Eligible)
    }

    /// The `n` highest-ranked eligible servers for `chat`, best first.
    pub fn rank(&self, chat: chat::Key, n: usize) -> Rank<'_> {
        // Servers of equal weight are compared by their hashes alone. The score
        // decreases as the hash increases, so both comparisons rank the same.
        if self.has_equal_weights {
            self.select(n, |entry| !score::pair_hash(chat, entry.hash))
        } else {
            self.select(n, |entry| {
                let weight = self.members[entry.member as usize].weight;
                score::weighted(score::pair_hash(chat, entry.hash), weight)
            })
        }
    }

    /// The highest-ranked eligible server for `chat`.
    pub fn home(&self, chat: chat::Key) -> Option<&Member> {
        self.rank(chat, 1).first().copied()
    }

    /// The `n` eligible servers with the lowest `score`, lowest first.
    fn select<S: PartialOrd + Copy>(&self, n: usize, score: impl Fn(&RankEntry) -> S) -> Rank<'_> {
        let mut best: SmallVec<[(S, u32); 9]> = SmallVec::new();
        for entry in &self.eligible {
            let score = score(entry);
            if best.len() == n && best.last().is_none_or(|(worst, _)| score >= *worst) {
                continue;
            }
            // Servers are visited in name order, so a tie goes to the lower name.
            let position = best.partition_point(|(other, _)| *other <= score);
            best.insert(position, (score, entry.member));
            best.truncate(n);
        }
        best.iter()
            .map(|(_, member)| &self.members[*member as usize])
            .collect()
    }
}
