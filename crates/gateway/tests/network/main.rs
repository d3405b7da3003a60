//! Tests of requests between routers over real connections.

mod fetch;
mod options;
mod tunnels;
