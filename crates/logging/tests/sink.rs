//! Log lines whose reader has stopped.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use logging::Sink;

/// A writer that stands still until it is let go, and then keeps what it gets.
struct Stuck {
    /// Told once it stands still.
    stuck: mpsc::Sender<()>,
    gate: mpsc::Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
    done: mpsc::Sender<()>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.stuck.send(()).expect("the test waits");
            self.is_open = self.gate.recv().is_ok();
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
fn a_reader_that_stopped_holds_nobody_up() {
    let (stuck, is_stuck) = mpsc::channel();
    let (open, gate) = mpsc::channel();
    let (done, is_done) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let mut sink = Sink::start(Stuck {
        stuck,
        gate,
        is_open: false,
        written: Arc::clone(&written),
        done,
    });
    // Until it stands still the writer takes lines, and tells of those left out.
    writeln!(sink, "level=info event=request_done number=first").expect("it never fails");
    is_stuck.recv().expect("the writer stands still");
    for index in 0..20_000 {
        writeln!(sink, "level=info event=request_done number={index}").expect("it never fails");
    }
    let dropped = sink.dropped();
    assert!(dropped > 15_000, "{dropped}");
    writeln!(sink, "level=warn event=last").expect("it never fails");
    open.send(()).expect("the writer waits");
    is_done.recv().expect("the warning is written");
    let text = String::from_utf8(written.lock().expect("nobody panicked").clone()).expect("text");
    assert!(text.contains("event=last"));
    assert!(text.contains(&format!("event=log_lines_dropped count={dropped}")));
}
