//! The one place where configuration is read, checked and given defaults: the environment, the file at
//! `LB_CONFIG` and the front's file under `deploy/`. Every error names the key.

use crate::core::Catalogue;
use crate::discovery::Listing;
use marbledeck_consensus::LeaseTerms;
use marbledeck_dispatcher::{CellId, Micros, Settings};
use marbledeck_eureka::{Form, Keys};
use marbledeck_membership::{SelfPreservation, SourceReport, Status};
use marbledeck_platform_settings::{PlatformSettings, ReportFields};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Descriptors kept for the epoll, the standard streams, listeners, the directory, the signals' pipes and operators.
const KEPT: usize = 48;
/// Memory that the node takes without any body, and the part of the rest that bodies may take: each may be held
/// up to three times, as it came, in the buffer to a worker and in what that had to grow from.
const KEPT_MB: usize = 16;
const BODIES: usize = 4;
/// Idle connections to workers are closed by these by default, and connects given up after that.
const IDLE: Micros = Micros(5_000_000);
const CONNECT: Micros = Micros(250_000);
/// How long after a drain was told something new may go there, where the settings do not say it.
const GRACE: Micros = Micros(400_000);

/// What is wrong, and with which key.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub key: String,
    pub what: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.what)
    }
}

impl std::error::Error for ConfigError {}

fn err<T>(key: impl Into<String>, what: impl fmt::Display) -> Result<T, ConfigError> {
    Err(ConfigError {
        key: key.into(),
        what: what.to_string(),
    })
}

/// The file at `LB_CONFIG`, as it is written.
#[derive(Deserialize)]
struct File {
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
    limits: FileLimits,
    #[serde(default)]
    known: Option<Listing>,
    #[serde(default)]
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    settings: PlatformSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for FileLimits {
    fn default() -> Self {
        FileLimits {
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

/// What the node is told.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub directory: SocketAddr,
    /// Where operators call; none where they cannot.
    pub ops: Option<SocketAddr>,
    /// The socket over which a process hands over to the one that replaces it; none without `TMPDIR`.
    pub handover: Option<PathBuf>,
    /// The directory that the file names: a reload looks at this, since the environment stays that of the start.
    pub directory_in_file: Option<SocketAddr>,
    pub seed: u64,
    pub known: Option<Listing>,
    /// The other nodes of the tier; none where the platform does not let them send to each other.
    pub peers: Option<PeersConfig>,
    /// The settings as they are written, and what they mean to the module.
    pub facts: PlatformSettings,
    pub settings: Settings,
    pub catalogue: Catalogue,
    pub reads: ReportFields,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Whether workers send reports, which their probes then show.
    pub reports: bool,
    /// A worker closes a connection that has been idle for so long.
    pub idle: Micros,
    pub connect_timeout: Micros,
    /// How long after a drain was told something new may still go there.
    pub drain_grace: Micros,
    /// Lists count as told from the first moment of a process.
    pub pushed: bool,
    /// How often a worker tells of a job that runs; none where it does not.
    pub progress: Option<Micros>,
    pub most_consumers: usize,
    pub most_worker_connections: usize,
    /// Bytes that the bodies of requests may take together.
    pub bodies: usize,
    pub log: log::LevelFilter,
}

impl Config {
    /// Reads the environment through `var`, and the file that it names.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let log = match var("MARBLEDECK_LOG").as_deref() {
            None | Some("") => log::LevelFilter::Info,
            Some(level) => match level.parse() {
                Ok(level) => level,
                Err(_) => {
                    return err(
                        "MARBLEDECK_LOG",
                        "want off, error, warn, info, debug or trace",
                    )
                }
            },
        };
        let Some(path) = var("LB_CONFIG") else {
            return err("LB_CONFIG", "not set");
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => return err("LB_CONFIG", format_args!("{path}: {e}")),
        };
        let mut json = serde_json::Deserializer::from_str(&text);
        let read = serde_path_to_error::deserialize(&mut json);
        let file: File = keyed("LB_CONFIG", read, |e: &serde_json::Error| e.to_string())?;
        let either = |name: &str, key: &str, in_file: &Option<String>| match var(name) {
            Some(value) => Ok((name.to_owned(), value)),
            None => match in_file {
                Some(value) => Ok((format!("LB_CONFIG: {key}"), value.clone())),
                None => err(
                    name,
                    format_args!("not set, and '{key}' is not in LB_CONFIG"),
                ),
            },
        };
        let listen = address(either("LB_LISTEN", "listen", &file.listen)?)?;
        let ops = match var("LB_OPS").is_some() || file.ops.is_some() {
            true => Some(address(either("LB_OPS", "ops", &file.ops)?)?),
            false => None,
        };
        let directory = address(either("LB_DISCOVERY", "discovery", &file.discovery)?)?;
        let in_file = file.discovery.clone();
        let directory_in_file = in_file.map(|text| address(("LB_CONFIG: discovery".into(), text)));
        let seed = match file.seed.as_deref().map(|s| u64::from_str_radix(s, 16)) {
            None => std::process::id().into(),
            Some(Ok(seed)) => seed,
            Some(Err(_)) => return err("LB_CONFIG: seed", "want a number in hexadecimal digits"),
        };
        let peers = PeersConfig::of(&file)?;
        let facts = file.settings;
        let checked = facts.dispatcher_settings();
        let settings = match checked {
            Ok(settings) => settings,
            Err(e) => return err("LB_CONFIG", e),
        };
        if let Some(i) = facts.classes.iter().position(|p| p.name.is_empty()) {
            return err(format!("LB_CONFIG: settings.profiles[{i}].name"), "missing");
        }
        let sockets = file.limits.sockets.min(1024);
        if sockets < 2 * KEPT {
            return err(
                "LB_CONFIG: limits.sockets",
                format_args!("want {} or more", 2 * KEPT),
            );
        }
        // The platform's own consumers take a third at most, and each of their jobs one call at a time.
        let most_consumers = sockets * 2 / 5;
        let memory_mb = file.limits.memory_mb;
        if memory_mb < 2 * KEPT_MB {
            return err(
                "LB_CONFIG: limits.memory_mb",
                format_args!("want {} or more", 2 * KEPT_MB),
            );
        }
        let name = either("LB_NAME", "name", &file.name)?.1;
        let handover = var("TMPDIR").filter(|folder| !folder.is_empty());
        let plain = name.replace(|c: char| !c.is_ascii_alphanumeric(), "_");
        let handover =
            handover.map(|folder| Path::new(&folder).join(format!("marbledeck-{plain}")));
        Ok(Config {
            name,
            handover,
            listen,
            directory,
            ops,
            directory_in_file: directory_in_file.transpose()?,
            seed,
            known: file.known,
            peers,
            catalogue: Catalogue::new(&facts, &settings),
            reads: facts.report_fields(),
            reports: settings.load_reporting != marbledeck_dispatcher::LoadReporting::Never,
            settings,
            idle: facts.limits.connection_idle_us.map_or(IDLE, Micros),
            drain_grace: facts.rules.drain_grace_us.map_or(GRACE, Micros),
            pushed: !facts.discovery_mode.is_empty() && facts.discovery_mode != "subscribe",
            connect_timeout: facts.limits.connect_timeout_us.map_or(CONNECT, Micros),
            progress: Some(Micros(facts.worker_family.progress_interval_us))
                .filter(|span| span.0 > 0),
            zones: facts.zones.clone(),
            kinds: facts.kinds.clone(),
            facts,
            most_consumers,
            most_worker_connections: sockets - KEPT - most_consumers,
            bodies: (memory_mb - KEPT_MB) * 1024 * 1024 / BODIES,
            log,
        })
    }
}

fn address((key, text): (String, String)) -> Result<SocketAddr, ConfigError> {
    match text.parse() {
        Ok(addr) => Ok(addr),
        Err(_) => err(key, format_args!("'{text}' is no address with a port")),
    }
}

/// Names the key that a value was read for; `words` tells in a line what is wrong with it.
fn keyed<T, E>(
    source: &str,
    read: Result<T, serde_path_to_error::Error<E>>,
    words: impl Fn(&E) -> String,
) -> Result<T, ConfigError> {
    read.or_else(|e| {
        let path = e.path().to_string();
        match path.as_str() {
            "." | "?" => err(source, words(e.inner())),
            path => err(format!("{source}: {path}"), words(e.inner())),
        }
    })
}

/// The nodes of the tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfig {
    /// Where this node takes datagrams.
    pub listen: SocketAddr,
    /// Where each of them sends from and takes datagrams, by its number.
    pub nodes: Vec<SocketAddr>,
    /// The number of this one.
    pub index: usize,
}

impl PeersConfig {
    fn of(file: &File) -> Result<Option<Self>, ConfigError> {
        let index = file.settings.index as usize;
        let Some(listen) = &file.peer_listen else {
            return Ok(None);
        };
        let listen = address(("LB_CONFIG: peer_listen".into(), listen.clone()))?;
        let mut nodes = Vec::new();
        for (at, node) in file.peers.iter().enumerate() {
            nodes.push(address((format!("LB_CONFIG: peers[{at}]"), node.clone()))?);
        }
        let alone = nodes.len() < 2 || !file.settings.limits.gossip;
        if !alone && index >= nodes.len() {
            let what = format_args!("want one for each node: this one has number {index}");
            return err("LB_CONFIG: peers", what);
        }
        let config = PeersConfig {
            listen,
            nodes,
            index,
        };
        Ok(Some(config).filter(|_| !alone))
    }
}

/// The file of the submission front.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SubmissionConfig {
    /// Where submitters connect.
    pub listen: SocketAddr,
    /// The ids of the workers that are spoken to by submission.
    #[serde(default)]
    pub workers: Vec<String>,
    /// The longest line, in bytes.
    #[serde(default = "defaults::max_line")]
    pub max_line: usize,
    /// Jobs held, running and ended ones together.
    #[serde(default = "defaults::max_jobs")]
    pub max_jobs: usize,
    /// Bytes of templates and results held.
    #[serde(default = "defaults::max_bytes")]
    pub max_bytes: usize,
    /// Jobs of one `runBulkJobs`.
    #[serde(default = "defaults::max_bulk")]
    pub max_bulk: usize,
    /// Job sessions.
    #[serde(default = "defaults::max_sessions")]
    pub max_sessions: usize,
    /// Events that a session remembers.
    #[serde(default = "defaults::history")]
    pub history: usize,
    /// Submitters connected at a time.
    #[serde(default = "defaults::max_submitters")]
    pub max_submitters: usize,
    /// How long an ended job can be asked for.
    #[serde(default = "defaults::retain_s")]
    pub retain_s: u64,
    /// How long a job may wait before it is handed to the decisions.
    #[serde(default = "defaults::a_day_s")]
    pub hold_s: u64,
    /// How long a session is kept that has neither jobs nor readers.
    #[serde(default = "defaults::a_day_s")]
    pub session_s: u64,
}

mod defaults {
    pub fn max_line() -> usize {
        128 * 1024
    }
    pub fn max_jobs() -> usize {
        16_384
    }
    pub fn max_bytes() -> usize {
        48 * 1024 * 1024
    }
    pub fn max_bulk() -> usize {
        10_000
    }
    pub fn max_sessions() -> usize {
        256
    }
    pub fn history() -> usize {
        4096
    }
    pub fn a_day_s() -> u64 {
        86_400
    }
    pub fn poll_s() -> usize {
        10
    }
    pub fn timeout_s() -> usize {
        5
    }
    pub fn full_s() -> usize {
        60
    }
    pub fn renew_s() -> usize {
        30
    }
    pub fn yes() -> bool {
        true
    }
    pub fn json() -> String {
        "json".to_owned()
    }
    pub fn lease_ms() -> usize {
        3000
    }
    pub fn tick_ms() -> usize {
        100
    }
    pub fn idle_ms() -> usize {
        10_000
    }
    pub fn max_submitters() -> usize {
        64
    }
    pub fn retain_s() -> u64 {
        120
    }
}

impl SubmissionConfig {
    /// Reads a file that holds the front's keys alone.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let (source, text) = file(path)?;
        let config: Self = toml_of(&source, &text)?;
        config.check(&source)?;
        Ok(config)
    }

    fn check(&self, source: &str) -> Result<(), ConfigError> {
        let wanted = [
            ("max_line", self.max_line, 1024, 160 * 1024),
            ("max_jobs", self.max_jobs, 1, 262_144),
            ("max_bytes", self.max_bytes, 1024, 256 * 1024 * 1024),
            ("max_bulk", self.max_bulk, 1, 65_536),
            ("max_sessions", self.max_sessions, 1, 4096),
            ("history", self.history, 16, 65_536),
            ("max_submitters", self.max_submitters, 1, 256),
            ("retain_s", self.retain_s as usize, 1, 86_400),
            ("hold_s", self.hold_s as usize, 1, 604_800),
            ("session_s", self.session_s as usize, 1, 604_800),
        ];
        within(source, &wanted)
    }
}

/// Whether each value lies between its bounds.
fn within(source: &str, wanted: &[(&str, usize, usize, usize)]) -> Result<(), ConfigError> {
    for (key, value, least, most) in wanted {
        if !(least..=most).contains(&value) {
            let key = format!("{source}: {key}");
            return err(key, format_args!("want {least} to {most}"));
        }
    }
    Ok(())
}

fn file(path: &Path) -> Result<(String, String), ConfigError> {
    let source = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((source, text)),
        Err(e) => err(source, e),
    }
}

fn toml_of<T: DeserializeOwned>(source: &str, text: &str) -> Result<T, ConfigError> {
    let toml = match toml::Deserializer::parse(text) {
        Ok(toml) => toml,
        Err(e) => return err(source, e.message()),
    };
    let read = serde_path_to_error::deserialize(toml);
    keyed(source, read, |e: &toml::de::Error| e.message().to_owned())
}

/// The operator file, as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SiteFile {
    #[serde(default)]
    submission: Option<SubmissionConfig>,
    #[serde(default)]
    membership: GuardFile,
    #[serde(default)]
    eureka: Option<EurekaFile>,
    #[serde(default, rename = "static")]
    statics: Vec<StaticFile>,
    #[serde(default)]
    peers: PeersFile,
    #[serde(default)]
    agreement: Option<AgreementFile>,
    #[serde(default)]
    seats: Option<SeatsFile>,
    #[serde(default)]
    sites: Option<SitesFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SitesFile {
    name: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AgreementFile {
    fleet: String,
    node: u32,
    nodes: u32,
    from: Vec<String>,
    voters: Vec<VoterFile>,
    #[serde(default)]
    store: Option<PathBuf>,
    #[serde(default = "defaults::lease_ms")]
    lease_ms: usize,
    #[serde(default = "defaults::tick_ms")]
    tick_ms: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterFile {
    number: u64,
    address: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SeatsFile {
    licences: Vec<String>,
    #[serde(default)]
    classes: std::collections::BTreeMap<String, Vec<String>>,
    #[serde(default = "defaults::idle_ms")]
    idle_ms: usize,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterConfig {
    /// Its number as a node and as a voter.
    pub number: u64,
    /// Where it takes connections.
    pub address: SocketAddr,
}

/// The fleet's agreement: who votes, and which node this one is.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreementConfig {
    pub fleet: String,
    /// This node's number.
    pub node: u32,
    /// How many nodes there are: their numbers are 1 to this.
    pub nodes: u32,
    /// The addresses that nodes connect from.
    pub from: Vec<std::net::IpAddr>,
    pub voters: Vec<VoterConfig>,
    /// Where a voter keeps what it must not forget.
    pub store: PathBuf,
    pub terms: LeaseTerms,
    /// The voters' step of time.
    pub tick: Micros,
}

/// The rates of two clocks differ by no more than this part; `docs/design/agreement.md`.
const DRIFT: f64 = 0.01;

impl AgreementConfig {
    /// How often a node asks for a reading: six times in a lease.
    pub fn ask_every(&self) -> Micros {
        Micros(self.terms.duration.0 / 6)
    }

    /// How long a voter may take for an answer: a third of a lease, so that another can be asked in time.
    pub fn patience(&self) -> Micros {
        Micros(self.terms.duration.0 / 3)
    }

    /// Connections that a voter takes.
    pub fn guests(&self) -> usize {
        self.nodes as usize + 2 * self.voters.len()
    }

    /// Descriptors that this part may hold.
    pub fn descriptors(&self) -> usize {
        let votes = self
            .voters
            .iter()
            .any(|voter| voter.number == u64::from(self.node));
        self.voters.len() + 4 + if votes { self.guests() } else { 0 }
    }
}

impl AgreementFile {
    fn check(self, source: &str) -> Result<AgreementConfig, ConfigError> {
        let wanted = [
            ("nodes", self.nodes as usize, 1, 300),
            ("node", self.node as usize, 1, self.nodes as usize),
            ("lease_ms", self.lease_ms, 300, 60_000),
            ("tick_ms", self.tick_ms, 10, 1000),
        ];
        within(source, &wanted)?;
        // Elections are twenty ticks at the longest: a fleet whose readings end before is one without rules meanwhile.
        if self.lease_ms < 30 * self.tick_ms {
            return err(
                format!("{source}: lease_ms"),
                "want 30 times tick_ms or more",
            );
        }
        if self.fleet.is_empty() || self.fleet.len() > 128 {
            return err(format!("{source}: fleet"), "want a name of 1 to 128 bytes");
        }
        let mut from = Vec::new();
        for (at, ip) in self.from.iter().enumerate() {
            match ip.parse() {
                Ok(ip) => from.push(ip),
                Err(_) => {
                    return err(
                        format!("{source}: from[{at}]"),
                        "want an address without a port",
                    )
                }
            }
        }
        if ![3, 5, 7].contains(&self.voters.len()) {
            return err(format!("{source}: voters"), "want 3, 5 or 7");
        }
        let mut voters: Vec<VoterConfig> = Vec::new();
        for (at, voter) in self.voters.into_iter().enumerate() {
            let key = format!("{source}: voters[{at}]");
            let address = address((format!("{key}.address"), voter.address))?;
            let numbered = (1..=u64::from(self.nodes)).contains(&voter.number);
            if !numbered || voters.iter().any(|known| known.number == voter.number) {
                return err(
                    format!("{key}.number"),
                    "want the number of a node, each once",
                );
            }
            voters.push(VoterConfig {
                number: voter.number,
                address,
            });
        }
        let votes = voters
            .iter()
            .any(|voter| voter.number == u64::from(self.node));
        let store = match self.store {
            Some(store) => store,
            None if votes => return err(format!("{source}: store"), "missing: this node votes"),
            None => PathBuf::new(),
        };
        Ok(AgreementConfig {
            fleet: self.fleet,
            node: self.node,
            nodes: self.nodes,
            from,
            voters,
            store,
            terms: LeaseTerms {
                duration: Micros(self.lease_ms as u64 * 1000),
                clock_drift: DRIFT,
            },
            tick: Micros(self.tick_ms as u64 * 1000),
        })
    }
}

/// The licences of this site.
#[derive(Clone, Debug, PartialEq)]
pub struct SeatsConfig {
    /// Their names: those of the pools.
    pub licences: Vec<String>,
    /// The licences that the jobs of a class need.
    pub classes: std::collections::BTreeMap<String, Vec<String>>,
    /// Seats that were not used for so long go back.
    pub idle: Micros,
}

impl SeatsFile {
    fn check(self, source: &str) -> Result<SeatsConfig, ConfigError> {
        within(
            source,
            &[
                ("idle_ms", self.idle_ms, 100, 3_600_000),
                ("licences", self.licences.len(), 1, 1000),
            ],
        )?;
        for (at, name) in self.licences.iter().enumerate() {
            let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic() && b != b',');
            if !plain || self.licences[..at].contains(name) {
                return err(
                    format!("{source}: licences[{at}]"),
                    "want a plain name, each once",
                );
            }
        }
        for (class, names) in &self.classes {
            if let Some(name) = names.iter().find(|name| !self.licences.contains(name)) {
                let what = format_args!("'{name}' is none of the licences");
                return err(format!("{source}: classes.{class}"), what);
            }
        }
        Ok(SeatsConfig {
            licences: self.licences,
            classes: self.classes,
            idle: Micros(self.idle_ms as u64 * 1000),
        })
    }
}

#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct GuardFile {
    keep_s: usize,
    stale_s: usize,
    probe_s: usize,
    fails: usize,
    budget: usize,
    probes: bool,
}

impl Default for GuardFile {
    fn default() -> Self {
        GuardFile {
            keep_s: 300,
            stale_s: 90,
            probe_s: 2,
            fails: 2,
            budget: 50,
            probes: true,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EurekaFile {
    urls: Vec<String>,
    #[serde(default)]
    apps: Vec<String>,
    #[serde(default)]
    vip: Option<String>,
    #[serde(default = "defaults::poll_s")]
    poll_s: usize,
    #[serde(default = "defaults::timeout_s")]
    timeout_s: usize,
    #[serde(default = "defaults::full_s")]
    full_s: usize,
    #[serde(default = "defaults::yes")]
    deltas: bool,
    #[serde(default = "defaults::json")]
    form: String,
    #[serde(default)]
    secure: bool,
    #[serde(default)]
    id_key: Option<String>,
    #[serde(default)]
    zone_key: Option<String>,
    #[serde(default)]
    kind_key: Option<String>,
    #[serde(default)]
    rack_key: Option<String>,
    #[serde(default)]
    register: Option<RegisterFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegisterFile {
    app: String,
    id: String,
    address: String,
    #[serde(default = "defaults::renew_s")]
    renew_s: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StaticFile {
    id: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: Option<u32>,
}

/// Where a registry is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryUrl {
    pub addr: SocketAddr,
    /// Its service path, without a slash at its end.
    pub path: String,
}

impl RegistryUrl {
    fn read(text: &str) -> Result<Self, String> {
        let wrong = |what: &str| format!("'{text}': {what}");
        let rest = text
            .strip_prefix("http://")
            .ok_or_else(|| wrong("want http://ADDRESS:PORT/PATH"))?;
        let (addr, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let addr = addr
            .parse()
            .map_err(|_| wrong("want an address with a port: no names are looked up"))?;
        if !path.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(wrong("want a plain path"));
        }
        Ok(RegistryUrl {
            addr,
            path: path.trim_end_matches('/').to_owned(),
        })
    }
}

/// A Eureka registry as a source of workers.
#[derive(Clone, Debug)]
pub struct EurekaConfig {
    /// The registries, the first asked first.
    pub urls: Vec<RegistryUrl>,
    pub apps: Vec<String>,
    pub vip: Option<String>,
    pub poll: Micros,
    pub timeout: Micros,
    pub full: Micros,
    pub deltas: bool,
    pub form: Form,
    pub keys: Keys,
    /// The node's own entry; none where it is not to register.
    pub register: Option<Registration>,
}

/// The node's own entry in a registry.
#[derive(Clone, Debug)]
pub struct Registration {
    pub app: String,
    pub id: String,
    /// Where consumers are to find the node.
    pub addr: SocketAddr,
    pub renew: Micros,
}

/// What the nodes of the tier tell each other.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct PeersFile {
    /// Whether they tell each other of the calls that they have out.
    share: bool,
}

/// What an operator has set for this site, besides what the platform tells. Without a file, nothing of it is on.
#[derive(Default)]
pub struct SiteConfig {
    pub submission: Option<SubmissionConfig>,
    pub guard: SelfPreservation,
    pub eureka: Option<EurekaConfig>,
    /// Whether the nodes of the tier tell each other of their calls.
    pub peers: bool,
    /// Workers that are always there.
    pub statics: Vec<SourceReport>,
    /// The fleet's agreement.
    pub agreement: Option<AgreementConfig>,
    /// Licence seats, which need it.
    pub seats: Option<SeatsConfig>,
    /// This site's name among the sites of the records; none where jobs are not handed to others.
    pub site: Option<String>,
}

impl SiteConfig {
    /// Reads and checks the operator file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let (source, text) = file(path)?;
        let read: SiteFile = toml_of(&source, &text)?;
        if let Some(front) = &read.submission {
            front.check(&format!("{source}: submission"))?;
        }
        let guard = read.membership;
        let wanted = [
            ("keep_s", guard.keep_s, 1, 86_400),
            ("stale_s", guard.stale_s, 1, 86_400),
            ("probe_s", guard.probe_s, 1, 3600),
            ("fails", guard.fails, 1, 100),
            ("budget", guard.budget, 1, 10_000),
        ];
        within(&format!("{source}: membership"), &wanted)?;
        let eureka = read
            .eureka
            .map(|file| file.check(&format!("{source}: eureka")));
        let secs = |s: usize| Micros(s as u64 * 1_000_000);
        let mut statics = Vec::new();
        for (at, file) in read.statics.into_iter().enumerate() {
            let key = format!("{source}: static[{at}]");
            if file.id.is_empty() || statics.iter().any(|word: &SourceReport| word.id == file.id) {
                return err(format!("{key}.id"), "want an id that no other has");
            }
            let addr = address((format!("{key}.address"), file.address))?;
            statics.push(SourceReport {
                id: file.id,
                address: Some(addr),
                status: Status::Up,
                zone: file.zone,
                kind: file.kind,
                cell: file.cell.map(CellId),
                ..SourceReport::default()
            });
        }
        let agreement = read
            .agreement
            .map(|file| file.check(&format!("{source}: agreement")));
        let seats = read
            .seats
            .map(|file| file.check(&format!("{source}: seats")));
        let seats = seats.transpose()?;
        if seats.is_some() && agreement.is_none() {
            return err(format!("{source}: seats"), "wants a part [agreement]");
        }
        if read.sites.is_some() && (agreement.is_none() || read.submission.is_none()) {
            return err(
                format!("{source}: sites"),
                "wants the parts [agreement] and [submission]",
            );
        }
        let site = read.sites.map(|file| file.name);
        if site
            .as_ref()
            .is_some_and(|name| name.is_empty() || name.contains('/'))
        {
            return err(
                format!("{source}: sites.name"),
                "want a name without a slash",
            );
        }
        Ok(SiteConfig {
            site,
            agreement: agreement.transpose()?,
            seats,
            submission: read.submission,
            guard: SelfPreservation {
                retention: secs(guard.keep_s),
                silence_timeout: secs(guard.stale_s),
                probe_interval: secs(guard.probe_s),
                max_failures: guard.fails as u32,
                probe_budget: guard.budget,
                probes: guard.probes,
            },
            eureka: eureka.transpose()?,
            peers: read.peers.share,
            statics,
        })
    }
}

impl EurekaFile {
    fn check(self, source: &str) -> Result<EurekaConfig, ConfigError> {
        let wanted = [
            ("poll_s", self.poll_s, 1, 3600),
            ("timeout_s", self.timeout_s, 1, 600),
            ("full_s", self.full_s, 1, 86_400),
        ];
        within(source, &wanted)?;
        let mut urls = Vec::new();
        for (at, url) in self.urls.iter().enumerate() {
            match RegistryUrl::read(url) {
                Ok(url) => urls.push(url),
                Err(what) => return err(format!("{source}: urls[{at}]"), what),
            }
        }
        if urls.is_empty() {
            return err(format!("{source}: urls"), "want one or more");
        }
        if urls.iter().any(|url| url.path != urls[0].path) {
            return err(
                format!("{source}: urls"),
                "want the same path for all of them",
            );
        }
        let plain = |word: &String| !word.is_empty() && word.bytes().all(|b| b.is_ascii_graphic());
        if self.vip.as_ref().is_some_and(|vip| !plain(vip)) {
            return err(format!("{source}: vip"), "want a plain word");
        }
        let form = match self.form.as_str() {
            "json" => Form::Json,
            "xml" => Form::Xml,
            _ => return err(format!("{source}: form"), "want json or xml"),
        };
        let secs = |s: usize| Micros(s as u64 * 1_000_000);
        let register = match self.register {
            None => None,
            Some(file) => {
                let source = format!("{source}: register");
                within(&source, &[("renew_s", file.renew_s, 1, 3600)])?;
                for (key, word) in [("app", &file.app), ("id", &file.id)] {
                    if !plain(word) || word.contains(['/', '?', '#', '%']) {
                        return err(format!("{source}: {key}"), "want a plain word");
                    }
                }
                Some(Registration {
                    addr: address((format!("{source}: address"), file.address))?,
                    app: file.app,
                    id: file.id,
                    renew: secs(file.renew_s),
                })
            }
        };
        Ok(EurekaConfig {
            register,
            urls,
            apps: self.apps,
            vip: self.vip,
            poll: secs(self.poll_s),
            timeout: secs(self.timeout_s),
            full: secs(self.full_s),
            deltas: self.deltas,
            form,
            keys: Keys {
                id: self.id_key,
                zone: self.zone_key,
                kind: self.kind_key,
                rack: self.rack_key,
                secure: self.secure,
            },
        })
    }
}
