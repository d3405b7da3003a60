//! Which process of a server is at the other end of a connection.
//!
//! A server may start again under its id and at its address, in another version. Its entry tells so,
//! unless it cannot reach the store. A request that only one version may serve is sent on a connection
//! on which the process has said which one it is.

use std::{fmt, time::Duration};

use bytes::{Bytes, BytesMut};
use hyper::{Request, StatusCode, header};

use crate::{connection::Connection, pool::Placement, protocol::Protocol};

/// The longest document that is read, in bytes.
const MAX_DOCUMENT: usize = 256 * 1024;

/// How long a server may take to say which process it is. Sound servers are silent for about a second at
/// times.
pub const TIMEOUT: Duration = Duration::from_millis(1200);

/// The process that accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// The one for which the request was placed.
    Expected,
    /// Another one, which started later.
    Other,
    /// It answers, and does not say.
    Unknown,
    /// It does not answer.
    Silent,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Expected => "expected",
            Self::Other => "other",
            Self::Unknown => "unknown",
            Self::Silent => "silent",
        })
    }
}

/// Asks which process has accepted the connection to the server of `placement`.
pub async fn ask<P: Protocol>(
    connection: &mut Connection,
    protocol: &P,
    path: &str,
    placement: &Placement,
) -> Process {
    let Ok(document) = read(connection, path, placement).await else {
        return Process::Silent;
    };
    let stated = document.and_then(|document| protocol.incarnation(&document));
    match stated.filter(|_| placement.incarnation > 0) {
        Some(incarnation) if incarnation > placement.incarnation => Process::Other,
        Some(_) => Process::Expected,
        None => Process::Unknown,
    }
}

/// No whole response has come.
struct Broken;

/// Reads what the server says of itself; `None` if its response is no such document.
async fn read(
    connection: &mut Connection,
    path: &str,
    placement: &Placement,
) -> Result<Option<Bytes>, Broken> {
    let request = Request::get(path)
        .header(header::HOST, placement.address.to_string())
        .body(ingress::Body::default());
    let Ok(request) = request else {
        return Ok(None);
    };
    let response = connection.send(request).await.map_err(|_| Broken)?;
    if response.status() != StatusCode::OK {
        return Ok(None);
    }
    let mut body = response.into_body();
    let mut document = BytesMut::new();
    while let Some(frame) = connection.frame(&mut body).await.map_err(|_| Broken)? {
        document.extend_from_slice(&frame.into_data().unwrap_or_default());
        if document.len() > MAX_DOCUMENT {
            return Ok(None);
        }
    }
    Ok(Some(document.freeze()))
}
