//! Small stand-ins for engines, plain services and the platform.
//!
//! They are test scaffolding: just enough behaviour to route to, and faults that
//! a test switches on and off. Each runs as a process (`weir-standin`) or inside
//! a test:
//!
//! ```
//! # async fn example() -> std::io::Result<()> {
//! let engine = standin::engine::start(standin::engine::Settings::default()).await?;
//! println!("the engine listens on {}", engine.address());
//! engine.set_fault(standin::engine::Fault::Freeze);
//! engine.stop();
//! # Ok(())
//! # }
//! ```
//!
//! Every stand-in takes `POST /fault` with the fault as JSON, such as
//! `{"kind":"freeze"}`; `{"kind":"normal"}` ends all faults.

pub mod engine;
pub mod http;
pub mod link;
pub mod payload;
pub mod platform;
pub mod process;
pub mod server;
pub mod service;
