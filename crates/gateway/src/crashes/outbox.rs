//! Evidence on prompt parts that is sent to other routers.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use recovery::quarantine::{Combination, Evidence, Quarantine, Report, Sighting};
use units::{request::Part, time::Instant};

/// How often evidence is sent: each time to several routers, which forward it in turn.
const MAX_SENDS: u32 = 4;
/// How long evidence is kept if there is more than datagrams have room for.
const KEEP_FOR: Duration = Duration::from_secs(3);
/// The most reports in one datagram.
const MAX_REPORTS: usize = 6;
/// The most pieces of evidence that wait.
const MAX_WAITING: usize = 512;
/// How often one combination of refused parts is repeated, for routers that have started since or
/// were cut off.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Item {
    evidence: Evidence,
    until: Instant,
    sends: u32,
}

/// Evidence that has not been sent often enough yet.
#[derive(Debug)]
pub(super) struct Outbox {
    items: Vec<Item>,
    /// The refused parts that were last repeated.
    last_repeated: Option<Combination>,
    repeat_at: Instant,
}

impl Default for Outbox {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            last_repeated: None,
            repeat_at: Instant::ZERO,
        }
    }
}

impl Outbox {
    /// Adds evidence that is new to this router.
    pub(super) fn push(&mut self, evidence: Evidence, now: Instant) {
        if self.items.len() >= MAX_WAITING {
            self.items.remove(0);
        }
        self.items.push(Item {
            evidence,
            until: now + KEEP_FOR,
            sends: 0,
        });
    }

    /// Whether a completion of the part waits.
    pub(super) fn clears(&self, part: Part) -> bool {
        let mut items = self.items.iter();
        items.any(|item| matches!(item.evidence, Evidence::Completion { part: known, .. } if known == part))
    }

    /// The number of pieces of evidence that wait.
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// The reports for the next datagram: what was sent least often, and of that the parts with
    /// the most crashes.
    pub(super) fn reports(&mut self, quarantine: &Quarantine, now: Instant) -> Vec<Report> {
        self.items.retain(|item| {
            now < item.until && item.sends < MAX_SENDS && is_relevant(&item.evidence, quarantine)
        });
        if self.items.len() > MAX_REPORTS {
            let crashes = quarantine.crashes(now);
            self.items
                .sort_by_key(|item| (item.sends, Reverse(urgency(&item.evidence, &crashes))));
        }
        let mut reports = Vec::new();
        for item in self.items.iter_mut().take(MAX_REPORTS) {
            item.sends += 1;
            reports.push(Report::new(item.evidence.clone(), now));
        }
        reports.extend(self.repeated(quarantine, now));
        reports
    }

    /// One of the combinations that are refused, each in its turn.
    fn repeated(&mut self, quarantine: &Quarantine, now: Instant) -> Option<Report> {
        if now < self.repeat_at {
            return None;
        }
        let last = self.last_repeated.as_ref();
        let mut later = quarantine
            .entries()
            .skip_while(|(parts, _)| last.is_some_and(|last| *parts <= last));
        let (parts, entry) = later.next().or_else(|| quarantine.entries().next())?;
        let evidence = Evidence::Refused {
            parts: parts.clone(),
            crashes: entry.crashes,
            last_crash_at: entry.last_crash_at,
        };
        self.last_repeated = Some(parts.clone());
        self.repeat_at = now + REPEAT_INTERVAL;
        Some(Report::new(evidence, now))
    }
}

/// Whether evidence still matters: requests with popular parts complete within moments.
fn is_relevant(evidence: &Evidence, quarantine: &Quarantine) -> bool {
    let Evidence::Sighting(sighting) = evidence else {
        return true;
    };
    let suspects = quarantine.suspects(sighting);
    shared_parts(sighting)
        .iter()
        .any(|part| suspects.contains(part))
}

/// The parts of a sighting without the fingerprint of the request, which is the last one.
fn shared_parts(sighting: &Sighting) -> &[Part] {
    sighting
        .chain
        .split_last()
        .map_or(&[], |(_, shared)| shared)
}

/// Evidence with a higher urgency is sent first.
fn urgency(evidence: &Evidence, crashes: &BTreeMap<Part, usize>) -> usize {
    match evidence {
        Evidence::Refused { .. } | Evidence::Lifted { .. } => usize::MAX,
        Evidence::Completion { part, .. } => crashes.get(part).copied().unwrap_or(0),
        Evidence::Sighting(sighting) => {
            let counts = sighting.chain.iter().filter_map(|part| crashes.get(part));
            counts.max().copied().unwrap_or(0)
        }
    }
}
