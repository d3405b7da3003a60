//! Files in which operators declare resources.
//!
//! A file is in TOML and has an array of tables for each type of resource:
//!
//! ```
//! let text = r#"
//!     [[pool]]
//!     name = "weir-llm"
//!     kind = "engine"
//!     [[pool.servers]]
//!     name = "engine-1"
//!     zone = "lk-west-a"
//!     address = "10.1.0.1:8000"
//!
//!     [[route]]
//!     name = "chat"
//!     path = "/v1/chat/completions"
//!     pool = "weir-llm"
//! "#;
//! assert_eq!(2, config::file::parse(text).map_or(0, |resources| resources.len()));
//! ```

use std::collections::BTreeSet;

use serde_json::Value;

use crate::{
    check::{self, Fault, Faults},
    key::Type,
    resource::Resource,
};

/// The maximum size of a file, in bytes.
pub const MAX_SIZE: usize = 4 * 1024 * 1024;

/// The maximum number of resources of one type in a file.
const MAX_RESOURCES: usize = 5_000;

/// Parses and checks the resources in a file.
///
/// # Errors
///
/// The faults with their paths, such as `pool[0].servers[1].address`. References
/// to other resources are not checked, because those may be declared already.
pub fn parse(text: &str) -> Result<Vec<Resource>, Vec<Fault>> {
    let mut faults = Faults::default();
    let resources = read(text, &mut faults);
    if faults.is_empty() {
        return Ok(resources);
    }
    Err(faults.into_vec())
}

fn read(text: &str, faults: &mut Faults) -> Vec<Resource> {
    if text.len() > MAX_SIZE {
        faults.add("file", format!("is larger than {MAX_SIZE} bytes"));
        return Vec::new();
    }
    let tables: toml::Table = match text.parse() {
        Ok(tables) => tables,
        Err(error) => {
            faults.add("file", error);
            return Vec::new();
        }
    };
    let mut resources = Vec::new();
    for (name, list) in tables {
        match name.parse() {
            Ok(kind) => read_section(kind, list, &mut resources, faults),
            Err(error) => faults.add(&name, error),
        }
    }
    report_duplicates(&resources, faults);
    resources
}

fn read_section(kind: Type, list: toml::Value, resources: &mut Vec<Resource>, faults: &mut Faults) {
    let list = match serde_json::to_value(list) {
        Ok(list) => list,
        Err(error) => return faults.add(kind.as_str(), error),
    };
    for (path, value) in check::elements(Some(&list), kind.as_str(), MAX_RESOURCES, faults) {
        let read = with_type(kind, value, &path, faults);
        resources.extend(read.and_then(|value| check::resource(&value, &path, faults)));
    }
}

/// Returns the resource `value` with the field `type` added.
fn with_type(kind: Type, value: &Value, path: &str, faults: &mut Faults) -> Option<Value> {
    let Value::Object(fields) = value else {
        faults.add(path, "a table is needed");
        return None;
    };
    let mut fields = fields.clone();
    let tag = Value::String(String::from(kind.as_str()));
    if fields.insert(String::from("type"), tag).is_some() {
        faults.add(&format!("{path}.type"), "is not a known field");
        return None;
    }
    Some(Value::Object(fields))
}

fn report_duplicates(resources: &[Resource], faults: &mut Faults) {
    let mut seen = BTreeSet::new();
    for resource in resources {
        if let Some(key) = seen.replace(resource.key()) {
            faults.add(&key.to_string(), "stands twice in the file");
        }
    }
}
