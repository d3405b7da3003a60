//! Decision benchmarks in virtual time.
//!
//! Simulated engines are driven by the real decision libraries, and an event queue
//! replaces clocks and sockets. Every policy receives the same requests and the same
//! faults, drawn from one seed.

pub mod bounds;
pub mod cache;
pub mod control;
pub mod deployment;
pub mod engine;
pub mod figure;
pub mod measure;
pub mod oracle;
pub mod policy;
pub mod queue;
pub mod random;
pub mod run;
pub mod scenario;
pub mod script;
pub mod simulation;
pub mod stats;
pub mod suite;
pub mod workload;
