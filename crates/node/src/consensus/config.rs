//! The settings of consensus: who votes, and which node this one is.

use crate::config_error::ConfigError;
use crate::config_file::{check_ranges, milliseconds, parse_address, RangeCheck};
use marbledeck_consensus::LeaseTerms;
use marbledeck_dispatcher::Micros;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// The rates of two clocks differ by no more than this part; `docs/design/agreement.md`.
const CLOCK_DRIFT: f64 = 0.01;
/// An election takes at most twenty ticks. A lease must be longer by a margin, or the fleet would be without rules
/// during each election.
const MIN_TICKS_PER_LEASE: usize = 30;
/// How often a node asks for a reading in the time of one lease.
const POLLS_PER_LEASE: u64 = 6;
/// The part of a lease that a voter may take for an answer, so that another can be asked in time.
const ANSWERS_PER_LEASE: u64 = 3;
/// The largest fleet. A voter holds a descriptor for each of its nodes.
const MAX_NODES: usize = 900;
const MAX_FLEET_NAME: usize = 128;
/// Descriptors that consensus holds besides its connections.
const OWN_DESCRIPTORS: usize = 4;

/// The part `[agreement]` of the operator file, as it is written.
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

/// One part `[[agreement.voters]]`, as it is written.
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

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterConfig {
    /// Its number as a node and as a voter.
    pub number: u64,
    /// Where it takes connections.
    pub address: SocketAddr,
}

/// Who votes, and which node this one is.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusConfig {
    /// The name of the fleet: nodes of another one are rejected.
    pub fleet: String,
    /// This node's number.
    pub node: u32,
    /// How many nodes there are: their numbers are 1 to this.
    pub nodes: u32,
    /// The addresses that nodes connect from.
    pub from: Vec<IpAddr>,
    /// Those that vote.
    pub voters: Vec<VoterConfig>,
    /// Where a voter writes what it must not forget; empty for a node that does not vote.
    pub store: PathBuf,
    /// The leases' terms.
    pub terms: LeaseTerms,
    /// The voters' step of time.
    pub tick: Micros,
}

impl ConsensusConfig {
    /// How often a node asks for a reading.
    pub fn poll_interval(&self) -> Micros {
        Micros(self.terms.duration.0 / POLLS_PER_LEASE)
    }

    /// How long a voter may take for an answer.
    pub fn answer_timeout(&self) -> Micros {
        Micros(self.terms.duration.0 / ANSWERS_PER_LEASE)
    }

    /// How many connections a voter accepts: one of each node, and two of each voter.
    pub fn max_accepted(&self) -> usize {
        self.nodes as usize + 2 * self.voters.len()
    }

    /// How many descriptors consensus may hold.
    pub fn descriptors(&self) -> usize {
        let accepted = if self.votes() { self.max_accepted() } else { 0 };
        self.voters.len() + OWN_DESCRIPTORS + accepted
    }

    /// Whether this node is one of the voters.
    fn votes(&self) -> bool {
        is_voter(&self.voters, self.node)
    }
}

impl ConsensusSection {
    /// Checks the values; `source` names the file and the part.
    ///
    /// # Errors
    /// The first key whose value is wrong.
    pub(crate) fn check(self, source: &str) -> Result<ConsensusConfig, ConfigError> {
        self.check_figures(source)?;
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

    fn check_figures(&self, source: &str) -> Result<(), ConfigError> {
        let checks = [
            RangeCheck::new("nodes", self.nodes as usize, 1, MAX_NODES),
            RangeCheck::new("node", self.node as usize, 1, self.nodes as usize),
            RangeCheck::new("lease_ms", self.lease_ms, 300, 60_000),
            RangeCheck::new("tick_ms", self.tick_ms, 10, 1000),
        ];
        check_ranges(source, &checks)?;
        if self.lease_ms < MIN_TICKS_PER_LEASE * self.tick_ms {
            let key = format!("{source}: lease_ms");
            return Err(ConfigError::new(key, "want 30 times tick_ms or more"));
        }
        if self.fleet.is_empty() || self.fleet.len() > MAX_FLEET_NAME {
            let key = format!("{source}: fleet");
            return Err(ConfigError::new(key, "want a name of 1 to 128 bytes"));
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
            ConfigError::new(key, "want an address without a port")
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
            "want 3, 5 or 7",
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
                "want the number of a node, each once",
            ));
        }
        voters.push(VoterConfig { number, address });
    }
    Ok(voters)
}
