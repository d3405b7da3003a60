//! Validation of requests from callers.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use config::{resource, snapshot::Snapshot};
use http_body_util::BodyExt as _;
use hyper::{
    HeaderMap,
    body::{Body as _, Incoming},
    header,
    http::request::Parts,
};
use ingress::{Collector, Payload, Pool};
use serde::Deserialize;
use subtle::ConstantTimeEq as _;
use tokio::time;
use units::{chat, cost, request, workspace};
use verdict::{Code, Refusal};
use wire::hop;

use crate::{
    entry::Entry,
    hop::head,
    limits,
    request::{Request as Checked, Semantics},
};

/// Number of output tokens assumed for a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;
/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

/// The fields of a chat completion request that the router reads.
#[derive(Debug, Default, Deserialize)]
struct Prompt {
    model: Option<String>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// Returns the request id set by the caller, or a new one.
pub fn id(headers: &HeaderMap) -> request::Id {
    header_text(headers, "x-request-id")
        .filter(|value| value.len() == 16)
        .and_then(|value| value.parse().ok())
        .unwrap_or_else(|| request::Id(rand::random()))
}

/// Validates a request and reads its body.
///
/// # Errors
///
/// A refusal that names the first fault found. The request has not run.
pub async fn request(
    parts: &Parts,
    body: &mut Incoming,
    id: request::Id,
    entry: &Arc<Entry>,
) -> Result<Checked, Refusal> {
    let snapshot = entry.snapshot()?;
    let headers = &parts.headers;
    check_head(parts)?;
    let workspace = workspace(headers, &snapshot)?;
    let body = read_body(body, &entry.bodies).await?;
    let path = parts.uri.path();
    let prompt = prompt(&body, entry);
    let model = prompt
        .as_ref()
        .ok()
        .and_then(|prompt| prompt.model.as_deref());
    let Some(route) = snapshot.route(path, model) else {
        let message = format!("No route serves {path}.");
        return Err(Refusal::not_run(Code::UnknownRoute, message));
    };
    let kind = snapshot
        .pool(&route.pool)
        .map_or(resource::Kind::Service, |pool| pool.kind);
    let prompt = match (kind, prompt) {
        (resource::Kind::Engine, Err(error)) => {
            let message = format!("The body is not a chat completion request: {error}.");
            return Err(Refusal::not_run(Code::Malformed, message));
        }
        (resource::Kind::Engine, Ok(prompt)) => prompt,
        (resource::Kind::Service, _) => Prompt::default(),
    };
    let chat = chat(headers, &workspace, kind)?;
    let method = parts.method.clone();
    let semantics = if route.is_idempotent(method.as_str()) {
        Semantics::Idempotent
    } else {
        Semantics::AtMostOnce
    };
    let target = parts
        .uri
        .path_and_query()
        .map_or_else(|| String::from(path), ToString::to_string);
    Ok(Checked {
        id,
        chat,
        route: route.name.clone(),
        pool: route.pool.clone(),
        cost: cost(kind, &prompt, &body),
        priority: route.priority,
        deadline: entry.clock.now() + timeout(headers, route)?,
        semantics,
        idempotency_key: idempotency_key(headers)?,
        fingerprint: entry.fingerprint(&workspace, &route.name, &target, &body),
        events: prompt.stream,
        headers: forwarded(headers, id, &workspace, chat, route.priority),
        method,
        target,
        body,
        workspace,
    })
}

fn check_head(parts: &Parts) -> Result<(), Refusal> {
    let headers = &parts.headers;
    if headers.len() > limits::MAX_HEADERS {
        let message = format!("The request has more than {} headers.", limits::MAX_HEADERS);
        return Err(Refusal::not_run(Code::TooLarge, message));
    }
    let names = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let length = parts.uri.to_string().len() + names.sum::<usize>();
    if length > limits::MAX_HEAD_BYTES {
        let message = format!(
            "The head is over its limit of {} bytes.",
            limits::MAX_HEAD_BYTES
        );
        return Err(Refusal::not_run(Code::TooLarge, message));
    }
    Ok(())
}

fn workspace(headers: &HeaderMap, snapshot: &Snapshot) -> Result<workspace::Id, Refusal> {
    let unknown = |message: &str| Refusal::not_run(Code::UnknownWorkspace, message);
    let name = header_text(headers, "x-weir-workspace")
        .ok_or_else(|| unknown("The header x-weir-workspace is missing."))?;
    let id: workspace::Id = name
        .parse()
        .map_err(|_| unknown("The header x-weir-workspace is not a workspace's name."))?;
    let Some(declared) = snapshot.workspace(&id) else {
        return Err(unknown("The workspace is not declared."));
    };
    if !declared.key_hashes.is_empty() && !is_authorized(headers, declared) {
        return Err(Refusal::not_run(
            Code::BadKey,
            "The caller's key is missing or does not belong to the workspace.",
        ));
    }
    Ok(id)
}

/// Returns whether the caller's API key belongs to the workspace.
///
/// Hashes are compared in constant time, since the duration of a comparison that
/// stops at the first difference would reveal how many leading bytes match.
fn is_authorized(headers: &HeaderMap, declared: &resource::Workspace) -> bool {
    let Some(key) = header_text(headers, header::AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix("Bearer "))
    else {
        return false;
    };
    let hash = blake3::hash(key.as_bytes()).to_hex();
    declared
        .key_hashes
        .iter()
        .fold(subtle::Choice::from(0), |found, declared| {
            found | declared.as_bytes().ct_eq(hash.as_bytes())
        })
        .into()
}

fn chat(
    headers: &HeaderMap,
    workspace: &workspace::Id,
    kind: resource::Kind,
) -> Result<Option<chat::Key>, Refusal> {
    match (header_text(headers, "x-weir-chat"), kind) {
        (Some(name), _) if (1..=limits::MAX_NAME_BYTES).contains(&name.len()) => {
            Ok(Some(chat::Key::new(workspace, name)))
        }
        (Some(_), _) => Err(Refusal::not_run(
            Code::Malformed,
            format!(
                "The header x-weir-chat must have 1 to {} bytes.",
                limits::MAX_NAME_BYTES
            ),
        )),
        (None, resource::Kind::Engine) => Err(Refusal::not_run(
            Code::MissingChat,
            "The header x-weir-chat is missing.",
        )),
        (None, resource::Kind::Service) => Ok(None),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    match header_text(headers, "idempotency-key") {
        Some(key) if (1..=limits::MAX_NAME_BYTES).contains(&key.len()) => {
            Ok(Some(String::from(key)))
        }
        Some(_) => Err(Refusal::not_run(
            Code::Malformed,
            format!(
                "The header idempotency-key must have 1 to {} bytes.",
                limits::MAX_NAME_BYTES
            ),
        )),
        None if headers.contains_key("idempotency-key") => Err(Refusal::not_run(
            Code::Malformed,
            "The header idempotency-key must be text.",
        )),
        None => Ok(None),
    }
}

fn timeout(headers: &HeaderMap, route: &resource::Route) -> Result<Duration, Refusal> {
    let max = route.timeout_ms;
    let millis = match header_text(headers, "x-weir-timeout-ms") {
        None => max,
        Some(value) => value.parse::<u64>().map_err(|_| {
            Refusal::not_run(
                Code::Malformed,
                "The header x-weir-timeout-ms must be a number of milliseconds.",
            )
        })?,
    };
    Ok(Duration::from_millis(millis.min(max)))
}

fn cost(kind: resource::Kind, prompt: &Prompt, body: &Payload) -> cost::Cost {
    match kind {
        resource::Kind::Engine => {
            let output = prompt.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
            cost::Cost(body.len() as u64 / BYTES_PER_TOKEN + output)
        }
        resource::Kind::Service => cost::Cost(1),
    }
}

fn forwarded(
    headers: &HeaderMap,
    id: request::Id,
    workspace: &workspace::Id,
    chat: Option<chat::Key>,
    priority: request::Priority,
) -> Vec<hop::Header> {
    let mut forwarded = head::from_map(headers);
    let mut add = |name: &str, value: String| {
        forwarded.push(hop::Header {
            name: String::from(name),
            value: value.into_bytes(),
        });
    };
    add("x-request-id", id.to_string());
    add("x-weir-workspace", workspace.to_string());
    add("x-weir-priority", priority.to_string());
    if let Some(chat) = chat {
        add("x-weir-chat", chat.to_string());
    }
    forwarded
}

/// Reads the fields of a chat completion request.
fn prompt(body: &Payload, entry: &Entry) -> Result<Prompt, serde_json::Error> {
    match body.as_slice() {
        Some(bytes) => serde_json::from_slice(bytes),
        None => {
            let _turn = entry.parsing.lock().unwrap_or_else(PoisonError::into_inner);
            serde_json::from_reader(body.reader())
        }
    }
}

async fn read_body(body: &mut Incoming, memory: &Pool) -> Result<Payload, Refusal> {
    let until = time::Instant::now() + limits::BODY_TIMEOUT;
    match time::timeout_at(until, collect(body, memory)).await {
        Ok(collected) => collected,
        Err(_) => Err(Refusal::not_run(
            Code::SlowCaller,
            "The body did not arrive in time.",
        )),
    }
}

async fn collect(body: &mut Incoming, memory: &Pool) -> Result<Payload, Refusal> {
    let most = limits::MAX_BODY_BYTES;
    // A body whose declared length is over the limit is refused before it arrives.
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let expected = body.size_hint().exact();
    let expected = expected.and_then(|length| usize::try_from(length).ok());
    let mut collector = Collector::new(memory, expected);
    let waited = time::timeout(limits::MEMORY_WAIT, collector.wait()).await;
    waited.map_err(|_| no_memory())?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| {
            Refusal::not_run(
                Code::Malformed,
                "The body ended before its announced length.",
            )
        })?;
        let part = frame.into_data().unwrap_or_default();
        if collector.len() + part.len() > most {
            return Err(too_large());
        }
        collector.push(&part).map_err(|_| no_memory())?;
    }
    Ok(collector.finish())
}

fn too_large() -> Refusal {
    Refusal::not_run(
        Code::TooLarge,
        format!(
            "The body is over its limit of {} bytes.",
            limits::MAX_BODY_BYTES
        ),
    )
}

/// The refusal of a request whose body finds no memory. Nothing of it has run.
pub fn no_memory() -> Refusal {
    Refusal::not_run(Code::Busy, "There is no memory for the body now.")
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
