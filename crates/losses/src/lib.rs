//! Reports where, when and why requests were lost, from routers' log lines.
//!
//! Lines are read one at a time and aggregated in bounded memory, so that hours of logs from
//! a large fleet can be processed.

pub mod cause;
pub mod line;
pub mod plot;
pub mod reader;
pub mod render;
pub mod report;
pub mod tally;
pub mod timeline;
