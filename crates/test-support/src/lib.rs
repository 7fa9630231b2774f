//! Test environments for the node: they start `marbledeck` processes together with stubs of discovery, of the render
//! workers and of a Eureka registry. The stubs speak the platform's protocols on loopback, and a test sets their
//! behaviour. Only tests and benchmarks use this crate; the node doesn't depend on it, so it may use blocking I/O and
//! threads.
#![forbid(unsafe_code)]

mod accept;
mod client;
mod cluster;
mod discovery;
mod discovery_answer;
mod discovery_state;
mod environment;
mod eureka;
mod http;
pub mod known_red;
mod lossy_proxy;
mod network_link;
mod notices;
mod process_log;
pub mod soak;
mod worker;
mod worker_crowd;

pub use client::JobClient;
pub use cluster::{Cluster, ClusterNode, ClusterOptions};
pub use discovery::{Delivery, DiscoveryStub, ListedEndpoint};
pub use discovery_answer::AnswerForm;
pub use environment::{binary, EnvironmentOptions, LaunchedSuccessor, TestEnvironment};
pub use eureka::{EurekaBehaviour, EurekaStub};
pub use lossy_proxy::LossyProxy;
pub use network_link::{LinkState, NetworkLink};
pub use worker::{JobBehaviour, ReceivedJob, WorkerStub};
pub use worker_crowd::{SeenRequest, WorkerCrowd};
