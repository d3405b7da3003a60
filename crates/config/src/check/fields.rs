//! Reads the fields of a JSON object and collects their faults.

use std::{fmt, ops, str::FromStr};

use serde::Deserialize;
use serde_json::{Map, Value};
use units::Invalid;

use super::Faults;

/// The fields of one JSON object at `path`.
pub(crate) struct Fields<'a> {
    path: String,
    map: &'a Map<String, Value>,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of the fields of `value`. Returns `None` if `value` is not an object.
    pub(crate) fn new(value: &'a Value, path: &str, faults: &mut Faults) -> Option<Self> {
        let Value::Object(map) = value else {
            faults.add(path, "an object is needed");
            return None;
        };
        Some(Self {
            path: String::from(path),
            map,
            known: Vec::new(),
        })
    }

    /// The path of the field `name`.
    pub(crate) fn path(&self, name: &str) -> String {
        if self.path.is_empty() {
            return String::from(name);
        }
        format!("{}.{name}", self.path)
    }

    /// The unparsed value of the field `name`, which counts as known from now on.
    pub(crate) fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.map.get(name)
    }

    /// Reads a required field.
    pub(crate) fn required<T: Deserialize<'a>>(
        &mut self,
        name: &'static str,
        faults: &mut Faults,
    ) -> Option<T> {
        match self.value(name) {
            Some(value) => self.read(name, value, faults),
            None => {
                faults.add(&self.path(name), "is missing");
                None
            }
        }
    }

    /// Reads a required field that holds the name of a resource.
    pub(crate) fn name<T: FromStr<Err = Invalid>>(
        &mut self,
        name: &'static str,
        faults: &mut Faults,
    ) -> Option<T> {
        let text: String = self.required(name, faults)?;
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(invalid) => {
                faults.add(&self.path(name), invalid);
                None
            }
        }
    }

    /// Reads a field that has a default.
    pub(crate) fn or_default<T: Deserialize<'a>>(
        &mut self,
        name: &'static str,
        default: T,
        faults: &mut Faults,
    ) -> Option<T> {
        match self.value(name) {
            Some(value) => self.read(name, value, faults),
            None => Some(default),
        }
    }

    /// Reads a number that has a default and a range.
    pub(crate) fn within<T>(
        &mut self,
        name: &'static str,
        default: T,
        range: ops::RangeInclusive<T>,
        faults: &mut Faults,
    ) -> Option<T>
    where
        T: Deserialize<'a> + PartialOrd + fmt::Display,
    {
        let number = self.or_default(name, default, faults)?;
        if range.contains(&number) {
            return Some(number);
        }
        let message = format!("{number} is not in {} to {}", range.start(), range.end());
        faults.add(&self.path(name), message);
        None
    }

    /// Reports the fields that were not read.
    pub(crate) fn reject_unknown(self, faults: &mut Faults) {
        for name in self.map.keys() {
            if !self.known.contains(&name.as_str()) {
                let shown: String = name.chars().take(MAX_NAME_CHARS).collect();
                faults.add(&self.path(&shown), "is not a known field");
            }
        }
    }

    fn read<T: Deserialize<'a>>(
        &self,
        name: &str,
        value: &'a Value,
        faults: &mut Faults,
    ) -> Option<T> {
        match T::deserialize(value) {
            Ok(read) => Some(read),
            Err(error) => {
                faults.add(&self.path(name), error);
                None
            }
        }
    }
}

/// The maximum length of an unknown field name in a fault, in characters.
const MAX_NAME_CHARS: usize = 64;

/// The elements of the list `value` with their paths. A list of more than `max` elements is a
/// fault.
pub(crate) fn elements<'a>(
    value: Option<&'a Value>,
    path: &str,
    max: usize,
    faults: &mut Faults,
) -> Vec<(String, &'a Value)> {
    let list = match value {
        None => return Vec::new(),
        Some(Value::Array(list)) => list,
        Some(_) => {
            faults.add(path, "a list is needed");
            return Vec::new();
        }
    };
    if list.len() > max {
        faults.add(path, format!("has {} elements, at most {max}", list.len()));
        return Vec::new();
    }
    let indexed = list.iter().enumerate();
    indexed
        .map(|(index, element)| (format!("{path}[{index}]"), element))
        .collect()
}
