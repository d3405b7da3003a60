//! Which routers are heard, and which of them know more.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use units::{host, time::Instant};

use super::{Digest, Versions};

/// How long this router may be behind another before it asks it.
///
/// The store tells all routers of a change within a few milliseconds of each
/// other. One that is still behind after this long cannot reach the store, or
/// its connection to it went silent.
const BEHIND: Duration = Duration::from_millis(150);
/// How long to wait between two questions: an answer takes a few milliseconds.
const ASK_PAUSE: Duration = Duration::from_millis(60);

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Where its datagrams come from; it may not be known as a member yet.
    address: SocketAddr,
    versions: Versions,
    silent_at: Instant,
}

/// The routers that were heard lately.
#[derive(Clone, Debug, Default)]
pub struct Roll {
    records: BTreeMap<host::Id, Record>,
    behind_since: Option<Instant>,
    ask_at: Instant,
}

impl Roll {
    /// A router was heard. It counts as silent after `patience`. Returns whether it is new.
    pub fn heard(
        &mut self,
        digest: &Digest,
        address: SocketAddr,
        now: Instant,
        patience: Duration,
    ) -> bool {
        let record = Record {
            address,
            versions: digest.versions,
            silent_at: now + patience,
        };
        self.records.insert(digest.host.clone(), record).is_none()
    }

    /// Takes out the routers that fell silent.
    pub fn silent(&mut self, now: Instant) -> Vec<host::Id> {
        let silent: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.silent_at <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &silent {
            self.records.remove(host);
        }
        silent
    }

    /// The address of a router to ask for what this one, which knows `own`, has missed. One
    /// that `is_watching` waits a moment for the store's own word.
    pub fn ahead(&mut self, own: Versions, is_watching: bool, now: Instant) -> Option<SocketAddr> {
        let ahead = self
            .records
            .iter()
            .filter(|(_, record)| record.versions.is_ahead_of(own))
            .max_by_key(|(_, record)| {
                let versions = record.versions;
                (versions.configuration, versions.servers, versions.routers)
            })
            .map(|(_, record)| record.address);
        let Some(address) = ahead else {
            self.behind_since = None;
            return None;
        };
        let since = *self.behind_since.get_or_insert(now);
        let patience = if is_watching { BEHIND } else { Duration::ZERO };
        if now < since + patience || now < self.ask_at {
            return None;
        }
        self.ask_at = now + ASK_PAUSE;
        Some(address)
    }

    /// How many routers are heard.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is heard.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
