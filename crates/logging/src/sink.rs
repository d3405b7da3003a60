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

/// The maximum number of queued lines.
const CAPACITY: usize = 4096;
/// The maximum size of the queued lines, in bytes. At about 200 bytes per line, all of them take half
/// of it; lines that repeat what clients have sent may be longer.
const MAX_BYTES: usize = 2 * 1024 * 1024;
/// The number of queued lines from which only important lines are accepted: warnings, errors
/// and refusals.
const HIGH_WATERMARK: usize = CAPACITY * 3 / 4;
/// The size of the queued lines from which only important lines are accepted, in bytes.
const BYTES_WATERMARK: usize = MAX_BYTES * 3 / 4;
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
    queued: Arc<Queued>,
    dropped: Arc<AtomicU64>,
}

/// What waits to be written.
#[derive(Debug, Default)]
struct Queued {
    lines: AtomicUsize,
    bytes: AtomicUsize,
}

impl Queued {
    fn add(&self, bytes: usize) {
        self.lines.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn remove(&self, lines: usize, bytes: usize) {
        self.lines.fetch_sub(lines, Ordering::Relaxed);
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn is_above_watermark(&self) -> bool {
        self.lines.load(Ordering::Relaxed) >= HIGH_WATERMARK
            || self.bytes.load(Ordering::Relaxed) >= BYTES_WATERMARK
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.bytes.load(Ordering::Relaxed) + bytes <= MAX_BYTES
    }
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
        let is_unwanted = self.queued.is_above_watermark() && is_droppable(line);
        if is_unwanted || !self.queued.has_room(line.len()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        self.queued.add(line.len());
        if self.lines.try_send(line.to_vec()).is_err() {
            self.queued.remove(1, line.len());
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
    queued: &Queued,
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
        queued.remove(count, batch.len());
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
