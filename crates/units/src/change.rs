//! Changes of the configuration.

crate::name::identifier! {
    /// The name that the author gives to a change, by which a repeated submission is recognized.
    Id, check
}
