//! Tests of requests between routers over real connections.

mod endless;
mod exchange;
mod fetch;
mod options;
mod pauses;
mod protocol;
mod tunnels;
