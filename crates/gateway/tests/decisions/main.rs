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
mod peers;
mod placing;
mod propagation;
mod reads;
mod replica;
mod replicas;
mod roster;
mod route;
mod value;
mod versions;
mod waiting;
mod world;
