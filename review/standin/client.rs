//! Clients: one request on a connection, with what came back.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::http::{Body, Connection};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: String,
    pub deadline_ms: u64,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if there was none.
    pub status: u16,
    pub retry_after: Option<f64>,
    pub is_signed: bool,
    pub body: String,
    /// The ids of the whole events that came.
    pub events: Vec<u64>,
    pub is_complete: bool,
    pub is_connected: bool,
    pub error: Option<String>,
}

pub const HOST: &str = "ficu95.example";

impl Request {
    fn text(&self) -> String {
        let (method, path, id) = (self.method, &self.path, &self.id);
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n");
        if !self.key.is_empty() {
            text += &format!("Authorization: Bearer {}\r\n", self.key);
        }
        text += &format!("Deadline-Ms: {}\r\n", self.deadline_ms);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        if method == "GET" {
            return text + "\r\n";
        }
        text + &format!("Content-Length: {}\r\n\r\n{}", self.body.len(), self.body)
    }
}

/// Sends a request on a new connection. `leave_after` ends the connection after so long.
pub fn call(address: SocketAddr, request: &Request, leave_after: Option<Duration>) -> Answer {
    let mut answer = Answer::default();
    let until = Instant::now() + Duration::from_millis(request.deadline_ms + 500);
    let until = leave_after.map_or(until, |after| until.min(Instant::now() + after));
    if let Err(error) = exchange(address, request, until, &mut answer) {
        answer.error = Some(error.to_string());
    }
    answer
}

fn exchange(
    address: SocketAddr,
    request: &Request,
    until: Instant,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut connection = Connection::open(address, Duration::from_secs(1))?;
    answer.is_connected = true;
    connection.send(&request.text())?;
    wait(&connection, until)?;
    let head = connection.head()?;
    answer.status = head.status();
    answer.is_signed = head.header("response-signature").is_some();
    answer.retry_after = head
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    let mut body = Body::of(&head);
    loop {
        wait(&connection, until)?;
        let Some(part) = connection.part(&mut body)? else {
            break;
        };
        answer.body += &String::from_utf8_lossy(&part);
        answer.events = whole_events(&answer.body);
    }
    answer.is_complete = true;
    Ok(())
}

/// Sends a request on a new connection and reads the answer without keeping it. Returns its status
/// and length, and whether it has ended before the client leaves.
pub fn skim(address: SocketAddr, request: &Request) -> (u16, usize, bool) {
    let until = Instant::now() + Duration::from_millis(request.deadline_ms);
    let mut skimmed = (0, 0, false);
    let mut read = || -> io::Result<()> {
        let mut connection = Connection::open(address, Duration::from_secs(1))?;
        connection.send(&request.text())?;
        wait(&connection, until)?;
        let head = connection.head()?;
        skimmed.0 = head.status();
        let mut body = Body::of(&head);
        loop {
            wait(&connection, until)?;
            match connection.part(&mut body)? {
                Some(part) => skimmed.1 += part.len(),
                None => return Ok(()),
            }
        }
    };
    let result = read();
    // An answer that is broken off has ended as well; a client that leaves has got no end.
    skimmed.2 = result.is_ok() || Instant::now() < until;
    skimmed
}

fn wait(connection: &Connection, until: Instant) -> io::Result<()> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::Error::other("the client has left"));
    }
    connection.stream.set_read_timeout(Some(left))
}

fn whole_events(body: &str) -> Vec<u64> {
    let whole = body.rfind("\n\n").map_or("", |end| &body[..end]);
    let events = whole.split("\n\n").filter_map(|event| {
        let line = event.lines().find_map(|line| line.strip_prefix("id: "))?;
        line.trim().parse().ok()
    });
    events.collect()
}
