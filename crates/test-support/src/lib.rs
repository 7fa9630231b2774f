//! A node between stand-ins: discovery, render workers and a Eureka registry that speak the platform's protocols on
//! loopback, with behaviour that a test chooses. For tests and measurements only; it uses threads, and nothing of it is
//! in the node.
#![forbid(unsafe_code)]

mod accept;
mod client;
mod cluster;
mod discovery;
mod environment;
mod eureka;
mod http;
mod lossy_proxy;
mod network_link;
mod process_log;
mod worker;
mod worker_crowd;

pub use client::JobClient;
pub use cluster::{Cluster, ClusterNode, ClusterOptions};
pub use discovery::{AnswerForm, Delivery, DiscoveryStub, ListedEndpoint};
pub use environment::{binary, EnvironmentOptions, TestEnvironment};
pub use eureka::{EurekaBehaviour, EurekaStub};
pub use lossy_proxy::LossyProxy;
pub use network_link::{LinkState, NetworkLink};
pub use worker::{JobBehaviour, ReceivedJob, WorkerStub};
pub use worker_crowd::{SeenRequest, WorkerCrowd};
