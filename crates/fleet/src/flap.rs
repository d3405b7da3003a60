//! Flap damping: routers that restart too often are held out of ownership.

use std::{collections::BTreeMap, time::Duration};

use units::{host, time};

use crate::settings::Settings;

/// The most hosts that are tracked; further hosts are not counted.
const MAX_HOSTS: usize = 2048;

/// The recent joins of each host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flaps {
    hosts: BTreeMap<host::Id, Flap>,
}

#[derive(Clone, Copy, Debug)]
struct Flap {
    joins: u32,
    expires_at: time::Instant,
}

impl Flaps {
    /// Counts one join of `host`.
    pub(crate) fn record_join(&mut self, host: &host::Id, settings: &Settings, now: time::Instant) {
        self.expire(now);
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(host) {
            return;
        }
        let expires_at = now + settings.flap_window;
        let flap = self.hosts.entry(host.clone()).or_insert(Flap {
            joins: 0,
            expires_at,
        });
        flap.joins = flap.joins.saturating_add(1);
        flap.expires_at = expires_at.max(now + hold_down(flap.joins, settings) * 2);
    }

    /// How long `host` should own no engines.
    pub(crate) fn hold_down(&self, host: &host::Id, settings: &Settings) -> Duration {
        let joins = self.hosts.get(host).map_or(0, |flap| flap.joins);
        hold_down(joins, settings)
    }

    pub(crate) fn expire(&mut self, now: time::Instant) {
        self.hosts.retain(|_, flap| flap.expires_at > now);
    }
}

/// The hold-down time after `joins` joins; it doubles with each one above the limit.
fn hold_down(joins: u32, settings: &Settings) -> Duration {
    let excess = joins.saturating_sub(settings.flap_limit);
    if excess == 0 {
        return Duration::ZERO;
    }
    let factor = 1u32.checked_shl(excess - 1).unwrap_or(u32::MAX);
    settings
        .flap_hold_down
        .saturating_mul(factor)
        .min(settings.flap_hold_down_max)
}
