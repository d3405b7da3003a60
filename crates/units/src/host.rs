//! Hosts that run a process of the system.

crate::name::identifier! {
    /// The name of the host on which a router runs, unique in the deployment.
    Id, check_text
}
