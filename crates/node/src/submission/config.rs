//! The configuration of the batch submission server.

use crate::config_error::ConfigError;
use crate::config_file::{check_ranges, parse_toml, read_text, RangeCheck};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
const SECONDS_PER_DAY: u64 = 86_400;
const SECONDS_PER_WEEK: usize = 604_800;

/// The table `[submission]` of the operator file, or a file with only its keys.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SubmissionConfig {
    /// The address that submitters connect to.
    pub listen: SocketAddr,
    /// The ids of the workers that take attempts by the submission protocol.
    #[serde(default)]
    pub workers: Vec<String>,
    /// The longest line that a submitter may send, in bytes.
    #[serde(default = "default_max_line")]
    pub max_line: usize,
    /// The maximum number of jobs that are stored, running and ended ones together.
    #[serde(default = "default_max_jobs")]
    pub max_jobs: usize,
    /// The maximum total size of the templates and results of these jobs, in bytes.
    #[serde(default = "default_max_bytes")]
    pub max_bytes: usize,
    /// The maximum number of jobs of one `runBulkJobs`.
    #[serde(default = "default_max_bulk")]
    pub max_bulk: usize,
    /// The maximum number of job sessions.
    #[serde(default = "default_max_sessions")]
    pub max_sessions: usize,
    /// The number of events that a session stores.
    #[serde(default = "default_history")]
    pub history: usize,
    /// The maximum number of connected submitters.
    #[serde(default = "default_max_submitters")]
    pub max_submitters: usize,
    /// The seconds for which an ended job is stored.
    #[serde(default = "default_retain_s")]
    pub retain_s: u64,
    /// The maximum seconds for which a job may be held before it is passed to the dispatcher.
    #[serde(default = "one_day_s")]
    pub hold_s: u64,
    /// The seconds for which a session without jobs and readers is stored.
    #[serde(default = "one_day_s")]
    pub session_s: u64,
}

fn default_max_line() -> usize {
    128 * KIB
}

fn default_max_jobs() -> usize {
    16_384
}

fn default_max_bytes() -> usize {
    48 * MIB
}

fn default_max_bulk() -> usize {
    10_000
}

fn default_max_sessions() -> usize {
    256
}

fn default_history() -> usize {
    4096
}

fn default_max_submitters() -> usize {
    64
}

fn default_retain_s() -> u64 {
    120
}

fn one_day_s() -> u64 {
    SECONDS_PER_DAY
}

impl SubmissionConfig {
    /// Reads a file that contains only these keys.
    ///
    /// # Errors
    /// The file cannot be read, or one of its keys is invalid.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let (source, text) = read_text(path)?;
        let config: Self = parse_toml(&source, &text)?;
        config.check(&source)?;
        Ok(config)
    }

    /// Checks the values. `source` names the file and the table in errors.
    ///
    /// # Errors
    /// A value is out of its range.
    pub fn check(&self, source: &str) -> Result<(), ConfigError> {
        let seconds_per_day = SECONDS_PER_DAY as usize;
        let checks = [
            RangeCheck::new("max_line", self.max_line, KIB, 160 * KIB),
            RangeCheck::new("max_jobs", self.max_jobs, 1, 262_144),
            RangeCheck::new("max_bytes", self.max_bytes, KIB, 256 * MIB),
            RangeCheck::new("max_bulk", self.max_bulk, 1, 65_536),
            RangeCheck::new("max_sessions", self.max_sessions, 1, 4096),
            RangeCheck::new("history", self.history, 16, 65_536),
            RangeCheck::new("max_submitters", self.max_submitters, 1, 256),
            RangeCheck::new("retain_s", self.retain_s as usize, 1, seconds_per_day),
            RangeCheck::new("hold_s", self.hold_s as usize, 1, SECONDS_PER_WEEK),
            RangeCheck::new("session_s", self.session_s as usize, 1, SECONDS_PER_WEEK),
        ];
        check_ranges(source, &checks)
    }
}
