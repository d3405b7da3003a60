//! What clients send: bodies, the memory that they share, and the listeners.
//!
//! A [`Pool`] is the memory of a process for all bodies. A [`Collector`] receives one body into
//! segments, each of which is reserved in the pool before it is allocated. The whole body is a
//! [`Payload`], which gives the memory back when it is dropped.
//!
//! ```
//! use ingress::{Collector, Limits, Pool};
//!
//! let pool = Pool::new(Limits { bytes: 64 * 1024, ..Limits::default() });
//! let mut collector = Collector::new(&pool, Some(5));
//! collector.push(b"whole")?;
//! let payload = collector.finish();
//! assert_eq!(payload.len(), 5);
//! assert!(pool.used() > 0);
//! drop(payload);
//! assert_eq!(pool.used(), 0);
//! # Ok::<(), ingress::Denied>(())
//! ```

mod collector;
pub mod listener;
mod payload;
mod pool;
mod segment;

pub use collector::Collector;
pub use payload::{Body, Payload, Reader};
pub use pool::{Denied, Limits, Pool, Share, UNIT};
pub use segment::SEGMENT;
