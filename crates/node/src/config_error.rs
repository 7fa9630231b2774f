//! The error of reading a configuration: which key is wrong, and why.

use marbledeck_platform_settings::PlatformSettingsError;
use std::io;

/// A fault in the environment or in a configuration file.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct ConfigError {
    /// The variable, file or key, as operators write it: `LB_CONFIG: limits.sockets`.
    pub key: String,
    /// What is wrong with its value.
    #[source]
    pub problem: ConfigProblem,
}

impl ConfigError {
    /// The error that says this of a key.
    pub fn new(key: impl Into<String>, problem: impl Into<ConfigProblem>) -> Self {
        ConfigError {
            key: key.into(),
            problem: problem.into(),
        }
    }
}

/// What is wrong with one key's value.
#[derive(Debug, thiserror::Error)]
pub enum ConfigProblem {
    /// A variable that has no counterpart in a file is missing.
    #[error("not set")]
    NotSet,
    /// Neither the variable nor this key of the node's file is there.
    #[error("not set, and '{0}' is not in LB_CONFIG")]
    NotSetAnywhere(&'static str),
    /// A file could not be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file at this path, which a variable names, could not be read.
    #[error("{path}: {error}")]
    UnreadablePath {
        /// The path as the variable has it.
        path: String,
        /// Why it could not be read.
        #[source]
        error: io::Error,
    },
    /// The node's file does not hold what is wanted.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The operator file does not hold what is wanted.
    #[error("{}", .0.message())]
    Toml(#[from] toml::de::Error),
    /// The platform's settings contradict themselves.
    #[error(transparent)]
    PlatformSettings(#[from] PlatformSettingsError),
    /// A text that should be an IP address with a port.
    #[error("'{0}' is no address with a port")]
    NotAnAddress(String),
    /// A number outside its range, both ends of which are allowed.
    #[error("want {min} to {max}")]
    OutOfRange {
        /// The least allowed value.
        min: usize,
        /// The greatest allowed value.
        max: usize,
    },
    /// A number below the least allowed value.
    #[error("want {0} or more")]
    TooSmall(usize),
    /// The URL of a registry that cannot be used.
    #[error("'{url}': {wanted}")]
    RegistryUrl {
        /// The URL as it is written.
        url: String,
        /// What is wanted of it.
        wanted: &'static str,
    },
    /// A class of jobs needs a licence that this site does not list.
    #[error("'{0}' is none of the licences")]
    UnknownLicence(String),
    /// The list of peers has no entry for this node's number.
    #[error("want one for each node: this one has number {0}")]
    NoPeerForNode(usize),
    /// A value that breaks a rule without figures.
    #[error("{0}")]
    Invalid(&'static str),
}

impl From<&'static str> for ConfigProblem {
    fn from(rule: &'static str) -> Self {
        ConfigProblem::Invalid(rule)
    }
}
