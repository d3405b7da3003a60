//! Tests of roll-outs without a network.

mod counts;
mod explore;
mod fleet;
mod scenario;
mod serving;
mod store;
mod verdict;
