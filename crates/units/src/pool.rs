//! Pools of backend servers.

crate::name::identifier! {
    /// The name of a pool of backend servers.
    Id, check_text
}
