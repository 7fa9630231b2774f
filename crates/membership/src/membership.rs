//! The merged fleet: its state and the queries on it.

use crate::address_claims::AddressClaims;
use crate::self_preservation::{DueCheck, SelfPreservation};
use crate::source::{Source, SourceRecord};
use crate::{SourceId, SourceReport};
use foldhash::fast::RandomState;
use marbledeck_dispatcher::{Micros, WorkerEntry, WorkerId};
use marbledeck_platform_settings::worker_id;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// The address at which a worker listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The worker's id.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    pub(crate) started_at: Option<Micros>,
}

/// The latest published state of a worker.
#[derive(Clone, Debug)]
pub(crate) struct PublishedWorker {
    /// The worker's id.
    pub id: String,
    pub entry: WorkerEntry,
    pub endpoint: Option<Endpoint>,
}

/// The fleet, merged from the reports of all sources and the settings of operators.
#[derive(Debug)]
pub struct Membership {
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) sources: Vec<Source>,
    /// The workers that operators took out of service. They stay in this set while no source reports them, since they
    /// may come back.
    pub(crate) out_of_service: BTreeSet<String>,
    pub(crate) published: HashMap<WorkerId, PublishedWorker, RandomState>,
    /// The workers that are reported at each address. The one with the highest precedence owns it.
    pub(crate) claims_by_address: HashMap<SocketAddr, AddressClaims, RandomState>,
    /// The scheduled checks of suspected workers and of silent sources, in the order of their due times.
    pub(crate) due_checks: BTreeSet<DueCheck>,
    /// The suspected workers to probe next.
    pub(crate) due_probes: Vec<WorkerId>,
    /// When each worker last answered; filled only while some source has self-preservation.
    pub(crate) last_alive_at: HashMap<WorkerId, Micros>,
}

impl Membership {
    /// Creates an empty fleet. Worker entries refer to zones and kinds by their positions in these lists.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        Membership {
            zones,
            kinds,
            sources: Vec::new(),
            out_of_service: BTreeSet::new(),
            published: HashMap::default(),
            claims_by_address: HashMap::default(),
            due_checks: BTreeSet::new(),
            due_probes: Vec::new(),
            last_alive_at: HashMap::new(),
        }
    }

    /// Adds a source. With self-preservation, a worker that the source merely stops listing is not removed at once.
    pub fn add_source(&mut self, name: &str, policy: Option<SelfPreservation>) -> SourceId {
        self.sources.push(Source::new(name, policy));
        SourceId(self.sources.len() - 1)
    }

    /// The source with this name.
    pub fn source(&self, name: &str) -> Option<SourceId> {
        let position = self.sources.iter().position(|source| source.name == name);
        position.map(SourceId)
    }

    /// The sources and their names, in the order of precedence.
    pub fn source_names(&self) -> Vec<(SourceId, &str)> {
        self.sources_by_id()
            .map(|(id, source)| (id, source.name.as_str()))
            .collect()
    }

    pub(crate) fn sources_by_id(&self) -> impl Iterator<Item = (SourceId, &Source)> {
        let sources = self.sources.iter().enumerate();
        sources.map(|(position, source)| (SourceId(position), source))
    }

    /// Whether any source has self-preservation. Only then does [evidence](Membership::record_evidence) have an effect.
    pub fn uses_evidence(&self) -> bool {
        let mut sources = self.sources.iter();
        sources.any(|source| source.self_preservation.is_some())
    }

    /// Whether a source other than this one reports any worker.
    pub fn other_sources_report_any(&self, source: SourceId) -> bool {
        let mut others = self.sources_by_id().filter(|(id, _)| *id != source);
        others.any(|(_, other)| !other.records.is_empty())
    }

    /// The endpoint of a worker, if it is published with an address.
    pub fn endpoint(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.published_worker(worker)?.endpoint.as_ref()
    }

    /// The entry of a worker as it was last published.
    pub fn published_entry(&self, worker: WorkerId) -> Option<&WorkerEntry> {
        Some(&self.published_worker(worker)?.entry)
    }

    fn published_worker(&self, worker: WorkerId) -> Option<&PublishedWorker> {
        self.published.get(&worker)
    }

    /// Whether a source reports a worker with this id, or an operator has taken it out of service.
    pub fn is_known(&self, id: &str) -> bool {
        let mut sources = self.sources.iter();
        self.out_of_service.contains(id) || sources.any(|source| source.records.contains(id))
    }

    /// The ids of the workers that operators took out of service.
    pub fn out_of_service(&self) -> &BTreeSet<String> {
        &self.out_of_service
    }

    /// Takes over the workers that operators took out of service at a previous process.
    pub fn restore_out_of_service(&mut self, ids: BTreeSet<String>) {
        self.out_of_service = ids;
    }

    /// The entry of the worker with this id as it was last published.
    pub fn entry(&self, id: &str) -> Option<WorkerEntry> {
        let published = self.published.get(&worker_id(id));
        published.map(|worker| worker.entry.clone())
    }

    /// The number of workers that a source reports.
    pub fn worker_count(&self, source: SourceId) -> usize {
        self.sources[source.0].records.len()
    }

    /// Whether a source reports the worker with this id.
    pub fn is_reported_by(&self, source: SourceId, id: &str) -> bool {
        self.sources[source.0].records.contains(id)
    }

    /// The report on a worker by the first source that has one.
    pub fn report(&self, id: &str) -> Option<&SourceReport> {
        let mut records = self.records(worker_id(id));
        records.next().map(|(_, record)| &record.report)
    }

    /// The reports of a source, in the order of the workers' ids.
    pub fn reports(&self, source: SourceId) -> impl Iterator<Item = &SourceReport> {
        let records = self.sources[source.0].records.iter_after(None);
        records.map(|record| &record.report)
    }

    /// Each source's record of a worker, in the order of the sources.
    pub(crate) fn records<'a>(
        &'a self,
        worker: WorkerId,
    ) -> impl Iterator<Item = (SourceId, &'a SourceRecord)> + use<'a> {
        self.sources_by_id().filter_map(move |(source_id, source)| {
            Some((source_id, source.records.get_worker(worker)?))
        })
    }

    /// The number of workers that any source reports.
    pub fn len(&self) -> usize {
        self.published.len()
    }

    /// Whether no source reports any worker.
    pub fn is_empty(&self) -> bool {
        self.published.is_empty()
    }

    /// The published workers in any order, each with its id and whether an operator has taken it out of service.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerId, &str, bool)> {
        self.published.iter().map(|(worker, published)| {
            let is_out_of_service = self.out_of_service.contains(&published.id);
            (*worker, published.id.as_str(), is_out_of_service)
        })
    }
}
