//! The memory that a router may hold for peers that read slowly.
