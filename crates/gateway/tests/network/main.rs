//! What routers ask each other, over real connections.

mod fetch;
