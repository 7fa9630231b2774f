//! Random legal event sequences against an independent checker of the rules: no attempt for a closed
//! request, no forbidden repeat, none to a worker that is not ready, no overload of a cold worker, one
//! final answer, and no rejection unless a retry is harmless.

mod common;
use common::*;
use marbledeck_dispatcher::*;
use std::collections::HashMap;

const WORKERS: u64 = 8;
const DISPATCHERS: u32 = 2;
const EVENTS: u64 = 4_000;
const WARM_UP: u64 = 8 * SECOND;
const INITIAL_CAPACITY: f64 = 0.25;
const OVERLOAD_FACTOR: f64 = 2.0;
const SLOTS_OF_A_WORKER: f64 = 4.0;

struct SentAttempt {
    worker: WorkerId,
    sent_at: u64,
    outcome: Option<Outcome>,
}

impl SentAttempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

struct OpenRequest {
    attempts: Vec<SentAttempt>,
    deadline: u64,
    ended: bool,
}

struct ColdSend {
    worker: WorkerId,
    at: u64,
    slot_seconds: f64,
}

/// Checks the rules independently of the crate.
struct Checker {
    idempotency: Idempotency,
    requests: HashMap<u64, OpenRequest>,
    /// State and start time of each worker.
    workers: HashMap<WorkerId, (WorkerState, Option<u64>)>,
    cold_sends: Vec<ColdSend>,
    violations: Vec<String>,
}

impl Checker {
    fn new(idempotency: Idempotency) -> Self {
        let ready = |worker| (WorkerId(worker), (WorkerState::Ready, None));
        Checker {
            idempotency,
            requests: HashMap::new(),
            workers: (0..WORKERS).map(ready).collect(),
            cold_sends: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn check(&mut self, now: u64, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send {
                    request, worker, ..
                } => self.check_send(now, request.0, *worker),
                Action::Reject { request, .. } => self.check_rejection(request.0),
                Action::Fail(request) => self.check_failure(request.0),
                _ => {}
            }
        }
    }

    fn check_rejection(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).unwrap();
        let may_have_run = request.attempts.iter().any(SentAttempt::may_have_run);
        let harmless = matches!(
            self.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        if may_have_run && !harmless || request.ended {
            self.violations.push(format!("rejected {id}"));
        }
        request.ended = true;
    }

    fn check_failure(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).unwrap();
        if std::mem::replace(&mut request.ended, true) {
            self.violations.push(format!("answered twice {id}"));
        }
    }

    fn check_send(&mut self, now: u64, id: u64, worker: WorkerId) {
        let request = &self.requests[&id];
        if request.ended || now >= request.deadline {
            self.violations.push(format!("sent after the end: {id}"));
        }
        if request.attempts.iter().any(|a| a.outcome.is_none()) {
            self.violations.push(format!("two attempts of {id}"));
        }
        if !self.may_repeat(now, request, worker) {
            self.violations.push(format!("ran twice: {id}"));
        }
        let (state, started_at) = self.workers[&worker];
        if state != WorkerState::Ready {
            let violation = format!("sent to {worker:?} which is {state:?}");
            self.violations.push(violation);
        }
        if let Some(started_at) = started_at.filter(|at| now - at < WARM_UP) {
            self.check_cold_send(now, worker, started_at);
        }
        let attempt = SentAttempt {
            worker,
            sent_at: now,
            outcome: None,
        };
        self.requests.get_mut(&id).unwrap().attempts.push(attempt);
    }

    fn may_repeat(&self, now: u64, request: &OpenRequest, worker: WorkerId) -> bool {
        let mut attempts = request.attempts.iter();
        let Some(first) = attempts.find(|a| a.may_have_run()) else {
            return true;
        };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let workers_in_scope = match scope {
                    DeduplicationScope::All => u64::MAX,
                    DeduplicationScope::Zone => 4,
                    DeduplicationScope::Cell => 2,
                };
                first.worker.0 / workers_in_scope == worker.0 / workers_in_scope
                    && now - first.sent_at < window.0
            }
        }
    }

    /// Checks that the worker is sent no more than this dispatcher's share of its budget in a second.
    /// All jobs run for half a second in one slot.
    fn check_cold_send(&mut self, now: u64, worker: WorkerId, started_at: u64) {
        let progress = (now - started_at) as f64 / WARM_UP as f64;
        let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * progress;
        let budget = OVERLOAD_FACTOR * capacity * SLOTS_OF_A_WORKER / f64::from(DISPATCHERS);
        self.cold_sends.push(ColdSend {
            worker,
            at: now,
            slot_seconds: 0.5,
        });
        let is_recent = |send: &&ColdSend| {
            send.worker == worker && now - send.at <= SECOND && send.at >= started_at
        };
        let recent = self.cold_sends.iter().filter(is_recent);
        if recent.map(|send| send.slot_seconds).sum::<f64>() > budget + 1e-9 {
            self.violations.push(format!("overloaded {worker:?}"));
        }
    }
}

/// An attempt in flight.
struct InFlight {
    request: u64,
    attempt: u32,
    worker: WorkerId,
}

struct Simulation {
    random: oorandom::Rand64,
    checker: Checker,
    in_flight: Vec<InFlight>,
    now: u64,
}

impl Simulation {
    fn below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound)
    }

    fn next_event(&mut self, id: u64) -> Event {
        self.now += self.below(20_000);
        let worker = self.below(WORKERS);
        match self.below(10) {
            0..=3 => self.receive_job(id, worker),
            4 => end_probe(worker),
            5 if self.below(4) == 0 => self.change_worker(worker),
            6 => Event::TimerExpired(TimerId(0)),
            _ if self.in_flight.is_empty() => Event::TimerExpired(TimerId(0)),
            event_kind => self.end_attempt(event_kind),
        }
    }

    fn receive_job(&mut self, id: u64, worker: u64) -> Event {
        let time_left = self.below(3 * SECOND);
        let request = OpenRequest {
            attempts: Vec::new(),
            deadline: self.now + time_left,
            ended: false,
        };
        self.checker.requests.insert(id, request);
        Event::JobReceived(Job {
            time_left: Micros(time_left),
            expected_work: Some(Micros(SECOND / 2)),
            tenant: TenantId(worker as u32 % 2),
            ..job(id)
        })
    }

    fn change_worker(&mut self, id: u64) -> Event {
        let state = match self.below(3) {
            1 => WorkerState::Draining,
            _ => WorkerState::Ready,
        };
        let started_at = self.now - self.below(SECOND);
        let started_at = Some(started_at).filter(|_| state == WorkerState::Ready);
        let workers = &mut self.checker.workers;
        workers.insert(WorkerId(id), (state, started_at));
        let entry = WorkerEntry {
            state,
            started_at: started_at.map(Micros),
            ..worker(id as u32)
        };
        Event::WorkerList {
            kind: WorkerListKind::Delta,
            workers: vec![entry],
        }
    }

    fn end_attempt(&mut self, event_kind: u64) -> Event {
        let position = self.below(self.in_flight.len() as u64) as usize;
        let ended = self.in_flight.swap_remove(position);
        let is_late = self.now >= self.checker.requests[&ended.request].deadline;
        let outcome = match event_kind {
            _ if is_late => Outcome::TimedOut,
            7 | 8 => Outcome::Served,
            _ => OUTCOMES[self.below(7) as usize],
        };
        let request = self.checker.requests.get_mut(&ended.request).unwrap();
        request.ended |= outcome == Outcome::Served;
        request.attempts[ended.attempt as usize].outcome = Some(outcome);
        Event::AttemptEnded(AttemptEnded {
            request: RequestId(ended.request),
            attempt: ended.attempt,
            worker: ended.worker,
            outcome,
            request_closed: request.ended,
            latency: Micros(100_000),
            report: None,
        })
    }

    fn apply_actions(&mut self, actions: &[Action]) {
        self.checker.check(self.now, actions);
        for action in actions {
            if let Action::Send {
                request, worker, ..
            } = action
            {
                let attempts = self.checker.requests[&request.0].attempts.len();
                self.in_flight.push(InFlight {
                    request: request.0,
                    attempt: attempts as u32 - 1,
                    worker: *worker,
                });
            }
        }
    }

    fn finish(mut self) -> Vec<String> {
        for (id, request) in &self.checker.requests {
            let in_flight = self.in_flight.iter().any(|a| a.request == *id);
            if !request.ended && !in_flight {
                let violation = format!("{id} was left without a final answer");
                self.checker.violations.push(violation);
            }
        }
        self.checker.violations
    }
}

fn end_probe(worker: u64) -> Event {
    let report = LoadReport {
        free_slots: Some(4.0),
        ..LoadReport::default()
    };
    Event::ProbeEnded {
        worker: WorkerId(worker),
        outcome: Outcome::Served,
        report: Some(report),
    }
}

/// Runs a random legal event sequence and returns the violations. `corrupt` may falsify the events
/// that the dispatcher sees, to show that the checker detects violations.
fn simulate(idempotency: Idempotency, seed: u64, corrupt: fn(&mut Event)) -> Vec<String> {
    let mut settings = with_tenants(settings(idempotency), &[200.0, 100.0]);
    settings.dispatchers = DISPATCHERS;
    settings.rules.initial_capacity = INITIAL_CAPACITY;
    settings.rules.warm_up = Micros(WARM_UP);
    settings.classes[0].latency_objective = Micros(SECOND / 10);
    let mut harness = Harness::seeded(settings, WORKERS as u32, seed);
    let mut simulation = Simulation {
        random: oorandom::Rand64::new(u128::from(seed)),
        checker: Checker::new(idempotency),
        in_flight: Vec::new(),
        now: SECOND,
    };
    for id in 0..EVENTS {
        let mut event = simulation.next_event(id);
        corrupt(&mut event);
        let actions = harness.handle(simulation.now, event);
        simulation.apply_actions(&actions);
    }
    simulation.finish()
}

#[test]
fn random_sequences_obey_the_rules() {
    for idempotency in idempotencies() {
        for seed in 0..10 {
            let violations = simulate(idempotency, seed, |_| ());
            assert_eq!(violations, Vec::<String>::new(), "{idempotency:?} {seed}");
        }
    }
}

fn report_rejections(event: &mut Event) {
    if let Event::AttemptEnded(ended) = event {
        ended.outcome = Outcome::Rejected;
    }
}

fn report_open_requests(event: &mut Event) {
    if let Event::AttemptEnded(ended) = event {
        ended.request_closed = false;
        ended.outcome = Outcome::Rejected;
    }
}

fn report_all_ready(event: &mut Event) {
    if let Event::WorkerList { workers, .. } = event {
        for worker in workers {
            worker.state = WorkerState::Ready;
        }
    }
}

fn report_all_warm(event: &mut Event) {
    if let Event::WorkerList { workers, .. } = event {
        for worker in workers {
            worker.started_at = None;
        }
    }
}

/// The checker detects each kind of violation. The dispatcher is given falsified events, so that it
/// breaks the rules.
#[test]
fn the_checker_detects_broken_rules() {
    let assert_detected = |idempotency, violation: &str, corrupt: fn(&mut Event)| {
        let found = simulate(idempotency, 1, corrupt);
        let detected = found.iter().any(|text| text.contains(violation));
        assert!(detected, "{violation}: {found:?}");
    };
    assert_detected(Idempotency::NotIdempotent, "ran twice", report_rejections);
    assert_detected(Idempotency::NotIdempotent, "rejected", report_rejections);
    assert_detected(
        Idempotency::Idempotent,
        "sent after the end",
        report_open_requests,
    );
    assert_detected(
        Idempotency::Idempotent,
        "which is Draining",
        report_all_ready,
    );
    assert_detected(Idempotency::Idempotent, "overloaded", report_all_warm);
}
