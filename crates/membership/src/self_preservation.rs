//! Self-preservation: a worker that its source no longer lists, or whose source is silent, is only suspected. It is
//! removed once it fails to answer, or after a long time without being listed.

use crate::{Membership, MembershipChange, SourceId, Status};
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_platform_settings::worker_id;

/// The self-preservation settings of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SelfPreservation {
    /// How long a worker that still answers is kept after its source has stopped listing it.
    pub retention: Micros,
    /// The time without contact after which all workers of a source are suspected.
    pub silence_timeout: Micros,
    /// How often a suspected worker is probed.
    pub probe_interval: Micros,
    /// The number of consecutive failures after which a suspected worker is removed.
    pub max_failures: u32,
    /// The maximum number of probes per `probe_interval`. With more suspected workers than this, each is probed less
    /// often.
    pub probe_budget: usize,
    /// Whether workers may be probed.
    pub probes: bool,
}

impl Default for SelfPreservation {
    fn default() -> Self {
        SelfPreservation {
            retention: Micros(300_000_000),
            silence_timeout: Micros(90_000_000),
            probe_interval: Micros(2_000_000),
            max_failures: 2,
            probe_budget: 50,
            probes: true,
        }
    }
}

/// Evidence from a request, a probe or a connection attempt that a worker is alive or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvidence {
    /// It answered.
    Alive,
    /// It refused a connection or did not answer in time.
    Unreachable,
}

/// Why and since when a worker is suspected.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub since: Micros,
    /// Whether its source has contact and does not list it; otherwise the source is silent.
    pub is_missing: bool,
    /// The number of failures since the last answer.
    pub failures: u32,
}

impl Suspicion {
    fn new(since: Micros, is_missing: bool) -> Self {
        Suspicion {
            since,
            is_missing,
            failures: 0,
        }
    }
}

/// Counts the probes of a source's workers within one probe interval.
#[derive(Debug, Default)]
pub(crate) struct ProbeWindow {
    started_at: Micros,
    probes: usize,
}

impl ProbeWindow {
    /// Takes a probe from the budget. Returns whether one was left.
    fn try_take(&mut self, budget: usize) -> bool {
        let has_budget = self.probes < budget;
        self.probes += usize::from(has_budget);
        has_budget
    }

    fn advance(&mut self, now: Micros, interval: Micros) {
        if now >= self.started_at + interval {
            self.started_at = now;
            self.probes = 0;
        }
    }
}

/// A scheduled check of a suspected worker or of a source's silence. Of the checks that are due at the same time, the
/// worker that was probed longest ago comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueCheck {
    due_at: Micros,
    last_probed_at: Micros,
    source: usize,
    /// The worker's id; empty for a check of the source itself.
    id: String,
}

impl DueCheck {
    fn of_worker(due_at: Micros, source: SourceId, id: &str) -> Self {
        DueCheck {
            due_at,
            last_probed_at: Micros(0),
            source: source.0,
            id: id.to_owned(),
        }
    }

    fn of_source(due_at: Micros, source: SourceId) -> Self {
        DueCheck::of_worker(due_at, source, "")
    }
}

impl Membership {
    /// Suspects a worker that its source had reported and no longer lists.
    pub(crate) fn suspect_missing(&mut self, now: Micros, source: SourceId, id: &str) {
        let Some(record) = self.sources[source.0].records.get_mut(id) else {
            return;
        };
        let suspicion = &mut record.suspicion;
        if suspicion.as_ref().is_some_and(|known| known.is_missing) {
            return;
        }
        *suspicion = Some(Suspicion::new(now, true));
        self.due_checks.insert(DueCheck::of_worker(now, source, id));
    }

    /// Records that a source is in contact.
    pub(crate) fn record_contact(&mut self, now: Micros, source: SourceId) {
        if std::mem::take(&mut self.sources[source.0].is_silent) {
            self.clear_silence(source);
        }
        self.schedule_silence_check(now, source);
    }

    /// Schedules the check that marks a source as silent unless it is heard from before.
    fn schedule_silence_check(&mut self, now: Micros, source: SourceId) {
        let source_state = &mut self.sources[source.0];
        let Some(policy) = &source_state.self_preservation else {
            return;
        };
        let due_at = now + policy.silence_timeout;
        if let Some(old) = source_state.silent_at.replace(due_at) {
            self.due_checks.remove(&DueCheck::of_source(old, source));
        }
        self.due_checks.insert(DueCheck::of_source(due_at, source));
    }

    /// Ends the silence of a source. Only workers that it does not list stay suspected.
    fn clear_silence(&mut self, source: SourceId) {
        for record in self.sources[source.0].records.values_mut() {
            record.suspicion.take_if(|suspicion| !suspicion.is_missing);
        }
    }

    /// Records what an attempt, a probe or a connection attempt has shown about a worker.
    pub fn record_evidence(
        &mut self,
        now: Micros,
        worker: WorkerId,
        evidence: HealthEvidence,
    ) -> MembershipChange {
        let mut change = MembershipChange::default();
        if evidence == HealthEvidence::Alive {
            self.last_alive_at.insert(worker, now);
        }
        let Some(id) = self.published.get(&worker).map(|worker| worker.id.clone()) else {
            return change;
        };
        for position in 0..self.sources.len() {
            if self.apply_evidence(position, &id, evidence) {
                self.drop_report(now, SourceId(position), &id, &mut change);
            }
        }
        change
    }

    /// Applies evidence to a source's suspicion of a worker. Returns whether the worker now counts as gone.
    fn apply_evidence(&mut self, source: usize, id: &str, evidence: HealthEvidence) -> bool {
        let source = &mut self.sources[source];
        let Some(policy) = &source.self_preservation else {
            return false;
        };
        // A word against a worker is not ended by failures: it would get requests by another source's report.
        let record = source.records.get_mut(id);
        let record = record.filter(|record| record.report.status == Status::Up);
        let Some(suspicion) = record.and_then(|record| record.suspicion.as_mut()) else {
            return false;
        };
        match evidence {
            HealthEvidence::Alive => {
                suspicion.failures = 0;
                false
            }
            HealthEvidence::Unreachable => {
                suspicion.failures += 1;
                suspicion.failures >= policy.max_failures
            }
        }
    }

    /// When [`Membership::wake`] has to be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.due_checks.first().map(|check| check.due_at)
    }

    /// Runs the checks that are due. Probes are limited by each source's budget.
    pub fn wake(&mut self, now: Micros) -> MembershipChange {
        let mut change = MembershipChange::default();
        while self.next_wake().is_some_and(|due_at| due_at <= now) {
            if let Some(check) = self.due_checks.pop_first() {
                self.run_check(now, check, &mut change);
            }
        }
        change
    }

    fn run_check(&mut self, now: Micros, check: DueCheck, change: &mut MembershipChange) {
        let source = SourceId(check.source);
        let Some(policy) = self.sources[source.0].self_preservation.clone() else {
            return;
        };
        if check.id.is_empty() {
            return self.mark_silent(now, source);
        }
        let record = self.sources[source.0].records.get(&check.id);
        let Some(suspicion) = record.and_then(|record| record.suspicion.clone()) else {
            return;
        };
        let retained_until = suspicion.since + policy.retention;
        if suspicion.is_missing && now >= retained_until {
            return self.drop_report(now, source, &check.id, change);
        }
        let last_probed_at = match self.probe_suspected(now, source, &policy, &check.id) {
            ProbeDecision::OverBudget => check.last_probed_at,
            ProbeDecision::Probed | ProbeDecision::NotNeeded => now,
        };
        let next_probe = now + policy.probe_interval;
        let due_at = if suspicion.is_missing {
            next_probe.min(retained_until.max(now + Micros(1)))
        } else {
            next_probe
        };
        self.due_checks.insert(DueCheck {
            due_at,
            last_probed_at,
            ..check
        });
    }

    /// Schedules a probe of a suspected worker, unless it has answered recently or the budget is used up.
    fn probe_suspected(
        &mut self,
        now: Micros,
        source: SourceId,
        policy: &SelfPreservation,
        id: &str,
    ) -> ProbeDecision {
        let worker = worker_id(id);
        let last_alive_at = self.last_alive_at.get(&worker);
        // A worker that answers regular traffic needs no probe.
        let answered_recently = last_alive_at.is_some_and(|at| *at + policy.probe_interval > now);
        let window = &mut self.sources[source.0].probe_window;
        window.advance(now, policy.probe_interval);
        if !policy.probes || answered_recently {
            return ProbeDecision::NotNeeded;
        }
        if !window.try_take(policy.probe_budget) {
            return ProbeDecision::OverBudget;
        }
        self.due_probes.push(worker);
        ProbeDecision::Probed
    }

    /// Marks a source as silent and suspects its workers, which are then removed only by evidence of their own.
    fn mark_silent(&mut self, now: Micros, source: SourceId) {
        let source_state = &mut self.sources[source.0];
        source_state.is_silent = true;
        for record in source_state.records.values_mut() {
            if record.suspicion.is_none() {
                record.suspicion = Some(Suspicion::new(now, false));
                self.due_checks
                    .insert(DueCheck::of_worker(now, source, &record.report.id));
            }
        }
    }

    /// Takes the suspected workers to probe now. The caller reports the results as
    /// [evidence](Membership::record_evidence).
    pub fn take_due_probes(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.due_probes)
    }

    /// The number of suspected workers; a worker counts once for each source that suspects it.
    pub fn suspected(&self) -> usize {
        let mut sources = self.sources.iter();
        let protected = sources
            .by_ref()
            .filter(|source| source.self_preservation.is_some());
        let records = protected.flat_map(|source| source.records.values());
        records.filter(|record| record.suspicion.is_some()).count()
    }
}

/// The decision whether to probe a suspected worker.
enum ProbeDecision {
    Probed,
    NotNeeded,
    OverBudget,
}
