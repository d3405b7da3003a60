//! Who uses how much of a server at present.

use std::collections::{BTreeMap, BTreeSet};

use units::{time::Instant, workspace};

use crate::Settings;

/// The multiple of its share that a workspace may run on average before it
/// leaves slots free.
const EXCESS: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
struct Tenant {
    in_flight: u32,
    /// Requests in flight, averaged up to `averaged_at`.
    average: f64,
    averaged_at: Instant,
    weight: u64,
    active_until: Instant,
}

impl Tenant {
    fn average(&self, settings: &Settings, now: Instant) -> f64 {
        let age = now.since(self.averaged_at).as_secs_f64();
        let weight = (-age / settings.usage_time.as_secs_f64()).exp();
        let in_flight = f64::from(self.in_flight);
        in_flight + (self.average - in_flight) * weight
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
    tenants: BTreeMap<workspace::Id, Tenant>,
    /// Workspaces without a running request by the end of their activity.
    leaving: BTreeSet<(Instant, workspace::Id)>,
    weight: u64,
}

impl Shares {
    /// A request of `workspace` was offered.
    pub fn seen(
        &mut self,
        workspace: &workspace::Id,
        weight: u64,
        settings: &Settings,
        now: Instant,
    ) {
        self.update(workspace, weight, settings, now, |_| {});
    }

    /// A request of `workspace` was admitted.
    pub fn began(
        &mut self,
        workspace: &workspace::Id,
        weight: u64,
        settings: &Settings,
        now: Instant,
    ) {
        self.update(workspace, weight, settings, now, |tenant| {
            tenant.in_flight += 1
        });
    }

    /// A request of `workspace` ended.
    pub fn ended(
        &mut self,
        workspace: &workspace::Id,
        weight: u64,
        settings: &Settings,
        now: Instant,
    ) {
        self.update(workspace, weight, settings, now, |tenant| {
            tenant.in_flight = tenant.in_flight.saturating_sub(1);
        });
    }

    /// Whether `workspace` runs `EXCESS` times its share of `limit` or more on
    /// average, while others are active.
    pub fn is_over(
        &self,
        workspace: &workspace::Id,
        limit: u32,
        settings: &Settings,
        now: Instant,
    ) -> bool {
        let Some(tenant) = self.tenants.get(workspace) else {
            return false;
        };
        let share = f64::from(limit) * tenant.weight as f64 / self.weight as f64;
        tenant.weight < self.weight && tenant.average(settings, now) >= share * EXCESS
    }

    /// Requests of `workspace` that run.
    pub fn in_flight(&self, workspace: &workspace::Id) -> u32 {
        let tenant = self.tenants.get(workspace);
        tenant.map_or(0, |tenant| tenant.in_flight)
    }

    /// Forgets workspaces whose activity has ended.
    pub fn expire(&mut self, now: Instant) {
        while self.leaving.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, workspace)) = self.leaving.pop_first()
                && let Some(tenant) = self.tenants.remove(&workspace)
            {
                self.weight -= tenant.weight;
            }
        }
    }

    fn update(
        &mut self,
        workspace: &workspace::Id,
        weight: u64,
        settings: &Settings,
        now: Instant,
        change: impl FnOnce(&mut Tenant),
    ) {
        let tenant = self.tenants.entry(workspace.clone()).or_insert(Tenant {
            in_flight: 0,
            average: 0.0,
            averaged_at: now,
            weight: 0,
            active_until: now,
        });
        self.leaving
            .remove(&(tenant.active_until, workspace.clone()));
        self.weight = self.weight - tenant.weight + weight;
        tenant.weight = weight;
        tenant.active_until = now + settings.activity;
        tenant.average = tenant.average(settings, now);
        tenant.averaged_at = now;
        change(tenant);
        if tenant.in_flight == 0 {
            self.leaving
                .insert((tenant.active_until, workspace.clone()));
        }
    }
}
