//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    file: Mutex<File>,
    started: Instant,
    numbers: AtomicU64,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self(Arc::new(Inner {
            file,
            started: Instant::now(),
            numbers: AtomicU64::new(0),
        })))
    }

    pub fn now_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }

    /// A number that was not used before.
    pub fn next_number(&self) -> u64 {
        self.0.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// A line that is printed as well.
    pub fn say(&self, text: &str) {
        self.line(text);
        // Nobody may read it.
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}
