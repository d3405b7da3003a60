//! Deletion of outcomes that are old enough.
//!
//! Each outcome leaves a row in an index by time, so that the old ones are
//! found without a scan of all claims. A claim without an outcome stays until
//! an operator settles it: after any time it may still have run.

use units::revision;

use crate::row::{Bucket, CLAIMS, OUTCOMES};

/// What the keys of the index begin with; the oldest outcomes come first.
pub const PREFIX: &str = OUTCOMES;

/// One transaction that deletes old outcomes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sweep {
    /// The generation that each row of the index must still have.
    pub checks: Vec<(String, revision::Generation)>,
    /// The keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// The transaction that deletes the old ones of the first `index` rows, each
/// given by its key and its generation.
///
/// Two routers may sweep at once, and the later transaction may arrive when
/// the key was claimed anew. Its check on the index then fails, where a plain
/// delete would take the new claim away while it runs.
pub fn plan<'a, I>(index: I, current: Bucket, retention_buckets: u64) -> Sweep
where
    I: IntoIterator<Item = (&'a str, revision::Generation)>,
{
    let mut sweep = Sweep::default();
    for (key, generation) in index {
        let deletes = expired_rows([key], current, retention_buckets);
        if !deletes.is_empty() {
            sweep.checks.push((String::from(key), generation));
            sweep.deletes.extend(deletes);
        }
    }
    sweep
}

/// The rows to delete, given the first `index` keys and the present bucket.
///
/// For each old outcome these are its claim and its row in the index. They are
/// safe to delete only while the row in the index is unchanged: see [`plan`].
pub fn expired_rows<'a, I>(index: I, current: Bucket, retention_buckets: u64) -> Vec<String>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut deletes = Vec::new();
    for key in index {
        let Some((bucket, claim)) = parse(key) else {
            continue;
        };
        if bucket.0.saturating_add(retention_buckets) < current.0 {
            deletes.push(format!("{CLAIMS}{claim}"));
            deletes.push(String::from(key));
        }
    }
    deletes
}

fn parse(key: &str) -> Option<(Bucket, &str)> {
    let (bucket, claim) = key.strip_prefix(OUTCOMES)?.split_once('/')?;
    Some((Bucket(bucket.parse().ok()?), claim))
}
