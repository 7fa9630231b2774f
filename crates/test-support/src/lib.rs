//! A node between stand-ins: a directory and render workers that speak the platform's protocol on loopback, with
//! behaviour that a test chooses. For tests and measurements only; it uses threads, and nothing of it is in the node.
#![forbid(unsafe_code)]

mod cable;
mod directory;
mod fleet;
mod http;
mod node;
mod proxy;
mod registry;
mod worker;

pub use cable::{Cable, Way};
pub use directory::Directory;
pub use fleet::{Fleet, FleetNode, FleetOptions};
pub use node::{binary, Lab, Options};
pub use proxy::Proxy;
pub use registry::{Mood, Registry};
pub use worker::{Act, Job, Worker};
