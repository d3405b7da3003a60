//! A chat completion in progress.

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;
use tokio::sync::{mpsc, watch};

use crate::http::Disconnected;

/// The token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct Usage {
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    pub(super) completion_tokens: u64,
}

/// The state of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Stage {
    #[default]
    Running,
    Done(Usage),
    Cancelled,
}

/// The words generated so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub(super) words: Vec<String>,
    pub(super) stage: Stage,
}

/// A chat completion in progress. Clients can reconnect and resume reading it.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) attempt: String,
    pub(super) model: String,
    pub(super) progress: watch::Sender<Progress>,
}

/// How a stream ends, which a fault can make end early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Complete,
    /// The connection is closed after this many events.
    Disconnect(usize),
    /// The stream ends after this many events with a valid end of body.
    Truncated(usize),
}

impl Generation {
    pub(super) fn new(attempt: String, model: String) -> Self {
        Self {
            attempt,
            model,
            progress: watch::Sender::default(),
        }
    }

    pub(super) fn push(&self, word: String) {
        self.progress.send_modify(|p| p.words.push(word));
    }

    /// Ends the generation in `stage`, unless it has already ended.
    pub(super) fn end(&self, stage: Stage) {
        self.progress.send_if_modified(|progress| {
            let runs = progress.stage == Stage::Running;
            if runs {
                progress.stage = stage;
            }
            runs
        });
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.progress.borrow().stage == Stage::Cancelled
    }

    /// Waits for the first word or the end of the generation.
    pub(super) async fn wait_for_first_token(&self) {
        let mut progress = self.progress.subscribe();
        let has_begun = |p: &Progress| !p.words.is_empty() || p.stage != Stage::Running;
        drop(progress.wait_for(has_begun).await);
    }

    /// Waits for the end and returns the complete text with its usage.
    pub(super) async fn wait_for_completion(&self) -> Result<(String, Usage), Disconnected> {
        let mut progress = self.progress.subscribe();
        let ended = progress.wait_for(|p| p.stage != Stage::Running).await;
        let progress = ended.map_err(|_| Disconnected)?;
        match progress.stage {
            Stage::Done(usage) => Ok((progress.words.join(" "), usage)),
            _ => Err(Disconnected),
        }
    }

    /// Sends the events to `chunks`, starting with event number `from`.
    pub(super) async fn send_to(
        &self,
        from: usize,
        end: End,
        chunks: mpsc::Sender<Result<Bytes, Disconnected>>,
    ) {
        // If this send fails too, the client has disconnected and nobody reads the error.
        if let Err(Disconnected) = self.send_events(from, end, &chunks).await {
            drop(chunks.send(Err(Disconnected)).await);
        }
    }

    async fn send_events(
        &self,
        from: usize,
        end: End,
        chunks: &mpsc::Sender<Result<Bytes, Disconnected>>,
    ) -> Result<(), Disconnected> {
        let mut progress = self.progress.subscribe();
        let mut next = from;
        loop {
            let (words, stage) = {
                let more = |p: &Progress| p.words.len() > next || p.stage != Stage::Running;
                let snapshot = progress.wait_for(more).await.map_err(|_| Disconnected)?;
                let words = snapshot.words.get(next..).unwrap_or_default().to_vec();
                (words, snapshot.stage)
            };
            for word in words {
                match end {
                    End::Disconnect(at) if next >= at => return Err(Disconnected),
                    End::Truncated(at) if next >= at => return Ok(()),
                    _ => {}
                }
                send(chunks, &self.chunk_json(next, &word)).await?;
                next += 1;
            }
            match stage {
                Stage::Running => {}
                Stage::Cancelled => return Err(Disconnected),
                Stage::Done(usage) => return self.send_end(next, usage, chunks).await,
            }
        }
    }

    /// Sends the usage event, unless the client has already received it, and the final
    /// `[DONE]` event.
    async fn send_end(
        &self,
        next: usize,
        usage: Usage,
        chunks: &mpsc::Sender<Result<Bytes, Disconnected>>,
    ) -> Result<(), Disconnected> {
        let words = self.progress.borrow().words.len();
        if next == words {
            let event = json!({
                "id": self.attempt, "object": "chat.completion.chunk", "model": self.model,
                "choices": [], "usage": usage,
            });
            send(chunks, &event.to_string()).await?;
        }
        send(chunks, "[DONE]").await
    }

    fn chunk_json(&self, index: usize, word: &str) -> String {
        let space = if index == 0 { "" } else { " " };
        let event = json!({
            "id": self.attempt, "object": "chat.completion.chunk", "model": self.model,
            "choices": [{
                "index": 0,
                "delta": { "content": format!("{space}{word}") },
                "finish_reason": null,
            }],
        });
        event.to_string()
    }
}

async fn send(
    chunks: &mpsc::Sender<Result<Bytes, Disconnected>>,
    data: &str,
) -> Result<(), Disconnected> {
    let event = Bytes::from(format!("data: {data}\n\n"));
    chunks.send(Ok(event)).await.map_err(|_| Disconnected)
}
