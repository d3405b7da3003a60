//! Flags and environment variables common to the binaries.
//!
//! Values are read as text by `bpaf` and checked afterwards, so that all faults
//! are reported together. A wrong setting ends the process with exit code 2 and
//! one line for each fault, which names the flag, the value and what is allowed.
//! `--check` checks the settings and exits, `--version` and `--help` do as usual.
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
//!         // All are checked before the first fault ends it.
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

/// What is allowed where an address is asked for.
pub const ADDRESS: &str = "an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080";

/// The exit code of a process whose settings are wrong.
pub const INVALID_SETTINGS: i32 = 2;

/// A setting as it was given, unchecked.
#[derive(Clone, Debug)]
pub struct Raw {
    flag: &'static str,
    variable: &'static str,
    text: Option<String>,
    secret: bool,
}

impl Raw {
    /// A setting of the name `name` in a settings file.
    pub fn entry(name: &'static str, text: Option<String>) -> Self {
        Self {
            flag: "",
            variable: name,
            text,
            secret: false,
        }
    }

    /// The text that was given, by flag or by environment variable.
    pub fn as_str(&self) -> Option<&str> {
        self.text.as_deref()
    }

    /// The flag and the environment variable, as a user writes them.
    fn name(&self) -> String {
        if self.flag.is_empty() {
            return String::from(self.variable);
        }
        format!("--{} ({})", self.flag, self.variable)
    }

    /// The value as it may be shown.
    fn display_value(&self) -> String {
        match &self.text {
            None => String::from("nothing"),
            Some(_) if self.secret => String::from("a hidden value"),
            Some(text) => format!("{text:?}"),
        }
    }
}

/// A setting by the flag `--flag VALUE` or the environment variable `variable`.
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

/// A secret, which is read from the environment variable `variable` only.
///
/// A flag would show it to every user of the host in the list of processes.
/// `--help` shows the present value of the variable behind a flag, but lists no
/// variable without one, so the text that it begins with should name it.
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

/// The faults found so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    lines: Vec<String>,
}

impl Faults {
    /// Checks a setting that must be given. None: there was a fault, now noted.
    pub fn required<T: str::FromStr>(&mut self, raw: &Raw, allowed: &str) -> Option<T> {
        let value = raw.as_str().and_then(|text| text.parse().ok());
        if value.is_none() {
            self.add(raw, allowed);
        }
        value
    }

    /// Checks a setting that may be absent. None: there was a fault, now noted.
    pub fn optional<T: str::FromStr>(&mut self, raw: &Raw, allowed: &str) -> Option<Option<T>> {
        match raw.as_str() {
            None => Some(None),
            Some(_) => self.required(raw, allowed).map(Some),
        }
    }

    /// Checks a setting that has a default. None: there was a fault, now noted.
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

    /// Checks a setting that has a default and a range. None: there was a fault, now noted.
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

    /// Notes a fault of `raw`, of which only `allowed` is allowed.
    pub fn add(&mut self, raw: &Raw, allowed: &str) {
        let line = format!(
            "{}: got {}, allowed: {allowed}",
            raw.name(),
            raw.display_value()
        );
        self.lines.push(line);
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines.join("\n"))
    }
}

/// Why a process ends before it starts its work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exit {
    /// The exit code.
    pub code: i32,
    /// What the user is shown, on standard output if the code is 0.
    pub text: String,
}

impl Exit {
    /// Shows the text and ends the process.
    pub fn exit(&self) -> ! {
        // Whoever reads the text may have closed the pipe; the code still counts.
        let _ = if self.code == 0 {
            writeln!(io::stdout(), "{}", self.text)
        } else {
            writeln!(io::stderr(), "{}", self.text)
        };
        process::exit(self.code)
    }
}

/// Reads the settings of the process, or ends it.
///
/// `check` turns what was given into settings; where it notes a fault it may
/// return `None` or any value. To report all faults together it checks every
/// setting before it returns.
pub fn load<G, S>(
    about: &'static str,
    given: impl Parser<G> + 'static,
    check: impl FnOnce(G, &mut Faults) -> Option<S>,
) -> S
where
    G: 'static,
{
    parse(about, given, bpaf::Args::current_args(), check).unwrap_or_else(|exit| exit.exit())
}

/// Reads settings from `arguments` and the environment.
///
/// # Errors
///
/// An [`Exit`] with code 0 for `--help`, `--version` and `--check` of valid
/// settings, with code 2 for faults.
pub fn parse<'a, G, S>(
    about: &'static str,
    given: impl Parser<G> + 'static,
    arguments: impl Into<bpaf::Args<'a>>,
    check: impl FnOnce(G, &mut Faults) -> Option<S>,
) -> Result<S, Exit>
where
    G: 'static,
{
    let only_check = bpaf::long("check")
        .help("Check the settings and exit")
        .switch();
    let parsed = construct!(only_check, given)
        .to_options()
        .descr(about)
        .version(env!("CARGO_PKG_VERSION"))
        .run_inner(arguments);
    let (only_check, given) = parsed.map_err(from_parse_failure)?;
    let mut faults = Faults::default();
    let settings = check(given, &mut faults);
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

/// The exit that belongs to an answer of the parser of flags.
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
