//! Operators, who declare the configuration.

crate::name::identifier! {
    /// The name of an operator.
    Id, check
}
