//! Prints responses as tables or JSON.

mod status;

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use config::{
    proposal::Proposal,
    refused::Reason,
    resource::{Resource, Service},
    response::{Accepted, Freshness, History, List, Ordered, Outcome},
    state::{Coverage, State, Zones},
};
use serde::Serialize;
use units::{availability, host};

use crate::{command::Output, output::print_line};
pub(crate) use status::status;

/// Prints `value` as JSON.
fn json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => print_line!("{text}"),
        Err(error) => eprintln!("the response cannot be serialized as JSON: {error}"),
    }
}

/// Prints `value` as JSON on one line, for scripts that read a stream.
fn json_line(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => print_line!("{text}"),
        Err(error) => eprintln!("the response cannot be serialized as JSON: {error}"),
    }
}

/// Prints a table of `rows` under `headers`.
fn table(headers: &[&str], rows: &[Vec<String>]) {
    let widths: Vec<usize> = (0..headers.len())
        .map(|column| {
            let cells = rows.iter().filter_map(|row| row.get(column));
            let widest = cells.map(|cell| cell.chars().count()).max();
            widest.unwrap_or(0).max(headers[column].len())
        })
        .collect();
    table_row(headers.iter().copied(), &widths);
    for row in rows {
        table_row(row.iter().map(String::as_str), &widths);
    }
}

/// Prints one row of a table.
fn table_row<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) {
    let padded = cells
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"));
    let line: Vec<String> = padded.collect();
    print_line!("{}", line.join("  ").trim_end());
}

/// Prints the outcome of a change.
pub(crate) fn accepted(accepted: &Accepted, proposal: &Proposal, output: Output) {
    if output == Output::Json {
        return json(accepted);
    }
    let outcome = match accepted.outcome {
        Outcome::Accepted => "accepted",
        Outcome::Repeated => "accepted before",
        Outcome::Unchanged => "unchanged",
    };
    print_line!(
        "{outcome} revision={} id={}",
        accepted.revision,
        accepted.id
    );
    for resource in &proposal.puts {
        print_line!("  put {}", resource.key());
    }
    for key in &proposal.deletes {
        print_line!("  delete {key}");
    }
}

/// Prints the outcome of an order.
pub(crate) fn ordered(ordered: &Ordered, output: Output) {
    if output == Output::Json {
        return json(ordered);
    }
    print_line!("carried out by {} fence={}", ordered.server, ordered.fence);
}

/// Prints the freshness of a response.
fn freshness(freshness: &Freshness) {
    let fleet = freshness
        .fleet_age_ms
        .map_or(String::from("unknown"), |age| format!("{age}ms"));
    print_line!(
        "revision={} age={}ms platform={} fleet_age={fleet}",
        freshness.revision,
        freshness.age_ms,
        freshness.platform
    );
}

/// Maximum number of zones listed in one cell. More zones are summed up.
const MAX_ZONES: usize = 2;

/// Formats the state of a resource and the zones in which it is missing as one cell.
fn progress(state: State, zones: &Zones) -> String {
    if zones.is_empty() {
        return String::from(state.as_str());
    }
    if zones.len() > MAX_ZONES {
        let missing: usize = zones.values().map(|zone| zone.routers - zone.applied).sum();
        let lost: usize = zones.values().map(|zone| zone.lost).sum();
        let count = zones.len();
        return format!(
            "{} ({count} zones missing={missing} lost={lost})",
            state.as_str()
        );
    }
    let zones: Vec<String> = zones.iter().map(zone_progress).collect();
    format!("{} ({})", state.as_str(), zones.join("; "))
}

/// Formats how many routers of a zone have applied a revision.
fn zone_progress((name, zone): (&availability::Zone, &Coverage)) -> String {
    let mut text = format!("{name} {}/{}", zone.applied, zone.routers);
    if !zone.missing.is_empty() {
        let missing: Vec<&str> = zone.missing.iter().map(host::Id::as_str).collect();
        text.push_str(&format!(" missing={}", missing.join(",")));
    }
    if zone.lost > 0 {
        text.push_str(&format!(" lost={}", zone.lost));
    }
    text
}

/// Prints all resources.
pub(crate) fn list(list: &List, output: Output) {
    if output == Output::Json {
        return json(list);
    }
    freshness(&list.freshness);
    let declared = list.resources.iter().map(|listed| {
        vec![
            listed.resource.key().to_string(),
            listed.generation.to_string(),
            progress(listed.state, &listed.zones),
            summary(&listed.resource),
        ]
    });
    let removed = list.removed.iter().map(|removed| {
        vec![
            removed.key.to_string(),
            String::from("-"),
            progress(removed.state, &removed.zones),
            format!("deleted by revision {}", removed.revision),
        ]
    });
    let pending = list.pending.iter().flat_map(|pending| {
        pending.keys.iter().map(|key| {
            vec![
                key.to_string(),
                String::from("-"),
                String::from(State::Declared.as_str()),
                format!("change {}", pending.id),
            ]
        })
    });
    let rows: Vec<Vec<String>> = declared.chain(removed).chain(pending).collect();
    table(&["RESOURCE", "GENERATION", "STATE", "SUMMARY"], &rows);
}

/// Prints one resource with all its fields.
pub(crate) fn resource(list: &List, output: Output) {
    if output == Output::Json {
        return json(list);
    }
    freshness(&list.freshness);
    for listed in &list.resources {
        let progress = progress(listed.state, &listed.zones);
        print_line!("generation={} state={progress}", listed.generation);
        json(&listed.resource);
    }
    for removed in &list.removed {
        print_line!(
            "{} {}",
            removed.key,
            progress(removed.state, &removed.zones)
        );
    }
}

/// Prints the states of resources that differ from those in `before`.
pub(crate) fn changes(before: Option<&List>, list: &List, output: Output) {
    let states = |list: &List| -> BTreeMap<String, String> {
        let listed = list.resources.iter().map(|listed| {
            let progress = progress(listed.state, &listed.zones);
            let key = listed.resource.key().to_string();
            (key, format!("generation={} {progress}", listed.generation))
        });
        let removed = list.removed.iter().map(|removed| {
            let progress = progress(removed.state, &removed.zones);
            (removed.key.to_string(), progress)
        });
        listed.chain(removed).collect()
    };
    let (old, new) = (before.map(states).unwrap_or_default(), states(list));
    if old == new && before.is_some() {
        return;
    }
    if output == Output::Json {
        return json_line(list);
    }
    for (key, state) in &new {
        if old.get(key) != Some(state) {
            print_line!("revision={} {key} {state}", list.freshness.revision);
        }
    }
}

/// Formats the summary of a resource.
fn summary(resource: &Resource) -> String {
    match resource {
        Resource::Workspace(workspace) => {
            let keys = workspace.key_hashes.len();
            format!("weight={} keys={keys}", workspace.weight)
        }
        Resource::Pool(pool) => {
            let servers = pool.servers.len();
            format!("kind={:?} servers={servers}", pool.kind).to_lowercase()
        }
        Resource::Route(route) => match &route.model {
            Some(model) => format!("{} model={model} -> {}", route.path, route.pool),
            None => format!("{} -> {}", route.path, route.pool),
        },
        Resource::Zone(zone) => format!("service={}", service(zone.service)),
        Resource::Drain(_) => String::from("no new work"),
    }
}

/// Prints the differences between the declared and the desired resource.
pub(crate) fn difference(declared: Option<&Resource>, desired: &Resource) {
    let Some(declared) = declared else {
        print_line!("+ {}", desired.key());
        return;
    };
    print_line!("~ {}", desired.key());
    let before = serde_json::to_value(declared).unwrap_or_default();
    let after = serde_json::to_value(desired).unwrap_or_default();
    let (Some(before), Some(after)) = (before.as_object(), after.as_object()) else {
        return;
    };
    for (name, value) in after {
        if before.get(name) != Some(value) {
            let old = before.get(name).cloned().unwrap_or_default();
            print_line!("    {name}: {old} -> {value}");
        }
    }
}

/// Formats a resource that a change put.
fn put_summary(resource: &Resource) -> String {
    match resource {
        Resource::Zone(zone) => format!("+{}={}", resource.key(), service(zone.service)),
        _ => format!("+{}", resource.key()),
    }
}

fn service(service: Service) -> &'static str {
    match service {
        Service::In => "in",
        Service::Out => "out",
    }
}

/// Formats a time in milliseconds since the Unix epoch.
fn timestamp(millis: u64) -> String {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(millis);
    humantime::format_rfc3339_seconds(time).to_string()
}

/// Prints the audit trail in chronological order.
pub(crate) fn history(history: &History, output: Output) {
    if output == Output::Json {
        return json(history);
    }
    let accepted = history.changes.iter().map(|change| {
        let puts = change.puts.iter().map(put_summary);
        let deletes = change.deletes.iter().map(|key| format!("-{key}"));
        let what: Vec<String> = puts.chain(deletes).collect();
        let row = vec![
            format!("{} -> {}", change.from, change.to),
            timestamp(change.when),
            change.who.to_string(),
            String::from("accepted"),
            change.id.to_string(),
            what.join(" "),
        ];
        (change.when, row)
    });
    let refused = history.refused.iter().map(|refused| {
        let puts = refused.puts.iter().map(|key| format!("+{key}"));
        let deletes = refused.deletes.iter().map(|key| format!("-{key}"));
        let what: Vec<String> = puts.chain(deletes).collect();
        let row = vec![
            format!("at {}", refused.revision),
            timestamp(refused.when),
            refused.who.to_string(),
            String::from(reason(refused.reason)),
            refused.id.to_string(),
            what.join(" "),
        ];
        (refused.when, row)
    });
    let mut rows: Vec<(u64, Vec<String>)> = accepted.chain(refused).collect();
    rows.sort_by_key(|(when, _)| *when);
    let rows: Vec<Vec<String>> = rows.into_iter().map(|(_, row)| row).collect();
    table(&["REVISION", "WHEN", "WHO", "OUTCOME", "ID", "WHAT"], &rows);
}

fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::Invalid => "invalid",
        Reason::Conflict => "conflict",
    }
}
