//! Tests of a router's decisions, without a network.

mod aggregation;
mod configurations;
mod connect;
mod copies;
mod crashes;
mod events;
mod explore;
mod mirror;
mod mirrors;
mod outlier;
mod peers;
mod placing;
mod prefixes;
mod queue;
mod retry_budget;
mod roster;
mod route;
mod slow_start;
mod spread;
mod value;
mod versions;
mod world;
