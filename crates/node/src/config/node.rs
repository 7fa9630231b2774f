//! Configuration from the environment and from the node's file, whose path is in `LB_CONFIG`.

use crate::config_error::{ConfigError, ConfigProblem};
use crate::config_file::{parse_address, parse_json};
use crate::core::NameRegistry;
use crate::discovery::EndpointList;
use crate::gossip::config::PeersConfig;
use marbledeck_dispatcher::{LoadReporting, Micros, Settings};
use marbledeck_platform_settings::{PlatformSettings, ReportFields};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// File descriptors reserved for epoll, the standard streams, listeners, discovery, signal pipes and operators.
const RESERVED_DESCRIPTORS: usize = 48;
/// Upper bound on the file descriptors that are used, whatever the file allows.
const MAX_DESCRIPTORS: usize = 1024;
/// Memory that the node uses besides request bodies.
const RESERVED_MEMORY_MB: usize = 16;
/// Memory reserved for a request body, as a multiple of its length. A body may be held three times: as received, in
/// the send buffer of a worker, and in the old buffer while that buffer grows. The fourth part is a safety margin.
const MEMORY_PER_BODY: usize = 4;
/// The part of the memory above the reserved one that clients may take with incomplete requests and unread answers, as a
/// divisor.
const CONNECTION_MEMORY_SHARE: usize = 8;
const BYTES_PER_MB: usize = 1024 * 1024;
/// How long a worker keeps an idle connection open, if the settings do not say.
const DEFAULT_IDLE_TIMEOUT: Micros = Micros(5_000_000);
/// Timeout for connecting to a worker, if the settings do not say.
const DEFAULT_CONNECT_TIMEOUT: Micros = Micros(250_000);
/// How long after the notice of its drain a worker may be sent new jobs, if the settings do not say.
const DEFAULT_DRAIN_GRACE: Micros = Micros(400_000);

/// The file at `LB_CONFIG`, as parsed.
#[derive(Deserialize)]
struct NodeFile {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    ops: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: LimitsSection,
    #[serde(default, rename = "known")]
    cached_list: Option<EndpointList>,
    #[serde(default)]
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    settings: PlatformSettings,
}

/// The section `limits` of the node's file.
#[derive(Deserialize)]
#[serde(default)]
struct LimitsSection {
    sockets: usize,
    memory_mb: usize,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection {
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

/// Resource limits for all processes of a node together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of worker connections.
    pub worker_connections: usize,
    /// Maximum total length of request bodies.
    pub body_bytes: usize,
    /// Maximum memory that clients take with incomplete requests and unread answers, in bytes.
    pub connection_bytes: usize,
}

/// The node's configuration.
pub struct NodeConfig {
    /// The node's name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The discovery address in the file. A reload compares this one, because the environment does not change while the
    /// process runs.
    pub discovery_in_file: Option<SocketAddr>,
    /// The operations address; `None` if there is none.
    pub operators: Option<SocketAddr>,
    /// The path of the Unix socket for the handover to a successor; `None` without `TMPDIR`.
    pub handover_socket: Option<PathBuf>,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The last endpoint list that the node knew.
    pub cached_list: Option<EndpointList>,
    /// Addresses for gossip with the other nodes; `None` if the platform does not let nodes send to each other.
    pub peers: Option<PeersConfig>,
    /// The platform settings as parsed.
    pub platform_settings: PlatformSettings,
    /// The platform settings in the form of the dispatcher.
    pub settings: Settings,
    /// The names of classes and tenants.
    pub names: NameRegistry,
    /// The meaning of the fields of a load report.
    pub report_fields: ReportFields,
    /// The names of the zones, by zone number.
    pub zones: Vec<String>,
    /// The names of the worker kinds, by kind number.
    pub kinds: Vec<String>,
    /// Whether workers report their load, so that probing them yields a load report.
    pub workers_report_load: bool,
    /// How long a worker keeps an idle connection open.
    pub worker_idle_timeout: Micros,
    /// Timeout for connecting to a worker.
    pub connect_timeout: Micros,
    /// How long after the notice of its drain a worker may be sent new jobs.
    pub drain_grace: Micros,
    /// Whether discovery pushes its lists; a process then counts as notified of changes from its start.
    pub lists_are_pushed: bool,
    /// Interval at which a worker reports the progress of a job; `None` if it does not.
    pub progress_interval: Option<Micros>,
    /// Resource limits for all processes of this node together.
    pub limits: ResourceLimits,
    /// The most verbose level that is logged.
    pub log_level: log::LevelFilter,
}

impl NodeConfig {
    /// Reads the environment variables with `variable`, and the file at `LB_CONFIG`.
    ///
    /// # Errors
    /// If a variable or a key of the file is missing or invalid.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let log_level = parse_log_level(variable("MARBLEDECK_LOG").as_deref())?;
        let file = read_node_file(variable("LB_CONFIG"))?;
        let environment = Environment { variable };
        let addresses = environment.addresses(&file)?;
        let seed = parse_seed(file.seed.as_deref())?;
        let peers = read_peers(&file)?;
        let platform_settings = file.settings;
        let settings = check_settings(&platform_settings)?;
        let limits = file.limits.check()?;
        let name = environment.value("LB_NAME", "name", file.name.as_deref())?;
        let name = name.text;
        let (platform_limits, rules) = (&platform_settings.limits, &platform_settings.rules);
        let micros_or = |duration: Option<u64>, default| duration.map_or(default, Micros);
        let progress_us = platform_settings.worker_family.progress_interval_us;
        Ok(NodeConfig {
            handover_socket: handover_socket((environment.variable)("TMPDIR"), &name),
            name,
            listen: addresses.listen,
            discovery: addresses.discovery,
            discovery_in_file: addresses.discovery_in_file?,
            operators: addresses.operators,
            seed,
            cached_list: file.cached_list,
            peers,
            names: NameRegistry::new(&platform_settings, &settings),
            report_fields: platform_settings.report_fields(),
            workers_report_load: settings.load_reporting != LoadReporting::Never,
            settings,
            worker_idle_timeout: micros_or(
                platform_limits.connection_idle_us,
                DEFAULT_IDLE_TIMEOUT,
            ),
            connect_timeout: micros_or(platform_limits.connect_timeout_us, DEFAULT_CONNECT_TIMEOUT),
            drain_grace: micros_or(rules.drain_grace_us, DEFAULT_DRAIN_GRACE),
            lists_are_pushed: are_lists_pushed(&platform_settings),
            progress_interval: (progress_us > 0).then_some(Micros(progress_us)),
            zones: platform_settings.zones.clone(),
            kinds: platform_settings.kinds.clone(),
            platform_settings,
            limits,
            log_level,
        })
    }
}

/// The addresses from the environment and the node's file.
struct Addresses {
    listen: SocketAddr,
    operators: Option<SocketAddr>,
    discovery: SocketAddr,
    /// Still a `Result`, so that errors in all other keys are reported before an error in this one.
    discovery_in_file: Result<Option<SocketAddr>, ConfigError>,
}

/// A value with the variable or key that it was read from, for error messages.
struct SourcedValue {
    key: String,
    text: String,
}

/// The environment. Its variables take precedence over the keys of the node's file.
struct Environment<V> {
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> Environment<V> {
    fn addresses(&self, file: &NodeFile) -> Result<Addresses, ConfigError> {
        let in_file = file.discovery.as_deref();
        Ok(Addresses {
            listen: self.address("LB_LISTEN", "listen", file.listen.as_deref())?,
            operators: self.optional_address("LB_OPS", "ops", file.ops.as_deref())?,
            discovery: self.address("LB_DISCOVERY", "discovery", in_file)?,
            discovery_in_file: in_file
                .map(|text| parse_address("LB_CONFIG: discovery", text))
                .transpose(),
        })
    }

    fn value(
        &self,
        variable: &str,
        key: &'static str,
        in_file: Option<&str>,
    ) -> Result<SourcedValue, ConfigError> {
        if let Some(text) = (self.variable)(variable) {
            return Ok(SourcedValue {
                key: variable.to_owned(),
                text,
            });
        }
        match in_file {
            Some(text) => Ok(SourcedValue {
                key: format!("LB_CONFIG: {key}"),
                text: text.to_owned(),
            }),
            None => Err(ConfigError::new(
                variable,
                ConfigProblem::NotSetAnywhere(key),
            )),
        }
    }

    fn address(
        &self,
        variable: &str,
        key: &'static str,
        in_file: Option<&str>,
    ) -> Result<SocketAddr, ConfigError> {
        let value = self.value(variable, key, in_file)?;
        parse_address(value.key, &value.text)
    }

    fn optional_address(
        &self,
        variable: &str,
        key: &'static str,
        in_file: Option<&str>,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        if (self.variable)(variable).is_none() && in_file.is_none() {
            return Ok(None);
        }
        self.address(variable, key, in_file).map(Some)
    }
}

impl LimitsSection {
    fn check(&self) -> Result<ResourceLimits, ConfigError> {
        let descriptors = self.sockets.min(MAX_DESCRIPTORS);
        if descriptors < 2 * RESERVED_DESCRIPTORS {
            return Err(ConfigError::new(
                "LB_CONFIG: limits.sockets",
                ConfigProblem::TooSmall(2 * RESERVED_DESCRIPTORS),
            ));
        }
        if self.memory_mb < 2 * RESERVED_MEMORY_MB {
            return Err(ConfigError::new(
                "LB_CONFIG: limits.memory_mb",
                ConfigProblem::TooSmall(2 * RESERVED_MEMORY_MB),
            ));
        }
        // The platform's clients use a third of the descriptors at most, and each of their jobs needs one worker
        // connection at a time.
        let client_connections = descriptors * 2 / 5;
        let free_mb = self.memory_mb - RESERVED_MEMORY_MB;
        Ok(ResourceLimits {
            client_connections,
            worker_connections: descriptors - RESERVED_DESCRIPTORS - client_connections,
            body_bytes: free_mb * BYTES_PER_MB / MEMORY_PER_BODY,
            connection_bytes: free_mb * BYTES_PER_MB / CONNECTION_MEMORY_SHARE,
        })
    }
}

fn parse_log_level(level: Option<&str>) -> Result<log::LevelFilter, ConfigError> {
    match level {
        None | Some("") => Ok(log::LevelFilter::Info),
        Some(level) => level.parse().map_err(|_| {
            ConfigError::new(
                "MARBLEDECK_LOG",
                "must be off, error, warn, info, debug or trace",
            )
        }),
    }
}

fn read_node_file(path: Option<String>) -> Result<NodeFile, ConfigError> {
    let Some(path) = path else {
        return Err(ConfigError::new("LB_CONFIG", ConfigProblem::NotSet));
    };
    match std::fs::read_to_string(&path) {
        Ok(text) => parse_json("LB_CONFIG", &text),
        Err(error) => {
            let problem = ConfigProblem::UnreadablePath { path, error };
            Err(ConfigError::new("LB_CONFIG", problem))
        }
    }
}

fn read_peers(file: &NodeFile) -> Result<Option<PeersConfig>, ConfigError> {
    let Some(listen) = &file.peer_listen else {
        return Ok(None);
    };
    let index = file.settings.index as usize;
    PeersConfig::parse(listen, &file.peers, index, file.settings.limits.gossip)
}

/// Parses the seed of the file. Without one, the process id is used, so that each process has a different seed.
fn parse_seed(seed: Option<&str>) -> Result<u64, ConfigError> {
    match seed {
        None => Ok(std::process::id().into()),
        Some(digits) => u64::from_str_radix(digits, 16).map_err(|_| {
            ConfigError::new("LB_CONFIG: seed", "must be a number in hexadecimal digits")
        }),
    }
}

fn check_settings(platform_settings: &PlatformSettings) -> Result<Settings, ConfigError> {
    let settings = platform_settings
        .dispatcher_settings()
        .map_err(|error| ConfigError::new("LB_CONFIG", error))?;
    let mut classes = platform_settings.classes.iter();
    if let Some(position) = classes.position(|class| class.name.is_empty()) {
        let key = format!("LB_CONFIG: settings.profiles[{position}].name");
        return Err(ConfigError::new(key, "missing"));
    }
    Ok(settings)
}

fn are_lists_pushed(platform_settings: &PlatformSettings) -> bool {
    let mode = platform_settings.discovery_mode.as_str();
    !mode.is_empty() && mode != "subscribe"
}

/// The path of the handover socket in the directory for temporary files.
fn handover_socket(directory: Option<String>, node_name: &str) -> Option<PathBuf> {
    let directory = directory.filter(|directory| !directory.is_empty())?;
    let file_name = node_name.replace(|c: char| !c.is_ascii_alphanumeric(), "_");
    Some(Path::new(&directory).join(format!("marbledeck-{file_name}")))
}
