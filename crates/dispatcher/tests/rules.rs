//! The four rules: case by case, then by random legal sequences against an independent checker.

mod common;
use common::*;
use marbledeck_dispatcher::*;
use std::collections::HashMap;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn effects() -> [Idempotency; 5] {
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

/// Every outcome by every effect: what comes after a first attempt at worker 0 of 8.
#[test]
fn outcomes_by_effect() {
    for effect in effects() {
        for outcome in OUTCOMES {
            let mut rig = Rig::new(settings(effect), 8);
            let to = rig.place(0, 1);
            let next = sent(&rig.end(SECOND, 1, 0, to, outcome));
            let what = format!("{effect:?} after {outcome:?}");
            match effect {
                Idempotency::NotIdempotent if !outcome.never_ran() => {
                    assert_eq!(next, None, "{what}")
                }
                Idempotency::Keyed {
                    scope: DeduplicationScope::Cell,
                    ..
                } if !outcome.never_ran() => {
                    assert_eq!(next.map(|w| w.0 / 2), Some(to.0 / 2), "{what}")
                }
                Idempotency::Keyed {
                    scope: DeduplicationScope::Zone,
                    ..
                } if !outcome.never_ran() => {
                    assert_eq!(next.map(|w| w.0 / 4), Some(to.0 / 4), "{what}")
                }
                _ => assert!(next.is_some_and(|w| w != to), "{what}"),
            }
        }
    }
}

/// With nowhere left to go: refused where that is true to the effect, else failed.
#[test]
fn the_last_answer_by_effect() {
    for effect in effects() {
        for outcome in OUTCOMES {
            let mut rig = Rig::new(settings(effect), 1);
            let to = rig.place(0, 1);
            let last = rig.end(SECOND, 1, 0, to, outcome);
            let harmless = outcome.never_ran()
                || matches!(
                    effect,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DeduplicationScope::All,
                            ..
                        }
                );
            match &last[..] {
                [Action::Reject { .. }] => assert!(harmless, "{effect:?} {outcome:?}"),
                [Action::Fail(_)] => assert!(!harmless, "{effect:?} {outcome:?}"),
                other => panic!("{effect:?} {outcome:?}: {other:?}"),
            }
        }
    }
}

#[test]
fn a_keyed_job_is_not_repeated_after_its_window() {
    let mut rig = Rig::new(
        settings(Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window: Micros(SECOND),
        }),
        8,
    );
    let to = rig.place(0, 1);
    assert_eq!(sent(&rig.end(2 * SECOND, 1, 0, to, Outcome::Reset)), None);
}

/// A repeat may be held up after it was decided: it carries the moment at which its effect allows
/// it no more.
#[test]
fn a_repeat_says_until_when_it_may_leave() {
    for effect in effects() {
        let mut rig = Rig::new(settings(effect), 8);
        let actions = rig.at(0, Event::JobReceived(job(1)));
        let Some(Action::Send {
            worker: to,
            send_before: None,
            ..
        }) = actions.iter().find(|a| matches!(a, Action::Send { .. }))
        else {
            panic!("{effect:?}: a first send may leave at any time: {actions:?}");
        };
        let next = rig.end(SECOND, 1, 0, *to, Outcome::Reset);
        let latest = next.iter().find_map(|action| match action {
            Action::Send {
                send_before: latest,
                ..
            } => Some(*latest),
            _ => None,
        });
        let wanted = match effect {
            Idempotency::Idempotent => Some(None),
            Idempotency::Keyed { window, .. } => Some(Some(window)),
            Idempotency::NotIdempotent => None,
        };
        assert_eq!(latest, wanted, "{effect:?}");
    }
}

/// Repeats are discarded where the first was seen: in the cell that its worker was in then.
#[test]
fn a_worker_that_moves_to_another_cell_takes_no_keys_along() {
    for seed in 0..20 {
        let effect = Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            window: Micros(5 * SECOND),
        };
        let mut rig = Rig::seeded(settings(effect), 8, seed);
        let to = rig.place(0, 1);
        let moved = WorkerEntry {
            cell: Some(CellId(99)),
            ..worker(to.0 as u32)
        };
        rig.at(
            10,
            Event::WorkerList {
                kind: WorkerListKind::Delta,
                workers: vec![moved],
            },
        );
        let next = sent(&rig.end(SECOND, 1, 0, to, Outcome::Reset));
        assert_eq!(next.map(|w| w.0 / 2), Some(to.0 / 2), "seed {seed}");
    }
}

#[test]
fn the_deadline_ends_a_request_at_once() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 8);
    let to = rig.place(0, 1);
    let last = rig.end(10 * SECOND, 1, 0, to, Outcome::TimedOut);
    assert!(matches!(last[..], [Action::Reject { .. }]), "{last:?}");
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 8);
    let to = rig.place(0, 1);
    assert_eq!(rig.at(10, Event::ClientLeft(RequestId(1))), []);
    assert_eq!(rig.end(20, 1, 0, to, Outcome::Rejected), []);
    assert_eq!(
        rig.end(30, 1, 0, to, Outcome::Rejected),
        [],
        "unknown by now"
    );
    assert_eq!(
        rig.at(
            40,
            Event::AttemptStarted {
                request: RequestId(9),
                attempt: 3
            }
        ),
        []
    );
}

#[test]
fn attempts_stay_within_the_limit() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 8);
    let mut to = rig.place(0, 1);
    for go in 0..2 {
        to = sent(&rig.end(10, 1, go, to, Outcome::Rejected)).expect("three attempts");
    }
    assert!(matches!(
        rig.end(20, 1, 2, to, Outcome::Rejected)[..],
        [Action::Reject { .. }]
    ));
}

#[test]
fn drains_by_delta_full_list_and_restart() {
    let draining = |state| WorkerEntry { state, ..worker(0) };
    for (kind, entries) in [
        (WorkerListKind::Delta, vec![draining(WorkerState::Draining)]),
        (WorkerListKind::Delta, vec![draining(WorkerState::Removed)]),
        (WorkerListKind::Full, vec![worker(1)]),
        (
            WorkerListKind::Cached,
            vec![draining(WorkerState::Draining), worker(1)],
        ),
    ] {
        for seed in 0..20 {
            let mut rig = Rig::seeded(settings(Idempotency::Idempotent), 2, seed);
            rig.report(0, 0, 9.0);
            rig.at(
                10,
                Event::WorkerList {
                    kind,
                    workers: entries.clone(),
                },
            );
            assert_eq!(rig.place(20, 1), WorkerId(1));
        }
    }
}

#[test]
fn a_job_that_fits_no_kind_is_refused() {
    let mut s = settings(Idempotency::NotIdempotent);
    s.classes[0].kind = Some(KindId(3));
    let mut rig = Rig::new(s, 4);
    assert!(matches!(
        rig.at(0, Event::JobReceived(job(1)))[..],
        [Action::Reject { .. }]
    ));
}

/// A cold worker of 4 slots, from 0.25 within 8 s, factor 4, window 1 s, 2 dispatchers: at its
/// start this dispatcher's part of half a window is 4 * 0.25 * 4 * 1 / 2 / 2 = 1 slot-second,
/// though it reports free slots.
#[test]
fn a_cold_worker_gets_its_budget_and_no_more() {
    let mut s = settings(Idempotency::Idempotent);
    s.dispatchers = 2;
    s.classes[0].latency_objective = Micros(SECOND / 2); // the first guess of a job's length
    s.rules.initial_capacity = 0.25;
    s.rules.overload_factor = 4.0;
    s.rules.warm_up = Micros(8 * SECOND);
    let s = tenants(s, &[1000.0]);
    let sends = |slots: f64| {
        let mut rig = Rig::new(s.clone(), 0);
        let cold = WorkerEntry {
            started_at: Some(Micros(100 * SECOND)),
            ..worker(0)
        };
        rig.at(
            100 * SECOND,
            Event::WorkerList {
                kind: WorkerListKind::Full,
                workers: vec![cold],
            },
        );
        rig.report(100 * SECOND, 0, 4.0);
        let big = |id| Job { slots, ..job(id) };
        (0..20)
            .filter(|&id| sent(&rig.at(100 * SECOND, Event::JobReceived(big(id)))).is_some())
            .count()
    };
    assert_eq!(sends(1.0), 2, "a burst of half-second jobs");
    assert_eq!(sends(2.0), 1, "jobs of two slots");
    assert_eq!(sends(3.0), 0, "a job over the whole part");
}

#[test]
fn a_failing_worker_is_left_alone_and_tried_again() {
    let mut rig = Rig::new(tenants(settings(Idempotency::Idempotent), &[1000.0]), 2);
    let bad = rig.place(0, 1);
    rig.end(10, 1, 0, bad, Outcome::Failed);
    rig.end(20, 1, 1, WorkerId(1 - bad.0), Outcome::Served);
    let mut met = 0;
    for id in 2..40 {
        let to = rig.place(id * SECOND / 10, id);
        rig.end(id * SECOND / 10, id, 0, to, Outcome::Served);
        assert!(to != bad || id > 5, "left alone for half a second");
        met += u32::from(to == bad);
    }
    assert!(met > 0, "and tried again");
}

/// Guards against a worker that fails jobs fast and answers probes well: a good probe does not end
/// its rest.
#[test]
fn a_good_probe_does_not_end_a_rest() {
    let mut rig = Rig::new(tenants(settings(Idempotency::Idempotent), &[1000.0]), 2);
    (0..2).for_each(|w| rig.report(0, w, 4.0));
    let bad = rig.place(0, 1);
    rig.end(10, 1, 0, bad, Outcome::Failed);
    rig.end(20, 1, 1, WorkerId(1 - bad.0), Outcome::Served);
    rig.report(30, bad.0 as u32, 4.0);
    for id in 2..12 {
        let to = rig.place(id * 10_000, id);
        assert_ne!(to, bad);
        rig.end(id * 10_000 + 50, id, 0, to, Outcome::Served);
    }
}

#[test]
fn nonsense_settings_and_reports() {
    let bad = |change: fn(&mut Settings)| {
        let mut s = tenants(settings(Idempotency::Idempotent), &[1.0]);
        change(&mut s);
        Dispatcher::new(s, 1, Micros(0)).err().is_some()
    };
    assert!(bad(|s| s.dispatchers = 0));
    assert!(bad(|s| s.classes.clear()));
    assert!(bad(|s| s.tenants[0].quota = Some(-1.0)));
    assert!(bad(|s| s.tenants[0].share = f64::NAN));
    assert!(bad(|s| s.rules.initial_capacity = 2.0));
    assert!(!bad(|_| ()));
    let mut rig = Rig::new(tenants(settings(Idempotency::Idempotent), &[100.0]), 2);
    for free in [f64::NAN, f64::INFINITY, -5.0] {
        rig.report(0, 0, free);
    }
    rig.place(0, 1);
    let odd = Job {
        class: ClassId(9),
        ..job(2)
    };
    assert_eq!(
        rig.at(0, Event::JobReceived(odd)),
        [Action::Fail(RequestId(2))]
    );
    let odd = Job {
        slots: f64::NAN,
        tenant: TenantId(77),
        ..job(3)
    };
    assert_eq!(rig.at(SECOND, Event::JobReceived(odd)).len(), 1);
}

#[test]
fn the_list_is_asked_for_again_after_a_failure() {
    let mut s = settings(Idempotency::Idempotent);
    s.polls_worker_list = true;
    let mut rig = Rig::new(s, 1);
    assert!(rig.out.contains(&Action::WatchWorkers), "at the start");
    rig.at(
        SECOND,
        Event::WorkerList {
            kind: WorkerListKind::Failed,
            workers: Vec::new(),
        },
    );
    let asked = (0..60).find(|i| {
        rig.at(SECOND + i * SECOND / 10, Event::TimerExpired(TimerId(0))) == [Action::WatchWorkers]
    });
    assert!(asked.is_some_and(|i| i > 0), "later, not at once");
}

// Random sequences.

struct Open {
    attempts: Vec<(WorkerId, u64, Option<Outcome>)>,
    deadline: u64,
    ended: bool,
}

/// The four rules, written down again without the module's help.
struct Checker {
    effect: Idempotency,
    dispatchers: f64,
    open: HashMap<u64, Open>,
    state: HashMap<WorkerId, (WorkerState, Option<u64>)>,
    cold: Vec<(WorkerId, u64, f64)>,
    broken: Vec<String>,
}

impl Checker {
    fn check(&mut self, now: u64, actions: &[Action], slots: f64) {
        for action in actions {
            match action {
                Action::Send {
                    request: id,
                    worker: to,
                    ..
                } => self.send(now, id.0, *to, slots),
                Action::Reject { request: id, .. } => {
                    let request = self.open.get_mut(&id.0).unwrap();
                    let ran = request
                        .attempts
                        .iter()
                        .any(|(_, _, o)| !o.is_some_and(|o| o.never_ran()));
                    let free = matches!(
                        self.effect,
                        Idempotency::Idempotent
                            | Idempotency::Keyed {
                                scope: DeduplicationScope::All,
                                ..
                            }
                    );
                    if ran && !free || request.ended {
                        self.broken.push(format!("refused {id:?}"));
                    }
                    request.ended = true;
                }
                Action::Fail(id) => {
                    let request = self.open.get_mut(&id.0).unwrap();
                    if std::mem::replace(&mut request.ended, true) {
                        self.broken.push(format!("answered twice {id:?}"));
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: u64, id: u64, to: WorkerId, slots: f64) {
        let request = self.open.get_mut(&id).unwrap();
        if request.ended || now >= request.deadline {
            self.broken.push(format!("sent after the end: {id}"));
        }
        if request.attempts.iter().any(|(_, _, o)| o.is_none()) {
            self.broken.push(format!("two copies of {id}"));
        }
        let ran = |a: &&(WorkerId, u64, Option<Outcome>)| !a.2.is_some_and(|o| o.never_ran());
        if let Some((first, sent, _)) = request.attempts.iter().find(ran) {
            let allowed = match self.effect {
                Idempotency::Idempotent => true,
                Idempotency::NotIdempotent => false,
                Idempotency::Keyed {
                    scope: group,
                    window,
                } => {
                    let part = match group {
                        DeduplicationScope::All => u64::MAX,
                        DeduplicationScope::Zone => 4,
                        DeduplicationScope::Cell => 2,
                    };
                    first.0 / part == to.0 / part && now - sent < window.0
                }
            };
            if !allowed {
                self.broken.push(format!("effect twice: {id}"));
            }
        }
        let (state, started) = self.state[&to];
        if state != WorkerState::Ready {
            self.broken
                .push(format!("sent to {to:?} which is {state:?}"));
        }
        // Half-second jobs at the least, 4 slots: the part of a window (factor 2, 1 s) from the
        // start on.
        if let Some(started) = started.filter(|s| now - s < 8 * SECOND) {
            let share = 0.25 + 0.75 * (now - started) as f64 / (8.0 * SECOND as f64);
            self.cold.push((to, now, slots * 0.5));
            let recent = self
                .cold
                .iter()
                .filter(|c| c.0 == to && now - c.1 <= SECOND && c.1 >= started);
            if recent.map(|c| c.2).sum::<f64>() > 2.0 * share * 4.0 / self.dispatchers + 1e-9 {
                self.broken.push(format!("pushed {to:?} over"));
            }
        }
        request.attempts.push((to, now, None));
    }
}

/// Plays a random legal sequence and gives what it broke. `corrupt` may falsify what the module
/// sees, to show that the checker notices.
fn play(effect: Idempotency, seed: u64, corrupt: fn(&mut Event)) -> Vec<String> {
    let mut rng = oorandom::Rand64::new(u128::from(seed));
    let mut s = tenants(settings(effect), &[200.0, 100.0]);
    s.dispatchers = 2;
    s.rules.initial_capacity = 0.25;
    s.rules.warm_up = Micros(8 * SECOND);
    s.classes[0].latency_objective = Micros(SECOND / 10);
    let mut rig = Rig::seeded(s, 8, seed);
    let mut checker = Checker {
        effect,
        dispatchers: 2.0,
        open: HashMap::new(),
        state: (0..8)
            .map(|w| (WorkerId(w), (WorkerState::Ready, None)))
            .collect(),
        cold: Vec::new(),
        broken: Vec::new(),
    };
    let mut out: Vec<(u64, u32, WorkerId)> = Vec::new();
    let mut now = SECOND;
    for id in 0..4000u64 {
        now += rng.rand_range(0..20_000);
        let w = rng.rand_range(0..8);
        let mut event = match rng.rand_range(0..10) {
            0..=3 => {
                let left = rng.rand_range(0..3 * SECOND);
                let request = Open {
                    attempts: Vec::new(),
                    deadline: now + left,
                    ended: false,
                };
                checker.open.insert(id, request);
                Event::JobReceived(Job {
                    time_left: Micros(left),
                    expected_work: Some(Micros(SECOND / 2)),
                    tenant: TenantId(w as u32 % 2),
                    ..job(id)
                })
            }
            4 => {
                let report = LoadReport {
                    free_slots: Some(4.0),
                    ..LoadReport::default()
                };
                Event::ProbeEnded {
                    worker: WorkerId(w),
                    outcome: Outcome::Served,
                    report: Some(report),
                }
            }
            5 if rng.rand_range(0..4) == 0 => {
                let state = [
                    WorkerState::Ready,
                    WorkerState::Draining,
                    WorkerState::Ready,
                ][rng.rand_range(0..3) as usize];
                let started =
                    Some(now - rng.rand_range(0..SECOND)).filter(|_| state == WorkerState::Ready);
                checker.state.insert(WorkerId(w), (state, started));
                let entry = WorkerEntry {
                    state,
                    started_at: started.map(Micros),
                    ..worker(w as u32)
                };
                Event::WorkerList {
                    kind: WorkerListKind::Delta,
                    workers: vec![entry],
                }
            }
            6 => Event::TimerExpired(TimerId(0)),
            _ if out.is_empty() => Event::TimerExpired(TimerId(0)),
            n => {
                let (id, go, to) = out.swap_remove(rng.rand_range(0..out.len() as u64) as usize);
                let request = checker.open.get_mut(&id).unwrap();
                let outcome = match n {
                    _ if now >= request.deadline => Outcome::TimedOut,
                    7 | 8 => Outcome::Served,
                    _ => OUTCOMES[rng.rand_range(0..7) as usize],
                };
                let closed = request.ended || outcome == Outcome::Served;
                request.ended |= closed;
                request.attempts[go as usize].2 = Some(outcome);
                Event::AttemptEnded(AttemptEnded {
                    request: RequestId(id),
                    attempt: go,
                    worker: to,
                    outcome,
                    request_closed: closed,
                    latency: Micros(100_000),
                    report: None,
                })
            }
        };
        corrupt(&mut event);
        let actions = rig.at(now, event);
        checker.check(now, &actions, 1.0);
        for action in actions {
            if let Action::Send {
                request: id,
                worker: to,
                ..
            } = action
            {
                out.push((id.0, checker.open[&id.0].attempts.len() as u32 - 1, to));
            }
        }
    }
    for (id, request) in &checker.open {
        if !request.ended && !out.iter().any(|o| o.0 == *id) {
            checker.broken.push(format!("{id} was left without an end"));
        }
    }
    checker.broken
}

#[test]
fn random_sequences_keep_the_rules() {
    for effect in effects() {
        for seed in 0..10 {
            assert_eq!(
                play(effect, seed, |_| ()),
                Vec::<String>::new(),
                "{effect:?} {seed}"
            );
        }
    }
}

/// The checker notices each kind of break: here the module is lied to, so that it acts against the
/// truth.
#[test]
fn the_checker_notices_broken_rules() {
    let noticed = |effect, what: &str, lie: fn(&mut Event)| {
        let broken = play(effect, 1, lie);
        assert!(
            broken.iter().any(|b| b.contains(what)),
            "{what}: {broken:?}"
        );
    };
    let lie_about_outcomes: fn(&mut Event) = |e| {
        if let Event::AttemptEnded(e) = e {
            e.outcome = Outcome::Rejected;
        }
    };
    noticed(
        Idempotency::NotIdempotent,
        "effect twice",
        lie_about_outcomes,
    );
    noticed(Idempotency::NotIdempotent, "refused", lie_about_outcomes);
    noticed(Idempotency::Idempotent, "sent after the end", |e| {
        if let Event::AttemptEnded(e) = e {
            e.request_closed = false;
            e.outcome = Outcome::Rejected;
        }
    });
    noticed(Idempotency::Idempotent, "which is Draining", |e| {
        if let Event::WorkerList {
            workers: entries, ..
        } = e
        {
            entries
                .iter_mut()
                .for_each(|e| e.state = WorkerState::Ready);
        }
    });
    noticed(Idempotency::Idempotent, "over", |e| {
        if let Event::WorkerList {
            workers: entries, ..
        } = e
        {
            entries.iter_mut().for_each(|e| e.started_at = None);
        }
    });
}
