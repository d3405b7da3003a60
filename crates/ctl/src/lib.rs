//! The operators' command line.

mod change;
pub mod client;
pub mod command;
pub mod exit;
mod input;
pub mod local;
mod output;
mod render;
pub mod run;
mod watch;
