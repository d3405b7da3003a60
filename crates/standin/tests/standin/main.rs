//! The stand-ins behave like the platform, engines and services that they replace, and each
//! fault has the documented effect.

mod client;
mod endless;
mod engine;
mod platform;
mod service;
