//! Fleets of hundreds of workers and dispatchers, in which each dispatcher receives few reports.

mod common;
use common::*;
use marbledeck_dispatcher::*;

/// Settings of a large deployment, in which there are many more dispatchers than workers that each one
/// receives reports from. Probes, cancellation and hedging are allowed.
fn large_deployment(idempotency: Idempotency, dispatchers: u32) -> Settings {
    let mut s = with_tenants(settings(idempotency), &[300.0, 300.0]);
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

/// Expiry time and id of the first timer that is set.
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

/// The cost of probes and timers must depend on the number of jobs and not on the number of workers;
/// without jobs there are none.
#[test]
fn probes_and_timers_depend_on_the_jobs_and_not_on_the_fleet() {
    let count = |workers: u32| {
        let mut harness = Harness::new(large_deployment(Idempotency::Idempotent, 600), workers);
        assert!(
            harness.out.is_empty(),
            "a worker list without jobs causes actions"
        );
        let (mut probed, mut timers) = (0, 0);
        for id in 0..200u64 {
            let now = id * SECOND / 4;
            harness.handle(now, job_of(id, id as u32 % 2));
            probed += probes(&harness.out).len();
            timers += harness
                .out
                .iter()
                .filter(|a| matches!(a, Action::SetTimer { .. }))
                .count();
            for w in probes(&harness.out.clone()) {
                harness.report(now + 5000, w.0 as u32, 4.0);
                timers += harness
                    .out
                    .iter()
                    .filter(|a| matches!(a, Action::SetTimer { .. }))
                    .count();
            }
            harness.handle(
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

/// A job waits for the answers of all its probes instead of taking the first free slot: half of the
/// jobs that are sent to a single free slot are queued there, since other dispatchers use it too.
#[test]
fn a_job_waits_for_all_its_probes() {
    let mut harness = Harness::new(large_deployment(Idempotency::Idempotent, 600), 300);
    assert_eq!(
        harness.handle(0, job_of(1, 0)),
        [],
        "the job waits for its probes"
    );
    let probed = probes(&harness.out);
    assert_eq!(probed.len(), 4, "{probed:?}");
    // Reports are noisy: 0.9 free slots are rounded to one.
    for (n, free) in [(0, 0.0), (1, 0.9), (2, 5.0)] {
        harness.report(5000 + n as u64, probed[n].0 as u32, free);
        assert_eq!(
            first_send(&harness.out),
            None,
            "sent before all probes were answered"
        );
    }
    harness.report(6000, probed[3].0 as u32, 0.0);
    assert_eq!(first_send(&harness.out), Some(probed[2]));
}

/// If the dispatchers counted the attempts in flight, the job goes to the least loaded of the counted
/// workers, and not to one that itself reported more free slots. The draw need not be random, since
/// only the few dispatchers that probe in the same milliseconds know the same count.
#[test]
fn a_job_goes_to_the_least_loaded_counted_worker() {
    for seed in 0..60 {
        let mut harness =
            Harness::seeded(large_deployment(Idempotency::Idempotent, 600), 300, seed);
        // Known from its own report, not from a count.
        harness.report(0, 299, 9.0);
        harness.handle(1000, job_of(1, 0));
        let probed = probes(&harness.out);
        for (n, in_flight) in [1.0, 3.0, 2.0, 2.0].into_iter().enumerate() {
            harness.report_count(5000, probed[n].0 as u32, in_flight);
        }
        assert_eq!(first_send(&harness.out), Some(probed[0]), "seed {seed}");
    }
}

/// A free slot of the own zone weighs as much as two of another zone, since traffic between zones
/// costs more.
#[test]
fn the_own_zone_counts_double_among_counted_workers() {
    let mut s = large_deployment(Idempotency::Idempotent, 600);
    s.zone = ZoneId(3);
    for (in_flight, to) in [(5.0, 12), (7.0, 10)] {
        // The first probed worker is the one after the seed; the own zone has the workers 12 to 15.
        let mut harness = Harness::seeded(s.clone(), 300, 9);
        harness.handle(0, job_of(1, 0));
        for (n, in_flight) in [3.0, 9.0, in_flight, 9.0].into_iter().enumerate() {
            harness.report_count(5000, 10 + n as u32, in_flight);
        }
        assert_eq!(
            first_send(&harness.out),
            Some(WorkerId(to)),
            "{in_flight} in flight at worker 12"
        );
    }
}

/// Old counts are not used: with 300 dispatchers and too small a fleet, half of all jobs went to full
/// workers because of counts that the nodes had stored. The job probes again, even if there are
/// counts of the whole fleet.
#[test]
fn a_job_probes_again_when_counts_are_old() {
    for counted in [20, 300] {
        let mut harness = Harness::new(large_deployment(Idempotency::Idempotent, 600), 300);
        (0..counted).for_each(|w| harness.report_count(0, w, 3.0));
        let mut now = SECOND / 5;
        harness.handle(now, job_of(1, 0));
        assert_eq!(first_send(&harness.out), None, "{counted} counted");
        for _ in 0..3 {
            let probed = probes(&harness.out);
            assert_eq!(probed.len(), 4, "{counted} counted: probes");
            let next_timer = timer(&harness.out);
            for worker in probed {
                harness.report_count(now + 5000, worker.0 as u32, 12.0);
                assert_eq!(
                    first_send(&harness.out),
                    None,
                    "{counted} counted: sent because of an old count"
                );
            }
            let (at, n) = next_timer.expect("no timer is set");
            now = at;
            harness.handle(now, Event::TimerExpired(TimerId(n)));
        }
        let probed = probes(&harness.out);
        for (n, worker) in probed.iter().enumerate() {
            let in_flight = if n == 2 { 8.0 } else { 9.0 };
            harness.report_count(now + 5000, worker.0 as u32, in_flight);
        }
        assert_eq!(first_send(&harness.out), Some(probed[2]));
    }
}

/// If no worker has a free slot, every job probes in vain, which adds load. Each round ends at twice
/// the time of the one before, so that such a job probes four times instead of six, and is given up
/// after four tenths of its slack.
#[test]
fn a_job_that_finds_no_free_slot_probes_with_backoff() {
    let mut harness = Harness::new(large_deployment(Idempotency::Idempotent, 600), 300);
    harness.handle(0, job_of(1, 0));
    let mut probed = vec![];
    loop {
        let now = probed.last().map_or(0, |(_, at)| *at);
        let next_timer = timer(&harness.out);
        let Some((at, n)) = next_timer else {
            break;
        };
        probed.push((probes(&harness.out).len(), at));
        for worker in probes(&harness.out.clone()) {
            harness.report_count(now + 5000, worker.0 as u32, 12.0);
        }
        harness.handle(at, Event::TimerExpired(TimerId(n)));
    }
    let first = probed[0].1;
    let at: Vec<u64> = probed.iter().map(|(_, at)| at / first).collect();
    assert_eq!(at, [1, 2, 4, 8]);
    assert!(probed.iter().all(|(probes, _)| *probes == 4), "{probed:?}");
    assert!(
        matches!(harness.out[..], [Action::Reject { .. }]),
        "{:?}",
        harness.out
    );
}

/// If no probed worker has a free slot, the job goes to the first worker that reports one.
#[test]
fn a_probing_job_is_sent_when_any_worker_reports_a_free_slot() {
    let mut harness = Harness::new(large_deployment(Idempotency::Idempotent, 600), 300);
    harness.handle(0, job_of(1, 0));
    for w in probes(&harness.out.clone()) {
        harness.report(5000, w.0 as u32, 0.0);
        assert_eq!(first_send(&harness.out), None);
    }
    harness.report(9000, 299, 1.0);
    assert_eq!(first_send(&harness.out), Some(WorkerId(299)));
}

/// A job that finds no free slot probes again, and is rejected well before it misses its latency
/// objective: queued at a worker, it would delay jobs that can still meet theirs. The rejection
/// carries a retry time, and a job never probes beyond its deadline.
#[test]
fn a_job_without_a_free_slot_probes_again_and_is_rejected_early() {
    for (time_left_us, latest) in [(10 * SECOND, SECOND), (SECOND / 5, SECOND / 5), (1, 1)] {
        let mut harness = Harness::new(large_deployment(Idempotency::Idempotent, 600), 300);
        let time_left = Micros(time_left_us);
        harness.handle(
            0,
            Event::JobReceived(Job {
                time_left,
                ..job(1)
            }),
        );
        let (mut now, mut rounds) = (0, 0);
        let answer = loop {
            for w in probes(&harness.out.clone()) {
                let timers = harness.out.clone();
                harness.report(now, w.0 as u32, 0.0);
                assert_eq!(first_send(&harness.out), None);
                harness.out = timers;
            }
            let next_timer = timer(&harness.out);
            let (at, n) = next_timer.expect("no timer is set");
            (now, rounds) = (at, rounds + 1);
            assert!(rounds < 50, "the job probes without end");
            if let Some(last) = harness.handle(at, Event::TimerExpired(TimerId(n))).first() {
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
        assert!(rounds > 2 || time_left_us < SECOND, "{rounds} rounds");
    }
}

/// A job that is queued at a worker that has failed another attempt is hedged: it is sent to a worker
/// with a free slot and the first attempt is cancelled. This happens only if hedging is allowed and
/// only for failed workers. A cancelled attempt may still run: if every queued job were hedged, the
/// hedges of 100 dispatchers would delay the next jobs.
#[test]
fn a_queued_job_is_hedged_away_from_a_failed_worker() {
    let keyed_by_cell = Idempotency::Keyed {
        scope: DeduplicationScope::Cell,
        window: Micros(9 * SECOND),
    };
    for (idempotency, hedging, has_failed, is_hedged) in [
        (Idempotency::Idempotent, true, true, true),
        (keyed_by_cell, true, true, true),
        (Idempotency::Idempotent, true, false, false),
        (Idempotency::Idempotent, false, true, false),
        (Idempotency::NotIdempotent, true, true, false),
    ] {
        let mut s = large_deployment(idempotency, 600);
        s.limits.hedging = hedging;
        let mut harness = Harness::new(s, 4);
        (0..4).for_each(|w| harness.report(0, w, 1.0));
        let first = harness.submit_and_send(0, 1);
        if has_failed {
            harness.handle(
                SECOND / 4,
                Event::ProbeEnded {
                    worker: first,
                    outcome: Outcome::TimedOut,
                    report: None,
                },
            );
        }
        harness.handle(SECOND / 2, Event::TimerExpired(TimerId(1)));
        let mut hedged_to = None;
        for w in (0..4).filter(|w| u64::from(*w) != first.0) {
            harness.report(SECOND / 2 + 5000, w, 1.0);
            if let Some(to) = first_send(&harness.out) {
                hedged_to = Some(to);
                assert!(harness.out.contains(&Action::Cancel {
                    request: RequestId(1),
                    attempt: 0
                }));
            }
        }
        assert_eq!(
            hedged_to.is_some(),
            is_hedged,
            "{idempotency:?} {hedging} {has_failed}"
        );
        if let (Idempotency::Keyed { .. }, Some(to)) = (idempotency, hedged_to) {
            assert_eq!(to.0 / 2, first.0 / 2, "hedged in another cell");
        }
    }
}

/// With 200 dispatchers, each one's share of a cold worker's budget is less than one job. Some may
/// send a whole job, so that the sum stays within the budget, and these change with each window: if
/// they were always the same few, these would often have no job and the worker would stay idle while
/// it warms up.
#[test]
fn all_dispatchers_together_use_a_cold_workers_budget_and_no_more() {
    for id in [0, 7, 123] {
        let mut s = large_deployment(Idempotency::Idempotent, 200);
        s.limits.probes = false;
        s.classes[0].latency_objective = Micros(SECOND / 2); // initial estimate of the run time
        s.rules.initial_capacity = 0.25;
        s.rules.warm_up = Micros(800 * SECOND);
        let start = 100 * SECOND;
        let mut harnesses: Vec<Harness> = (0..200)
            .map(|index| {
                let mut harness = Harness::new(Settings { index, ..s.clone() }, 0);
                let cold = WorkerEntry {
                    started_at: Some(Micros(start)),
                    ..worker(id)
                };
                harness.handle(
                    start,
                    Event::WorkerList {
                        kind: WorkerListKind::Full,
                        workers: vec![cold],
                    },
                );
                harness
            })
            .collect();
        let mut senders = std::collections::BTreeSet::new();
        for window in 0..8 {
            let now = start + window * SECOND;
            let mut sum = 0;
            for (index, harness) in harnesses.iter_mut().enumerate() {
                harness.report(now, id, 4.0);
                for n in 0..4 {
                    let n = 10 * window + n;
                    if first_send(&harness.handle(now, job_of(n, n as u32 % 2))).is_some() {
                        harness.end_attempt(now, n, 0, WorkerId(id.into()), Outcome::Served);
                        sum += 1;
                        senders.insert(index);
                    }
                }
            }
            // The budget is 2 * 0.25 * 4 slots * 1 s = 2 slot-seconds, or four half-second jobs.
            assert_eq!(sum, 4, "worker {id}, window {window}");
        }
        assert!(
            senders.len() >= 16,
            "too few different senders: {senders:?}"
        );
    }
}

/// A send to a cold worker: its first byte leaves between the decision and the moment until which a connection may come
/// up, or until which the decision allows it.
struct ColdSend {
    decided_at: u64,
    latest: u64,
}

/// How long after its decision the first byte of a send may leave, if the decision sets no earlier limit.
const CONNECT_TIMEOUT: u64 = SECOND / 4;

/// Steps of the simulated time in a window.
const STEPS_PER_WINDOW: u64 = 40;

/// All sends of these dispatchers to a cold worker within five windows of 1 s, if each has jobs for it in the steps for
/// which `has_jobs` holds and the worker's budget in a window is this number of jobs.
fn sends_to_cold_worker(
    dispatchers: u32,
    budget: u64,
    has_jobs: impl Fn(u64) -> bool,
) -> Vec<ColdSend> {
    const STEP: u64 = SECOND / STEPS_PER_WINDOW;
    let mut s = large_deployment(Idempotency::Idempotent, dispatchers);
    s.limits.probes = false;
    // The budget is 2 * 0.25 * 4 slots * 1 s = 2 slot-seconds, or `budget` jobs of this length.
    s.classes[0].latency_objective = Micros(2 * SECOND / budget);
    s.rules.initial_capacity = 0.25;
    s.rules.warm_up = Micros(8000 * SECOND);
    let start = 100 * SECOND;
    let cold = WorkerEntry {
        started_at: Some(Micros(start)),
        ..worker(7)
    };
    let list = Event::WorkerList {
        kind: WorkerListKind::Full,
        workers: vec![cold],
    };
    let mut harnesses: Vec<Harness> = (0..dispatchers)
        .map(|index| {
            let mut harness = Harness::new(Settings { index, ..s.clone() }, 0);
            harness.handle(start, list.clone());
            harness
        })
        .collect();
    let mut sends = Vec::new();
    for step in (0..5 * STEPS_PER_WINDOW).filter(|step| has_jobs(*step)) {
        let now = start + step * STEP;
        for harness in &mut harnesses {
            harness.report(now, 7, 4.0);
            while let Some(send_before) = send_limit(&harness.handle(now, job_of(step, 0))) {
                harness.end_attempt(now, step, 0, WorkerId(7), Outcome::Cancelled);
                let latest = send_before.map_or(u64::MAX, |limit| limit.0 - 1);
                sends.push(ColdSend {
                    decided_at: now,
                    latest: latest.min(now + CONNECT_TIMEOUT),
                });
            }
        }
    }
    sends
}

/// The limit of the first send, if there is one.
fn send_limit(actions: &[Action]) -> Option<Option<Micros>> {
    actions.iter().find_map(|action| match action {
        Action::Send { send_before, .. } => Some(*send_before),
        _ => None,
    })
}

/// Numbers of dispatchers, and budgets in jobs, of the tests of cold workers.
fn cold_fleets() -> impl Iterator<Item = (u32, u64)> {
    let budgets = [1, 2, 4, 8, 15, 20, 25, 29, 40, 60, 150];
    let dispatchers = [3, 20, 30, 300].into_iter();
    dispatchers.flat_map(move |dispatchers| budgets.map(|budget| (dispatchers, budget)))
}

/// Checks that no window of 1 s holds more sends than the worker's budget and the random excess that the rule tolerates.
/// `may_leave` tells whether a send may leave in the window that starts at this moment.
fn check_cold_windows(
    (dispatchers, budget): (u32, u64),
    sends: &[ColdSend],
    may_leave: impl Fn(&ColdSend, u64) -> bool,
) {
    let budget = budget as f64;
    let max_allowed = budget + 2.0 * budget.sqrt() + 2.0;
    let in_window = |from: u64| sends.iter().filter(|send| may_leave(send, from)).count();
    let starts = sends.iter().flat_map(|send| [send.decided_at, send.latest]);
    let max_in_window = starts.map(in_window).max().unwrap_or(0) as f64;
    assert!(
        max_in_window <= max_allowed,
        "{dispatchers} dispatchers, budget {budget}: {max_in_window} jobs in a window"
    );
}

/// Whatever the number of dispatchers and the start of the window, all dispatchers together send a
/// cold worker no more than its budget and the random excess that the rule tolerates, even if each
/// always has a job for it.
#[test]
fn no_window_of_a_cold_worker_holds_more_than_its_budget_and_tolerance() {
    for (dispatchers, budget) in cold_fleets() {
        let sends = sends_to_cold_worker(dispatchers, budget, |_| true);
        check_cold_windows((dispatchers, budget), &sends, |send, from| {
            (from..from + SECOND).contains(&send.decided_at)
        });
        let mean = sends.len() as f64 / 5.0;
        let min_mean = f64::min(budget as f64 / 3.0, f64::from(dispatchers) / 2.0);
        assert!(
            mean >= min_mean,
            "{dispatchers} dispatchers, budget {budget}: only {mean} jobs per window on average"
        );
    }
}

/// Guards against sends that are decided in one window and leave in the next one, because their connection came up late.
#[test]
fn sends_to_a_cold_worker_that_leave_late_stay_within_its_budget() {
    // Jobs come at the end of one window, soon after the start of the next one and at the start of the one after that.
    let has_jobs = |step| [39, 42, 80, 81].contains(&step);
    for (dispatchers, budget) in cold_fleets() {
        let sends = sends_to_cold_worker(dispatchers, budget, has_jobs);
        check_cold_windows((dispatchers, budget), &sends, |send, from| {
            send.latest >= from && send.decided_at < from + SECOND
        });
    }
}

/// A dispatcher that has just started does not know what it sent to a cold worker before, so it waits
/// for one overload window.
#[test]
fn a_restarted_dispatcher_sends_a_cold_worker_nothing_at_first() {
    let mut s = large_deployment(Idempotency::Idempotent, 1);
    s.limits.probes = false;
    let mut harness = Harness::new(s, 0);
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
    harness.handle(0, cold(0));
    harness.report(0, 0, 40.0);
    assert_eq!(first_send(&harness.handle(SECOND / 2, job_of(1, 0))), None);
    harness.report(2 * SECOND, 0, 40.0);
    assert!(first_send(&harness.handle(2 * SECOND, job_of(2, 0))).is_some());
}

/// Old reports must not open the gate of every dispatcher at once: the jobs of a flooding tenant that
/// have no token are spaced out, and those of another tenant do not wait for them.
#[test]
fn uncharged_jobs_of_a_tenant_are_spaced_out() {
    let mut s = with_tenants(settings(Idempotency::Idempotent), &[0.01, 0.01]);
    s.dispatchers = 100;
    let mut harness = Harness::new(s, 40);
    for w in 0..40 {
        harness.report(0, w, 4.0);
    }
    let now = SECOND / 2;
    let mut passed = [0; 2];
    for id in 0..20 {
        let tenant = usize::from(id >= 15);
        if let Some(to) = first_send(&harness.handle(now, job_of(id, tenant as u32))) {
            passed[tenant] += 1;
            assert!(to.0 < 40);
            harness.handle(
                now,
                Event::AttemptStarted {
                    request: RequestId(id),
                    attempt: 0,
                },
            );
        }
    }
    // The first job takes the only token; after that, one job of each tenant is admitted.
    assert_eq!(passed, [2, 1]);
}

/// Overload is detected from the few workers that this dispatcher sent attempts to. A worker that
/// reports free slots shows that the fleet is not overloaded; one that was just sent a job does not.
#[test]
fn overload_is_detected_from_few_reports() {
    let mut s = large_deployment(Idempotency::NotIdempotent, 600);
    s.limits.probes = false;
    let mut harness = Harness::new(s, 300);
    for id in 0..12 {
        harness.submit(id * SECOND / 2, id);
    }
    assert_eq!(
        harness.submit(30 * SECOND, 50),
        None,
        "admitted though all attempts are queued"
    );
    harness.report(31 * SECOND, 299, 4.0);
    assert!(
        harness.submit(31 * SECOND, 51).is_some(),
        "rejected though free slots are reported"
    );
    assert_eq!(
        harness.submit(31 * SECOND + 1, 52),
        None,
        "admitted because of a worker that was just sent a job"
    );
}

/// If no report shows a free slot, no job without a token is admitted, however few slots are known.
#[test]
fn no_reported_free_slot_keeps_the_gate_closed() {
    let mut s = with_tenants(settings(Idempotency::Idempotent), &[0.01]);
    s.dispatchers = 9;
    let mut harness = Harness::new(s, 1);
    harness.report(0, 0, 0.0);
    harness.submit_and_send(0, 1);
    assert!(first_send(&harness.handle(0, job_of(2, 0))).is_none());
}
