//! Workspaces: the customers whose requests are served.

crate::name::identifier! {
    /// The name of a workspace.
    Id, check_text
}
