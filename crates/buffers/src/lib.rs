//! The memory that a router may hold for peers that read slowly.
//!
//! A [`Budget`] covers the bytes of responses held towards callers and the bytes of request bodies
//! held towards servers. Each response has a [`Share`], from which a [`Charge`] is taken before
//! bytes are read. A charge gives its bytes back when it is dropped.
//!
//! A response may hold a floor in any case, and beyond it as much as is left free. So the response
//! that holds the most stops first when the budget runs out, and the last bytes are never taken by
//! one that holds a lot.
//!
//! ```
//! use buffers::{Budget, Limits};
//!
//! let budget = Budget::new(Limits { bytes: 120, requests: 0, floor: 10, responses: 2 });
//! let large = budget.open();
//! let held = large.take(60).expect("as much as is left free beside it");
//! assert!(large.take(20).is_err());
//! let small = budget.open();
//! assert!(small.take(20).is_ok());
//! drop(held);
//! assert!(large.take(20).is_ok());
//! ```

mod budget;

pub use budget::{Budget, Charge, Denied, Limits, Share, Usage};
