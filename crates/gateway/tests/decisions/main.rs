//! What a router decides, without a network.

mod aggregation;
mod budget;
mod configurations;
mod connect;
mod copies;
mod deaths;
mod events;
mod evidence;
mod explore;
mod fence;
mod mirror;
mod mirrors;
mod peers;
mod placing;
mod reads;
mod roster;
mod route;
mod spread;
mod value;
mod versions;
mod waiting;
mod world;
