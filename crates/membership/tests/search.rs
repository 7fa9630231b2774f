//! An exhaustive search: every sequence of so many steps of two sources, an operator and health evidence, for three workers, is
//! played against the membership, and each step is held against what it must not do.

use marbledeck_dispatcher::{Micros, WorkerState};
use marbledeck_membership::{
    HealthEvidence, Membership, MembershipChange, SelfPreservation, SourceId, SourceReport, Status,
};
use marbledeck_platform_settings::worker_id;
use std::collections::BTreeMap;

const IDS: [&str; 3] = ["w1", "w2", "w3"];
const SECOND: Micros = Micros(1_000_000);

fn policy() -> SelfPreservation {
    SelfPreservation {
        retention: Micros(5_000_000),
        silence_timeout: Micros(4_000_000),
        probe_interval: SECOND,
        max_failures: 2,
        probe_budget: 2,
        probes: true,
    }
}

fn report(at: usize, status: Status) -> SourceReport {
    SourceReport::new(IDS[at], &format!("127.0.0.1:{}", 8000 + at), status)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The registry tells an empty list, or one with all three.
    EmptyList,
    FullList,
    /// The registry no longer names this one, or says so on purpose.
    Miss(usize),
    Cancel(usize),
    OutOfService(usize),
    Up(usize),
    /// The directory drains or names this one.
    Drain(usize),
    Named(usize),
    /// An operator.
    SetDown(usize),
    SetUp(usize),
    Alive(usize),
    Unreachable(usize),
    /// A second passes.
    Pass,
}

fn steps() -> Vec<Step> {
    use Step::*;
    // The workers are alike: the first takes every step, the others those that may depend on each other.
    vec![
        EmptyList,
        FullList,
        Miss(0),
        Cancel(0),
        OutOfService(0),
        Up(0),
        Drain(0),
        Named(0),
        SetDown(0),
        SetUp(0),
        Alive(0),
        Unreachable(0),
        Unreachable(1),
        Drain(2),
        Pass,
    ]
}

struct World {
    members: Membership,
    directory: SourceId,
    registry: SourceId,
    now: Micros,
    /// What was published last.
    published: BTreeMap<&'static str, WorkerState>,
    /// Who is out by hand, drained by the directory, or taken out by the registry.
    by_hand: [bool; 3],
    drained: [bool; 3],
    off: [bool; 3],
    /// Failures in a row.
    failures: [u32; 3],
    /// Since when the registry has not named it.
    missing_since: [Option<Micros>; 3],
    listed: [bool; 3],
}

impl World {
    fn new() -> Self {
        let mut members = Membership::new(Vec::new(), Vec::new());
        let directory = members.add_source("directory", None);
        let registry = members.add_source("registry", Some(policy()));
        let mut world = World {
            members,
            directory,
            registry,
            now: SECOND,
            published: BTreeMap::new(),
            by_hand: [false; 3],
            drained: [false; 3],
            off: [false; 3],
            failures: [0; 3],
            missing_since: [None; 3],
            listed: [false; 3],
        };
        world.apply(Step::FullList);
        world
    }

    fn apply(&mut self, step: Step) {
        let change = self.change_of(step);
        for entry in change.entries {
            let mut ids = IDS.into_iter();
            let id = ids.find(|id| worker_id(id) == entry.worker);
            self.published.insert(id.expect("known"), entry.state);
        }
    }

    fn change_of(&mut self, step: Step) -> MembershipChange {
        let (now, registry, directory) = (self.now, self.registry, self.directory);
        match step {
            Step::EmptyList => {
                for at in 0..3 {
                    self.expect_missing(at);
                }
                self.members.apply_full_list(now, registry, Vec::new())
            }
            Step::FullList => self.apply_full_list(),
            Step::Miss(at) => {
                self.expect_missing(at);
                self.members.remove_worker(now, registry, IDS[at], false)
            }
            Step::Cancel(at) => {
                self.listed[at] = false;
                self.off[at] = false;
                self.missing_since[at] = None;
                self.members.remove_worker(now, registry, IDS[at], true)
            }
            Step::OutOfService(at) => self.apply_registry_report(at, Status::OutOfService),
            Step::Up(at) => self.apply_registry_report(at, Status::Up),
            Step::Drain(at) => {
                self.drained[at] = true;
                let report = report(at, Status::Draining);
                self.members.apply_report(now, directory, report)
            }
            Step::Named(at) => {
                self.drained[at] = false;
                let report = report(at, Status::Up);
                self.members.apply_report(now, directory, report)
            }
            Step::SetDown(at) | Step::SetUp(at) => {
                self.by_hand[at] = matches!(step, Step::SetDown(_));
                self.members.set_out_of_service(IDS[at], self.by_hand[at])
            }
            Step::Alive(at) => {
                self.failures[at] = 0;
                self.record_evidence(at, HealthEvidence::Alive)
            }
            Step::Unreachable(at) => {
                self.failures[at] += 1;
                self.record_evidence(at, HealthEvidence::Unreachable)
            }
            Step::Pass => {
                self.now = now + SECOND;
                self.members.wake(self.now)
            }
        }
    }

    fn apply_full_list(&mut self) -> MembershipChange {
        self.off = [false; 3];
        self.missing_since = [None; 3];
        self.listed = [true; 3];
        self.failures = [0; 3];
        let reports = (0..3).map(|at| report(at, Status::Up)).collect();
        self.members
            .apply_full_list(self.now, self.registry, reports)
    }

    fn apply_registry_report(&mut self, at: usize, status: Status) -> MembershipChange {
        self.off[at] = status == Status::OutOfService;
        self.missing_since[at] = None;
        self.listed[at] = true;
        self.failures[at] = 0;
        let report = report(at, status);
        self.members.apply_report(self.now, self.registry, report)
    }

    fn record_evidence(&mut self, at: usize, evidence: HealthEvidence) -> MembershipChange {
        self.members
            .record_evidence(self.now, worker_id(IDS[at]), evidence)
    }

    fn expect_missing(&mut self, at: usize) {
        if self.listed[at] && self.missing_since[at].is_none() {
            if self.off[at] {
                // Not to be sent to anyway: it goes at once.
                (self.off[at], self.listed[at]) = (false, false);
            } else {
                self.missing_since[at] = Some(self.now);
                self.failures[at] = 0;
            }
        }
    }

    fn check(
        &mut self,
        step: Step,
        before: &BTreeMap<&'static str, WorkerState>,
    ) -> Result<(), String> {
        for (at, id) in IDS.into_iter().enumerate() {
            let state = self
                .published
                .get(id)
                .copied()
                .unwrap_or(WorkerState::Removed);
            let ready = state == WorkerState::Ready;
            // What was published is what the membership would say now.
            let published_now = self
                .members
                .entry(id)
                .map_or(WorkerState::Removed, |entry| entry.state);
            if published_now != state {
                return Err(format!("{id} is {published_now:?}, published {state:?}"));
            }
            // Drains and operators are obeyed in the same step, whatever else holds.
            if ready && (self.by_hand[at] || self.drained[at] || self.off[at]) {
                return Err(format!("{id} is sent to against a report"));
            }
            // One that its registry missing_since for too long is gone, unless the directory names it.
            let named = self.members.report(id).is_some();
            let over = self.missing_since[at]
                .is_some_and(|since| since + policy().retention + SECOND < self.now);
            let here = self
                .members
                .reports(self.directory)
                .any(|report| report.id == id);
            if named && over && !here {
                return Err(format!("{id} is kept for too long"));
            }
            // Ready before, it is not abandoned without a report, two failures, or the time.
            let was = before.get(id) == Some(&WorkerState::Ready);
            let unreachable = self.failures[at] >= policy().max_failures;
            let late =
                self.missing_since[at].is_some_and(|since| since + policy().retention <= self.now);
            let reported = self.by_hand[at] || self.drained[at] || self.off[at] || !self.listed[at];
            let reason = reported || unreachable || late;
            if was && !ready && !reason {
                return Err(format!("{id} is abandoned by {step:?}"));
            }
            // A wake-up is due as long as there is something to look at.
            if self.members.suspected() > 0 && self.members.next_wake().is_none() {
                return Err("nobody looks at the suspected".to_owned());
            }
        }
        Ok(())
    }
}

fn play(sequence: &[Step]) {
    let mut world = World::new();
    for (n, step) in sequence.iter().enumerate() {
        let before = world.published.clone();
        world.apply(*step);
        if let Err(what) = world.check(*step, &before) {
            panic!("{what}, after {:?}", &sequence[..=n]);
        }
        // Dropped by its failures or its time, it is as if it had never been listed.
        for (at, id) in IDS.into_iter().enumerate() {
            let of_registry = world
                .members
                .reports(world.registry)
                .any(|report| report.id == id);
            if !of_registry {
                (world.listed[at], world.missing_since[at], world.off[at]) = (false, None, false);
            }
        }
    }
}

/// All sequences of five steps: 15^5 of them.
#[test]
fn all_short_histories() {
    let steps = steps();
    let mut sequence = [Step::Pass; 5];
    for number in 0..steps.len().pow(5) {
        let mut rest = number;
        for place in &mut sequence {
            *place = steps[rest % steps.len()];
            rest /= steps.len();
        }
        play(&sequence);
    }
}

/// Longer ones, drawn by a seed that is printed where one fails.
#[test]
fn drawn_long_histories() {
    let steps = steps();
    for seed in 1..=4000u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let sequence: Vec<Step> = (0..60)
            .map(|_| {
                state ^= state << 13;
                state ^= state >> 7;
                state ^= state << 17;
                steps[(state % steps.len() as u64) as usize]
            })
            .collect();
        play(&sequence);
    }
}
