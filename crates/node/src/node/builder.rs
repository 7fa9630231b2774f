//! Composition: makes the parts of a node from its configuration.

use super::limits::SharedLimits;
use super::shutdown::Lifecycle;
use super::signals::Signals;
use super::succession::{Inheritance, Readiness};
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

/// A node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket, an address or another resource of the system cannot be had.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The dispatcher does not take the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The licences and the classes of jobs do not fit together.
    #[error(transparent)]
    Licensing(#[from] UnknownClassError),
}

/// The parts that are there already, while others are made.
struct Builder {
    now: Micros,
    node_name: String,
    seed: u64,
    inheritance: Inheritance,
    context: Context,
    services: Vec<Box<dyn Service>>,
}

impl Node {
    /// Listens, and starts from the state of the process that it replaces, or from the list in its file. SIGHUP reads
    /// the configuration anew through `read_config`.
    ///
    /// # Errors
    /// An address cannot be listened at, or the settings contradict themselves.
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
        let workers = Workers::new(worker_figures(&config, &operator_config));
        let (discovery, fleet) = new_discovery(now, &config);
        let core = Core::new(config.settings, config.names, config.seed, now)?;
        let handover_socket = config.handover_socket.as_deref();
        let mut builder = Builder {
            now,
            node_name: config.name,
            seed: config.seed,
            inheritance: Inheritance::receive(handover_socket, config.listen),
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
        let list = builder.take_over_or(config.cached_list);
        let static_workers = builder.add_static_source(operator_config.static_workers);
        builder.start_eureka(operator_config.eureka, operator_config.self_preservation);
        builder.start_gossip(config.peers.filter(|_| operator_config.gossip));
        builder.start_licensing(operator_config.licensing)?;
        builder.start_consensus(operator_config.consensus)?;
        builder.start_federation(operator_config.site);
        builder.load_lists(list, static_workers);
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

/// The workers of the operator file, and the source that they count as.
struct StaticWorkers {
    source: SourceId,
    reports: Vec<SourceReport>,
}

impl Builder {
    /// How events of the next service's sockets find it.
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
            self.inheritance.client_listener.take(),
            limits.client_connections,
            limits.body_bytes,
            &mut self.context.net,
        )
    }

    fn start_submission(&mut self, config: Option<SubmissionConfig>) -> io::Result<()> {
        let Some(config) = config else {
            return Ok(());
        };
        let listener = self.inheritance.take_listener(config.listen);
        // Ids of jobs differ between nodes and between starts.
        let job_id_prefix = format!("{}-{:x}", self.node_name, self.seed);
        let peer = self.next_peer();
        let net = &mut self.context.net;
        let mut submission = Submissions::new(config, listener, job_id_prefix, peer, net)?;
        log::info!(
            "{} takes submissions at {}",
            self.node_name,
            submission.addr
        );
        if self.inheritance.has_service(submission.name()) {
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

    /// The endpoint list to start from: that of the process that this one replaces, or else the cached one.
    fn take_over_or(&mut self, cached_list: Option<EndpointList>) -> EndpointList {
        if self.inheritance.link.is_none() {
            return cached_list.unwrap_or_default();
        }
        log::info!("{} takes over from a process that runs", self.node_name);
        let state = std::mem::take(&mut self.inheritance.state.discovery);
        let Context {
            discovery, fleet, ..
        } = &mut self.context;
        fleet.members.restore_out_of_service(state.out_of_service);
        discovery.inherit_staleness(self.now, state.notified_in_us);
        state.list
    }

    /// Without static workers there is no such source.
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

    /// Tells the core of all workers that are known.
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
        // What other sources had reported to the process that this one replaces, until they report anew.
        for (name, list) in std::mem::take(&mut self.inheritance.state.sources) {
            if let Some(source) = fleet.members.source(&name) {
                let reports = discovery::to_reports(&list);
                let change = fleet.members.apply_full_list(now, source, reports);
                fleet.apply_change(now, change, core);
            }
        }
    }

    fn start_handover(&mut self, path: Option<&Path>) -> io::Result<Handover> {
        let net = &mut self.context.net;
        let link = self.inheritance.link.take();
        let predecessor = link.map(|link| net.add_connection(link.into(), Peer::Partner));
        let mut handover = Handover::new(path, predecessor.transpose()?, net);
        if !self.inheritance.state.services.is_empty() {
            let names = self.services.iter().map(|service| service.name());
            let names = names.map(str::to_owned).collect();
            handover.send_to_all(&Message::Services(names), net);
        }
        Ok(handover)
    }
}

fn worker_figures(config: &NodeConfig, operator_config: &OperatorConfig) -> WorkersConfig {
    let submission = operator_config.submission.iter();
    let by_submission = submission.flat_map(|submission| &submission.workers);
    WorkersConfig {
        report_fields: config.report_fields,
        has_load_endpoint: config.workers_report_load,
        idle_timeout: config.worker_idle_timeout,
        connect_timeout: config.connect_timeout,
        progress_interval: config.progress_interval,
        max_connections: config.limits.worker_connections,
        submission_workers: by_submission.map(|id| worker_id(id)).collect(),
    }
}

/// The client of discovery, and the fleet, whose first source it is.
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
