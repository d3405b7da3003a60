//! Log lines of key=value pairs, one line for each event.
//!
//! The level comes from `WEIR_LOG` (`error`, `warn`, `info`, `debug`, `trace` or
//! a filter of `env_logger`); without it, `info`. Lines go to standard error, or to
//! standard output by [`init_stdout`]:
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

/// The environment variable that holds the filter.
pub const VARIABLE: &str = "WEIR_LOG";

/// Starts logging for the process `name`; a second call changes nothing.
pub fn init(name: &'static str) {
    start(name, env_logger::Target::Stderr);
}

/// Starts logging to standard output, which never blocks the process.
///
/// Lines wait in a bounded queue for a thread that writes them. When nobody
/// reads them, the least important are left out and counted.
pub fn init_stdout(name: &'static str) {
    let sink = sink::Sink::start(std::io::stdout());
    start(name, env_logger::Target::Pipe(Box::new(sink)));
}

/// Waits a moment for the lines of [`init_stdout`] that are not written yet.
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
    // A test may start several processes' worth of tasks in one process.
    drop(started);
}

/// The pairs of one record.
///
/// A library's own message is free text, and text that reached it from a peer
/// could hold a line break and so forge a line of ours. It is quoted as a value.
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

/// One event and its pairs, in the order in which they were added.
#[derive(Clone, Debug)]
pub struct Line {
    text: String,
}

impl Line {
    /// The line of the event `name`, which is in `snake_case`.
    pub fn new(name: &str) -> Self {
        Self {
            text: String::new(),
        }
        .pair("event", name)
    }

    /// The line with one more pair; the value is quoted where it has to be.
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
        if is_plain(value) {
            self.text.push_str(value);
            return;
        }
        self.text.push('"');
        self.text.extend(value.chars().flat_map(char::escape_debug));
        self.text.push('"');
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Whether `value` reads back as one value without quotes.
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
