//! The request for rows.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{self, SeqAccess, Visitor},
};

use crate::peers::Versions;

/// A request for the rows that are newer than `versions`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Request {
    pub versions: Versions,
    /// Whether the client understands [`super::Reply::Packed`].
    pub accepts_packed: bool,
}

/// The request in the form of earlier versions, which refuse the present one.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct PlainRequest {
    pub versions: Versions,
}

/// Accepts requests of earlier versions, which end after the versions.
impl<'de> Deserialize<'de> for Request {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Fields;

        impl<'de> Visitor<'de> for Fields {
            type Value = Request;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a request for rows")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Request, A::Error> {
                let missing = || de::Error::invalid_length(0, &self);
                let versions = fields.next_element()?.ok_or_else(missing)?;
                let accepts_packed = fields.next_element().ok().flatten();
                Ok(Request {
                    versions,
                    accepts_packed: accepts_packed.unwrap_or_default(),
                })
            }
        }

        deserializer.deserialize_struct("Request", &["versions", "accepts_packed"], Fields)
    }
}
