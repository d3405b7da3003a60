//! Parser for the log lines of routers.

use std::{borrow::Cow, time::SystemTime};

use smallvec::SmallVec;

/// A parsed log line: the fields that every line has, and the remaining key-value pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line<'a> {
    /// Last word before the line in a merged log, usually the name of the host.
    pub origin: Option<&'a str>,
    /// Timestamp, by the router's clock.
    pub time: SystemTime,
    /// Name of the event.
    pub event: Cow<'a, str>,
    pairs: SmallVec<[(&'a str, Cow<'a, str>); 24]>,
}

/// Why a text is not a valid log line of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It has no `time` key, so it is not a log line of a router.
    Foreign,
    /// It has a `time` key but cannot be parsed.
    Malformed,
}

/// First key of every log line.
const TIME_PREFIX: &str = "time=";

impl<'a> Line<'a> {
    /// Parses a log line.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid log line.
    pub fn parse(text: &'a str) -> Result<Self, Error> {
        let start = text.find(TIME_PREFIX).ok_or(Error::Foreign)?;
        let origin = text[..start].split_whitespace().next_back();
        let mut pairs = pairs(&text[start..]).ok_or(Error::Malformed)?;
        let mut remove = |wanted: &str| {
            let index = pairs.iter().position(|(key, _)| *key == wanted)?;
            Some(pairs.remove(index).1)
        };
        let time = remove("time").and_then(|time| humantime::parse_rfc3339(&time).ok());
        let event = remove("event").ok_or(Error::Malformed)?;
        Ok(Self {
            origin,
            time: time.ok_or(Error::Malformed)?,
            event,
            pairs,
        })
    }

    /// Value of a key, or `None` if the key is missing or its value empty.
    pub fn get(&self, wanted: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|(key, _)| *key == wanted);
        found
            .map(|(_, value)| value.as_ref())
            .filter(|value| !value.is_empty())
    }

    /// Value of a key as a number, or `None` if it is missing or not a number.
    pub fn number(&self, wanted: &str) -> Option<u64> {
        self.get(wanted)?.parse().ok()
    }

    /// The key-value pairs other than `time` and `event`, in the order of the line.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs.iter().map(|(key, value)| (*key, value.as_ref()))
    }
}

type Pairs<'a> = SmallVec<[(&'a str, Cow<'a, str>); 24]>;

/// Parses the `key=value` pairs of a line; `None` if any part of it is malformed.
fn pairs(text: &str) -> Option<Pairs<'_>> {
    let mut pairs = Pairs::new();
    let mut remaining = text.trim();
    while !remaining.is_empty() {
        let (key, after) = remaining.split_once('=')?;
        if key.is_empty() || key.contains(char::is_whitespace) {
            return None;
        }
        let (value, after) = value(after)?;
        pairs.push((key, value));
        remaining = after.trim_start();
    }
    Some(pairs)
}

/// Splits the leading value, quoted or not, from the text that follows it.
fn value(text: &str) -> Option<(Cow<'_, str>, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(char::is_whitespace).unwrap_or(text.len());
        return Some((Cow::Borrowed(&text[..end]), &text[end..]));
    };
    let mut is_escaped = false;
    let end = quoted.find(|c| {
        let is_end = c == '"' && !is_escaped;
        is_escaped = c == '\\' && !is_escaped;
        is_end
    })?;
    let inner = &quoted[..end];
    let value = if inner.contains('\\') {
        Cow::Owned(unescape(inner))
    } else {
        Cow::Borrowed(inner)
    };
    Some((value, &quoted[end + 1..]))
}

/// Removes the backslashes that escape quotes and backslashes.
///
/// Other escapes represent control characters and are kept, because the report is printed to
/// a terminal and must not contain control characters.
fn unescape(text: &str) -> String {
    let mut unescaped = String::with_capacity(text.len());
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        match (c, chars.as_str().chars().next()) {
            ('\\', Some(next @ ('"' | '\\' | '\''))) => {
                unescaped.push(next);
                chars.next();
            }
            _ => unescaped.push(c),
        }
    }
    unescaped
}
