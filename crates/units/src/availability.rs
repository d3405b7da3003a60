//! Availability zones.

crate::name::identifier! {
    /// The name of an availability zone.
    Zone, check_text
}
