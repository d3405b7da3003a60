//! Prints the status of the fleet.

use config::response::{Engine, Refusals, Status, Zone};

use super::{freshness, json, service, table};
use crate::{command::Output, output::print_line};

/// Prints the status of the fleet.
pub(crate) fn status(status: &Status, output: Output) {
    if output == Output::Json {
        return json(status);
    }
    freshness(&status.freshness);
    print_line!(
        "routers_asked={} answered={}",
        status.asked,
        status.answered
    );
    print_line!("");
    zones(&status.zones);
    print_line!("");
    routers(status);
    print_line!("");
    engines(&status.engines);
    print_line!("");
    refusals(&status.refusals);
}

fn zones(zones: &[Zone]) {
    let rows: Vec<Vec<String>> = zones
        .iter()
        .map(|zone| {
            let coverage = &zone.coverage;
            vec![
                zone.name.to_string(),
                String::from(service(zone.service)),
                format!("{}/{}", coverage.applied, coverage.routers),
                coverage.lost.to_string(),
            ]
        })
        .collect();
    table(&["ZONE", "SERVICE", "APPLIED", "LOST"], &rows);
}

/// Maximum number of routers in the table. The others are only counted.
const MAX_ROUTERS: usize = 20;

fn routers(status: &Status) {
    // Routers that need attention are listed first.
    let mut routers: Vec<_> = status.routers.iter().collect();
    routers.sort_by_key(|router| (router.state == "ready", router.revision, &router.host));
    let rows: Vec<Vec<String>> = routers
        .iter()
        .take(MAX_ROUTERS)
        .map(|router| {
            vec![
                router.host.to_string(),
                router.zone.to_string(),
                router.state.clone(),
                router.revision.to_string(),
            ]
        })
        .collect();
    table(&["ROUTER", "ZONE", "STATE", "REVISION"], &rows);
    if routers.len() > MAX_ROUTERS {
        print_line!("and {} more", routers.len() - MAX_ROUTERS);
    }
}

/// Maximum number of backend servers in the table. The others are only counted.
const MAX_ENGINES: usize = 30;

fn engines(engines: &[Engine]) {
    // Backend servers that need attention are listed first.
    let mut engines: Vec<_> = engines.iter().collect();
    engines.sort_by(|a, b| {
        let ordering = is_healthy(a).cmp(&is_healthy(b));
        ordering.then_with(|| a.name.cmp(&b.name))
    });
    let rows: Vec<Vec<String>> = engines
        .iter()
        .take(MAX_ENGINES)
        .map(|engine| {
            let drained = if engine.drained { " (drained)" } else { "" };
            let zone = engine.zone.as_ref().map(ToString::to_string);
            vec![
                engine.name.to_string(),
                zone.unwrap_or_default(),
                format!("{}{drained}", engine.state),
                format!("{}/{}", engine.in_flight, engine.limit),
                engine.queued.to_string(),
            ]
        })
        .collect();
    table(&["SERVER", "ZONE", "STATE", "IN FLIGHT", "QUEUED"], &rows);
    if engines.len() > MAX_ENGINES {
        print_line!("and {} more", engines.len() - MAX_ENGINES);
    }
}

/// Returns whether a backend server is warm, not drained and has no queued requests.
fn is_healthy(engine: &Engine) -> bool {
    engine.state == "warm" && !engine.drained && engine.queued == 0
}

fn refusals(refusals: &[Refusals]) {
    let mut refusals: Vec<_> = refusals.iter().collect();
    refusals.sort_by_key(|refusal| std::cmp::Reverse(refusal.count));
    let rows: Vec<Vec<String>> = refusals
        .iter()
        .map(|refusal| {
            vec![
                refusal.code.clone(),
                refusal.verdict.clone(),
                refusal.count.to_string(),
            ]
        })
        .collect();
    table(&["REFUSED", "VERDICT", "COUNT"], &rows);
}
