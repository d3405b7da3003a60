//! The replies of an owner to one request.

use std::time::Duration;

use tokio::time;
use wire::hop::{Frame, Reply};

use super::{
    KEEPALIVE_INTERVAL, KEEPALIVE_TIMEOUT,
    link::{Error, Link, Writer},
};

/// Receives the replies of an owner up to the deadline of the request.
///
/// The owner ends the request at its deadline. Its reply may take as long as any other frame.
#[derive(Debug)]
pub(super) struct Replies {
    link: Link,
    deadline: time::Instant,
    /// The number of keepalives that the owner may still send.
    keepalives: u128,
}

impl Replies {
    /// Receives the replies to a request that was sent over `link` and whose deadline is in
    /// `remaining`.
    pub(super) fn new(link: Link, remaining: Duration) -> Self {
        let remaining = remaining + KEEPALIVE_TIMEOUT;
        Self {
            link,
            deadline: time::Instant::now() + remaining,
            // Twice as many as the owner sends: the clocks of two hosts differ.
            keepalives: 2 * remaining
                .as_millis()
                .div_ceil(KEEPALIVE_INTERVAL.as_millis()),
        }
    }

    /// Receives the next reply that is no keepalive. This method is cancel safe.
    ///
    /// # Errors
    ///
    /// If the link broke, the owner is late or sends more than an owner may. The link must not be
    /// used afterwards.
    pub(super) async fn next(&mut self) -> Result<Frame<Reply>, Error> {
        loop {
            match self.receive().await? {
                Frame::Message(Reply::Alive) if self.keepalives > 0 => self.keepalives -= 1,
                Frame::Message(Reply::Alive) => return Err(malformed()),
                Frame::Data(data) if data.is_empty() => return Err(malformed()),
                frame => return Ok(frame),
            }
        }
    }

    async fn receive(&mut self) -> Result<Frame<Reply>, Error> {
        let next = time::Instant::now() + KEEPALIVE_TIMEOUT;
        self.link.reader.receive_by(next.min(self.deadline)).await
    }

    /// When the last reply has to be received.
    pub(super) fn deadline(&self) -> time::Instant {
        self.deadline
    }

    /// The sending half of the link.
    pub(super) fn writer(&mut self) -> &mut Writer {
        &mut self.link.writer
    }

    /// The link, after the last reply.
    pub(super) fn into_link(self) -> Link {
        self.link
    }
}

fn malformed() -> Error {
    Error::Frame(wire::Error::Malformed)
}
