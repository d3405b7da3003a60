//! Where requests were lost, by the log lines of routers.
//!
//! Lines are read one at a time and added up in bounded memory, so that hours of
//! a large fleet's logs can be read.

pub mod cause;
pub mod line;
pub mod plot;
pub mod reader;
pub mod render;
pub mod report;
pub mod tally;
pub mod timeline;
