//! The memory that requests take at an engine.
