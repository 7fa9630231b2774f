//! The environment, and the node's file that `LB_CONFIG` names.

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

/// Descriptors for the epoll, the standard streams, listeners, discovery, the signals' pipes and operators.
const RESERVED_DESCRIPTORS: usize = 48;
/// More descriptors than this are not used, whatever the file allows.
const MAX_DESCRIPTORS: usize = 1024;
/// Memory that the node takes without any body.
const RESERVED_MEMORY_MB: usize = 16;
/// A body may be held up to three times: as it came, in the buffer to a worker, and in what that had to grow from. With
/// some room to spare, bodies may so take this part of the memory that is not reserved.
const MEMORY_PER_BODY: usize = 4;
const BYTES_PER_MB: usize = 1024 * 1024;
/// How long a worker leaves a connection open that is idle, where the settings do not state it.
const DEFAULT_IDLE_TIMEOUT: Micros = Micros(5_000_000);
/// How long connecting to a worker may take, where the settings do not state it.
const DEFAULT_CONNECT_TIMEOUT: Micros = Micros(250_000);
/// How long after a drain was notified something new may go there, where the settings do not state it.
const DEFAULT_DRAIN_GRACE: Micros = Micros(400_000);

/// The file at `LB_CONFIG`, as it is written.
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

/// The part `limits` of the node's file.
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

/// What the processes of a node may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Connections of clients.
    pub client_connections: usize,
    /// Connections to workers.
    pub worker_connections: usize,
    /// Bytes that the bodies of requests take.
    pub body_bytes: usize,
}

/// The node's configuration.
pub struct NodeConfig {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The address of discovery that the file names. A reload looks at this, since the environment stays that of the
    /// start.
    pub discovery_in_file: Option<SocketAddr>,
    /// Where operators connect; none where they cannot.
    pub operators: Option<SocketAddr>,
    /// The socket over which a process hands over to its successor; none without `TMPDIR`.
    pub handover_socket: Option<PathBuf>,
    /// The seed of all random draws.
    pub seed: u64,
    /// The endpoint list that the node had last.
    pub cached_list: Option<EndpointList>,
    /// The other nodes; none where the platform does not let them send to each other.
    pub peers: Option<PeersConfig>,
    /// The platform's settings as they are written.
    pub platform_settings: PlatformSettings,
    /// The platform's settings as the dispatcher takes them.
    pub settings: Settings,
    /// The names of classes and tenants.
    pub names: NameRegistry,
    /// What the fields of a load report mean.
    pub report_fields: ReportFields,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The names of the kinds of workers, by number.
    pub kinds: Vec<String>,
    /// Whether workers send load reports, which their probes then show.
    pub workers_report_load: bool,
    /// A worker closes a connection that has been idle for so long.
    pub worker_idle_timeout: Micros,
    /// How long connecting to a worker may take.
    pub connect_timeout: Micros,
    /// How long after a drain was notified something new may still go there.
    pub drain_grace: Micros,
    /// Whether discovery pushes its lists: they count as notified from the first moment of a process.
    pub lists_are_pushed: bool,
    /// How often a worker reports the progress of a job; none where it does not.
    pub progress_interval: Option<Micros>,
    /// What the processes of this node may hold together.
    pub limits: ResourceLimits,
    /// The least important level that is logged.
    pub log_level: log::LevelFilter,
}

impl NodeConfig {
    /// Reads the environment through `variable`, and the file that it names.
    ///
    /// # Errors
    /// A variable or a key of the file is missing or wrong.
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
        let stated = |span: Option<u64>, default| span.map_or(default, Micros);
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
            worker_idle_timeout: stated(platform_limits.connection_idle_us, DEFAULT_IDLE_TIMEOUT),
            connect_timeout: stated(platform_limits.connect_timeout_us, DEFAULT_CONNECT_TIMEOUT),
            drain_grace: stated(rules.drain_grace_us, DEFAULT_DRAIN_GRACE),
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

/// The addresses that the environment and the node's file name.
struct Addresses {
    listen: SocketAddr,
    operators: Option<SocketAddr>,
    discovery: SocketAddr,
    /// Looked at last: a fault of it is reported after those of all other keys.
    discovery_in_file: Result<Option<SocketAddr>, ConfigError>,
}

/// A value, and the variable or key that it is from.
struct Value {
    key: String,
    text: String,
}

/// The environment, whose variables go before the keys of the node's file.
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
    ) -> Result<Value, ConfigError> {
        if let Some(text) = (self.variable)(variable) {
            return Ok(Value {
                key: variable.to_owned(),
                text,
            });
        }
        match in_file {
            Some(text) => Ok(Value {
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
        // The platform's own clients take a third at most, and each of their jobs one attempt at a time.
        let client_connections = descriptors * 2 / 5;
        let free_mb = self.memory_mb - RESERVED_MEMORY_MB;
        Ok(ResourceLimits {
            client_connections,
            worker_connections: descriptors - RESERVED_DESCRIPTORS - client_connections,
            body_bytes: free_mb * BYTES_PER_MB / MEMORY_PER_BODY,
        })
    }
}

fn parse_log_level(level: Option<&str>) -> Result<log::LevelFilter, ConfigError> {
    match level {
        None | Some("") => Ok(log::LevelFilter::Info),
        Some(level) => level.parse().map_err(|_| {
            ConfigError::new(
                "MARBLEDECK_LOG",
                "want off, error, warn, info, debug or trace",
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

/// Without a seed in the file, each process has another one.
fn parse_seed(seed: Option<&str>) -> Result<u64, ConfigError> {
    match seed {
        None => Ok(std::process::id().into()),
        Some(digits) => u64::from_str_radix(digits, 16).map_err(|_| {
            ConfigError::new("LB_CONFIG: seed", "want a number in hexadecimal digits")
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

/// The path of the socket for the handover, in the folder for temporary files.
fn handover_socket(folder: Option<String>, node_name: &str) -> Option<PathBuf> {
    let folder = folder.filter(|folder| !folder.is_empty())?;
    let file_name = node_name.replace(|c: char| !c.is_ascii_alphanumeric(), "_");
    Some(Path::new(&folder).join(format!("marbledeck-{file_name}")))
}
