//! Deletion of outcomes after their retention period.
//!
//! Each outcome has a row in an index ordered by time, so that expired ones are
//! found without a scan of all claims. A claim without an outcome is kept until
//! an operator resolves it: its request may have run, however old the claim is.

use units::revision;

use crate::row::{Bucket, CLAIMS, OUTCOMES};

/// The prefix of the keys of the index, in which the oldest outcomes come first.
pub const PREFIX: &str = OUTCOMES;

/// The content of one transaction that deletes expired outcomes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sweep {
    /// The generation that each row of the index must still have when the transaction runs.
    pub checks: Vec<(String, revision::Generation)>,
    /// The keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// Builds the transaction that deletes the expired outcomes among the rows of
/// `index`, each given by its key and its generation.
///
/// Two routers may sweep concurrently, and the second transaction may arrive
/// after the key was claimed again. Its check on the index row then fails,
/// whereas an unconditional delete would remove the new claim while its request
/// runs.
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

/// The keys of the rows to delete, given the keys of `index` and the current bucket.
///
/// For each expired outcome these are its claim and its row in the index. They
/// are safe to delete only while the row in the index is unchanged: see [`plan`].
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
