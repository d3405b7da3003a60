//! Checks that docs/LOGS.md documents every logged event.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// The Rust source files in `folder` and its subfolders.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder can be read");
    let paths = entries.map(|entry| entry.expect("the entry can be read").path());
    let nested = paths.flat_map(|path| {
        if path.is_dir() {
            sources(&path)
        } else {
            vec![path]
        }
    });
    nested
        .filter(|path| path.extension().is_some_and(|e| e == "rs"))
        .collect()
}

/// The names that follow `prefix` in `text`. A name ends before the first character that is
/// neither a lower-case letter nor an underscore.
fn names_after<'a>(text: &'a str, prefix: &str) -> impl Iterator<Item = &'a str> {
    let is_end = |c: char| !c.is_ascii_lowercase() && c != '_';
    let parts = text.split(prefix).skip(1);
    parts.map(move |rest| &rest[..rest.find(is_end).unwrap_or(rest.len())])
}

/// The events that `source` logs.
fn events(source: &str) -> BTreeSet<String> {
    let macros = source.split("logging::event!(").skip(1);
    let by_macro = macros.filter_map(|rest| names_after(rest, "\"").next());
    let by_literal = names_after(source, "\"event=");
    let names = by_macro.chain(by_literal).filter(|name| !name.is_empty());
    names.map(String::from).collect()
}

// Operators set alerts on event names and look up their meaning in docs/LOGS.md. An
// undocumented event would have no alert and no explanation during an incident.
#[test]
fn every_event_is_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/LOGS.md")).unwrap();
    let crates = fs::read_dir(root.join("crates")).unwrap();
    let folders = crates.map(|entry| entry.unwrap().path().join("src"));
    let folders = folders.chain([root.join("platform/src")]);
    let mut missing = BTreeSet::new();
    for path in folders.flat_map(|folder| sources(&folder)) {
        let logged = events(&fs::read_to_string(&path).unwrap());
        missing.extend(
            logged
                .into_iter()
                .filter(|e| !page.contains(&format!("`{e}`"))),
        );
    }
    // This event occurs in the documentation of this crate, as an example.
    missing.remove("request_done");
    assert_eq!(missing, BTreeSet::new());
}
