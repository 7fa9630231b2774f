//! Configuration of the node: the environment and the node's file ([`NodeConfig`]), and the operator file
//! ([`OperatorConfig`]).
//!
//! Each service defines its own settings; this module reads, checks and combines them.

mod node;
mod operator;

pub use crate::config_error::{ConfigError, ConfigProblem};
pub use crate::consensus::config::{ConsensusConfig, VoterConfig};
pub use crate::eureka::config::{EurekaConfig, Registration, RegistryUrl};
pub use crate::gossip::config::PeersConfig;
pub use crate::licensing_config::LicensingConfig;
pub use crate::submission::config::SubmissionConfig;
pub use node::{NodeConfig, ResourceLimits};
pub use operator::OperatorConfig;
