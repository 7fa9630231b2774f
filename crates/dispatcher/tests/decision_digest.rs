//! Compares all decisions of a dispatcher over seeded event histories with recorded digests, which
//! change with a single changed random draw, timer or rejection. The recorded digests are in
//! `tests/snapshots/` and are never edited by hand.

use marbledeck_dispatcher::*;
use std::collections::VecDeque;
use std::fmt::Write;

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;
const WORKERS: u64 = 24;
const STEPS: u32 = 4_000;
const SEEDS: [u64; 3] = [1, 77, 9_001];

/// FNV-1a hash of the text of all actions.
struct Digest(u64);

impl Digest {
    const OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01B3;

    fn add(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(Self::PRIME);
        }
    }
}

/// An attempt that has not ended yet.
#[derive(Clone, Copy)]
struct OpenAttempt {
    request: RequestId,
    number: u32,
    worker: WorkerId,
    sent_at: u64,
}

/// Passes random events to one dispatcher and responds to its actions in the place of workers, clients
/// and discovery.
struct History {
    dispatcher: Dispatcher,
    random: oorandom::Rand64,
    digest: Digest,
    now: u64,
    next_request: u64,
    open_attempts: Vec<OpenAttempt>,
    attempts_sent: Vec<(RequestId, u32)>,
    probes: VecDeque<WorkerId>,
    timers: Vec<(u64, u64)>,
    classes: u64,
    tenants: u64,
    actions: u64,
}

impl History {
    fn new(settings: &Settings, seed: u64) -> Self {
        History {
            classes: settings.classes.len() as u64,
            tenants: settings.tenants.len().max(1) as u64,
            dispatcher: Dispatcher::new(settings.clone(), seed, Micros(0)).expect("valid settings"),
            random: oorandom::Rand64::new(u128::from(seed) + 1),
            digest: Digest(Digest::OFFSET_BASIS),
            now: 0,
            next_request: 0,
            open_attempts: Vec::new(),
            attempts_sent: Vec::new(),
            probes: VecDeque::new(),
            timers: Vec::new(),
            actions: 0,
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound)
    }

    fn run(mut self) -> String {
        let all_workers = (0..WORKERS).map(|id| self.entry(id)).collect();
        self.handle(Event::WorkerList {
            kind: WorkerListKind::Cached,
            workers: all_workers,
        });
        for _ in 0..STEPS {
            self.now += self.below(40 * MILLISECOND);
            self.expire_timers();
            self.step();
        }
        format!("{:016x} of {} actions", self.digest.0, self.actions)
    }

    fn step(&mut self) {
        match self.below(20) {
            0..=6 => self.submit_job(),
            7..=9 => self.answer_probe(),
            10..=11 => self.start_attempt(),
            12..=16 => self.end_attempt(),
            17 => self.change_list(),
            18 => self.leave_client(),
            _ => self.now += self.random.rand_range(0..200 * MILLISECOND),
        }
    }

    fn submit_job(&mut self) {
        self.next_request += 1;
        let expected_work = self.below(900 * MILLISECOND);
        let job = Job {
            id: RequestId(self.next_request),
            class: ClassId(self.below(self.classes) as u32),
            tenant: TenantId(self.below(self.tenants) as u32),
            time_left: Micros(200 * MILLISECOND + self.below(6 * SECOND)),
            expected_work: (expected_work > 300 * MILLISECOND).then_some(Micros(expected_work)),
            slots: self.below(4) as f64,
            memory: self.below(3) as f64,
        };
        self.handle(Event::JobReceived(job));
    }

    fn answer_probe(&mut self) {
        let Some(worker) = self.probes.pop_front() else {
            return;
        };
        let outcome = match self.below(12) {
            0 => Outcome::TimedOut,
            1 => Outcome::ConnectFailed,
            _ => Outcome::Served,
        };
        let report = self.report();
        self.handle(Event::ProbeEnded {
            worker,
            outcome,
            report,
        });
    }

    fn report(&mut self) -> Option<LoadReport> {
        let (slots, memory, in_flight) = (self.below(10), self.below(8), self.below(9));
        match self.below(4) {
            0 => None,
            1 => Some(LoadReport {
                free_slots: Some(9.0),
                free_memory: None,
                in_flight: Some(in_flight as f64),
            }),
            _ => Some(LoadReport {
                free_slots: Some(slots as f64 + 0.2),
                free_memory: Some(memory as f64),
                in_flight: None,
            }),
        }
    }

    fn pick_attempt(&mut self) -> Option<usize> {
        let count = self.open_attempts.len() as u64;
        (count > 0).then(|| self.below(count) as usize)
    }

    fn start_attempt(&mut self) {
        if let Some(i) = self.pick_attempt() {
            let OpenAttempt {
                request, number, ..
            } = self.open_attempts[i];
            let attempt = number;
            let event = if self.below(5) == 0 {
                Event::ResponseStarted { request, attempt }
            } else {
                Event::AttemptStarted { request, attempt }
            };
            self.handle(event);
        }
    }

    fn end_attempt(&mut self) {
        let Some(i) = self.pick_attempt() else { return };
        let attempt = self.open_attempts.swap_remove(i);
        let outcome = match self.below(14) {
            0 => Outcome::Failed,
            1 => Outcome::Rejected,
            2 => Outcome::TimedOut,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Reset,
            5 => Outcome::Cancelled,
            6 => Outcome::NotSent,
            _ => Outcome::Served,
        };
        let report = self.report();
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            worker: attempt.worker,
            outcome,
            request_closed: outcome == Outcome::Served,
            latency: Micros(self.now - attempt.sent_at),
            report,
        }));
    }

    fn entry(&mut self, id: u64) -> WorkerEntry {
        let state = match self.below(10) {
            0 => WorkerState::Draining,
            1 => WorkerState::Removed,
            _ => WorkerState::Ready,
        };
        let started = self.below(self.now + 2 * SECOND);
        WorkerEntry {
            worker: WorkerId(id * 7_919),
            state,
            zone: ZoneId((id % 2) as u32),
            kind: KindId((id % 3) as u32),
            cell: (!id.is_multiple_of(5)).then_some(CellId((id / 4) as u32)),
            started_at: id
                .is_multiple_of(4)
                .then_some(Micros(started.min(self.now))),
        }
    }

    fn change_list(&mut self) {
        let count = 1 + self.below(4);
        let event = match self.below(8) {
            0 => Event::WorkerList {
                kind: WorkerListKind::Failed,
                workers: Vec::new(),
            },
            1 => {
                let all = (0..WORKERS).map(|id| self.entry(id)).collect();
                Event::WorkerList {
                    kind: WorkerListKind::Full,
                    workers: all,
                }
            }
            _ => {
                let ids: Vec<u64> = (0..count).map(|_| self.below(WORKERS)).collect();
                let entries = ids.into_iter().map(|id| self.entry(id)).collect();
                Event::WorkerList {
                    kind: WorkerListKind::Delta,
                    workers: entries,
                }
            }
        };
        self.handle(event);
    }

    fn leave_client(&mut self) {
        if self.next_request > 0 {
            let offset = self.below(12).min(self.next_request - 1);
            self.handle(Event::ClientLeft(RequestId(self.next_request - offset)));
        }
    }

    fn expire_timers(&mut self) {
        while let Some(i) = self.timers.iter().position(|(at, _)| *at <= self.now) {
            let (_, id) = self.timers.remove(i);
            self.handle(Event::TimerExpired(TimerId(id)));
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher
            .handle(Micros(self.now), event, &mut actions);
        for action in actions {
            self.actions += 1;
            let text = self.apply_action(action);
            let now = self.now;
            self.digest.add(&format!("{now} {text}\n"));
        }
    }

    /// Carries out an action and returns its text for the digest.
    fn apply_action(&mut self, action: Action) -> String {
        let mut text = String::new();
        let micros = |moment: Option<Micros>| moment.map_or("-".to_owned(), |m| m.0.to_string());
        match action {
            Action::Send {
                request: id,
                worker,
                send_before,
            } => {
                self.record_attempt(id, worker);
                write!(text, "send {} {} {}", id.0, worker.0, micros(send_before))
            }
            Action::Reject {
                request: id,
                retry_after,
            } => {
                write!(text, "refuse {} {}", id.0, micros(retry_after))
            }
            Action::Fail(id) => write!(text, "fail {}", id.0),
            Action::Cancel {
                request: id,
                attempt: number,
            } => write!(text, "cancel {} {number}", id.0),
            Action::Probe(worker) => {
                self.probes.push_back(worker);
                write!(text, "probe {}", worker.0)
            }
            Action::SetTimer {
                at,
                timer: TimerId(id),
            } => {
                self.timers.push((at.0, id));
                write!(text, "timer {} {id}", at.0)
            }
            Action::WatchWorkers => write!(text, "watch"),
        }
        .expect("writing to a string succeeds");
        text
    }

    fn record_attempt(&mut self, request: RequestId, worker: WorkerId) {
        let earlier = self.attempts_sent.iter_mut().find(|(id, _)| *id == request);
        let number = match earlier {
            Some((_, last_number)) => {
                *last_number += 1;
                *last_number
            }
            None => {
                self.attempts_sent.push((request, 0));
                0
            }
        };
        self.open_attempts.push(OpenAttempt {
            request,
            number,
            worker,
            sent_at: self.now,
        });
    }
}

fn class(idempotency: Idempotency, latency_objective: u64, kind: Option<u32>) -> Class {
    Class {
        idempotency,
        kind: kind.map(KindId),
        latency_objective: Micros(latency_objective),
        objective_stretch: 1.5,
        deadline: Micros(6 * SECOND),
    }
}

fn classes() -> Vec<Class> {
    let window = Micros(2 * SECOND);
    vec![
        class(Idempotency::Idempotent, 400 * MILLISECOND, None),
        class(
            Idempotency::Keyed {
                scope: DeduplicationScope::All,
                window,
            },
            700 * MILLISECOND,
            None,
        ),
        class(
            Idempotency::Keyed {
                scope: DeduplicationScope::Zone,
                window,
            },
            SECOND,
            None,
        ),
        class(
            Idempotency::Keyed {
                scope: DeduplicationScope::Cell,
                window,
            },
            SECOND,
            Some(1),
        ),
        class(Idempotency::NotIdempotent, 2 * SECOND, None),
    ]
}

fn tenants() -> Vec<Tenant> {
    let tenant = |quota, share| Tenant { quota, share };
    vec![
        tenant(Some(9.0), 0.5),
        tenant(Some(4.0), 0.3),
        tenant(None, 0.2),
    ]
}

fn base_settings(dispatchers: u32) -> Settings {
    Settings {
        dispatchers,
        index: dispatchers / 2,
        classes: classes(),
        load_reporting: LoadReporting::Piggybacked,
        reports_starts: true,
        ..Settings::default()
    }
}

/// The names and the settings of the histories.
fn variants() -> Vec<(&'static str, Settings)> {
    let mut variants = Vec::new();
    for (name, dispatchers) in [("3 dispatchers", 3), ("300 dispatchers", 300)] {
        let piggybacked = base_settings(dispatchers);
        let mut probing = piggybacked.clone();
        probing.load_reporting = LoadReporting::Probed;
        probing.limits.probes = true;
        let mut polled = probing.clone();
        polled.polls_worker_list = true;
        polled.tenants = tenants();
        let mut hedged = polled.clone();
        hedged.limits.hedging = true;
        hedged.limits.cancellation = true;
        hedged.zone = ZoneId(1);
        let mut without_reports = piggybacked.clone();
        without_reports.load_reporting = LoadReporting::Never;
        without_reports.reports_starts = false;
        without_reports.tenants = tenants();
        without_reports.limits.max_retry_after = None;
        variants.extend([
            (name, "carried reports, pushed list", piggybacked),
            (name, "probed reports, pushed list", probing),
            (name, "probed reports, polled list, tenants", polled),
            (name, "hedged requests, polled list, tenants", hedged),
            (name, "no reports, tenants", without_reports),
        ]);
    }
    let with_full_name = |(count, variant, settings): (&str, &str, Settings)| {
        let name: &'static str = Box::leak(format!("{count}, {variant}").into_boxed_str());
        (name, settings)
    };
    variants.into_iter().map(with_full_name).collect()
}

#[test]
fn decisions_match_the_recorded_digests() {
    let mut digests = String::new();
    for (name, settings) in variants() {
        for seed in SEEDS {
            let digest = History::new(&settings, seed).run();
            writeln!(digests, "{name}, seed {seed}: {digest}")
                .expect("writing to a string succeeds");
        }
    }
    insta::assert_snapshot!("decisions", digests);
}

/// Decisions also depend on the number of processes and on changed quotas.
#[test]
fn decisions_after_changed_quotas_and_processes_match_the_recorded_digests() {
    let mut digests = String::new();
    for seed in SEEDS {
        let mut settings = base_settings(3);
        settings.tenants = tenants();
        settings.limits.probes = true;
        let mut history = History::new(&settings, seed);
        history.dispatcher.set_processes(Micros(0), 2);
        let quotas = [Some(3.0), None, Some(20.0)];
        history.dispatcher.set_quotas(Micros(0), &quotas);
        writeln!(digests, "seed {seed}: {}", history.run()).expect("writing to a string succeeds");
    }
    insta::assert_snapshot!("decisions_after_changes", digests);
}
