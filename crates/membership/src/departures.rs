//! The workers that a source has told to be gone. Such a report counts against the `up` of every other source, also once
//! the source has no record of the worker any more.

use crate::{Membership, MembershipChange, SelfPreservation, SourceId};
use foldhash::fast::RandomState;
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_platform_settings::worker_id;
use std::collections::{BTreeMap, HashMap};

/// The maximum number of departures that are remembered of one source. It exceeds the workers of the largest fleet.
const MAX_DEPARTURES: usize = 8192;

/// A worker that a source has told to be gone.
#[derive(Debug)]
struct Departure {
    id: String,
    /// The position of the departure in the order in which they were told.
    sequence: u64,
    /// Since when no source names the worker; none while another source does.
    unnamed_since: Option<Micros>,
}

/// The departures that a source has told.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    by_worker: HashMap<WorkerId, Departure, RandomState>,
    /// The departed workers in the order in which their departures were told.
    order: BTreeMap<u64, WorkerId>,
    last_sequence: u64,
}

impl Departures {
    /// Whether the source has told this worker to be gone.
    pub fn contains(&self, worker: WorkerId) -> bool {
        self.by_worker.contains_key(&worker)
    }

    /// The ids of the departed workers, in the order in which their departures were told.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        let workers = self.order.values();
        workers.filter_map(|worker| Some(self.by_worker.get(worker)?.id.as_str()))
    }

    /// Records a departure, and forgets the oldest one if there are too many.
    fn insert(&mut self, id: &str, unnamed_since: Option<Micros>) {
        let worker = worker_id(id);
        self.remove(worker);
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.order.insert(sequence, worker);
        let departure = Departure {
            id: id.to_owned(),
            sequence,
            unnamed_since,
        };
        self.by_worker.insert(worker, departure);
        if self.order.len() > MAX_DEPARTURES {
            self.forget_oldest();
        }
    }

    /// Ends a departure: the source names the worker again, or the departure is too old.
    pub fn remove(&mut self, worker: WorkerId) {
        if let Some(departure) = self.by_worker.remove(&worker) {
            self.order.remove(&departure.sequence);
        }
    }

    /// Forgets the oldest departures as long as no source has named their workers for this time.
    fn forget_expired(&mut self, now: Micros, memory: Micros) {
        while let Some(worker) = self.order.first_entry().map(|oldest| *oldest.get()) {
            if !self.is_expired(worker, now, memory) {
                return;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, worker)) = self.order.pop_first() {
            self.by_worker.remove(&worker);
        }
    }

    fn is_expired(&self, worker: WorkerId, now: Micros, memory: Micros) -> bool {
        let departure = self.by_worker.get(&worker);
        let unnamed_since = departure.and_then(|departure| departure.unnamed_since);
        unnamed_since.is_some_and(|since| since + memory <= now)
    }

    /// Records that another source names the worker from now on.
    fn record_named(&mut self, worker: WorkerId, now: Micros, memory: Micros) {
        if self.is_expired(worker, now, memory) {
            return self.remove(worker);
        }
        if let Some(departure) = self.by_worker.get_mut(&worker) {
            departure.unnamed_since = None;
        }
    }

    /// Records that no source names the worker from now on.
    fn record_unnamed(&mut self, worker: WorkerId, now: Micros) {
        if let Some(departure) = self.by_worker.get_mut(&worker) {
            departure.unnamed_since = Some(now);
        }
    }
}

impl Membership {
    /// Records that a source has told a worker to be gone, after the source's record of it was removed. Nothing is
    /// remembered in a fleet with a single source, as no other one can name the worker.
    pub(crate) fn record_departure(&mut self, now: Micros, source: SourceId, id: &str) {
        if self.sources.len() < 2 {
            return;
        }
        let memory = self.departure_memory();
        let is_named = self.records(worker_id(id)).next().is_some();
        let departures = &mut self.sources[source.0].departures;
        departures.forget_expired(now, memory);
        departures.insert(id, (!is_named).then_some(now));
    }

    /// Records that a source has begun to name a worker: its own departure ends, and those of the others go on.
    pub(crate) fn record_arrival(&mut self, now: Micros, source: SourceId, worker: WorkerId) {
        let memory = self.departure_memory();
        for (position, state) in self.sources.iter_mut().enumerate() {
            if position == source.0 {
                state.departures.remove(worker);
            } else {
                state.departures.record_named(worker, now, memory);
            }
        }
    }

    /// Records that a source has stopped naming a worker.
    pub(crate) fn record_unnamed(&mut self, now: Micros, worker: WorkerId) {
        if self.records(worker).next().is_some() {
            return;
        }
        for source in &mut self.sources {
            source.departures.record_unnamed(worker, now);
        }
    }

    /// How long a departure counts after the last source has stopped naming the worker: as long as an outdated list of a
    /// registry may bring it back.
    fn departure_memory(&self) -> Micros {
        let policies = self.sources.iter();
        let policies = policies.filter_map(|source| source.self_preservation.as_ref());
        let longest = policies.map(|policy| policy.retention).max();
        longest.unwrap_or_else(|| SelfPreservation::default().retention)
    }

    /// The first source that has told this worker to be gone.
    pub(crate) fn departed_by(&self, worker: WorkerId) -> Option<SourceId> {
        let mut sources = self.sources_by_id();
        let told = sources.find(|(_, source)| source.departures.contains(worker));
        told.map(|(id, _)| id)
    }

    /// The ids of the workers that a source has told to be gone, the oldest departure first.
    pub fn departed(&self, source: SourceId) -> impl Iterator<Item = &str> {
        self.sources[source.0].departures.ids()
    }

    /// Takes over the departures that a source has told to a previous process.
    pub fn restore_departed<'a>(
        &mut self,
        now: Micros,
        source: SourceId,
        ids: impl IntoIterator<Item = &'a str>,
    ) -> MembershipChange {
        let mut change = MembershipChange::default();
        for id in ids {
            self.record_missing(now, source, id, true, &mut change);
        }
        change
    }
}
