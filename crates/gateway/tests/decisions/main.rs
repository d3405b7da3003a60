//! Tests of a router's decisions, without a network.

mod aggregation;
mod configurations;
mod connect;
mod copies;
mod crashes;
mod events;
mod explore;
mod leaving;
mod outlier;
mod peers;
mod placing;
mod prefixes;
mod propagation;
mod queue;
mod rejections;
mod replica;
mod replicas;
mod retry_budget;
mod rollouts;
mod roster;
mod route;
mod slow_start;
mod throttling;
mod value;
mod versions;
mod world;
