//! The marbledeck node: runs the decision module `marbledeck-dispatcher` on real sockets.
#![forbid(unsafe_code)]

mod admin;
mod clients;
pub mod clock;
pub mod config;
mod config_error;
mod config_file;
mod consensus;
mod context;
pub mod core;
pub mod discovery;
mod eureka;
mod federation;
mod fleet;
mod gossip;
mod handover;
mod licensing_config;
pub mod logger;
pub mod net;
pub mod node;
mod placement;
mod records;
mod service;
mod submission;
mod workers;

pub use admin::NEXT_MEMBERS;
