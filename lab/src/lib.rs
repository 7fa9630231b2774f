//! A node between stand-ins: a directory and render workers that speak the platform's protocol on loopback, with
//! behaviour that a test chooses. For tests and measurements only; it uses threads, and nothing of it is in the node.
#![forbid(unsafe_code)]

mod directory;
mod http;
mod node;
mod proxy;
mod registry;
mod worker;

pub use directory::Directory;
pub use node::{binary, Lab, Options};
pub use proxy::Proxy;
pub use registry::{Mood, Registry};
pub use worker::{Act, Job, Worker};
