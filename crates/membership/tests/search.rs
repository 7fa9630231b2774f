//! An exhaustive search: every sequence of so many steps of two sources, an operator and signs, for three workers, is
//! played against the membership, and each step is held against what it must not do.

use marbledeck_dispatcher::{Micros, WorkerState};
use marbledeck_membership::{
    HealthEvidence, Membership, SelfPreservation, SourceId, SourceReport, Status,
};
use marbledeck_platform_settings::worker_id;
use std::collections::BTreeMap;

const IDS: [&str; 3] = ["w1", "w2", "w3"];
const SECOND: Micros = Micros(1_000_000);

fn guard() -> SelfPreservation {
    SelfPreservation {
        retention: Micros(5_000_000),
        silence_timeout: Micros(4_000_000),
        probe_interval: SECOND,
        max_failures: 2,
        probe_budget: 2,
        probes: true,
    }
}

fn word(at: usize, status: Status) -> SourceReport {
    SourceReport::new(IDS[at], &format!("127.0.0.1:{}", 8000 + at), status)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The registry tells an empty list, or one with all three.
    Empty,
    All,
    /// The registry no longer names this one, or says so on purpose.
    Miss(usize),
    Cancel(usize),
    Out(usize),
    Up(usize),
    /// The directory drains or names this one.
    Drain(usize),
    Named(usize),
    /// An operator.
    SetDown(usize),
    SetUp(usize),
    Life(usize),
    Death(usize),
    /// A second passes.
    Pass,
}

fn steps() -> Vec<Step> {
    use Step::*;
    // The workers are alike: the first takes every step, the others those that may depend on each other.
    vec![
        Empty,
        All,
        Miss(0),
        Cancel(0),
        Out(0),
        Up(0),
        Drain(0),
        Named(0),
        SetDown(0),
        SetUp(0),
        Life(0),
        Death(0),
        Death(1),
        Drain(2),
        Pass,
    ]
}

struct World {
    members: Membership,
    directory: SourceId,
    registry: SourceId,
    now: Micros,
    /// What the module was told last.
    told: BTreeMap<&'static str, WorkerState>,
    /// Who is out by hand, drained by the directory, or told off by the registry.
    by_hand: [bool; 3],
    drained: [bool; 3],
    off: [bool; 3],
    /// Signs of death in a row.
    deaths: [u32; 3],
    /// Since when the registry has not named it.
    missed: [Option<Micros>; 3],
    listed: [bool; 3],
}

impl World {
    fn new() -> Self {
        let mut members = Membership::new(Vec::new(), Vec::new());
        let directory = members.add_source("directory", None);
        let registry = members.add_source("registry", Some(guard()));
        let mut world = World {
            members,
            directory,
            registry,
            now: SECOND,
            told: BTreeMap::new(),
            by_hand: [false; 3],
            drained: [false; 3],
            off: [false; 3],
            deaths: [0; 3],
            missed: [None; 3],
            listed: [false; 3],
        };
        world.take(Step::All);
        world
    }

    fn take(&mut self, step: Step) {
        let (now, registry, directory) = (self.now, self.registry, self.directory);
        let told = match step {
            Step::Empty => {
                for at in 0..3 {
                    self.miss(at);
                }
                self.members.apply_full_list(now, registry, Vec::new())
            }
            Step::All => {
                self.off = [false; 3];
                self.missed = [None; 3];
                self.listed = [true; 3];
                self.deaths = [0; 3];
                self.members.apply_full_list(
                    now,
                    registry,
                    (0..3).map(|at| word(at, Status::Up)).collect(),
                )
            }
            Step::Miss(at) => {
                self.miss(at);
                self.members.remove_worker(now, registry, IDS[at], false)
            }
            Step::Cancel(at) => {
                self.listed[at] = false;
                self.off[at] = false;
                self.missed[at] = None;
                self.members.remove_worker(now, registry, IDS[at], true)
            }
            Step::Out(at) | Step::Up(at) => {
                self.off[at] = matches!(step, Step::Out(_));
                self.missed[at] = None;
                self.listed[at] = true;
                self.deaths[at] = 0;
                let status = if self.off[at] {
                    Status::OutOfService
                } else {
                    Status::Up
                };
                self.members.apply_report(now, registry, word(at, status))
            }
            Step::Drain(at) | Step::Named(at) => {
                self.drained[at] = matches!(step, Step::Drain(_));
                let status = if self.drained[at] {
                    Status::Draining
                } else {
                    Status::Up
                };
                self.members.apply_report(now, directory, word(at, status))
            }
            Step::SetDown(at) | Step::SetUp(at) => {
                self.by_hand[at] = matches!(step, Step::SetDown(_));
                self.members.set_out_of_service(IDS[at], self.by_hand[at])
            }
            Step::Life(at) => {
                self.deaths[at] = 0;
                self.members
                    .record_evidence(now, worker_id(IDS[at]), HealthEvidence::Alive)
            }
            Step::Death(at) => {
                self.deaths[at] += 1;
                self.members
                    .record_evidence(now, worker_id(IDS[at]), HealthEvidence::Unreachable)
            }
            Step::Pass => {
                self.now = now + SECOND;
                self.members.wake(self.now)
            }
        };
        for entry in told.entries {
            let id = IDS
                .into_iter()
                .find(|id| worker_id(id) == entry.worker)
                .expect("known");
            self.told.insert(id, entry.state);
        }
    }

    fn miss(&mut self, at: usize) {
        if self.listed[at] && self.missed[at].is_none() {
            if self.off[at] {
                // Not to be sent to anyway: it goes at once.
                (self.off[at], self.listed[at]) = (false, false);
            } else {
                self.missed[at] = Some(self.now);
                self.deaths[at] = 0;
            }
        }
    }

    fn check(
        &mut self,
        step: Step,
        before: &BTreeMap<&'static str, WorkerState>,
    ) -> Result<(), String> {
        for (at, id) in IDS.into_iter().enumerate() {
            let state = self.told.get(id).copied().unwrap_or(WorkerState::Removed);
            let ready = state == WorkerState::Ready;
            // What the module was told is what the membership would say.
            let shown = self
                .members
                .entry(id)
                .map_or(WorkerState::Removed, |entry| entry.state);
            if shown != state {
                return Err(format!("{id} is {shown:?}, told {state:?}"));
            }
            // Drains and operators are obeyed in the same step, whatever else holds.
            if ready && (self.by_hand[at] || self.drained[at] || self.off[at]) {
                return Err(format!("{id} is sent to against a word"));
            }
            // One that its registry missed for too long is gone, unless the directory names it.
            let named = self.members.report(id).is_some();
            let over =
                self.missed[at].is_some_and(|since| since + guard().retention + SECOND < self.now);
            let here = self
                .members
                .reports(self.directory)
                .any(|word| word.id == id);
            if named && over && !here {
                return Err(format!("{id} is kept for too long"));
            }
            // Ready before, it is not abandoned without a word, two signs of death, or the time.
            let was = before.get(id) == Some(&WorkerState::Ready);
            let signs = self.deaths[at] >= guard().max_failures;
            let late = self.missed[at].is_some_and(|since| since + guard().retention <= self.now);
            let word = self.by_hand[at] || self.drained[at] || self.off[at] || !self.listed[at];
            let reason = word || signs || late;
            if was && !ready && !reason {
                return Err(format!("{id} is abandoned by {step:?}"));
            }
            // A wake-up is due as long as there is something to look at.
            if self.members.suspected() > 0 && self.members.next_wake().is_none() {
                return Err("nobody looks at the doubtful".to_owned());
            }
        }
        Ok(())
    }
}

fn play(sequence: &[Step]) {
    let mut world = World::new();
    for (n, step) in sequence.iter().enumerate() {
        let before = world.told.clone();
        world.take(*step);
        if let Err(what) = world.check(*step, &before) {
            panic!("{what}, after {:?}", &sequence[..=n]);
        }
        // Dropped by its signs or its time, it is as if it had never been listed.
        for (at, id) in IDS.into_iter().enumerate() {
            let of_registry = world
                .members
                .reports(world.registry)
                .any(|word| word.id == id);
            if !of_registry {
                (world.listed[at], world.missed[at], world.off[at]) = (false, None, false);
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
