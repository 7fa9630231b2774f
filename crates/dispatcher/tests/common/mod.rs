//! Small helpers for the module's tests.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use marbledeck_dispatcher::*;

pub const SECOND: u64 = 1_000_000;

/// Every outcome but the good one.
pub const OUTCOMES: [Outcome; 7] = [
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// Every idempotency.
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

/// Settings with one class of this idempotency, free-slot reports by probe, and starts reported.
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

pub fn tenants(mut settings: Settings, quotas: &[f64]) -> Settings {
    let sum: f64 = quotas.iter().sum();
    let tenant = |&q: &f64| Tenant {
        quota: Some(q),
        share: q / sum,
    };
    settings.tenants = quotas.iter().map(tenant).collect();
    settings
}

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

/// A dispatcher with its last answers.
pub struct Rig {
    pub dispatcher: Dispatcher,
    pub out: Vec<Action>,
}

impl Rig {
    pub fn new(settings: Settings, workers: u32) -> Rig {
        Rig::seeded(settings, workers, 7)
    }

    pub fn seeded(settings: Settings, workers: u32, seed: u64) -> Rig {
        let dispatcher = Dispatcher::new(settings, seed, Micros(0)).unwrap();
        let mut rig = Rig {
            dispatcher,
            out: Vec::new(),
        };
        rig.at(
            0,
            Event::WorkerList {
                kind: WorkerListKind::Cached,
                workers: (0..workers).map(worker).collect(),
            },
        );
        rig
    }

    /// Handles an event and gives the actions other than timers and probes.
    pub fn at(&mut self, now: u64, event: Event) -> Vec<Action> {
        self.out.clear();
        self.dispatcher.handle(Micros(now), event, &mut self.out);
        let kept = |a: &&Action| !matches!(a, Action::SetTimer { .. } | Action::Probe(_));
        self.out.iter().filter(kept).cloned().collect()
    }

    /// A worker tells of its free slots.
    pub fn report(&mut self, now: u64, worker: u32, free: f64) {
        self.probed(now, worker, free, None);
    }

    /// A worker tells that all of nine slots are free; all dispatchers together have so many calls
    /// out there.
    pub fn counted(&mut self, now: u64, worker: u32, in_flight: f64) {
        self.probed(now, worker, 9.0, Some(in_flight));
    }

    fn probed(&mut self, now: u64, worker: u32, free: f64, in_flight: Option<f64>) {
        let report = LoadReport {
            free_slots: Some(free),
            in_flight,
            ..LoadReport::default()
        };
        self.at(
            now,
            Event::ProbeEnded {
                worker: WorkerId(worker.into()),
                outcome: Outcome::Served,
                report: Some(report),
            },
        );
    }

    pub fn end(
        &mut self,
        now: u64,
        id: u64,
        attempt: u32,
        to: WorkerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let ended = AttemptEnded {
            request: RequestId(id),
            attempt,
            worker: to,
            outcome,
            request_closed: outcome == Outcome::Served,
            latency: Micros(1000),
            report: None,
        };
        self.at(now, Event::AttemptEnded(ended))
    }

    /// Sends a job, and tells where it went.
    pub fn place_or_none(&mut self, now: u64, id: u64) -> Option<WorkerId> {
        sent(&self.at(now, Event::JobReceived(job(id))))
    }

    /// Sends a job that must be placed, and tells where.
    pub fn place(&mut self, now: u64, id: u64) -> WorkerId {
        sent(&self.at(now, Event::JobReceived(job(id)))).expect("placed")
    }
}

/// The worker of the first send.
pub fn sent(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { worker: to, .. } => Some(*to),
        _ => None,
    })
}
