//! Current usage of a server by workspace.

use std::collections::{BTreeMap, BTreeSet};

use units::{time::Instant, workspace};

use crate::Settings;

/// A workspace whose average usage reaches this multiple of its fair share must
/// leave slots free for others.
const OVER_SHARE_FACTOR: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
struct Usage {
    in_flight: u32,
    /// Exponential moving average of the requests in flight at `averaged_at`.
    average: f64,
    averaged_at: Instant,
    weight: u64,
    active_until: Instant,
}

impl Usage {
    fn average(&self, settings: &Settings, now: Instant) -> f64 {
        let elapsed = now.since(self.averaged_at).as_secs_f64();
        let decay = (-elapsed / settings.usage_window.as_secs_f64()).exp();
        let in_flight = f64::from(self.in_flight);
        in_flight + (self.average - in_flight) * decay
    }
}

/// Requests in flight of each workspace, and the set of active workspaces.
///
/// A fair queue alone gives a workspace with little load the next free slot.
/// During a surge of another workspace all slots are taken all the time, so each
/// of its requests waits for a slot where they rarely waited before. A workspace
/// over its fair share therefore leaves some slots free for others. The usage is
/// averaged over time, because the requests of a steady workspace arrive in
/// bursts as well.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    usages: BTreeMap<workspace::Id, Usage>,
    /// Workspaces without requests in flight, by the instant at which they become inactive.
    idle_by_expiry: BTreeSet<(Instant, workspace::Id)>,
    total_weight: u64,
}

impl Shares {
    /// Records that a request of `workspace` was offered.
    pub fn offered(
        &mut self,
        workspace: &workspace::Id,
        weight: u64,
        settings: &Settings,
        now: Instant,
    ) {
        self.update(workspace, weight, settings, now, |_| {});
    }

    /// Records that a request of `workspace` was admitted.
    pub fn admitted(
        &mut self,
        workspace: &workspace::Id,
        weight: u64,
        settings: &Settings,
        now: Instant,
    ) {
        self.update(workspace, weight, settings, now, |usage| {
            usage.in_flight += 1
        });
    }

    /// Records that a request of `workspace` ended.
    pub fn finished(
        &mut self,
        workspace: &workspace::Id,
        weight: u64,
        settings: &Settings,
        now: Instant,
    ) {
        self.update(workspace, weight, settings, now, |usage| {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        });
    }

    /// Whether the average usage of `workspace` is at least `OVER_SHARE_FACTOR`
    /// times its fair share of `limit` while other workspaces are active.
    pub fn is_over_share(
        &self,
        workspace: &workspace::Id,
        limit: u32,
        settings: &Settings,
        now: Instant,
    ) -> bool {
        let Some(usage) = self.usages.get(workspace) else {
            return false;
        };
        let share = f64::from(limit) * usage.weight as f64 / self.total_weight as f64;
        usage.weight < self.total_weight
            && usage.average(settings, now) >= share * OVER_SHARE_FACTOR
    }

    /// Requests of `workspace` in flight.
    pub fn in_flight(&self, workspace: &workspace::Id) -> u32 {
        let usage = self.usages.get(workspace);
        usage.map_or(0, |usage| usage.in_flight)
    }

    /// Removes workspaces that have become inactive.
    pub fn expire(&mut self, now: Instant) {
        while self
            .idle_by_expiry
            .first()
            .is_some_and(|(until, _)| *until <= now)
        {
            if let Some((_, workspace)) = self.idle_by_expiry.pop_first()
                && let Some(usage) = self.usages.remove(&workspace)
            {
                self.total_weight -= usage.weight;
            }
        }
    }

    fn update(
        &mut self,
        workspace: &workspace::Id,
        weight: u64,
        settings: &Settings,
        now: Instant,
        change: impl FnOnce(&mut Usage),
    ) {
        let usage = self.usages.entry(workspace.clone()).or_insert(Usage {
            in_flight: 0,
            average: 0.0,
            averaged_at: now,
            weight: 0,
            active_until: now,
        });
        self.idle_by_expiry
            .remove(&(usage.active_until, workspace.clone()));
        self.total_weight = self.total_weight - usage.weight + weight;
        usage.weight = weight;
        usage.active_until = now + settings.activity_timeout;
        usage.average = usage.average(settings, now);
        usage.averaged_at = now;
        change(usage);
        if usage.in_flight == 0 {
            self.idle_by_expiry
                .insert((usage.active_until, workspace.clone()));
        }
    }
}
