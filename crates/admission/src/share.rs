//! Who uses how much of a server at present.

use std::collections::{BTreeMap, BTreeSet};

use units::{time::Instant, workspace};

use crate::Settings;

/// The multiple of its share that a workspace may run on average before it
/// leaves slots free.
const OVER_SHARE_FACTOR: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
struct Usage {
    in_flight: u32,
    /// Requests in flight, averaged up to `averaged_at`.
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

/// The requests that each workspace runs, and which workspaces are active.
///
/// A fair queue alone gives a quiet workspace the next slot that comes free.
/// While another one surges, all slots are always taken, so that the quiet one
/// waits for one each time, where before it waited hardly ever. So a workspace
/// over its fair share leaves some slots free for the others. What counts is the
/// average over some time, since the requests of a steady workspace come in
/// clusters too.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    usages: BTreeMap<workspace::Id, Usage>,
    /// Workspaces without a running request by the end of their activity.
    idle_by_expiry: BTreeSet<(Instant, workspace::Id)>,
    total_weight: u64,
}

impl Shares {
    /// A request of `workspace` was offered.
    pub fn offered(
        &mut self,
        workspace: &workspace::Id,
        weight: u64,
        settings: &Settings,
        now: Instant,
    ) {
        self.update(workspace, weight, settings, now, |_| {});
    }

    /// A request of `workspace` was admitted.
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

    /// A request of `workspace` ended.
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

    /// Whether `workspace` runs `OVER_SHARE_FACTOR` times its share of `limit` or more on
    /// average, while others are active.
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

    /// Requests of `workspace` that run.
    pub fn in_flight(&self, workspace: &workspace::Id) -> u32 {
        let usage = self.usages.get(workspace);
        usage.map_or(0, |usage| usage.in_flight)
    }

    /// Forgets workspaces whose activity has ended.
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
