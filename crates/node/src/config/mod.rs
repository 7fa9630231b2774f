//! The configuration: the environment and the node's file ([`NodeConfig`]), and the operator file ([`OperatorConfig`]).
//!
//! The settings of each service stand beside that service; here they are read, checked and put together.

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
