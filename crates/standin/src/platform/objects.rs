//! The object store.

use std::collections::BTreeMap;

use bytes::Bytes;

/// An object and its entity tag.
#[derive(Clone, Debug)]
pub struct Object {
    /// The content.
    pub bytes: Bytes,
    /// The entity tag, which changes with each write.
    pub tag: String,
}

/// The condition of a write.
#[derive(Clone, Debug)]
pub enum Condition {
    /// No condition.
    Always,
    /// The object is absent.
    Absent,
    /// The object has this tag.
    Tag(String),
}

/// The condition of a write did not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConditionFailed;

/// All objects, ordered by key.
#[derive(Debug, Default)]
pub struct Objects {
    objects: BTreeMap<String, Object>,
    writes: u64,
}

impl Objects {
    /// The object at `key`.
    pub fn get(&self, key: &str) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    /// The keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.objects
            .range(String::from(prefix)..)
            .map(|(key, _)| key.clone())
            .take_while(|key| key.starts_with(prefix))
            .collect()
    }

    /// Writes the object at `key` and returns its tag.
    ///
    /// # Errors
    ///
    /// [`ConditionFailed`] if the condition does not hold. Nothing is changed.
    pub fn put(
        &mut self,
        key: &str,
        bytes: Bytes,
        condition: &Condition,
    ) -> Result<String, ConditionFailed> {
        let current = self.objects.get(key);
        let holds = match condition {
            Condition::Always => true,
            Condition::Absent => current.is_none(),
            Condition::Tag(tag) => current.is_some_and(|object| object.tag == *tag),
        };
        if !holds {
            return Err(ConditionFailed);
        }
        self.writes += 1;
        let tag = format!("\"{}\"", self.writes);
        let object = Object {
            bytes,
            tag: tag.clone(),
        };
        self.objects.insert(String::from(key), object);
        Ok(tag)
    }
}
