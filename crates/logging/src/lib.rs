//! Structured logging: one line of `key=value` pairs per event.
//!
//! `WEIR_LOG` sets the level (`error`, `warn`, `info`, `debug`, `trace`, or a filter
//! of `env_logger`). The default is `info`. Lines are written to standard error, or
//! to standard output after [`init_stdout`]:
//!
//! ```text
//! time=2026-12-03T00:03:20.151Z level=info process=weir-router event=request_done status=200
//! ```
//!
//! # Examples
//!
//! ```
//! logging::init("weir-router");
//! logging::event!(info, "request_done", status = 200, path = "/v1/chat/completions");
//! ```

mod sink;

use std::{fmt, io::Write};

pub use log;
pub use sink::Sink;

/// The most bytes of a value that a line repeats. Texts from peers may be longer.
const MAX_VALUE: usize = 1024;
/// The environment variable that contains the log filter.
pub const VARIABLE: &str = "WEIR_LOG";

/// Initializes logging to standard error for the process `name`. Later calls have no effect.
pub fn init(name: &'static str) {
    start(name, env_logger::Target::Stderr);
}

/// Initializes logging to standard output without ever blocking the process.
///
/// A bounded queue buffers the lines for a writer thread. If the reader of standard
/// output is too slow, the least important lines are dropped and counted.
pub fn init_stdout(name: &'static str) {
    let sink = sink::Sink::start(std::io::stdout());
    start(name, env_logger::Target::Pipe(Box::new(sink)));
}

/// Gives the writer thread of [`init_stdout`] time to write the queued lines.
///
/// It waits for a fixed time and does not guarantee that all lines are written.
pub fn flush() {
    std::thread::sleep(sink::BATCH_INTERVAL * 2);
}

fn start(name: &'static str, target: env_logger::Target) {
    let filter = env_logger::Env::new().filter_or(VARIABLE, "info");
    let started = env_logger::Builder::from_env(filter)
        .target(target)
        .format(move |buffer, record| {
            let time = buffer.timestamp_millis();
            let level = record.level().as_str().to_ascii_lowercase();
            let body = format_record(record);
            writeln!(buffer, "time={time} level={level} process={name} {body}")
        })
        .try_init();
    // The error of a repeated initialization is ignored: tests run the tasks of several
    // processes in one process.
    drop(started);
}

/// Formats the pairs of one record.
///
/// Messages of libraries are free text and may contain text from a peer, in which a
/// line break could forge a log line. They are therefore quoted as a value.
fn format_record(record: &log::Record<'_>) -> String {
    let text = record.args().to_string();
    if text.starts_with("event=") {
        return text;
    }
    Line::new("message")
        .pair("target", record.target())
        .pair("text", text)
        .to_string()
}

/// The log line of one event, with pairs in the order in which they were added.
#[derive(Clone, Debug)]
pub struct Line {
    text: String,
}

impl Line {
    /// Creates the line of the event `name`, which is in `snake_case`.
    pub fn new(name: &str) -> Self {
        Self {
            text: String::new(),
        }
        .pair("event", name)
    }

    /// Appends a pair. The value is quoted if necessary.
    pub fn pair(mut self, key: &str, value: impl fmt::Display) -> Self {
        if !self.text.is_empty() {
            self.text.push(' ');
        }
        self.text.push_str(key);
        self.text.push('=');
        self.push_value(&value.to_string());
        self
    }

    fn push_value(&mut self, value: &str) {
        let kept = &value[..value.floor_char_boundary(MAX_VALUE)];
        if kept.len() == value.len() {
            return self.text.push_str(&Value(value).to_string());
        }
        self.text
            .push_str(&Value(&format!("{kept}...")).to_string());
    }
}

/// The value of a pair, which is quoted and escaped if it could not be read back otherwise.
#[derive(Clone, Copy, Debug)]
pub struct Value<'a>(pub &'a str);

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if is_plain(self.0) {
            return f.write_str(self.0);
        }
        write!(f, "\"{}\"", self.0.escape_debug())
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Whether `value` can be parsed back without quotes.
fn is_plain(value: &str) -> bool {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    !value.is_empty() && value.chars().all(plain)
}

/// Logs one event: `event!(level, "name", key = value, ...)`.
///
/// The level is `error`, `warn`, `info`, `debug` or `trace`. Values implement
/// [`std::fmt::Display`] and are formatted only if the level is enabled.
#[macro_export]
macro_rules! event {
    ($level:ident, $name:expr $(, $key:ident = $value:expr)* $(,)?) => {
        $crate::log::$level!(
            "{}",
            $crate::Line::new($name)$(.pair(stringify!($key), &$value))*
        )
    };
}
