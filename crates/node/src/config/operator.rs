//! The operator file: settings of the operator for this site, in addition to the platform settings.

use crate::config_error::ConfigError;
use crate::config_file::{check_ranges, parse_address, parse_toml, read_text, seconds, RangeCheck};
use crate::consensus::config::{ConsensusConfig, ConsensusSection};
use crate::eureka::config::{EurekaConfig, EurekaSection};
use crate::licensing_config::{LicensingConfig, LicensingSection};
use crate::submission::config::SubmissionConfig;
use marbledeck_dispatcher::CellId;
use marbledeck_membership::{SelfPreservation, SourceReport, Status};
use serde::Deserialize;
use std::path::Path;

const SECONDS_PER_DAY: usize = 86_400;

/// The settings of an operator. By default, all optional services are off.
#[derive(Default)]
pub struct OperatorConfig {
    /// The server for batch submission.
    pub submission: Option<SubmissionConfig>,
    /// Self-preservation: how to treat a source that suddenly reports far fewer workers than before.
    pub self_preservation: SelfPreservation,
    /// A Eureka registry as a source of workers.
    pub eureka: Option<EurekaConfig>,
    /// Whether the nodes share their counts of attempts in flight by gossip.
    pub gossip: bool,
    /// Workers that are always members.
    pub static_workers: Vec<SourceReport>,
    /// Consensus of the nodes on records.
    pub consensus: Option<ConsensusConfig>,
    /// Licence seats, which require consensus.
    pub licensing: Option<LicensingConfig>,
    /// This site's name in the agreed records; `None` if no jobs are forwarded to other sites.
    pub site: Option<String>,
}

/// The operator file, as parsed.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorFile {
    #[serde(default)]
    submission: Option<SubmissionConfig>,
    #[serde(default)]
    membership: MembershipSection,
    #[serde(default)]
    eureka: Option<EurekaSection>,
    #[serde(default, rename = "static")]
    static_workers: Vec<StaticWorkerSection>,
    #[serde(default)]
    peers: GossipSection,
    #[serde(default, rename = "agreement")]
    consensus: Option<ConsensusSection>,
    #[serde(default, rename = "seats")]
    licensing: Option<LicensingSection>,
    #[serde(default, rename = "sites")]
    federation: Option<FederationSection>,
}

/// The section `[membership]`.
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct MembershipSection {
    keep_s: usize,
    stale_s: usize,
    probe_s: usize,
    fails: usize,
    budget: usize,
    probes: bool,
}

impl Default for MembershipSection {
    fn default() -> Self {
        MembershipSection {
            keep_s: 300,
            stale_s: 90,
            probe_s: 2,
            fails: 2,
            budget: 50,
            probes: true,
        }
    }
}

/// A section `[[static]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StaticWorkerSection {
    id: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: Option<u32>,
}

/// The section `[peers]`.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct GossipSection {
    share: bool,
}

/// The section `[sites]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FederationSection {
    name: String,
}

impl OperatorConfig {
    /// Reads and checks an operator file.
    ///
    /// # Errors
    /// If the file cannot be read, a key is invalid, or a section lacks another one that it requires.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let (source, text) = read_text(path)?;
        let file: OperatorFile = parse_toml(&source, &text)?;
        if let Some(submission) = &file.submission {
            submission.check(&format!("{source}: submission"))?;
        }
        let self_preservation = file.membership.check(&format!("{source}: membership"))?;
        let static_workers = check_static_workers(&source, file.static_workers)?;
        let licensing = file
            .licensing
            .map(|section| section.check(&format!("{source}: seats")))
            .transpose()?;
        if licensing.is_some() && file.consensus.is_none() {
            let key = format!("{source}: seats");
            return Err(ConfigError::new(key, "requires the section [agreement]"));
        }
        if file.federation.is_some() && (file.consensus.is_none() || file.submission.is_none()) {
            return Err(ConfigError::new(
                format!("{source}: sites"),
                "requires the sections [agreement] and [submission]",
            ));
        }
        let site = file
            .federation
            .map(|section| section.check(&source))
            .transpose()?;
        let consensus = file
            .consensus
            .map(|section| section.check(&format!("{source}: agreement")))
            .transpose()?;
        let eureka = file
            .eureka
            .map(|section| section.check(&format!("{source}: eureka")))
            .transpose()?;
        Ok(OperatorConfig {
            submission: file.submission,
            self_preservation,
            eureka,
            gossip: file.peers.share,
            static_workers,
            consensus,
            licensing,
            site,
        })
    }
}

impl MembershipSection {
    fn check(&self, source: &str) -> Result<SelfPreservation, ConfigError> {
        let checks = [
            RangeCheck::new("keep_s", self.keep_s, 1, SECONDS_PER_DAY),
            RangeCheck::new("stale_s", self.stale_s, 1, SECONDS_PER_DAY),
            RangeCheck::new("probe_s", self.probe_s, 1, 3600),
            RangeCheck::new("fails", self.fails, 1, 100),
            RangeCheck::new("budget", self.budget, 1, 10_000),
        ];
        check_ranges(source, &checks)?;
        Ok(SelfPreservation {
            retention: seconds(self.keep_s),
            silence_timeout: seconds(self.stale_s),
            probe_interval: seconds(self.probe_s),
            max_failures: self.fails as u32,
            probe_budget: self.budget,
            probes: self.probes,
        })
    }
}

impl FederationSection {
    fn check(self, source: &str) -> Result<String, ConfigError> {
        if self.name.is_empty() || self.name.contains('/') {
            let key = format!("{source}: sites.name");
            return Err(ConfigError::new(key, "must be a name without a slash"));
        }
        Ok(self.name)
    }
}

fn check_static_workers(
    source: &str,
    sections: Vec<StaticWorkerSection>,
) -> Result<Vec<SourceReport>, ConfigError> {
    let mut workers: Vec<SourceReport> = Vec::new();
    for (position, section) in sections.into_iter().enumerate() {
        let key = format!("{source}: static[{position}]");
        if section.id.is_empty() || workers.iter().any(|known| known.id == section.id) {
            let key = format!("{key}.id");
            return Err(ConfigError::new(
                key,
                "must be an id that no other static worker has",
            ));
        }
        let address = parse_address(format!("{key}.address"), &section.address)?;
        workers.push(SourceReport {
            id: section.id,
            address: Some(address),
            status: Status::Up,
            zone: section.zone,
            kind: section.kind,
            cell: section.cell.map(CellId),
            ..SourceReport::default()
        });
    }
    Ok(workers)
}
