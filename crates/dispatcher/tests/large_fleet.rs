//! Hundreds of workers and dispatchers, each dispatcher with a thin view.

mod common;
use common::*;
use marbledeck_dispatcher::*;

/// Settings as at full size: far more dispatchers than one hears of workers, probes and hedged requests
/// allowed.
fn large(idempotency: Idempotency, dispatchers: u32) -> Settings {
    let mut s = tenants(settings(idempotency), &[300.0, 300.0]);
    s.dispatchers = dispatchers;
    s.limits.probes = true;
    s.limits.cancellation = true;
    s.limits.hedging = true;
    s
}

fn probes(out: &[Action]) -> Vec<WorkerId> {
    let probe = |a: &Action| match a {
        Action::Probe(w) => Some(*w),
        _ => None,
    };
    out.iter().filter_map(probe).collect()
}

/// When the dispatcher wants to be woken, and the number to wake it with.
fn timer(out: &[Action]) -> Option<(u64, u64)> {
    out.iter().find_map(|action| match action {
        Action::SetTimer { at, timer } => Some((at.0, timer.0)),
        _ => None,
    })
}

fn job_of(id: u64, tenant: u32) -> Event {
    Event::JobReceived(Job {
        tenant: TenantId(tenant),
        ..job(id)
    })
}

/// Guards the price of probes: 500 workers are no reason for more of them than the jobs bring, and
/// without jobs there are none, nor timers.
#[test]
fn probes_and_timers_grow_with_the_jobs_and_not_with_the_fleet() {
    let count = |workers: u32| {
        let mut rig = Rig::new(large(Idempotency::Idempotent, 600), workers);
        assert!(rig.out.is_empty(), "a list alone brings nothing");
        let (mut probed, mut timers) = (0, 0);
        for id in 0..200u64 {
            let now = id * SECOND / 4;
            rig.at(now, job_of(id, id as u32 % 2));
            probed += probes(&rig.out).len();
            timers += rig
                .out
                .iter()
                .filter(|a| matches!(a, Action::SetTimer { .. }))
                .count();
            for w in probes(&rig.out.clone()) {
                rig.report(now + 5000, w.0 as u32, 4.0);
                timers += rig
                    .out
                    .iter()
                    .filter(|a| matches!(a, Action::SetTimer { .. }))
                    .count();
            }
            rig.at(
                now + 6000,
                Event::AttemptStarted {
                    request: RequestId(id),
                    attempt: 0,
                },
            );
        }
        (probed, timers)
    };
    for workers in [100, 500] {
        let (probed, timers) = count(workers);
        assert!(
            probed <= 200 * 4,
            "{workers} workers: {probed} probes for 200 jobs"
        );
        assert!(
            timers <= 200 * 2,
            "{workers} workers: {timers} timers for 200 jobs"
        );
    }
}

/// Guards against a blind draw: a job waits for all the answers and goes where there is most capacity.
/// Half of the jobs sent on a single free slot wait there, since others are sent on it too.
#[test]
fn a_job_waits_for_all_its_probes() {
    let mut rig = Rig::new(large(Idempotency::Idempotent, 600), 300);
    assert_eq!(rig.at(0, job_of(1, 0)), [], "probing");
    let probed = probes(&rig.out);
    assert_eq!(probed.len(), 4, "{probed:?}");
    // Reports are noisy: nine tenths of a slot is one.
    for (n, free) in [(0, 0.0), (1, 0.9), (2, 5.0)] {
        rig.report(5000 + n as u64, probed[n].0 as u32, free);
        assert_eq!(sent(&rig.out), None, "one has not answered");
    }
    rig.report(6000, probed[3].0 as u32, 0.0);
    assert_eq!(sent(&rig.out), Some(probed[2]));
}

/// What all dispatchers count together is known to those few only that probe in the same
/// milliseconds: the job goes to the freest of those counted, not to it in proportion, and not to
/// one that reported more capacity itself.
#[test]
fn a_job_goes_to_the_least_loaded_counted_worker() {
    for seed in 0..60 {
        let mut rig = Rig::seeded(large(Idempotency::Idempotent, 600), 300, seed);
        // Known since a moment ago, by its own report.
        rig.report(0, 299, 9.0);
        rig.at(1000, job_of(1, 0));
        let probed = probes(&rig.out);
        for (n, in_flight) in [1.0, 3.0, 2.0, 2.0].into_iter().enumerate() {
            rig.counted(5000, probed[n].0 as u32, in_flight);
        }
        assert_eq!(sent(&rig.out), Some(probed[0]), "seed {seed}");
    }
}

/// A slot of the own zone weighs two of another, whose crossing would have its price.
#[test]
fn the_least_loaded_worker_is_sought_in_the_own_zone_first() {
    let mut s = large(Idempotency::Idempotent, 600);
    s.zone = ZoneId(3);
    for (in_flight, to) in [(5.0, 12), (7.0, 10)] {
        // The walk of the probes begins after the seed; the own zone has 12 to 15.
        let mut rig = Rig::seeded(s.clone(), 300, 9);
        rig.at(0, job_of(1, 0));
        for (n, in_flight) in [3.0, 9.0, in_flight, 9.0].into_iter().enumerate() {
            rig.counted(5000, 10 + n as u32, in_flight);
        }
        assert_eq!(sent(&rig.out), Some(WorkerId(to)), "{in_flight} in_flight");
    }
}

/// What was counted a while ago is no capacity: at 300 dispatchers half of all jobs went to full
/// workers while the fleet was too small, by what their nodes remembered of them. The job probes
/// anew, also where most of the fleet had reported.
#[test]
fn old_counts_are_probed_for_anew() {
    for counted in [20, 300] {
        let mut rig = Rig::new(large(Idempotency::Idempotent, 600), 300);
        (0..counted).for_each(|w| rig.counted(0, w, 3.0));
        let mut now = SECOND / 5;
        rig.at(now, job_of(1, 0));
        assert_eq!(sent(&rig.out), None, "{counted} counted");
        for _ in 0..3 {
            let probed = probes(&rig.out);
            assert_eq!(probed.len(), 4, "{counted} counted: probes");
            let wake = timer(&rig.out);
            for worker in probed {
                rig.counted(now + 5000, worker.0 as u32, 12.0);
                assert_eq!(
                    sent(&rig.out),
                    None,
                    "{counted} counted: sent on what is old"
                );
            }
            let (at, n) = wake.expect("probes on");
            now = at;
            rig.at(now, Event::TimerExpired(TimerId(n)));
        }
        let probed = probes(&rig.out);
        for (n, worker) in probed.iter().enumerate() {
            let in_flight = if n == 2 { 8.0 } else { 9.0 };
            rig.counted(now + 5000, worker.0 as u32, in_flight);
        }
        assert_eq!(sent(&rig.out), Some(probed[2]));
    }
}

/// Where no worker has capacity every job probes, for nothing, and that is a load as well: each round
/// comes at twice the time since the first, so that a job that finds none probes four times, not six,
/// and is given up after four tenths of what its slack.
#[test]
fn a_job_that_finds_no_free_slot_probes_with_backoff() {
    let mut rig = Rig::new(large(Idempotency::Idempotent, 600), 300);
    rig.at(0, job_of(1, 0));
    let mut probed = vec![];
    loop {
        let now = probed.last().map_or(0, |(_, at)| *at);
        let wake = timer(&rig.out);
        let Some((at, n)) = wake else {
            break;
        };
        probed.push((probes(&rig.out).len(), at));
        for worker in probes(&rig.out.clone()) {
            rig.counted(now + 5000, worker.0 as u32, 12.0);
        }
        rig.at(at, Event::TimerExpired(TimerId(n)));
    }
    let first = probed[0].1;
    let at: Vec<u64> = probed.iter().map(|(_, at)| at / first).collect();
    assert_eq!(at, [1, 2, 4, 8]);
    assert!(probed.iter().all(|(probes, _)| *probes == 4), "{probed:?}");
    assert!(
        matches!(rig.out[..], [Action::Reject { .. }]),
        "{:?}",
        rig.out
    );
}

/// Where none of them has capacity, the job goes to the first that shows some.
#[test]
fn a_probing_job_goes_when_any_worker_has_a_free_slot() {
    let mut rig = Rig::new(large(Idempotency::Idempotent, 600), 300);
    rig.at(0, job_of(1, 0));
    for w in probes(&rig.out.clone()) {
        rig.report(5000, w.0 as u32, 0.0);
        assert_eq!(sent(&rig.out), None);
    }
    rig.report(9000, 299, 1.0);
    assert_eq!(sent(&rig.out), Some(WorkerId(299)));
}

/// A job probes others while none has capacity, and is given up well before it is late: in a worker's
/// queue it would be in the way of jobs that can still be in time. It says when to come back, and
/// probes no longer than its client waits.
#[test]
fn a_probing_job_probes_on_and_is_rejected_in_good_time() {
    for (left, latest) in [(10 * SECOND, SECOND), (SECOND / 5, SECOND / 5), (1, 1)] {
        let mut rig = Rig::new(large(Idempotency::Idempotent, 600), 300);
        let time_left = Micros(left);
        rig.at(
            0,
            Event::JobReceived(Job {
                time_left,
                ..job(1)
            }),
        );
        let (mut now, mut rounds) = (0, 0);
        let answer = loop {
            for w in probes(&rig.out.clone()) {
                let timers = rig.out.clone();
                rig.report(now, w.0 as u32, 0.0);
                assert_eq!(sent(&rig.out), None);
                rig.out = timers;
            }
            let wake = timer(&rig.out);
            let (at, n) = wake.expect("probes on");
            (now, rounds) = (at, rounds + 1);
            assert!(rounds < 50, "without end");
            if let Some(last) = rig.at(at, Event::TimerExpired(TimerId(n))).first() {
                break last.clone();
            }
        };
        assert!(
            matches!(
                answer,
                Action::Reject {
                    retry_after: Some(_),
                    ..
                }
            ),
            "{answer:?}"
        );
        assert!(now <= latest, "{now}");
        assert!(rounds > 2 || left < SECOND, "{rounds} rounds");
    }
}

/// Guards against waiting at a worker that has failed: a job that has not started goes to one with
/// capacity and the first attempt is cancelled; only where hedging is allowed, and only there. A hedge
/// does not take the first one back: where every queued job is hedged, the hedges of 100
/// dispatchers make the next jobs wait.
#[test]
fn a_queued_job_is_hedged_away_from_a_failed_worker() {
    let group = Idempotency::Keyed {
        scope: DeduplicationScope::Cell,
        window: Micros(9 * SECOND),
    };
    for (idempotency, hedging, fails, moves) in [
        (Idempotency::Idempotent, true, true, true),
        (group, true, true, true),
        (Idempotency::Idempotent, true, false, false),
        (Idempotency::Idempotent, false, true, false),
        (Idempotency::NotIdempotent, true, true, false),
    ] {
        let mut s = large(idempotency, 600);
        s.limits.hedging = hedging;
        let mut rig = Rig::new(s, 4);
        (0..4).for_each(|w| rig.report(0, w, 1.0));
        let first = rig.place(0, 1);
        if fails {
            rig.at(
                SECOND / 4,
                Event::ProbeEnded {
                    worker: first,
                    outcome: Outcome::TimedOut,
                    report: None,
                },
            );
        }
        rig.at(SECOND / 2, Event::TimerExpired(TimerId(1)));
        let mut moved = None;
        for w in (0..4).filter(|w| u64::from(*w) != first.0) {
            rig.report(SECOND / 2 + 5000, w, 1.0);
            if let Some(to) = sent(&rig.out) {
                moved = Some(to);
                assert!(rig.out.contains(&Action::Cancel {
                    request: RequestId(1),
                    attempt: 0
                }));
            }
        }
        assert_eq!(moved.is_some(), moves, "{idempotency:?} {hedging} {fails}");
        if let (Idempotency::Keyed { .. }, Some(to)) = (idempotency, moved) {
            assert_eq!(to.0 / 2, first.0 / 2, "within its cell");
        }
    }
}

/// Guards the fourth rule at size: a part of a cold worker's budget is below one job, so some of
/// 200 dispatchers may send a whole one and the sum stays within the budget. They are others in
/// each window: a worker that has to wait for the same few finds them without a job, and stays idle
/// while it warms up.
#[test]
fn the_parts_of_all_dispatchers_keep_a_cold_workers_budget_and_use_it() {
    for id in [0, 7, 123] {
        let mut s = large(Idempotency::Idempotent, 200);
        s.limits.probes = false;
        s.classes[0].latency_objective = Micros(SECOND / 2); // the first guess of a job's length
        s.rules.initial_capacity = 0.25;
        s.rules.warm_up = Micros(800 * SECOND);
        let start = 100 * SECOND;
        let mut rigs: Vec<Rig> = (0..200)
            .map(|index| {
                let mut rig = Rig::new(Settings { index, ..s.clone() }, 0);
                let cold = WorkerEntry {
                    started_at: Some(Micros(start)),
                    ..worker(id)
                };
                rig.at(
                    start,
                    Event::WorkerList {
                        kind: WorkerListKind::Full,
                        workers: vec![cold],
                    },
                );
                rig
            })
            .collect();
        let mut senders = std::collections::BTreeSet::new();
        for window in 0..8 {
            let now = start + window * SECOND;
            let mut sum = 0;
            for (index, rig) in rigs.iter_mut().enumerate() {
                rig.report(now, id, 4.0);
                for n in 0..4 {
                    let n = 10 * window + n;
                    if sent(&rig.at(now, job_of(n, n as u32 % 2))).is_some() {
                        rig.end(now, n, 0, WorkerId(id.into()), Outcome::Served);
                        sum += 1;
                        senders.insert(index);
                    }
                }
            }
            // Factor 2, a quarter of 4 slots, one second: four half-second jobs.
            assert_eq!(sum, 4, "worker {id}, window {window}");
        }
        assert!(senders.len() >= 16, "always the same {senders:?}");
    }
}

/// However many dispatchers there are, and wherever a window begins: all of them together send a
/// cold worker no more than its budget of calls and what the rule puts down to chance, though each
/// has a job for it at all times.
#[test]
fn no_window_of_a_cold_worker_holds_more_than_its_budget_and_chance() {
    const STEP: u64 = SECOND / 40;
    for dispatchers in [3, 20, 30, 300] {
        for budget in [1, 2, 4, 8, 15, 20, 25, 29, 40, 60, 150] {
            let mut s = large(Idempotency::Idempotent, dispatchers);
            s.limits.probes = false;
            // Factor 2, a quarter of 4 slots, one second: two slot-seconds, in so many jobs.
            s.classes[0].latency_objective = Micros(2 * SECOND / budget);
            s.rules.initial_capacity = 0.25;
            s.rules.warm_up = Micros(8000 * SECOND);
            let start = 100 * SECOND;
            let mut rigs: Vec<Rig> = (0..dispatchers)
                .map(|index| {
                    let mut rig = Rig::new(Settings { index, ..s.clone() }, 0);
                    let cold = WorkerEntry {
                        started_at: Some(Micros(start)),
                        ..worker(7)
                    };
                    rig.at(
                        start,
                        Event::WorkerList {
                            kind: WorkerListKind::Full,
                            workers: vec![cold],
                        },
                    );
                    rig
                })
                .collect();
            let mut sends = Vec::new();
            for step in 0..200 {
                let now = start + step * STEP;
                for rig in &mut rigs {
                    rig.report(now, 7, 4.0);
                    while sent(&rig.at(now, job_of(step, 0))).is_some() {
                        rig.end(now, step, 0, WorkerId(7), Outcome::Cancelled);
                        sends.push(now);
                    }
                }
            }
            let budget = budget as f64;
            let most = budget + 2.0 * budget.sqrt() + 2.0;
            let in_window = |from: u64| {
                sends
                    .iter()
                    .filter(|at| (from..from + SECOND).contains(at))
                    .count()
            };
            let fullest = sends.iter().map(|from| in_window(*from)).max();
            let fullest = fullest.unwrap_or(0) as f64;
            assert!(
                fullest <= most,
                "{dispatchers} dispatchers, {budget} calls: {fullest} in a window"
            );
            let mean = sends.len() as f64 / 5.0;
            let few = f64::min(budget / 3.0, f64::from(dispatchers) / 2.0);
            assert!(
                mean >= few,
                "{dispatchers} dispatchers, {budget} calls: {mean} in the mean"
            );
        }
    }
}

/// A dispatcher that has just started has forgotten what it sent to a cold worker, so it waits a
/// window.
#[test]
fn a_restarted_dispatcher_sends_a_cold_worker_nothing_at_first() {
    let mut s = large(Idempotency::Idempotent, 1);
    s.limits.probes = false;
    let mut rig = Rig::new(s, 0);
    let cold = |now| {
        let started = Some(Micros(now));
        Event::WorkerList {
            kind: WorkerListKind::Full,
            workers: vec![WorkerEntry {
                started_at: started,
                ..worker(0)
            }],
        }
    };
    rig.at(0, cold(0));
    rig.report(0, 0, 40.0);
    assert_eq!(sent(&rig.at(SECOND / 2, job_of(1, 0))), None);
    rig.report(2 * SECOND, 0, 40.0);
    assert!(sent(&rig.at(2 * SECOND, job_of(2, 0))).is_some());
}

/// Guards against old reports that open every dispatcher's gate at once: a flooding tenant's
/// uncharged jobs take turns, and those of another tenant do not wait for them.
#[test]
fn uncharged_jobs_of_a_tenant_take_turns() {
    let mut s = tenants(settings(Idempotency::Idempotent), &[0.01, 0.01]);
    s.dispatchers = 100;
    let mut rig = Rig::new(s, 40);
    for w in 0..40 {
        rig.report(0, w, 4.0);
    }
    let now = SECOND / 2;
    let mut passed = [0; 2];
    for id in 0..20 {
        let tenant = usize::from(id >= 15);
        if let Some(to) = sent(&rig.at(now, job_of(id, tenant as u32))) {
            passed[tenant] += 1;
            assert!(to.0 < 40);
            rig.at(
                now,
                Event::AttemptStarted {
                    request: RequestId(id),
                    attempt: 0,
                },
            );
        }
    }
    // One token at the start for the first, then one turn each.
    assert_eq!(passed, [2, 1]);
}

/// Overload is detected by the few workers where own attempts were; one that has only just been sent to is
/// no evidence of the contrary, and one that shows capacity is.
#[test]
fn overload_is_detected_from_few_reports() {
    let mut s = large(Idempotency::NotIdempotent, 600);
    s.limits.probes = false;
    let mut rig = Rig::new(s, 300);
    for id in 0..12 {
        rig.place_or_none(id * SECOND / 2, id);
    }
    assert_eq!(rig.place_or_none(30 * SECOND, 50), None, "all wait");
    rig.report(31 * SECOND, 299, 4.0);
    assert!(
        rig.place_or_none(31 * SECOND, 51).is_some(),
        "capacity is reported"
    );
    assert_eq!(rig.place_or_none(31 * SECOND + 1, 52), None, "just sent");
}

/// No report shows any capacity: nothing passes uncharged, however few slots are known.
#[test]
fn no_reported_free_slot_keeps_the_gate_closed() {
    let mut s = tenants(settings(Idempotency::Idempotent), &[0.01]);
    s.dispatchers = 9;
    let mut rig = Rig::new(s, 1);
    rig.report(0, 0, 0.0);
    rig.place(0, 1);
    assert!(sent(&rig.at(0, job_of(2, 0))).is_none());
}
