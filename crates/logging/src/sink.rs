//! A bounded queue of log lines for a writer that may block.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

/// The maximum number of queued lines. At about 200 bytes per line they take less than 1 MB.
const CAPACITY: usize = 4096;
/// The number of queued lines from which only important lines are accepted: warnings, errors
/// and refusals.
const HIGH_WATERMARK: usize = CAPACITY * 3 / 4;
/// The time for which the writer thread collects a batch, which limits it to 50 wake-ups per
/// second.
pub(crate) const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// The number of bytes from which a batch is written without collecting further lines.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// A non-blocking writer of log lines.
///
/// If the reader of standard output stops reading, the pipe fills up. A direct
/// write of the next line would then block the process and stall all requests.
#[derive(Debug)]
pub struct Sink {
    lines: SyncSender<Vec<u8>>,
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes the lines to `writer`.
    pub fn start<W: Write + Send + 'static>(writer: W) -> Self {
        let (lines, receiver) = sync_channel(CAPACITY);
        let sink = Self {
            lines,
            queued: Arc::default(),
            dropped: Arc::default(),
        };
        let queued = Arc::clone(&sink.queued);
        let dropped = Arc::clone(&sink.dropped);
        thread::spawn(move || write_all(writer, &receiver, &queued, &dropped));
        sink
    }

    /// The number of lines dropped since the last event `log_lines_dropped`.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_above_watermark = self.queued.load(Ordering::Relaxed) >= HIGH_WATERMARK;
        if is_above_watermark && is_droppable(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line.to_vec()).is_err() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether `line` may be dropped above the high watermark: it is neither a warning, nor an
/// error, nor a refusal.
fn is_droppable(line: &[u8]) -> bool {
    let text = String::from_utf8_lossy(line);
    let is_important = text.contains("level=warn") || text.contains("level=error");
    !is_important && !text.contains("event=request_refused")
}

fn write_all<W: Write>(
    mut writer: W,
    receiver: &Receiver<Vec<u8>>,
    queued: &AtomicUsize,
    dropped: &AtomicU64,
) {
    while let Ok(first) = receiver.recv() {
        thread::sleep(BATCH_INTERVAL);
        let mut batch = first;
        let mut count = 1;
        while batch.len() < MAX_BATCH_BYTES
            && let Ok(line) = receiver.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        queued.fetch_sub(count, Ordering::Relaxed);
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = format!("level=warn event=log_lines_dropped count={lost}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        let written = writer.write_all(&batch).and_then(|()| writer.flush());
        if written.is_err() {
            // The pipe is closed, so the error cannot be logged either.
            return;
        }
    }
}
