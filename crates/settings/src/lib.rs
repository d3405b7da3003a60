//! Parsing and validation of command-line flags and environment variables.
//!
//! `bpaf` reads the values as text and they are validated afterwards, so that all
//! faults are reported together. If a setting is invalid, the process exits with
//! code 2 and prints one line per fault with the flag, the value and the allowed
//! values. `--check` validates the settings and exits; `--version` and `--help` are
//! supported as usual.
//!
//! # Examples
//!
//! ```
//! use std::net::SocketAddr;
//!
//! use bpaf::construct;
//!
//! struct Settings {
//!     listen: SocketAddr,
//!     parallel: u32,
//! }
//!
//! fn read(arguments: &[&str]) -> Result<Settings, settings::Exit> {
//!     let listen = settings::text("listen", "WEIR_LISTEN", "IP:PORT", "Address to listen on");
//!     let parallel = settings::text("parallel", "WEIR_PARALLEL", "N", "Requests at once");
//!     let given = construct!(listen, parallel);
//!     settings::parse("An example", given, arguments, |(listen, parallel), faults| {
//!         // Validate all settings before returning on the first fault.
//!         let listen = faults.required(&listen, settings::ADDRESS);
//!         let parallel = faults.within(&parallel, 8, 1..=64);
//!         Some(Settings {
//!             listen: listen?,
//!             parallel: parallel?,
//!         })
//!     })
//! }
//!
//! assert_eq!(read(&["--listen", "127.0.0.1:0"]).ok().map(|s| s.parallel), Some(8));
//! assert_eq!(read(&["--listen", "x", "--parallel", "0"]).err().map(|e| e.code), Some(2));
//! ```

use std::{
    fmt,
    io::{self, Write as _},
    ops, process, str,
};

use bpaf::{Parser, construct};

/// The description of the allowed values of an address setting.
pub const ADDRESS: &str = "an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080";

/// The exit code of a process with invalid settings.
pub const INVALID_SETTINGS: i32 = 2;

/// An unvalidated setting.
#[derive(Clone, Debug)]
pub struct Raw {
    flag: &'static str,
    variable: &'static str,
    text: Option<String>,
    secret: bool,
}

impl Raw {
    /// Creates the setting from the entry `name` of a settings file.
    pub fn entry(name: &'static str, text: Option<String>) -> Self {
        Self {
            flag: "",
            variable: name,
            text,
            secret: false,
        }
    }

    /// The text of the setting, if it is set.
    pub fn as_str(&self) -> Option<&str> {
        self.text.as_deref()
    }

    /// The flag and the environment variable, or the name of the entry, for fault messages.
    fn name(&self) -> String {
        if self.flag.is_empty() {
            return String::from(self.variable);
        }
        format!("--{} ({})", self.flag, self.variable)
    }

    /// The value for fault messages, which hides secrets.
    fn display_value(&self) -> String {
        match &self.text {
            None => String::from("nothing"),
            Some(_) if self.secret => String::from("a hidden value"),
            Some(text) => format!("{text:?}"),
        }
    }
}

/// A setting that is read from the flag `--flag VALUE` or the environment variable `variable`.
pub fn text(
    flag: &'static str,
    variable: &'static str,
    value: &'static str,
    help: &'static str,
) -> impl Parser<Raw> {
    bpaf::long(flag)
        .env(variable)
        .help(help)
        .argument::<String>(value)
        .optional()
        .map(move |text| Raw {
            flag,
            variable,
            text,
            secret: false,
        })
}

/// A secret setting, which is read only from the environment variable `variable`.
///
/// A flag would expose the secret to every user of the host in the process list.
/// `--help` prints the current value of each variable that has a flag. It omits
/// variables without a flag, so the program description should mention the variable.
pub fn secret(variable: &'static str) -> impl Parser<Raw> {
    bpaf::env(variable)
        .argument::<String>("SECRET")
        .optional()
        .map(move |text| Raw {
            flag: "",
            variable,
            text,
            secret: true,
        })
}

/// The faults found in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    lines: Vec<String>,
}

impl Faults {
    /// Parses a required setting. Returns `None` and records a fault if it is missing or invalid.
    pub fn required<T: str::FromStr>(&mut self, raw: &Raw, allowed: &str) -> Option<T> {
        let value = raw.as_str().and_then(|text| text.parse().ok());
        if value.is_none() {
            self.add(raw, allowed);
        }
        value
    }

    /// Parses an optional setting. Returns `None` and records a fault if it is invalid.
    pub fn optional<T: str::FromStr>(&mut self, raw: &Raw, allowed: &str) -> Option<Option<T>> {
        match raw.as_str() {
            None => Some(None),
            Some(_) => self.required(raw, allowed).map(Some),
        }
    }

    /// Parses a setting with a default. Returns `None` and records a fault if it is invalid.
    pub fn or_default<T: str::FromStr>(
        &mut self,
        raw: &Raw,
        default: T,
        allowed: &str,
    ) -> Option<T> {
        match raw.as_str() {
            None => Some(default),
            Some(_) => self.required(raw, allowed),
        }
    }

    /// Parses a setting with a default and a range. Returns `None` and records a fault if it is
    /// invalid or out of range.
    pub fn within<T>(&mut self, raw: &Raw, default: T, range: ops::RangeInclusive<T>) -> Option<T>
    where
        T: str::FromStr + PartialOrd + fmt::Display,
    {
        let allowed = format!("{} to {}", range.start(), range.end());
        let value = self.or_default(raw, default, &allowed)?;
        if range.contains(&value) {
            return Some(value);
        }
        self.add(raw, &allowed);
        None
    }

    /// Records a fault of `raw`. `allowed` describes the allowed values.
    pub fn add(&mut self, raw: &Raw, allowed: &str) {
        let line = format!(
            "{}: got {}, allowed: {allowed}",
            raw.name(),
            raw.display_value()
        );
        self.lines.push(line);
    }

    /// Whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines.join("\n"))
    }
}

/// The reason for which a process exits during startup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exit {
    /// The exit code.
    pub code: i32,
    /// The text to print: to standard output if the code is 0, else to standard error.
    pub text: String,
}

impl Exit {
    /// Prints the text and exits the process.
    pub fn exit(&self) -> ! {
        // Write errors are ignored: the reader may have closed the pipe, and the exit code
        // matters more than the text.
        let _ = if self.code == 0 {
            writeln!(io::stdout(), "{}", self.text)
        } else {
            writeln!(io::stderr(), "{}", self.text)
        };
        process::exit(self.code)
    }
}

/// Reads the settings of the process, or exits it.
///
/// `check` converts the parsed values into settings. If it records a fault, its
/// return value is ignored. It should validate every setting before it returns, so
/// that all faults are reported together.
pub fn load<G, S>(
    about: &'static str,
    parser: impl Parser<G> + 'static,
    check: impl FnOnce(G, &mut Faults) -> Option<S>,
) -> S
where
    G: 'static,
{
    parse(about, parser, bpaf::Args::current_args(), check).unwrap_or_else(|exit| exit.exit())
}

/// Reads settings from `arguments` and the environment. See [`load`] for `check`.
///
/// # Errors
///
/// An [`Exit`] with code 0 for `--help`, `--version`, and `--check` with valid
/// settings, and with code 2 for faults.
pub fn parse<'a, G, S>(
    about: &'static str,
    parser: impl Parser<G> + 'static,
    arguments: impl Into<bpaf::Args<'a>>,
    check: impl FnOnce(G, &mut Faults) -> Option<S>,
) -> Result<S, Exit>
where
    G: 'static,
{
    let only_check = bpaf::long("check")
        .help("Check the settings and exit")
        .switch();
    let parsed = construct!(only_check, parser)
        .to_options()
        .descr(about)
        .version(env!("CARGO_PKG_VERSION"))
        .run_inner(arguments);
    let (only_check, values) = parsed.map_err(from_parse_failure)?;
    let mut faults = Faults::default();
    let settings = check(values, &mut faults);
    match settings {
        Some(_) if faults.is_empty() && only_check => Err(Exit {
            code: 0,
            text: String::from("settings=valid"),
        }),
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(Exit {
            code: INVALID_SETTINGS,
            text: faults.to_string(),
        }),
    }
}

/// Converts an early return of the flag parser, such as for `--help` or an unknown flag.
fn from_parse_failure(failure: bpaf::ParseFailure) -> Exit {
    let code = match failure {
        bpaf::ParseFailure::Stdout(..) | bpaf::ParseFailure::Completion(_) => 0,
        bpaf::ParseFailure::Stderr(_) => INVALID_SETTINGS,
    };
    let text = match failure {
        bpaf::ParseFailure::Stdout(text, full) => text.monochrome(full),
        bpaf::ParseFailure::Completion(text) => text,
        bpaf::ParseFailure::Stderr(text) => text.monochrome(true),
    };
    Exit { code, text }
}
