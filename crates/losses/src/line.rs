//! One log line.

use std::{borrow::Cow, time::SystemTime};

use smallvec::SmallVec;

/// What every line of a router holds, and its pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line<'a> {
    /// What stands before the line in a merged log, such as the host's name.
    pub origin: Option<&'a str>,
    /// When it was written, by its router's clock.
    pub time: SystemTime,
    /// What happened.
    pub event: Cow<'a, str>,
    pairs: SmallVec<[(&'a str, Cow<'a, str>); 24]>,
}

/// Text that is no line of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It does not look like a line at all.
    Foreign,
    /// It begins like a line, and cannot be read.
    Malformed,
}

/// How each line begins.
const TIME_PREFIX: &str = "time=";

impl<'a> Line<'a> {
    /// Reads a line.
    ///
    /// # Errors
    ///
    /// When the text is not one.
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

    /// The value of a key; nothing if it is missing or empty.
    pub fn get(&self, wanted: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|(key, _)| *key == wanted);
        found
            .map(|(_, value)| value.as_ref())
            .filter(|value| !value.is_empty())
    }

    /// The value of a key as a number.
    pub fn number(&self, wanted: &str) -> Option<u64> {
        self.get(wanted)?.parse().ok()
    }

    /// The pairs, as they were written.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs.iter().map(|(key, value)| (*key, value.as_ref()))
    }
}

type Pairs<'a> = SmallVec<[(&'a str, Cow<'a, str>); 24]>;

/// The key=value pairs of a line; nothing if it cannot be read to its end.
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

/// The value at the front of `text`, and what follows it.
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

/// The text without the backslashes before quotes and backslashes.
///
/// Other escapes stand for control characters and stay as they are: what is
/// printed must not hold any.
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
