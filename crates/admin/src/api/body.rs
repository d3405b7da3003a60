//! The bodies of requests.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time,
};

use config::response::{Code, Error};
use http_body_util::BodyExt as _;
use ingress::{Collector, Limits, Payload, Pool};
use salvo::{Request, http::Body as _};
use serde::de::DeserializeOwned;
use units::size::Megabytes;

/// Maximum size of a request body in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Maximum number of values in a document. In memory, a short value takes many times its text.
const MAX_VALUES: usize = 200_000;

/// Timeout of receiving a request body.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The share of the memory that may hold the bodies of requests, as a divisor.
const MEMORY_DIVISOR: usize = 4;

/// `Retry-After` in seconds when there is no memory.
const RETRY_AFTER_S: u64 = 1;

/// Reads the bodies of requests within the memory for them.
#[derive(Clone, Debug)]
pub(crate) struct Bodies {
    memory: Pool,
    /// Held while a document is parsed, so that only one at a time takes memory beside its text.
    parsing: Arc<Mutex<()>>,
}

impl Bodies {
    /// The bodies of a process with `memory`.
    pub(crate) fn new(memory: Megabytes) -> Self {
        Self {
            memory: Pool::new(Limits::new(memory.bytes() / MEMORY_DIVISOR)),
            parsing: Arc::default(),
        }
    }

    /// Receives the body of `request`.
    ///
    /// # Errors
    ///
    /// When it is too long, breaks off or finds no memory.
    pub(super) async fn receive(&self, request: &mut Request) -> Result<Payload, Error> {
        // A caller that sends its body byte by byte would occupy a connection indefinitely.
        let collected = tokio::time::timeout(TIMEOUT, self.collect(request));
        let collected = collected.await;
        collected.map_err(|_| malformed(String::from("the body took too long")))?
    }

    async fn collect(&self, request: &mut Request) -> Result<Payload, Error> {
        let mut body = request.take_body();
        let too_long = || malformed(format!("the body is over the limit of {MAX_BODY} bytes"));
        let hint = body.size_hint();
        if hint.lower() > MAX_BODY as u64 {
            return Err(too_long());
        }
        let expected = hint.exact().and_then(|length| usize::try_from(length).ok());
        let mut collector = Collector::new(&self.memory, expected);
        while let Some(frame) = body.frame().await {
            let frame =
                frame.map_err(|error| malformed(format!("the body cannot be read: {error}")))?;
            let part = frame.into_data().unwrap_or_default();
            if collector.len() + part.len() > MAX_BODY {
                return Err(too_long());
            }
            collector.push(&part).map_err(|_| busy())?;
        }
        Ok(collector.finish())
    }

    /// Parses a JSON body, and passes it to `read`.
    ///
    /// # Errors
    ///
    /// When it is not JSON, or has too many values, or `read` fails.
    pub(super) fn parse<B, T>(
        &self,
        body: &Payload,
        read: impl FnOnce(B) -> Result<T, Error>,
    ) -> Result<T, Error>
    where
        B: DeserializeOwned,
    {
        if count_values(body) > MAX_VALUES {
            let message = format!("the body has more than {MAX_VALUES} values");
            return Err(malformed(message));
        }
        let _turn = self.parsing.lock().unwrap_or_else(PoisonError::into_inner);
        let parsed = match body.as_slice() {
            Some(bytes) => serde_json::from_slice(bytes),
            None => serde_json::from_reader(body.reader()),
        };
        let parsed =
            parsed.map_err(|error| malformed(format!("the body cannot be read: {error}")))?;
        read(parsed)
    }
}

/// The most values that a JSON document may have, by its punctuation outside of strings.
fn count_values(body: &Payload) -> usize {
    let (mut count, mut is_text, mut is_escaped) = (1, false, false);
    for byte in body.segments().iter().flatten() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_text => is_escaped = true,
            b'"' => is_text = !is_text,
            b',' | b':' | b'[' | b'{' if !is_text => count += 1,
            _ => {}
        }
    }
    count
}

fn malformed(message: String) -> Error {
    Error::not_run(Code::Malformed, message)
}

fn busy() -> Error {
    Error {
        retry_after: Some(RETRY_AFTER_S),
        ..Error::not_run(Code::Busy, "there is no memory for the body now")
    }
}
