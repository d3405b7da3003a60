//! Which routers are heard, and which of them know more.

use std::{collections::BTreeMap, time::Duration};

use units::{host, time::Instant};

use super::{Digest, Versions};

/// How long this router may be behind another before it asks it.
///
/// The store tells all routers of a change within a few milliseconds of each
/// other. One that is still behind after this long cannot reach the store, or
/// its connection to it went silent.
const BEHIND: Duration = Duration::from_millis(150);
/// How long to wait between two questions.
const ASK_PAUSE: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug)]
struct Record {
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
    pub fn heard(&mut self, digest: &Digest, now: Instant, patience: Duration) -> bool {
        let record = Record {
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

    /// A router to ask for what this one, which knows `own`, has missed.
    pub fn ahead(&mut self, own: Versions, now: Instant) -> Option<host::Id> {
        let ahead = self
            .records
            .iter()
            .filter(|(_, record)| record.versions.is_ahead_of(own))
            .max_by_key(|(_, record)| (record.versions.configuration, record.versions.servers))
            .map(|(host, _)| host.clone());
        let Some(host) = ahead else {
            self.behind_since = None;
            return None;
        };
        let since = *self.behind_since.get_or_insert(now);
        if now < since + BEHIND || now < self.ask_at {
            return None;
        }
        self.ask_at = now + ASK_PAUSE;
        Some(host)
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
