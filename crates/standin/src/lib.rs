//! Test doubles (stand-ins) for engines, plain services and the platform.
//!
//! They implement just enough behaviour to route requests to, and faults that a
//! test injects and clears. Each runs as a process (`weir-standin`) or inside a
//! test:
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
//! Every stand-in accepts `POST /fault` with the fault as JSON, such as
//! `{"kind":"freeze"}`; `{"kind":"normal"}` clears all faults.

pub mod crowd;
pub mod early;
pub mod endless;
pub mod engine;
pub mod fixed;
pub mod flood;
pub mod http;
pub mod link;
pub mod payload;
pub mod platform;
pub mod process;
pub mod server;
pub mod service;
