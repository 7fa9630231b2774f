//! The rules on repeats, final answers, deadlines, draining, cold workers and ejection, case by case.

mod common;
use common::*;
use marbledeck_dispatcher::*;

/// For every outcome and every idempotency: whether and where a job is retried after its first
/// attempt.
#[test]
fn retries_by_outcome_and_idempotency() {
    for idempotency in idempotencies() {
        for outcome in OUTCOMES {
            let mut harness = Harness::new(settings(idempotency), 8);
            let to = harness.submit_and_send(0, 1);
            let next = first_send(&harness.end_attempt(SECOND, 1, 0, to, outcome));
            let case = format!("{idempotency:?} after {outcome:?}");
            match idempotency {
                Idempotency::NotIdempotent if !outcome.never_ran() => {
                    assert_eq!(next, None, "{case}");
                }
                Idempotency::Keyed {
                    scope: DeduplicationScope::Cell,
                    ..
                } if !outcome.never_ran() => {
                    assert_eq!(next.map(|w| w.0 / 2), Some(to.0 / 2), "{case}");
                }
                Idempotency::Keyed {
                    scope: DeduplicationScope::Zone,
                    ..
                } if !outcome.never_ran() => {
                    assert_eq!(next.map(|w| w.0 / 4), Some(to.0 / 4), "{case}");
                }
                _ => assert!(next.is_some_and(|w| w != to), "{case}"),
            }
        }
    }
}

/// Without another worker, a request is rejected if a retry by the client is harmless, else failed.
#[test]
fn final_answer_by_outcome_and_idempotency() {
    for idempotency in idempotencies() {
        for outcome in OUTCOMES {
            let mut harness = Harness::new(settings(idempotency), 1);
            let to = harness.submit_and_send(0, 1);
            let answer = harness.end_attempt(SECOND, 1, 0, to, outcome);
            let is_harmless = outcome.never_ran()
                || matches!(
                    idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DeduplicationScope::All,
                            ..
                        }
                );
            match &answer[..] {
                [Action::Reject { .. }] => assert!(is_harmless, "{idempotency:?} {outcome:?}"),
                [Action::Fail(_)] => assert!(!is_harmless, "{idempotency:?} {outcome:?}"),
                other => panic!("{idempotency:?} {outcome:?}: {other:?}"),
            }
        }
    }
}

#[test]
fn a_keyed_job_is_not_repeated_after_its_window() {
    let mut harness = Harness::new(
        settings(Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window: Micros(SECOND),
        }),
        8,
    );
    let to = harness.submit_and_send(0, 1);
    assert_eq!(
        first_send(&harness.end_attempt(2 * SECOND, 1, 0, to, Outcome::Reset)),
        None
    );
}

/// A retry may be delayed between the decision and the send, so its action carries the time from
/// which the idempotency forbids it.
#[test]
fn a_retry_carries_its_send_deadline() {
    for idempotency in idempotencies() {
        let mut harness = Harness::new(settings(idempotency), 8);
        let actions = harness.handle(0, Event::JobReceived(job(1)));
        let Some(Action::Send {
            worker: to,
            send_before: None,
            ..
        }) = actions.iter().find(|a| matches!(a, Action::Send { .. }))
        else {
            panic!(
                "{idempotency:?}: a first attempt has a send deadline or was not sent: {actions:?}"
            );
        };
        let next = harness.end_attempt(SECOND, 1, 0, *to, Outcome::Reset);
        let latest = next.iter().find_map(|action| match action {
            Action::Send {
                send_before: latest,
                ..
            } => Some(*latest),
            _ => None,
        });
        let expected = match idempotency {
            Idempotency::Idempotent => Some(None),
            Idempotency::Keyed { window, .. } => Some(Some(window)),
            Idempotency::NotIdempotent => None,
        };
        assert_eq!(latest, expected, "{idempotency:?}");
    }
}

/// Workers discard repeats in the cell that the first worker belonged to at the time of the send, so
/// retries go to that cell even if the worker has moved to another one.
#[test]
fn a_worker_that_moves_to_another_cell_takes_no_keys_along() {
    for seed in 0..20 {
        let idempotency = Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            window: Micros(5 * SECOND),
        };
        let mut harness = Harness::seeded(settings(idempotency), 8, seed);
        let to = harness.submit_and_send(0, 1);
        let moved = WorkerEntry {
            cell: Some(CellId(99)),
            ..worker(to.0 as u32)
        };
        harness.handle(
            10,
            Event::WorkerList {
                kind: WorkerListKind::Delta,
                workers: vec![moved],
            },
        );
        let next = first_send(&harness.end_attempt(SECOND, 1, 0, to, Outcome::Reset));
        assert_eq!(next.map(|w| w.0 / 2), Some(to.0 / 2), "seed {seed}");
    }
}

#[test]
fn a_request_ends_at_its_deadline() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), 8);
    let to = harness.submit_and_send(0, 1);
    let answer = harness.end_attempt(10 * SECOND, 1, 0, to, Outcome::TimedOut);
    assert!(matches!(answer[..], [Action::Reject { .. }]), "{answer:?}");
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), 8);
    let to = harness.submit_and_send(0, 1);
    assert_eq!(harness.handle(10, Event::ClientLeft(RequestId(1))), []);
    assert_eq!(harness.end_attempt(20, 1, 0, to, Outcome::Rejected), []);
    assert_eq!(
        harness.end_attempt(30, 1, 0, to, Outcome::Rejected),
        [],
        "an ended attempt of a closed request is ignored"
    );
    assert_eq!(
        harness.handle(
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
fn attempts_do_not_exceed_the_limit() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), 8);
    let mut to = harness.submit_and_send(0, 1);
    for attempt in 0..2 {
        to = first_send(&harness.end_attempt(10, 1, attempt, to, Outcome::Rejected))
            .expect("three attempts are allowed");
    }
    assert!(matches!(
        harness.end_attempt(20, 1, 2, to, Outcome::Rejected)[..],
        [Action::Reject { .. }]
    ));
}

#[test]
fn draining_and_removed_workers_receive_nothing() {
    let worker_in = |state| WorkerEntry { state, ..worker(0) };
    for (kind, entries) in [
        (
            WorkerListKind::Delta,
            vec![worker_in(WorkerState::Draining)],
        ),
        (WorkerListKind::Delta, vec![worker_in(WorkerState::Removed)]),
        (WorkerListKind::Full, vec![worker(1)]),
        (
            WorkerListKind::Cached,
            vec![worker_in(WorkerState::Draining), worker(1)],
        ),
    ] {
        for seed in 0..20 {
            let mut harness = Harness::seeded(settings(Idempotency::Idempotent), 2, seed);
            harness.report(0, 0, 9.0);
            harness.handle(
                10,
                Event::WorkerList {
                    kind,
                    workers: entries.clone(),
                },
            );
            assert_eq!(harness.submit_and_send(20, 1), WorkerId(1));
        }
    }
}

#[test]
fn a_job_that_fits_no_kind_is_rejected() {
    let mut s = settings(Idempotency::NotIdempotent);
    s.classes[0].kind = Some(KindId(3));
    let mut harness = Harness::new(s, 4);
    assert!(matches!(
        harness.handle(0, Event::JobReceived(job(1)))[..],
        [Action::Reject { .. }]
    ));
}

/// A cold worker of 4 slots has an initial capacity of 0.25, a warm-up of 8 s, an overload factor of
/// 4 and a window of 1 s. Half of its budget is used and shared by 2 dispatchers, so each may send
/// 4 * 0.25 * 4 * 1 / 2 / 2 = 1 slot-second at its start, though the worker reports 4 free slots.
#[test]
fn a_cold_worker_gets_no_more_than_its_budget() {
    let mut s = settings(Idempotency::Idempotent);
    s.dispatchers = 2;
    s.classes[0].latency_objective = Micros(SECOND / 2); // initial estimate of the run time
    s.rules.initial_capacity = 0.25;
    s.rules.overload_factor = 4.0;
    s.rules.warm_up = Micros(8 * SECOND);
    let s = with_tenants(s, &[1000.0]);
    let sent_jobs = |slots: f64| {
        let mut harness = Harness::new(s.clone(), 0);
        let cold = WorkerEntry {
            started_at: Some(Micros(100 * SECOND)),
            ..worker(0)
        };
        harness.handle(
            100 * SECOND,
            Event::WorkerList {
                kind: WorkerListKind::Full,
                workers: vec![cold],
            },
        );
        harness.report(100 * SECOND, 0, 4.0);
        let job_of_slots = |id| Job { slots, ..job(id) };
        (0..20)
            .filter(|&id| {
                first_send(&harness.handle(100 * SECOND, Event::JobReceived(job_of_slots(id))))
                    .is_some()
            })
            .count()
    };
    assert_eq!(sent_jobs(1.0), 2, "jobs of half a second and one slot");
    assert_eq!(sent_jobs(2.0), 1, "jobs of half a second and two slots");
    assert_eq!(
        sent_jobs(3.0),
        0,
        "a job that exceeds the share of the budget"
    );
}

#[test]
fn a_failing_worker_is_ejected_and_later_used_again() {
    let mut harness = Harness::new(
        with_tenants(settings(Idempotency::Idempotent), &[1000.0]),
        2,
    );
    let failing = harness.submit_and_send(0, 1);
    harness.end_attempt(10, 1, 0, failing, Outcome::Failed);
    harness.end_attempt(20, 1, 1, WorkerId(1 - failing.0), Outcome::Served);
    let mut sent_again = 0;
    for id in 2..40 {
        let to = harness.submit_and_send(id * SECOND / 10, id);
        harness.end_attempt(id * SECOND / 10, id, 0, to, Outcome::Served);
        assert!(to != failing || id > 5, "not ejected for half a second");
        sent_again += u32::from(to == failing);
    }
    assert!(sent_again > 0, "not used again after its ejection");
}

/// A worker may fail jobs quickly and still answer probes, so an answered probe does not end its
/// ejection.
#[test]
fn an_answered_probe_does_not_end_an_ejection() {
    let mut harness = Harness::new(
        with_tenants(settings(Idempotency::Idempotent), &[1000.0]),
        2,
    );
    (0..2).for_each(|w| harness.report(0, w, 4.0));
    let failing = harness.submit_and_send(0, 1);
    harness.end_attempt(10, 1, 0, failing, Outcome::Failed);
    harness.end_attempt(20, 1, 1, WorkerId(1 - failing.0), Outcome::Served);
    harness.report(30, failing.0 as u32, 4.0);
    for id in 2..12 {
        let to = harness.submit_and_send(id * 10_000, id);
        assert_ne!(to, failing);
        harness.end_attempt(id * 10_000 + 50, id, 0, to, Outcome::Served);
    }
}

#[test]
fn invalid_settings_are_errors_and_invalid_reports_are_ignored() {
    let is_rejected = |change: fn(&mut Settings)| {
        let mut s = with_tenants(settings(Idempotency::Idempotent), &[1.0]);
        change(&mut s);
        Dispatcher::new(s, 1, Micros(0)).err().is_some()
    };
    assert!(is_rejected(|s| s.dispatchers = 0));
    assert!(is_rejected(|s| s.classes.clear()));
    assert!(is_rejected(|s| s.tenants[0].quota = Some(-1.0)));
    assert!(is_rejected(|s| s.tenants[0].share = f64::NAN));
    assert!(is_rejected(|s| s.rules.initial_capacity = 2.0));
    assert!(!is_rejected(|_| ()));
    let mut harness = Harness::new(with_tenants(settings(Idempotency::Idempotent), &[100.0]), 2);
    for free in [f64::NAN, f64::INFINITY, -5.0] {
        harness.report(0, 0, free);
    }
    harness.submit_and_send(0, 1);
    let invalid = Job {
        class: ClassId(9),
        ..job(2)
    };
    assert_eq!(
        harness.handle(0, Event::JobReceived(invalid)),
        [Action::Fail(RequestId(2))]
    );
    let invalid = Job {
        slots: f64::NAN,
        tenant: TenantId(77),
        ..job(3)
    };
    assert_eq!(harness.handle(SECOND, Event::JobReceived(invalid)).len(), 1);
}

#[test]
fn the_worker_list_is_polled_again_after_a_failure() {
    let mut s = settings(Idempotency::Idempotent);
    s.polls_worker_list = true;
    let mut harness = Harness::new(s, 1);
    assert!(
        harness.out.contains(&Action::WatchWorkers),
        "a dispatcher watches the list at its start"
    );
    harness.handle(
        SECOND,
        Event::WorkerList {
            kind: WorkerListKind::Failed,
            workers: Vec::new(),
        },
    );
    let polled_after = (0..60).find(|i| {
        harness.handle(SECOND + i * SECOND / 10, Event::TimerExpired(TimerId(0)))
            == [Action::WatchWorkers]
    });
    assert!(
        polled_after.is_some_and(|i| i > 0),
        "polled at once or not at all after the failure"
    );
}
