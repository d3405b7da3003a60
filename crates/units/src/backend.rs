//! Backend servers: engines and plain services.

crate::name::identifier! {
    /// The name of one backend server, unique in the deployment.
    Server, check_text
}

crate::name::identifier! {
    /// The version of the software that a backend server runs.
    Version, check_text
}
