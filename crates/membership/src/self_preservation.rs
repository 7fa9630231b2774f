//! Self-preservation: a source that no longer names a worker, or says nothing at all, is not believed before the worker
//! itself shows that it is gone, or a long time has passed.

use crate::{Membership, MembershipChange, SourceId};
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_platform_settings::worker_id;

/// How far a source's silence on a worker is distrusted.
#[derive(Clone, Debug, PartialEq)]
pub struct SelfPreservation {
    /// How long a worker that still answers is kept after its source has stopped naming it.
    pub retention: Micros,
    /// After how long without contact all of a source's workers are suspected.
    pub silence_timeout: Micros,
    /// How often a suspected worker is probed.
    pub probe_interval: Micros,
    /// Failures in a row, without an answer between, after which a suspected worker is removed.
    pub max_failures: u32,
    /// Probes in any `probe_interval`: with more suspected workers than this, each is probed less often.
    pub probe_budget: usize,
    /// Whether workers may be probed at all.
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

/// Evidence of whether a worker is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvidence {
    /// It has answered something.
    Alive,
    /// It has refused a connection, or not answered in time.
    Unreachable,
}

/// Why and since when a worker is suspected.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub since: Micros,
    /// Its source speaks and does not name it; else the source is silent.
    pub is_missing: bool,
    /// Failures since the last answer.
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

/// The probes of a source's workers within one probe interval.
#[derive(Debug, Default)]
pub(crate) struct ProbeWindow {
    began_at: Micros,
    probes: usize,
}

impl ProbeWindow {
    /// Takes a probe from the budget; tells whether there was one.
    fn take(&mut self, budget: usize) -> bool {
        let has_budget = self.probes < budget;
        self.probes += usize::from(has_budget);
        has_budget
    }

    fn advance(&mut self, now: Micros, interval: Micros) {
        if now >= self.began_at + interval {
            self.began_at = now;
            self.probes = 0;
        }
    }
}

/// When a suspected worker, or a source's silence, is looked at. Of those that are due together, the one that was probed
/// longest ago comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueCheck {
    due_at: Micros,
    last_probed_at: Micros,
    source: usize,
    /// The worker; empty for the source itself.
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
    /// A source has stopped naming a worker that it had reported as up.
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

    /// A source has said something.
    pub(crate) fn record_contact(&mut self, now: Micros, source: SourceId) {
        if std::mem::take(&mut self.sources[source.0].is_silent) {
            self.clear_silence(source);
        }
        self.schedule_silence_check(now, source);
    }

    /// From when on a source is silent, should it say nothing more.
    fn schedule_silence_check(&mut self, now: Micros, source: SourceId) {
        let contacted = &mut self.sources[source.0];
        let Some(policy) = &contacted.self_preservation else {
            return;
        };
        let due_at = now + policy.silence_timeout;
        if let Some(old) = contacted.silent_at.replace(due_at) {
            self.due_checks.remove(&DueCheck::of_source(old, source));
        }
        self.due_checks.insert(DueCheck::of_source(due_at, source));
    }

    /// A silent source speaks again: only what it does not name stays suspected.
    fn clear_silence(&mut self, source: SourceId) {
        for record in self.sources[source.0].records.values_mut() {
            record.suspicion.take_if(|suspicion| !suspicion.is_missing);
        }
    }

    /// Takes what an attempt, a probe or a connect shows of a worker.
    pub fn record_evidence(
        &mut self,
        now: Micros,
        worker: WorkerId,
        evidence: HealthEvidence,
    ) -> MembershipChange {
        let mut change = MembershipChange::default();
        if evidence == HealthEvidence::Alive {
            self.alive_at.insert(worker, now);
        }
        let Some(id) = self.published.get(&worker).map(|worker| worker.id.clone()) else {
            return change;
        };
        for position in 0..self.sources.len() {
            if self.is_given_up(position, &id, evidence) {
                self.drop_report(SourceId(position), &id, &mut change);
            }
        }
        change
    }

    /// Counts evidence for a source's suspicion; whether that shows the worker to be gone.
    fn is_given_up(&mut self, source: usize, id: &str, evidence: HealthEvidence) -> bool {
        let source = &mut self.sources[source];
        let Some(policy) = &source.self_preservation else {
            return false;
        };
        let record = source.records.get_mut(id);
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

    /// When [`Membership::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        self.due_checks.first().map(|check| check.due_at)
    }

    /// Looks at the suspected workers that are due, at most so many as the budgets allow.
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
            return self.drop_report(source, &check.id, change);
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

    /// Has a suspected worker probed, unless it has answered lately or the budget is used up.
    fn probe_suspected(
        &mut self,
        now: Micros,
        source: SourceId,
        policy: &SelfPreservation,
        id: &str,
    ) -> ProbeDecision {
        let worker = worker_id(id);
        let alive_at = self.alive_at.get(&worker);
        // Traffic that is answered makes a probe needless.
        let answers = alive_at.is_some_and(|at| *at + policy.probe_interval > now);
        let window = &mut self.sources[source.0].probe_window;
        window.advance(now, policy.probe_interval);
        if !policy.probes || answers {
            return ProbeDecision::NotNeeded;
        }
        if !window.take(policy.probe_budget) {
            return ProbeDecision::OverBudget;
        }
        self.due_probes.push(worker);
        ProbeDecision::Probed
    }

    /// A source has said nothing for too long: its workers are suspected, and go by their own evidence only.
    fn mark_silent(&mut self, now: Micros, source: SourceId) {
        let silent = &mut self.sources[source.0];
        silent.is_silent = true;
        for record in silent.records.values_mut() {
            if record.suspicion.is_none() {
                record.suspicion = Some(Suspicion::new(now, false));
                self.due_checks
                    .insert(DueCheck::of_worker(now, source, &record.report.id));
            }
        }
    }

    /// The suspected workers to probe now; the answers come as [evidence](Membership::record_evidence).
    pub fn take_due_probes(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.due_probes)
    }

    /// How many workers are suspected, each counted for each of its sources.
    pub fn suspected(&self) -> usize {
        let mut sources = self.sources.iter();
        let guarded = sources
            .by_ref()
            .filter(|source| source.self_preservation.is_some());
        let records = guarded.flat_map(|source| source.records.values());
        records.filter(|record| record.suspicion.is_some()).count()
    }
}

/// What became of the wish to probe a suspected worker.
enum ProbeDecision {
    Probed,
    NotNeeded,
    OverBudget,
}
