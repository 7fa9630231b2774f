//! Helpers for the tests of the dispatcher crate.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use marbledeck_dispatcher::*;

pub const SECOND: u64 = 1_000_000;

/// Every outcome except `Served`.
pub const OUTCOMES: [Outcome; 7] = [
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// Every idempotency, with a window of 5 s where it has one.
pub fn idempotencies() -> [Idempotency; 5] {
    let window = Micros(5 * SECOND);
    [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window,
        },
        Idempotency::Keyed {
            scope: DeduplicationScope::Zone,
            window,
        },
        Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            window,
        },
    ]
}

/// Settings with one class of this idempotency. Workers report free slots in answers to probes, and
/// report when a job starts.
pub fn settings(idempotency: Idempotency) -> Settings {
    let class = Class {
        idempotency,
        latency_objective: Micros(SECOND),
        objective_stretch: 2.0,
        deadline: Micros(10 * SECOND),
        ..Class::default()
    };
    Settings {
        dispatchers: 1,
        classes: vec![class],
        load_reporting: LoadReporting::Probed,
        reports_starts: true,
        ..Settings::default()
    }
}

/// Adds a tenant for each quota, with a share in proportion to it.
pub fn with_tenants(mut settings: Settings, quotas: &[f64]) -> Settings {
    let sum: f64 = quotas.iter().sum();
    let tenant = |&q: &f64| Tenant {
        quota: Some(q),
        share: q / sum,
    };
    settings.tenants = quotas.iter().map(tenant).collect();
    settings
}

/// A ready worker; two neighbours share a cell and four share a zone.
pub fn worker(id: u32) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(id.into()),
        cell: Some(CellId(id / 2)),
        zone: ZoneId(id / 4),
        ..WorkerEntry::default()
    }
}

pub fn job(id: u64) -> Job {
    Job {
        id: RequestId(id),
        time_left: Micros(10 * SECOND),
        ..Job::default()
    }
}

/// A dispatcher with the actions of its last event.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub out: Vec<Action>,
}

impl Harness {
    pub fn new(settings: Settings, workers: u32) -> Harness {
        Harness::seeded(settings, workers, 7)
    }

    pub fn seeded(settings: Settings, workers: u32, seed: u64) -> Harness {
        let dispatcher = Dispatcher::new(settings, seed, Micros(0)).unwrap();
        let mut harness = Harness {
            dispatcher,
            out: Vec::new(),
        };
        harness.handle(
            0,
            Event::WorkerList {
                kind: WorkerListKind::Cached,
                workers: (0..workers).map(worker).collect(),
            },
        );
        harness
    }

    /// Handles an event and returns its actions other than timers and probes.
    pub fn handle(&mut self, now: u64, event: Event) -> Vec<Action> {
        self.out.clear();
        self.dispatcher.handle(Micros(now), event, &mut self.out);
        let is_other = |a: &&Action| !matches!(a, Action::SetTimer { .. } | Action::Probe(_));
        self.out.iter().filter(is_other).cloned().collect()
    }

    /// Ends a probe with a report of the worker's free slots.
    pub fn report(&mut self, now: u64, worker: u32, free_slots: f64) {
        self.end_probe(now, worker, free_slots, None);
    }

    /// Ends a probe with a report of nine free slots and a count of the attempts that all dispatchers
    /// together have in flight there.
    pub fn report_count(&mut self, now: u64, worker: u32, in_flight: f64) {
        self.end_probe(now, worker, 9.0, Some(in_flight));
    }

    fn end_probe(&mut self, now: u64, worker: u32, free_slots: f64, in_flight: Option<f64>) {
        let report = LoadReport {
            free_slots: Some(free_slots),
            in_flight,
            ..LoadReport::default()
        };
        self.handle(
            now,
            Event::ProbeEnded {
                worker: WorkerId(worker.into()),
                outcome: Outcome::Served,
                report: Some(report),
            },
        );
    }

    pub fn end_attempt(
        &mut self,
        now: u64,
        id: u64,
        attempt: u32,
        worker: WorkerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let ended = AttemptEnded {
            request: RequestId(id),
            attempt,
            worker,
            outcome,
            request_closed: outcome == Outcome::Served,
            latency: Micros(1000),
            report: None,
        };
        self.handle(now, Event::AttemptEnded(ended))
    }

    /// Submits a job and returns the worker that it is sent to, if any.
    pub fn submit(&mut self, now: u64, id: u64) -> Option<WorkerId> {
        first_send(&self.handle(now, Event::JobReceived(job(id))))
    }

    /// Submits a job that must be sent, and returns its worker.
    pub fn submit_and_send(&mut self, now: u64, id: u64) -> WorkerId {
        first_send(&self.handle(now, Event::JobReceived(job(id))))
            .expect("job was not sent to a worker")
    }
}

/// The worker of the first `Send` action, if there is one.
pub fn first_send(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { worker, .. } => Some(*worker),
        _ => None,
    })
}
