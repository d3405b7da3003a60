//! The known routers of the region and their failure detection state.

use std::collections::BTreeMap;

use units::{availability, host, time};
use wire::{heartbeat, seal};
use xxhash_rust::xxh3;

use crate::{member::Member, ring::Ring, settings::Settings, tree::Position};

/// The most members that are kept. When the list is full, the oldest tombstone is
/// evicted; without a tombstone a new member is ignored.
const MAX_MEMBERS: usize = 2048;

/// What a membership update changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// The update is not newer than the member's state.
    None,
    /// The incarnation is higher, the phase is the same.
    Incarnation,
    /// The member entered another phase, restarted, or is new to the list.
    Phase,
}

/// The other routers of the region, indexed by host and tag.
#[derive(Clone, Debug)]
pub(crate) struct MemberList {
    local_host: host::Id,
    zone: availability::Zone,
    members: BTreeMap<host::Id, Member>,
    tags: BTreeMap<seal::Tag, host::Id>,
    short_tags: BTreeMap<heartbeat::Tag, host::Id>,
    watchers: Vec<host::Id>,
    tree_position: Position,
    digest: u32,
    /// Whether the watchers have to be recomputed because members changed.
    watchers_stale: bool,
}

impl MemberList {
    pub(crate) fn new(local_host: host::Id, zone: availability::Zone) -> Self {
        Self {
            local_host,
            zone,
            members: BTreeMap::new(),
            tags: BTreeMap::new(),
            short_tags: BTreeMap::new(),
            watchers: Vec::new(),
            tree_position: Position::default(),
            digest: 0,
            watchers_stale: true,
        }
    }

    pub(crate) fn get(&self, host: &host::Id) -> Option<&Member> {
        self.members.get(host)
    }

    pub(crate) fn get_mut(&mut self, host: &host::Id) -> Option<&mut Member> {
        self.members.get_mut(host)
    }

    pub(crate) fn by_tag(&self, tag: seal::Tag) -> Option<&Member> {
        self.tags.get(&tag).and_then(|host| self.members.get(host))
    }

    pub(crate) fn by_short_tag(&mut self, tag: heartbeat::Tag) -> Option<&mut Member> {
        let host = self.short_tags.get(&tag)?;
        self.members.get_mut(host)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.phase.is_live())
    }

    pub(crate) fn live_in_zone(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| member.zone == self.zone)
    }

    /// The digest of the live members, the XOR of their hashes.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// The routers that watch this one.
    pub(crate) fn watchers(&self) -> &[host::Id] {
        &self.watchers
    }

    /// This router's position in the load tree of its zone.
    pub(crate) fn tree_position(&self) -> &Position {
        &self.tree_position
    }

    /// Applies an update if it overrides the member's incarnation and phase.
    pub(crate) fn apply_update(
        &mut self,
        update: &heartbeat::Member,
        settings: &Settings,
        now: time::Instant,
    ) -> Change {
        let Some(member) = self.members.get_mut(&update.host) else {
            return self.insert(update, settings, now);
        };
        let order = (update.incarnation, update.phase);
        if order <= (member.incarnation, member.phase) {
            return Change::None;
        }
        self.digest ^= digest_of(&member.to_update()) ^ digest_of(update);
        let same_phase = member.phase == update.phase;
        let old_state = (member.phase.is_live(), can_watch(member.phase));
        let restarted = update.incarnation.boot != member.incarnation.boot;
        if restarted {
            *member = Member::new(update.clone());
        }
        member.zone = update.zone.clone();
        member.address = update.address;
        member.incarnation = update.incarnation;
        member.phase = update.phase;
        schedule_expiry(member, settings, now);
        if restarted || old_state != (update.phase.is_live(), can_watch(update.phase)) {
            self.watchers_stale = true;
        }
        if same_phase && !restarted {
            Change::Incarnation
        } else {
            Change::Phase
        }
    }

    fn insert(
        &mut self,
        update: &heartbeat::Member,
        settings: &Settings,
        now: time::Instant,
    ) -> Change {
        if self.members.len() >= MAX_MEMBERS && !self.evict_oldest_tombstone() {
            return Change::None;
        }
        let mut member = Member::new(update.clone());
        schedule_expiry(&mut member, settings, now);
        self.digest ^= digest_of(update);
        let host = update.host.clone();
        self.tags.insert(member.tag, host.clone());
        self.short_tags.insert(member.short_tag, host.clone());
        self.members.insert(host, member);
        self.watchers_stale = true;
        Change::Phase
    }

    /// Removes the members whose tombstones have expired.
    pub(crate) fn remove_expired(&mut self, now: time::Instant) {
        let expired: Vec<host::Id> = self
            .iter()
            .filter(|member| !member.phase.is_live() && member.remove_at <= now)
            .map(|member| member.host.clone())
            .collect();
        for host in &expired {
            self.remove(host);
        }
    }

    fn evict_oldest_tombstone(&mut self) -> bool {
        let tombstones = self.iter().filter(|member| !member.phase.is_live());
        let oldest = tombstones.min_by_key(|member| member.remove_at);
        let Some(host) = oldest.map(|member| member.host.clone()) else {
            return false;
        };
        self.remove(&host);
        true
    }

    fn remove(&mut self, host: &host::Id) {
        self.members.remove(host);
        self.tags.remove(&seal::Tag::new(host));
        self.short_tags.remove(&heartbeat::Tag::new(host));
    }

    /// Causes the next [`Self::recompute_watchers`] to recompute the watchers.
    pub(crate) fn mark_watchers_stale(&mut self) {
        self.watchers_stale = true;
    }

    /// Recomputes which routers watch each other, if members changed.
    ///
    /// A router that becomes watched is probed at once: its previous watchers may
    /// have failed together with it.
    pub(crate) fn recompute_watchers(&mut self, settings: &Settings, now: time::Instant) {
        if !std::mem::take(&mut self.watchers_stale) {
            return;
        }
        let local = (&self.local_host, &self.zone, true);
        let others = self
            .live()
            .map(|member| (&member.host, &member.zone, can_watch(member.phase)));
        let ring = Ring::new(others.chain([local]));
        let zone = self.live_in_zone().map(|member| &member.host);
        self.tree_position = Position::new(&self.local_host, zone.chain([&self.local_host]));
        let mut watchers: Vec<host::Id> = self.tree_position.neighbours().cloned().collect();
        let mut watched = watchers.clone();
        watched.extend(ring.watched(&self.local_host).cloned());
        watchers.extend(ring.watcher(&self.local_host).cloned());
        watchers.sort();
        watchers.dedup();
        self.watchers = watchers;
        self.set_watched(&watched, settings, now);
    }

    fn set_watched(&mut self, watched: &[host::Id], settings: &Settings, now: time::Instant) {
        let start = now - settings.probe_after;
        for member in self.members.values_mut() {
            let watch = watched.contains(&member.host);
            let keep = watch || member.outage_probe_until > now;
            member.watched_since = member.watched_since.or(watch.then_some(start));
            member.watched_since = member.watched_since.filter(|_| keep);
        }
    }
}

/// Whether a router in this phase is expected to watch others.
fn can_watch(phase: heartbeat::Phase) -> bool {
    phase.is_live() && phase != heartbeat::Phase::Suspect
}

/// The hash of a member's state for the digest, zero for a member that is not live.
pub(crate) fn digest_of(update: &heartbeat::Member) -> u32 {
    if !update.phase.is_live() {
        return 0;
    }
    let heartbeat::Incarnation { boot, refutation } = update.incarnation;
    let seed = boot.0 ^ u64::from(refutation).rotate_left(32) ^ update.phase as u64;
    let hash = xxh3::xxh3_64_with_seed(update.host.as_str().as_bytes(), seed);
    let [a, b, c, d, ..] = hash.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Sets when a suspected member is declared down and when a tombstone expires.
fn schedule_expiry(member: &mut Member, settings: &Settings, now: time::Instant) {
    member.down_at = match member.phase {
        heartbeat::Phase::Suspect => now + settings.suspicion_timeout,
        _ => time::Instant::NEVER,
    };
    member.remove_at = if member.phase.is_live() {
        time::Instant::NEVER
    } else {
        now + settings.tombstone_timeout
    };
}
