//! The four rules, case by case.

mod common;
use common::*;
use marbledeck_dispatcher::*;

/// Every outcome by every idempotency: what comes after a first attempt at worker 0 of 8.
#[test]
fn retries_by_outcome_and_idempotency() {
    for idempotency in idempotencies() {
        for outcome in OUTCOMES {
            let mut rig = Rig::new(settings(idempotency), 8);
            let to = rig.place(0, 1);
            let next = sent(&rig.end(SECOND, 1, 0, to, outcome));
            let what = format!("{idempotency:?} after {outcome:?}");
            match idempotency {
                Idempotency::NotIdempotent if !outcome.never_ran() => {
                    assert_eq!(next, None, "{what}");
                }
                Idempotency::Keyed {
                    scope: DeduplicationScope::Cell,
                    ..
                } if !outcome.never_ran() => {
                    assert_eq!(next.map(|w| w.0 / 2), Some(to.0 / 2), "{what}");
                }
                Idempotency::Keyed {
                    scope: DeduplicationScope::Zone,
                    ..
                } if !outcome.never_ran() => {
                    assert_eq!(next.map(|w| w.0 / 4), Some(to.0 / 4), "{what}");
                }
                _ => assert!(next.is_some_and(|w| w != to), "{what}"),
            }
        }
    }
}

/// With nowhere left to go: rejected where that is true to the idempotency, else failed.
#[test]
fn the_final_answer_by_idempotency() {
    for idempotency in idempotencies() {
        for outcome in OUTCOMES {
            let mut rig = Rig::new(settings(idempotency), 1);
            let to = rig.place(0, 1);
            let last = rig.end(SECOND, 1, 0, to, outcome);
            let harmless = outcome.never_ran()
                || matches!(
                    idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DeduplicationScope::All,
                            ..
                        }
                );
            match &last[..] {
                [Action::Reject { .. }] => assert!(harmless, "{idempotency:?} {outcome:?}"),
                [Action::Fail(_)] => assert!(!harmless, "{idempotency:?} {outcome:?}"),
                other => panic!("{idempotency:?} {outcome:?}: {other:?}"),
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

/// A repeat may be in_flight up after it was decided: it carries the moment at which its idempotency allows
/// it no more.
#[test]
fn a_retry_carries_its_send_deadline() {
    for idempotency in idempotencies() {
        let mut rig = Rig::new(settings(idempotency), 8);
        let actions = rig.at(0, Event::JobReceived(job(1)));
        let Some(Action::Send {
            worker: to,
            send_before: None,
            ..
        }) = actions.iter().find(|a| matches!(a, Action::Send { .. }))
        else {
            panic!("{idempotency:?}: a first send may leave at any time: {actions:?}");
        };
        let next = rig.end(SECOND, 1, 0, *to, Outcome::Reset);
        let latest = next.iter().find_map(|action| match action {
            Action::Send {
                send_before: latest,
                ..
            } => Some(*latest),
            _ => None,
        });
        let wanted = match idempotency {
            Idempotency::Idempotent => Some(None),
            Idempotency::Keyed { window, .. } => Some(Some(window)),
            Idempotency::NotIdempotent => None,
        };
        assert_eq!(latest, wanted, "{idempotency:?}");
    }
}

/// Repeats are discarded where the first was seen: in the cell that its worker was in then.
#[test]
fn a_worker_that_moves_to_another_cell_takes_no_keys_along() {
    for seed in 0..20 {
        let idempotency = Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            window: Micros(5 * SECOND),
        };
        let mut rig = Rig::seeded(settings(idempotency), 8, seed);
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
fn a_job_that_fits_no_kind_is_rejected() {
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
fn a_failing_worker_is_ejected_and_tried_again() {
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
/// its ejection.
#[test]
fn a_good_probe_does_not_end_an_ejection() {
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
fn invalid_settings_and_reports() {
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
fn the_worker_list_is_polled_again_after_a_failure() {
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
    let probed = (0..60).find(|i| {
        rig.at(SECOND + i * SECOND / 10, Event::TimerExpired(TimerId(0))) == [Action::WatchWorkers]
    });
    assert!(probed.is_some_and(|i| i > 0), "later, not at once");
}
