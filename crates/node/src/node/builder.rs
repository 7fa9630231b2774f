//! Creates the components of a node from its configuration.

use super::limits::SharedLimits;
use super::replacement::{Readiness, Takeover};
use super::shutdown::Lifecycle;
use super::signals::Signals;
use super::{Node, ReadConfig, LOG_INTERVAL};
use crate::admin::Admin;
use crate::clients::Clients;
use crate::clock::Clock;
use crate::config::{
    ConsensusConfig, EurekaConfig, LicensingConfig, NodeConfig, OperatorConfig, PeersConfig,
    ResourceLimits, SubmissionConfig,
};
use crate::consensus::Consensus;
use crate::context::Context;
use crate::core::licensing::{Licensing, UnknownClassError};
use crate::core::Core;
use crate::discovery::{self, Discovery, EndpointList, ListTrust, StalenessTracker};
use crate::eureka::Eureka;
use crate::federation::Federation;
use crate::fleet::Fleet;
use crate::gossip::Gossip;
use crate::handover::{Handover, Message};
use crate::net::{Net, Peer};
use crate::placement::ForwardedJobs;
use crate::records::AgreedRecords;
use crate::service::Service;
use crate::submission::Submissions;
use crate::workers::{Workers, WorkersConfig};
use marbledeck_dispatcher::{Micros, SettingsError};
use marbledeck_membership::{Membership, SelfPreservation, SourceId, SourceReport};
use marbledeck_platform_settings::worker_id;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket, an address or another system resource is not available.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The dispatcher has rejected the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The licensing settings name a class that the platform settings do not have.
    #[error(transparent)]
    Licensing(#[from] UnknownClassError),
}

/// The components created so far.
struct Builder {
    now: Micros,
    node_name: String,
    seed: u64,
    takeover: Takeover,
    context: Context,
    services: Vec<Box<dyn Service>>,
}

impl Node {
    /// Opens the listening sockets and starts from the state of the process that it replaces, or else from the cached
    /// list in its file. On SIGHUP, the configuration is reloaded with `read_config`.
    ///
    /// # Errors
    /// If a listening socket cannot be opened, or the settings contradict each other.
    pub fn new(
        config: NodeConfig,
        operator_config: OperatorConfig,
        signals: Signals,
        read_config: ReadConfig,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let now = clock.now();
        let limits = SharedLimits::new(config.limits, &operator_config);
        let net = Net::new()?;
        let workers = Workers::new(workers_config(&config, &operator_config));
        let (discovery, fleet) = new_discovery(now, &config);
        let core = Core::new(config.settings, config.names, config.seed, now)?;
        let handover_socket = config.handover_socket.as_deref();
        let mut builder = Builder {
            now,
            node_name: config.name,
            seed: config.seed,
            takeover: Takeover::receive(handover_socket, config.listen),
            context: Context {
                now,
                net,
                core,
                workers,
                discovery,
                fleet,
                records: AgreedRecords::default(),
                forwarded_jobs: None,
            },
            services: Vec::new(),
        };
        let clients = builder.start_clients(config.listen, limits.resources())?;
        builder.start_submission(operator_config.submission)?;
        let operators = builder.start_operators(config.operators)?;
        let list = builder.initial_list(config.cached_list);
        let static_workers = builder.add_static_source(operator_config.static_workers);
        builder.start_eureka(operator_config.eureka, operator_config.self_preservation);
        builder.start_gossip(config.peers.filter(|_| operator_config.gossip));
        builder.start_licensing(operator_config.licensing)?;
        builder.start_consensus(operator_config.consensus)?;
        builder.start_federation(operator_config.site);
        builder.load_lists(list, static_workers);
        let sent_ids = std::mem::take(&mut builder.takeover.state.sent_ids);
        builder.context.core.add_foreign_ids(now, &sent_ids);
        let handover = builder.start_handover(handover_socket)?;
        signals.register(&mut builder.context.net)?;
        log::info!("{} serves at {}", builder.node_name, clients.addr);
        let mut node = Node {
            clock,
            context: builder.context,
            clients,
            services: builder.services,
            operators,
            handover,
            limits,
            signals,
            read_config,
            discovery_in_file: config.discovery_in_file,
            platform_settings: config.platform_settings,
            lifecycle: Lifecycle::Serving,
            readiness: Readiness::Starting,
            successor_services: Vec::new(),
            next_log: now + LOG_INTERVAL,
        };
        node.share_limits(now);
        Ok(node)
    }
}

/// The static workers of the operator file, and the membership source that reports them.
struct StaticWorkers {
    source: SourceId,
    reports: Vec<SourceReport>,
}

impl Builder {
    /// The peer that routes socket events to the next service to be added.
    fn next_peer(&self) -> Peer {
        Peer::Service(self.services.len() as u8)
    }

    fn start_clients(
        &mut self,
        address: SocketAddr,
        limits: ResourceLimits,
    ) -> io::Result<Clients> {
        Clients::new(
            address,
            self.takeover.client_listener.take(),
            limits.client_connections,
            limits.body_bytes,
            limits.connection_bytes,
            &mut self.context.net,
        )
    }

    fn start_submission(&mut self, config: Option<SubmissionConfig>) -> io::Result<()> {
        let Some(config) = config else {
            return Ok(());
        };
        let listener = self.takeover.take_listener(config.listen);
        // The prefix makes job ids unique among nodes and among restarts of a node.
        let job_id_prefix = format!("{}-{:x}", self.node_name, self.seed);
        let peer = self.next_peer();
        let net = &mut self.context.net;
        let mut submission = Submissions::new(config, listener, job_id_prefix, peer, net)?;
        log::info!(
            "{} takes submissions at {}",
            self.node_name,
            submission.addr
        );
        if self.takeover.replaces_service(submission.name()) {
            submission.handle_predecessor(self.now);
        }
        self.services.push(Box::new(submission));
        Ok(())
    }

    fn start_operators(&mut self, address: Option<SocketAddr>) -> io::Result<Option<Admin>> {
        let Some(address) = address else {
            return Ok(None);
        };
        let operators = Admin::new(address, &mut self.context.net)?;
        log::info!("{} answers operators at {}", self.node_name, operators.addr);
        Ok(Some(operators))
    }

    /// The endpoint list to start from: the list of the predecessor if there is one, else the cached list.
    fn initial_list(&mut self, cached_list: Option<EndpointList>) -> EndpointList {
        if self.takeover.link.is_none() {
            return cached_list.unwrap_or_default();
        }
        log::info!("{} takes over from a process that runs", self.node_name);
        let state = std::mem::take(&mut self.takeover.state.discovery);
        let Context {
            discovery, fleet, ..
        } = &mut self.context;
        fleet.members.restore_out_of_service(state.out_of_service);
        discovery.inherit_staleness(self.now, state.notified_in_us);
        state.list
    }

    /// Adds a membership source for the static workers, if there are any.
    fn add_static_source(&mut self, reports: Vec<SourceReport>) -> Option<StaticWorkers> {
        if reports.is_empty() {
            return None;
        }
        let source = self.context.fleet.members.add_source("static", None);
        Some(StaticWorkers { source, reports })
    }

    fn start_eureka(&mut self, config: Option<EurekaConfig>, self_preservation: SelfPreservation) {
        let Some(config) = config else {
            return;
        };
        let members = &mut self.context.fleet.members;
        let source = members.add_source("eureka", Some(self_preservation));
        let eureka = Eureka::new(config, source, self.next_peer(), self.now, self.seed);
        self.services.push(Box::new(eureka));
    }

    fn start_gossip(&mut self, config: Option<PeersConfig>) {
        let Some(config) = config else {
            return;
        };
        let peer = self.next_peer();
        let gossip = Gossip::new(config, peer, self.now, &mut self.context.net);
        self.services.push(Box::new(gossip));
    }

    fn start_licensing(&mut self, config: Option<LicensingConfig>) -> Result<(), StartError> {
        let Some(config) = config else {
            return Ok(());
        };
        let core = &mut self.context.core;
        let licensing = Licensing::new(config, core.names())?;
        core.licensing = Some(licensing);
        Ok(())
    }

    fn start_consensus(&mut self, config: Option<ConsensusConfig>) -> io::Result<()> {
        let Some(config) = config else {
            return Ok(());
        };
        let peer = self.next_peer();
        let consensus = Consensus::new(config, peer, self.now, &mut self.context.net)?;
        self.context.records.reader = Some(consensus.reader());
        self.services.push(Box::new(consensus));
        Ok(())
    }

    fn start_federation(&mut self, site: Option<String>) {
        let Some(site) = site else {
            return;
        };
        self.context.forwarded_jobs = Some(ForwardedJobs::new(site));
        let federation = Federation::new(self.next_peer());
        self.services.push(Box::new(federation));
    }

    /// Reports all known workers to the core: the endpoint list, the static workers and the reports of the predecessor.
    fn load_lists(&mut self, list: EndpointList, static_workers: Option<StaticWorkers>) {
        let now = self.now;
        let Context {
            core,
            workers,
            discovery,
            fleet,
            ..
        } = &mut self.context;
        workers.collects_evidence = fleet.members.uses_evidence();
        discovery.load_cached_list(now, list, fleet, core);
        if let Some(StaticWorkers { source, reports }) = static_workers {
            let change = fleet.members.apply_full_list(now, source, reports);
            fleet.apply_change(now, change, core);
        }
        // The reports that other sources sent to the predecessor count until these sources report again.
        for (name, list) in std::mem::take(&mut self.takeover.state.sources) {
            if let Some(source) = fleet.members.source(&name) {
                let reports = discovery::to_reports(&list);
                let mut change = fleet.members.apply_full_list(now, source, reports);
                let departed = discovery::removed_ids(&list);
                change.append(fleet.members.restore_departed(now, source, departed));
                fleet.apply_change(now, change, core);
            }
        }
    }

    fn start_handover(&mut self, path: Option<&Path>) -> io::Result<Handover> {
        let net = &mut self.context.net;
        let link = self.takeover.link.take();
        let predecessor = link.map(|link| net.add_connection(link.into(), Peer::Partner));
        let mut handover = Handover::new(path, predecessor.transpose()?, net);
        if !self.takeover.state.services.is_empty() {
            let names = self.services.iter().map(|service| service.name());
            let names = names.map(str::to_owned).collect();
            handover.send_to_all(&Message::Services(names), net);
        }
        Ok(handover)
    }
}

fn workers_config(config: &NodeConfig, operator_config: &OperatorConfig) -> WorkersConfig {
    let submission = operator_config.submission.iter();
    let submission_workers = submission.flat_map(|submission| &submission.workers);
    WorkersConfig {
        report_fields: config.report_fields,
        has_load_endpoint: config.workers_report_load,
        idle_timeout: config.worker_idle_timeout,
        connect_timeout: config.connect_timeout,
        progress_interval: config.progress_interval,
        max_connections: config.limits.worker_connections,
        submission_workers: submission_workers.map(|id| worker_id(id)).collect(),
    }
}

/// The discovery client, and the fleet with discovery as its first membership source.
fn new_discovery(now: Micros, config: &NodeConfig) -> (Discovery, Fleet) {
    let mut members = Membership::new(config.zones.clone(), config.kinds.clone());
    let source = members.add_source("directory", None);
    let staleness = StalenessTracker::new(
        now,
        config.drain_grace,
        config.lists_are_pushed,
        config.seed,
    );
    let trust = ListTrust::new(config.drain_grace);
    let discovery = Discovery::new(config.discovery, source, staleness, trust);
    (discovery, Fleet::new(members))
}
