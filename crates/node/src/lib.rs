//! The marbledeck node: the decisions of the module `marbledeck`, served on real sockets.
#![forbid(unsafe_code)]

mod agreement;
pub mod clock;
pub mod config;
mod consumers;
pub mod core;
pub mod directory;
mod eureka;
mod fleet;
mod handover;
pub mod logger;
pub mod net;
pub mod node;
mod ops;
mod party;
mod peers;
mod sites;
mod submission;
mod workers;
