//! A bounded queue of log lines in front of a writer that may block.

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

/// How many lines may wait. A line has 200 bytes or so: under a megabyte.
const CAPACITY: usize = 4096;
/// From this many waiting lines on only warnings and errors are taken.
const HIGH_WATERMARK: usize = CAPACITY * 3 / 4;
/// How long the writer collects lines, so that it wakes 50 times a second at most.
pub(crate) const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// The most bytes that are written at once.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Takes log lines without ever blocking.
///
/// A reader of standard output that stops lets the pipe fill up. Written to
/// directly, the next line would then hold up the whole process, and callers
/// would notice that all requests stand still at once.
#[derive(Debug)]
pub struct Sink {
    lines: SyncSender<Vec<u8>>,
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes to `writer`.
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

    /// How many lines were left out since the last one that says so.
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

/// Whether a line is neither a warning nor an error nor about a refusal.
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
        let mut taken = 1;
        while batch.len() < MAX_BATCH_BYTES
            && let Ok(line) = receiver.try_recv()
        {
            batch.extend_from_slice(&line);
            taken += 1;
        }
        queued.fetch_sub(taken, Ordering::Relaxed);
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = format!("level=warn event=log_lines_dropped count={lost}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        let written = writer.write_all(&batch).and_then(|()| writer.flush());
        if written.is_err() {
            // The reader is gone, and there is nobody left to tell.
            return;
        }
    }
}
