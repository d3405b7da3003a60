//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self(Arc::new(Inner { file, started: Instant::now() })))
    }

    pub fn now_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }

    /// A line that is printed as well.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
