//! The settings of consensus: the fleet, its voters, and the number of this node.

use crate::config_error::ConfigError;
use crate::config_file::{check_ranges, milliseconds, parse_address, RangeCheck};
use marbledeck_consensus::LeaseTerms;
use marbledeck_dispatcher::Micros;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// The largest relative difference between the rates of two clocks; see `docs/design/agreement.md`.
const CLOCK_DRIFT: f64 = 0.01;
/// The shortest lease in ticks. An election takes at most 20 ticks; if a lease did not outlast it by a margin, all leases
/// would expire during each election.
const MIN_TICKS_PER_LEASE: usize = 30;
/// How often a node queries a voter during one lease.
const QUERIES_PER_LEASE: u64 = 6;
/// How many query timeouts fit into one lease, so that other voters can be queried before it expires.
const QUERY_TIMEOUTS_PER_LEASE: u64 = 3;
/// The largest number of nodes. A voter needs a file descriptor for each of them.
const MAX_NODES: usize = 900;
const MAX_FLEET_NAME_LENGTH: usize = 128;
/// File descriptors that consensus needs besides its connections.
const BASE_DESCRIPTORS: usize = 4;

/// The section `[agreement]` of the operator file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConsensusSection {
    fleet: String,
    node: u32,
    nodes: u32,
    from: Vec<String>,
    voters: Vec<VoterSection>,
    #[serde(default)]
    store: Option<PathBuf>,
    #[serde(default = "default_lease_ms")]
    lease_ms: usize,
    #[serde(default = "default_tick_ms")]
    tick_ms: usize,
}

/// One section `[[agreement.voters]]`, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterSection {
    number: u64,
    address: String,
}

fn default_lease_ms() -> usize {
    3000
}

fn default_tick_ms() -> usize {
    100
}

/// One voter of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterConfig {
    /// Its number, both as a node and as a voter.
    pub number: u64,
    /// The address on which it accepts connections of nodes.
    pub address: SocketAddr,
}

/// The validated settings of consensus.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusConfig {
    /// The name of the fleet. Nodes of another fleet are rejected.
    pub fleet: String,
    /// This node's number.
    pub node: u32,
    /// The number of nodes, which are numbered from 1.
    pub nodes: u32,
    /// The addresses that nodes connect from.
    pub from: Vec<IpAddr>,
    /// The voters of the fleet.
    pub voters: Vec<VoterConfig>,
    /// The path of a voter's store; empty for a node that does not vote.
    pub store: PathBuf,
    /// The duration of leases and the assumed clock drift.
    pub terms: LeaseTerms,
    /// The interval between ticks of a voter.
    pub tick: Micros,
}

impl ConsensusConfig {
    /// The interval between a node's queries.
    pub fn query_interval(&self) -> Micros {
        Micros(self.terms.duration.0 / QUERIES_PER_LEASE)
    }

    /// The timeout of a query.
    pub fn query_timeout(&self) -> Micros {
        Micros(self.terms.duration.0 / QUERY_TIMEOUTS_PER_LEASE)
    }

    /// The most connections that a voter accepts: one from each node, and two more from each voter.
    pub fn max_accepted(&self) -> usize {
        self.nodes as usize + 2 * self.voters.len()
    }

    /// The most file descriptors that consensus needs.
    pub fn descriptors(&self) -> usize {
        let accepted = if self.is_voting() {
            self.max_accepted()
        } else {
            0
        };
        self.voters.len() + BASE_DESCRIPTORS + accepted
    }

    /// Whether this node is one of the voters.
    fn is_voting(&self) -> bool {
        is_voter(&self.voters, self.node)
    }
}

impl ConsensusSection {
    /// Validates the values; `source` names the file and the section.
    ///
    /// # Errors
    /// The first key with an invalid value.
    pub(crate) fn check(self, source: &str) -> Result<ConsensusConfig, ConfigError> {
        self.check_values(source)?;
        let from = parse_ips(source, &self.from)?;
        let voters = parse_voters(source, self.voters, self.nodes)?;
        let store = match self.store {
            Some(store) => store,
            None if is_voter(&voters, self.node) => {
                let key = format!("{source}: store");
                return Err(ConfigError::new(key, "missing: this node votes"));
            }
            None => PathBuf::new(),
        };
        Ok(ConsensusConfig {
            fleet: self.fleet,
            node: self.node,
            nodes: self.nodes,
            from,
            voters,
            store,
            terms: LeaseTerms {
                duration: milliseconds(self.lease_ms),
                clock_drift: CLOCK_DRIFT,
            },
            tick: milliseconds(self.tick_ms),
        })
    }

    fn check_values(&self, source: &str) -> Result<(), ConfigError> {
        let checks = [
            RangeCheck::new("nodes", self.nodes as usize, 1, MAX_NODES),
            RangeCheck::new("node", self.node as usize, 1, self.nodes as usize),
            RangeCheck::new("lease_ms", self.lease_ms, 300, 60_000),
            RangeCheck::new("tick_ms", self.tick_ms, 10, 1000),
        ];
        check_ranges(source, &checks)?;
        if self.lease_ms < MIN_TICKS_PER_LEASE * self.tick_ms {
            let key = format!("{source}: lease_ms");
            return Err(ConfigError::new(key, "must be at least 30 times tick_ms"));
        }
        if self.fleet.is_empty() || self.fleet.len() > MAX_FLEET_NAME_LENGTH {
            let key = format!("{source}: fleet");
            return Err(ConfigError::new(key, "must be a name of 1 to 128 bytes"));
        }
        Ok(())
    }
}

fn is_voter(voters: &[VoterConfig], node: u32) -> bool {
    voters.iter().any(|voter| voter.number == u64::from(node))
}

fn parse_ips(source: &str, from: &[String]) -> Result<Vec<IpAddr>, ConfigError> {
    let mut ips = Vec::new();
    for (position, ip) in from.iter().enumerate() {
        let ip = ip.parse().map_err(|_| {
            let key = format!("{source}: from[{position}]");
            ConfigError::new(key, "must be an IP address without a port")
        })?;
        ips.push(ip);
    }
    Ok(ips)
}

fn parse_voters(
    source: &str,
    sections: Vec<VoterSection>,
    nodes: u32,
) -> Result<Vec<VoterConfig>, ConfigError> {
    if ![3, 5, 7].contains(&sections.len()) {
        return Err(ConfigError::new(
            format!("{source}: voters"),
            "must have 3, 5 or 7 entries",
        ));
    }
    let mut voters: Vec<VoterConfig> = Vec::new();
    for (position, section) in sections.into_iter().enumerate() {
        let key = format!("{source}: voters[{position}]");
        let address = parse_address(format!("{key}.address"), &section.address)?;
        let number = section.number;
        let is_node = (1..=u64::from(nodes)).contains(&number);
        if !is_node || voters.iter().any(|known| known.number == number) {
            let key = format!("{key}.number");
            return Err(ConfigError::new(
                key,
                "must be a node's number that no other voter has",
            ));
        }
        voters.push(VoterConfig { number, address });
    }
    Ok(voters)
}
