//! The error type for reading a configuration: the invalid key and the problem with it.

use marbledeck_platform_settings::PlatformSettingsError;
use std::io;

/// An error in the environment or in a configuration file.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct ConfigError {
    /// The variable, file or key in the notation of operators, such as `LB_CONFIG: limits.sockets`.
    pub key: String,
    /// The problem with its value.
    #[source]
    pub problem: ConfigProblem,
}

impl ConfigError {
    /// Creates the error for a problem with a key.
    pub fn new(key: impl Into<String>, problem: impl Into<ConfigProblem>) -> Self {
        ConfigError {
            key: key.into(),
            problem: problem.into(),
        }
    }
}

/// The problem with the value of a key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigProblem {
    /// A variable without an equivalent key in the node's file is missing.
    #[error("not set")]
    NotSet,
    /// Neither the variable nor this key of the node's file is set.
    #[error("not set, and '{0}' is not in LB_CONFIG")]
    NotSetAnywhere(&'static str),
    /// A file could not be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file whose path is the value of a variable could not be read.
    #[error("{path}: {error}")]
    UnreadablePath {
        /// The path in the variable.
        path: String,
        /// Why it could not be read.
        #[source]
        error: io::Error,
    },
    /// The node's file is not valid JSON or does not have the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The operator file is not valid TOML or does not have the expected structure.
    #[error("{}", .0.message())]
    Toml(#[from] toml::de::Error),
    /// The platform settings are invalid.
    #[error(transparent)]
    PlatformSettings(#[from] PlatformSettingsError),
    /// The text is not an IP address with a port.
    #[error("'{0}' is not an IP address with a port")]
    NotAnAddress(String),
    /// A number is outside its inclusive range.
    #[error("must be between {min} and {max}")]
    OutOfRange {
        /// The smallest allowed value.
        min: usize,
        /// The largest allowed value.
        max: usize,
    },
    /// A number is below the smallest allowed value.
    #[error("must be at least {0}")]
    TooSmall(usize),
    /// The URL of a registry is not usable.
    #[error("'{url}': {wanted}")]
    RegistryUrl {
        /// The URL in the file.
        url: String,
        /// The expected form.
        wanted: &'static str,
    },
    /// A class requires a licence that is not in the list of licences.
    #[error("'{0}' is not in the list of licences")]
    UnknownLicence(String),
    /// The list of peers has no entry for this node, given its number.
    #[error("must have an entry for each node; there is none for this node, number {0}")]
    NoPeerForNode(usize),
    /// A value breaks some other rule, given as text.
    #[error("{0}")]
    Invalid(&'static str),
}

impl From<&'static str> for ConfigProblem {
    fn from(rule: &'static str) -> Self {
        ConfigProblem::Invalid(rule)
    }
}
