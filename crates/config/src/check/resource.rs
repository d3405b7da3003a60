//! Checks of a single resource.

use std::net;

use serde_json::Value;
use units::{name, request};

use super::{Faults, Fields, elements};
use crate::{
    key::Type,
    resource::{Drain, Kind, Pool, Resource, Route, Server, Service, Workspace, Zone},
};

const MAX_WEIGHT: u32 = 1_000;
const MAX_IN_FLIGHT: u32 = 1_000_000;
const MAX_KEY_HASHES: usize = 64;
const MAX_SERVERS: usize = 20_000;
const MAX_LOAD_BOUND: f64 = 100.0;
const MAX_CONCURRENCY: u32 = 100_000;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_PATH_LENGTH: usize = 256;
const MAX_MODEL_LENGTH: usize = 128;

/// The length of a BLAKE3 hash, in hex digits.
const HASH_DIGITS: usize = 64;

/// The path prefixes that the router serves itself.
const RESERVED_PATHS: [&str; 4] = ["/weir", "/healthz", "/readyz", "/metrics"];

/// Parses and checks the resource `value` at `path`.
///
/// Adds the faults of the resource to `faults`. Returns `None` if they prevent its
/// construction.
pub fn resource(value: &Value, path: &str, faults: &mut Faults) -> Option<Resource> {
    let mut fields = Fields::new(value, path, faults)?;
    let kind: Type = fields.required("type", faults)?;
    let read = match kind {
        Type::Workspace => workspace(&mut fields, faults).map(Resource::Workspace),
        Type::Pool => pool(&mut fields, faults).map(Resource::Pool),
        Type::Route => route(&mut fields, faults).map(Resource::Route),
        Type::Zone => zone(&mut fields, faults).map(Resource::Zone),
        Type::Drain => drain(&mut fields, faults).map(Resource::Drain),
    };
    fields.reject_unknown(faults);
    read
}

fn workspace(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<Workspace> {
    let name = fields.name("name", faults);
    let weight = fields.within("weight", 1, 1..=MAX_WEIGHT, faults);
    let max_in_flight = fields.or_default("max_in_flight", None, faults);
    if let Some(Some(limit)) = max_in_flight
        && !(1..=MAX_IN_FLIGHT).contains(&limit)
    {
        let message = format!("{limit} is not in 1 to {MAX_IN_FLIGHT}");
        faults.add(&fields.path("max_in_flight"), message);
    }
    let key_hashes = key_hashes(fields, faults);
    Some(Workspace {
        name: name?,
        weight: weight?,
        max_in_flight: max_in_flight?,
        key_hashes,
    })
}

fn key_hashes(fields: &mut Fields<'_>, faults: &mut Faults) -> Vec<String> {
    let path = fields.path("key_hashes");
    let mut hashes = Vec::new();
    for (path, element) in elements(fields.value("key_hashes"), &path, MAX_KEY_HASHES, faults) {
        match element.as_str() {
            Some(text) if is_hash(text) => hashes.push(text.to_ascii_lowercase()),
            // The message omits the text, which may be the key itself.
            _ => faults.add(&path, "a BLAKE3 hash of 64 hex digits is needed"),
        }
    }
    hashes
}

fn is_hash(text: &str) -> bool {
    text.len() == HASH_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn pool(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<Pool> {
    let name = fields.name("name", faults);
    let kind: Option<Kind> = fields.required("kind", faults);
    let reports_load = fields.or_default("reports_load", false, faults);
    let checks_fencing = fields.or_default("checks_fencing", false, faults);
    let load_bound = fields.within("load_bound", 1.25, 1.0..=MAX_LOAD_BOUND, faults);
    let max_concurrency = fields.within("max_concurrency", 64, 1..=MAX_CONCURRENCY, faults);
    let path = fields.path("servers");
    let listed = elements(fields.value("servers"), &path, MAX_SERVERS, faults);
    let servers = listed
        .iter()
        .filter_map(|(path, element)| server(element, path, faults))
        .collect();
    Some(Pool {
        name: name?,
        kind: kind?,
        reports_load: reports_load?,
        checks_fencing: checks_fencing?,
        load_bound: load_bound?,
        max_concurrency: max_concurrency?,
        servers,
    })
}

fn server(value: &Value, path: &str, faults: &mut Faults) -> Option<Server> {
    let mut fields = Fields::new(value, path, faults)?;
    let name = fields.name("name", faults);
    let zone = fields.name("zone", faults);
    let address: Option<net::SocketAddr> = fields.required("address", faults);
    if address.is_some_and(|address| address.port() == 0) {
        faults.add(&fields.path("address"), "port 0 cannot be reached");
    }
    let weight = fields.within("weight", 1, 1..=MAX_WEIGHT, faults);
    fields.reject_unknown(faults);
    Some(Server {
        name: name?,
        zone: zone?,
        address: address?,
        weight: weight?,
    })
}

fn route(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<Route> {
    let name: Option<String> = fields.required("name", faults);
    if let Some(Err(invalid)) = name.as_deref().map(name::check) {
        faults.add(&fields.path("name"), invalid);
    }
    let path: Option<String> = fields.required("path", faults);
    if let Some(fault) = path.as_deref().and_then(path_fault) {
        faults.add(&fields.path("path"), fault);
    }
    let model: Option<Option<String>> = fields.or_default("model", None, faults);
    if let Some(Some(model)) = &model
        && !is_model(model)
    {
        let message = format!("1 to {MAX_MODEL_LENGTH} visible characters are needed");
        faults.add(&fields.path("model"), message);
    }
    let pool = fields.name("pool", faults);
    let idempotent = fields.or_default("idempotent", None, faults);
    let timeout_ms = fields.within("timeout_ms", 60_000, 1..=MAX_TIMEOUT_MS, faults);
    let priority = fields.or_default("priority", request::Priority::default(), faults);
    Some(Route {
        name: name?,
        path: path?,
        model: model?,
        pool: pool?,
        idempotent: idempotent?,
        timeout_ms: timeout_ms?,
        priority: priority?,
    })
}

fn is_model(model: &str) -> bool {
    (1..=MAX_MODEL_LENGTH).contains(&model.len())
        && model.bytes().all(|byte| byte.is_ascii_graphic())
}

/// The fault in the path prefix of a route, if there is one.
fn path_fault(path: &str) -> Option<String> {
    let is_path_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"/-._~%:@".contains(&byte);
    if path.len() > MAX_PATH_LENGTH {
        return Some(format!("is longer than {MAX_PATH_LENGTH} bytes"));
    }
    if !path.starts_with('/') || !path.bytes().all(is_path_byte) {
        return Some(String::from(
            "a path that begins with '/' and has no query is needed",
        ));
    }
    if path.contains("//") || (path.len() > 1 && path.ends_with('/')) {
        return Some(String::from(
            "an empty segment or a '/' at the end is not allowed",
        ));
    }
    let covers = |reserved: &&str| {
        let rest = path.strip_prefix(*reserved);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let reserved = RESERVED_PATHS.iter().find(|reserved| covers(reserved))?;
    Some(format!("{reserved} belongs to the router itself"))
}

fn zone(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<Zone> {
    let name = fields.name("name", faults);
    let service = fields.or_default("service", Service::default(), faults);
    Some(Zone {
        name: name?,
        service: service?,
    })
}

fn drain(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<Drain> {
    let name = fields.name("name", faults);
    Some(Drain { name: name? })
}
