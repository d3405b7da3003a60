//! An upper bound for the cache hits of any policy with the same cache memory.

use std::collections::{BTreeMap, HashMap};

use units::{chat, time::Instant};

use crate::{
    cache::Cache,
    deployment::Deployment,
    script::{Change, Script},
    workload::Arrival,
};

/// One cache with the combined memory of all usable engines.
///
/// Each chat is assigned to one engine, so that the oracle loses what every policy must
/// lose: the chats of an engine that restarts, and, while a zone is out of service, the
/// memory of its engines and their chats.
#[derive(Debug)]
struct Oracle<'a> {
    deployment: &'a Deployment,
    cache: Cache,
    places: HashMap<chat::Key, Place>,
    boots: Vec<u32>,
    usable: Vec<bool>,
    /// Cached tokens of the chats on engines of excluded zones.
    excluded: BTreeMap<chat::Key, u32>,
}

/// The engine that a chat is assigned to, and the boot at that time.
#[derive(Clone, Copy, Debug)]
struct Place {
    engine: usize,
    boot: u32,
}

/// For each request, the number of prompt tokens that the oracle has cached on arrival.
pub fn cached(deployment: &Deployment, arrivals: &[Arrival], script: &Script) -> Vec<u32> {
    let mut oracle = Oracle {
        cache: Cache::new(deployment.engine.cache_tokens * deployment.engines as u64),
        places: HashMap::new(),
        boots: vec![0; deployment.engines],
        usable: vec![true; deployment.engines],
        excluded: BTreeMap::new(),
        deployment,
    };
    let mut changes = script.iter().peekable();
    arrivals
        .iter()
        .map(|arrival| {
            while let Some((_, apply_change)) = changes.next_if(|(at, _)| is_due(*at, arrival.at)) {
                oracle.apply_change(*apply_change);
            }
            oracle.serve(arrival)
        })
        .collect()
}

fn is_due(at: Instant, now: Instant) -> bool {
    at <= now
}

impl Oracle<'_> {
    fn apply_change(&mut self, apply_change: Change) {
        match apply_change {
            Change::Crash(engine) => {
                self.boots[engine] += 1;
                self.usable[engine] = false;
            }
            Change::TurnCold(engine) => self.boots[engine] += 1,
            Change::Start(engine) => self.usable[engine] = true,
            Change::ZoneOut(zone) => self.exclude_zone(zone),
            Change::ZoneIn(zone) => self.put_back(zone),
            Change::Fail(_) | Change::Serve(_) => {}
        }
        let usable = self.usable.iter().filter(|usable| **usable).count();
        self.cache
            .set_capacity(self.deployment.engine.cache_tokens * usable as u64);
    }

    fn exclude_zone(&mut self, zone: usize) {
        for engine in (zone..self.usable.len()).step_by(self.deployment.zones) {
            self.usable[engine] = false;
        }
        let mut gone: Vec<chat::Key> = Vec::new();
        for (chat, place) in &self.places {
            if !self.usable[place.engine] && self.boots[place.engine] == place.boot {
                gone.push(*chat);
            }
        }
        for chat in gone {
            if let Some(tokens) = self.cache.remove(chat) {
                self.excluded.insert(chat, tokens);
            }
        }
    }

    fn put_back(&mut self, zone: usize) {
        for engine in (zone..self.usable.len()).step_by(self.deployment.zones) {
            self.usable[engine] = true;
        }
        let usable = self.usable.iter().filter(|usable| **usable).count();
        self.cache
            .set_capacity(self.deployment.engine.cache_tokens * usable as u64);
        for (chat, tokens) in std::mem::take(&mut self.excluded) {
            self.cache.insert_oldest(chat, tokens);
        }
    }

    fn serve(&mut self, arrival: &Arrival) -> u32 {
        let place = self.places.get(&arrival.chat).copied();
        let current_place = place
            .filter(|place| self.usable[place.engine] && self.boots[place.engine] == place.boot);
        let cached = match current_place {
            Some(_) => self.cache.cached(arrival.chat).min(arrival.prompt),
            None => 0,
        };
        let place = current_place.or_else(|| self.place(arrival.chat));
        if let Some(place) = place {
            self.places.insert(arrival.chat, place);
        }
        self.cache
            .store(arrival.chat, arrival.prompt + arrival.output);
        cached
    }

    fn place(&self, chat: chat::Key) -> Option<Place> {
        let usable: Vec<usize> = (0..self.usable.len())
            .filter(|engine| self.usable[*engine])
            .collect();
        let length = u64::try_from(usable.len())
            .ok()
            .filter(|length| *length > 0)?;
        let engine = usable[(chat.0 % length) as usize];
        Some(Place {
            engine,
            boot: self.boots[engine],
        })
    }
}
