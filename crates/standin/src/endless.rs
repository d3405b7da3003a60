//! Responses that do not end.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncWrite, AsyncWriteExt as _},
    time,
};

/// What a stand-in writes until its client closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// Headers of a response.
    Head,
    /// Interim responses.
    Interim,
    /// Chunks of a body after the head of a success.
    Body,
}

impl Part {
    /// The bytes before those that repeat.
    const fn begin(self) -> &'static str {
        match self {
            Self::Head => "HTTP/1.1 200 OK\r\n",
            Self::Interim => "",
            Self::Body => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        }
    }

    /// The bytes that repeat.
    const fn unit(self) -> &'static str {
        match self {
            Self::Head => "x-more: 1\r\n",
            Self::Interim => "HTTP/1.1 100 Continue\r\n\r\n",
            Self::Body => "8\r\nxxxxxxxx\r\n",
        }
    }
}

/// A response without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endless {
    /// What does not end.
    pub part: Part,
    /// The bytes of one write.
    #[serde(default = "default_bytes")]
    pub bytes: u16,
    /// The time between two writes, in milliseconds; with zero, the client sets the pace.
    #[serde(default)]
    pub interval_ms: u64,
}

const fn default_bytes() -> u16 {
    1024
}

impl Endless {
    /// Writes until the client closes the connection.
    pub async fn write(self, mut client: impl AsyncWrite + Unpin) {
        let length = usize::from(self.bytes.max(1));
        let mut rest = self.part.unit().bytes().cycle();
        let mut next = self.part.begin().as_bytes().to_vec();
        while client.write_all(&next).await.is_ok() {
            time::sleep(Duration::from_millis(self.interval_ms)).await;
            next = rest.by_ref().take(length).collect();
        }
    }
}
