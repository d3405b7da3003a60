//! Log lines whose reader has stopped.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use logging::Sink;

/// A writer that stands still until it is let go, and then keeps what it gets.
struct BlockedWriter {
    /// Told once it stands still.
    blocked: mpsc::Sender<()>,
    release: mpsc::Receiver<()>,
    is_released: bool,
    written: Arc<Mutex<Vec<u8>>>,
    done: mpsc::Sender<()>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            self.blocked.send(()).expect("the test waits");
            self.is_released = self.release.recv().is_ok();
        }
        let mut written = self.written.lock().expect("nobody panicked");
        written.extend_from_slice(bytes);
        if bytes.windows(4).any(|window| window == b"last") {
            self.done.send(()).expect("the test waits");
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever collects the lines has stopped reading, and the pipe is full. Written
/// to directly, the next line would hold up the whole process, and with it every
/// request. Lines are left out instead, the least important first, and counted.
#[test]
fn stopped_reader_does_not_block_logging() {
    let (blocked, is_blocked) = mpsc::channel();
    let (unblock, release) = mpsc::channel();
    let (done, is_done) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let mut sink = Sink::start(BlockedWriter {
        blocked,
        release,
        is_released: false,
        written: Arc::clone(&written),
        done,
    });
    // Until it stands still the writer takes lines, and tells of those left out.
    writeln!(sink, "level=info event=request_done number=first").expect("it never fails");
    is_blocked.recv().expect("the writer stands still");
    for index in 0..20_000 {
        writeln!(sink, "level=info event=request_done number={index}").expect("it never fails");
    }
    let dropped = sink.dropped();
    assert!(dropped > 15_000, "{dropped}");
    writeln!(sink, "level=warn event=last").expect("it never fails");
    unblock.send(()).expect("the writer waits");
    is_done.recv().expect("the warning is written");
    let text = String::from_utf8(written.lock().expect("nobody panicked").clone()).expect("text");
    assert!(text.contains("event=last"));
    assert!(text.contains(&format!("event=log_lines_dropped count={dropped}")));
}
