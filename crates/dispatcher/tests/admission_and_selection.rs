//! Charging of token buckets, the free-slot gate, overload, and the draw of a worker.

mod common;
use common::*;
use marbledeck_dispatcher::*;

/// A tenant with a quota of 2 jobs per second. The bucket starts full and holds two standard
/// deviations of the jobs in 20 s, which is more here than the mean of 4 s. Rejections carry
/// int(wait) + 1 seconds, limited to the maximum.
#[test]
fn bucket_size_and_retry_after() {
    let mut s = with_tenants(settings(Idempotency::Idempotent), &[2.0]);
    s.limits.max_retry_after = Some(Micros(5 * SECOND));
    let mut harness = Harness::new(s, 1);
    // The bucket holds 2 * sqrt(40) = 12.6 tokens at the start and after a long time.
    for (from, now) in [(0, 0), (100, 60 * SECOND)] {
        harness.report(now, 0, 0.0);
        let ids = from..from + 30;
        let placed = ids.filter(|id| harness.submit(now, *id).is_some());
        let placed: Vec<u64> = placed.collect();
        assert_eq!(placed.len(), 12);
        for id in placed {
            harness.handle(
                now,
                Event::AttemptStarted {
                    request: RequestId(id),
                    attempt: 0,
                },
            );
            harness.end_attempt(now, id, 0, WorkerId(0), Outcome::Served);
        }
    }
    // 0.65 tokens are left and a whole one takes 0.18 s more, so the client waits int(0.18) + 1 = 1 s.
    let rejected = [Action::Reject {
        request: RequestId(200),
        retry_after: Some(Micros(SECOND)),
    }];
    assert_eq!(
        harness.handle(60 * SECOND, Event::JobReceived(job(200))),
        rejected
    );
    harness.submit_and_send(60 * SECOND + SECOND / 5, 201);
}

/// At 0.25 jobs per second, four of 4.47 tokens are taken and the next one takes 2.1 s, so the client
/// waits int(2.1) + 1 = 3 s, or 2 s if that is the maximum.
#[test]
fn retry_after_is_the_longest_wait_up_to_the_maximum() {
    for (max, expected) in [(9, 3), (2, 2)] {
        let mut s = with_tenants(settings(Idempotency::Idempotent), &[0.25, 4.0]);
        s.limits.max_retry_after = Some(Micros(max * SECOND));
        let mut harness = Harness::new(s, 1);
        harness.report(0, 0, 0.0);
        for id in 0..4 {
            harness.submit_and_send(0, id);
        }
        let rejected = [Action::Reject {
            request: RequestId(9),
            retry_after: Some(Micros(expected * SECOND)),
        }];
        assert_eq!(harness.handle(0, Event::JobReceived(job(9))), rejected);
    }
}

/// A tenant whose own bucket is empty takes nothing from the global one.
#[test]
fn all_buckets_are_charged_or_none() {
    let mut harness = Harness::new(
        with_tenants(settings(Idempotency::Idempotent), &[1.0, 1.0]),
        1,
    );
    harness.report(0, 0, 0.0);
    let job_of = |id, tenant| Job {
        tenant: TenantId(tenant),
        ..job(id)
    };
    let now = 60 * SECOND;
    let placed = |harness: &mut Harness, ids: std::ops::Range<u64>, tenant| {
        ids.filter(|&id| {
            first_send(&harness.handle(now, Event::JobReceived(job_of(id, tenant)))).is_some()
        })
        .count()
    };
    assert_eq!(
        placed(&mut harness, 0..20, 0),
        8,
        "the tenant's bucket holds 2 * sqrt(20) tokens"
    );
    assert_eq!(
        placed(&mut harness, 20..40, 1),
        4,
        "rejected jobs took none of the 12 global tokens"
    );
}

/// With an empty bucket, jobs are admitted while fresh reports show free slots, but not on old
/// reports.
#[test]
fn the_gate_opens_on_fresh_reports_only() {
    let mut harness = Harness::new(with_tenants(settings(Idempotency::Idempotent), &[0.01]), 1);
    harness.report(0, 0, 5.0);
    harness.submit_and_send(0, 1);
    harness.handle(
        0,
        Event::AttemptStarted {
            request: RequestId(1),
            attempt: 0,
        },
    );
    assert!(
        first_send(&harness.handle(0, Event::JobReceived(job(2)))).is_some(),
        "a job without a token is rejected despite free slots"
    );
    let mut harness = Harness::new(with_tenants(settings(Idempotency::Idempotent), &[0.01]), 1);
    harness.report(0, 0, 5.0);
    harness.submit_and_send(0, 1);
    harness.handle(
        0,
        Event::AttemptStarted {
            request: RequestId(1),
            attempt: 0,
        },
    );
    assert!(
        first_send(&harness.handle(3 * SECOND, Event::JobReceived(job(2)))).is_none(),
        "a job without a token is admitted on an old report"
    );
}

/// All dispatchers may read the same report, so with four of them one free slot does not admit a job
/// without a token.
#[test]
fn one_free_slot_is_not_enough_for_all_dispatchers() {
    let mut s = with_tenants(settings(Idempotency::Idempotent), &[0.01]);
    s.dispatchers = 4;
    let mut harness = Harness::new(s, 2);
    harness.report(0, 0, 5.0);
    harness.report(0, 0, 1.0);
    harness.report(0, 1, 1.0);
    harness.submit_and_send(0, 1);
    assert!(first_send(&harness.handle(0, Event::JobReceived(job(2)))).is_none());
}

/// Workers with 4, 2 and 0 free slots get shares of 2/3, 1/3 and 0. In 3,000 draws the standard
/// deviation of a share is 0.0086; the tolerance is four of them.
#[test]
fn the_draw_is_in_proportion_to_free_slots() {
    let mut draws = [0u32; 3];
    for seed in 0..3000 {
        let mut harness = Harness::seeded(settings(Idempotency::Idempotent), 3, seed);
        for (w, free) in [(0, 4.0), (1, 2.0), (2, 0.0)] {
            harness.report(0, w, free);
        }
        draws[harness.submit_and_send(0, 1).0 as usize] += 1;
    }
    assert!(
        (f64::from(draws[0]) / 3000.0 - 2.0 / 3.0).abs() < 0.035,
        "{draws:?}"
    );
    assert_eq!(draws[2], 0);
}

/// Without reports the draw is even. With 3 workers and 3,000 draws, the tolerance of four standard
/// deviations is 0.035.
#[test]
fn without_reports_the_draw_is_even() {
    let mut draws = [0u32; 3];
    for seed in 0..3000 {
        let mut harness = Harness::seeded(settings(Idempotency::Idempotent), 3, seed);
        draws[harness.submit_and_send(0, 1).0 as usize] += 1;
    }
    for n in draws {
        assert!(
            (f64::from(n) / 3000.0 - 1.0 / 3.0).abs() < 0.035,
            "{draws:?}"
        );
    }
}

/// With equal free slots, a worker of the own zone is drawn twice as often, since traffic between
/// zones costs more.
#[test]
fn workers_of_the_own_zone_are_drawn_more_often() {
    let mut s = settings(Idempotency::Idempotent);
    s.zone = ZoneId(1);
    let mut own = 0;
    for seed in 0..1000 {
        let mut harness = Harness::seeded(s.clone(), 8, seed);
        (0..8).for_each(|w| harness.report(0, w, 4.0));
        own += u32::from(harness.submit_and_send(0, 1).0 >= 4);
    }
    // Four standard deviations of a share of 2/3 are 0.06.
    assert!((607..=727).contains(&own), "{own} of 1000");
}

/// Jobs leave the own zone while it still has free slots if it is the busier one. With a quarter of
/// the free slots of the other zone it gets a third of the jobs. Otherwise 300 dispatchers that read
/// the same reports would crowd there while workers of the other zone are idle.
#[test]
fn jobs_leave_a_busy_zone() {
    let mut s = settings(Idempotency::Idempotent);
    (s.zone, s.dispatchers) = (ZoneId(1), 300);
    let mut own = 0;
    for seed in 0..1000 {
        let mut harness = Harness::seeded(s.clone(), 8, seed);
        (0..8).for_each(|w| harness.report(0, w, if w >= 4 { 1.0 } else { 4.0 }));
        own += u32::from(harness.submit_and_send(0, 1).0 >= 4);
    }
    // Four standard deviations of a share of 1/3 are 0.06.
    assert!((273..=393).contains(&own), "{own} of 1000 in the own zone");
}

/// A report stays in use for up to 1.5 s, and about ten of 300 dispatchers read it in that time. Each
/// worker gets jobs in proportion to its free slots; the one with the most does not get them all.
#[test]
fn dispatchers_that_read_the_same_reports_spread_over_all_free_slots() {
    let mut s = settings(Idempotency::Idempotent);
    s.dispatchers = 300;
    let free = [5.0, 4.0, 3.0, 3.0];
    let mut shares = [0.0; 4];
    for seed in 0..3000 {
        let mut harness = Harness::seeded(s.clone(), 4, seed);
        (0..4).for_each(|w| harness.report(0, w, free[w as usize]));
        shares[harness.submit_and_send(0, 1).0 as usize] += 1.0 / 3000.0;
    }
    for (w, free) in free.iter().enumerate() {
        // Four standard deviations are at most 0.034.
        assert!((shares[w] - free / 15.0).abs() < 0.035, "{shares:?}");
    }
}

/// A worker that has rejected an attempt is not drawn while another worker has free slots.
#[test]
fn a_rejection_is_a_report_of_no_free_slot() {
    for seed in 0..50 {
        let mut harness = Harness::seeded(settings(Idempotency::Idempotent), 2, seed);
        harness.report(0, 0, 4.0);
        harness.report(0, 1, 4.0);
        let to = harness.submit_and_send(0, 1);
        let other = first_send(&harness.end_attempt(10, 1, 0, to, Outcome::Rejected)).unwrap();
        harness.handle(
            20,
            Event::AttemptStarted {
                request: RequestId(1),
                attempt: 1,
            },
        );
        assert_eq!(harness.submit_and_send(20, 2), other);
    }
}

/// A job that would be queued too long at every worker is rejected though its bucket has tokens.
/// Jobs are accepted again once the queued ones have started and the measured queue delay is old.
#[test]
fn overload_rejects_and_recovers() {
    let mut harness = Harness::new(with_tenants(settings(Idempotency::Idempotent), &[100.0]), 1);
    harness.report(0, 0, 0.0);
    harness.submit_and_send(0, 1);
    assert!(first_send(&harness.handle(5 * SECOND, Event::JobReceived(job(2)))).is_none());
    harness.handle(
        5 * SECOND,
        Event::AttemptStarted {
            request: RequestId(1),
            attempt: 0,
        },
    );
    assert!(first_send(&harness.handle(11 * SECOND, Event::JobReceived(job(3)))).is_some());
}

/// If most tenants send this dispatcher more than an even share, all rates rise; a single flooding
/// tenant does not raise them.
#[test]
fn uneven_traffic_raises_rates_and_a_flood_does_not() {
    let placed = |per_tenant: [u64; 3]| {
        let mut harness = Harness::new(
            with_tenants(settings(Idempotency::Idempotent), &[2.0, 2.0, 2.0]),
            3,
        );
        let (mut id, mut placed) = (0, [0; 3]);
        for step in 0..800u64 {
            let now = step * SECOND / 10;
            harness.handle(now, Event::TimerExpired(TimerId(0)));
            (0..3).for_each(|w| harness.report(now, w, 0.0));
            for (t, n) in per_tenant.iter().enumerate() {
                for _ in 0..u64::from(step % 10 < *n) {
                    id += 1;
                    let tenant = TenantId(t as u32);
                    if let Some(to) = first_send(
                        &harness.handle(now, Event::JobReceived(Job { tenant, ..job(id) })),
                    ) {
                        placed[t] += u32::from(step >= 600);
                        harness.end_attempt(now, id, 0, to, Outcome::Served);
                    }
                }
            }
        }
        placed
    };
    let uneven = placed([4, 4, 4]);
    assert!(
        uneven.iter().all(|&n| n >= 70),
        "80 jobs requested in 20 s, twice the even share, but fewer admitted: {uneven:?}"
    );
    let flood = placed([9, 1, 1]);
    assert!(
        flood[0] <= 50,
        "more admitted than an even share of 2 per second for 20 s and the burst: {flood:?}"
    );
    assert_eq!(flood[1..], [20, 20]);
}

/// A job without a token needs free slots in proportion to its run time: with two free slots at each
/// worker and four dispatchers, a short job is admitted and a long one is not.
#[test]
fn a_long_job_needs_more_free_slots_than_a_short_one() {
    let mut s = with_tenants(settings(Idempotency::Idempotent), &[0.001]);
    s.dispatchers = 4;
    let long = Class {
        latency_objective: Micros(20 * SECOND),
        ..s.classes[0].clone()
    };
    s.classes.push(long);
    // The first class sets the overall mean; the jobs of the third class are a quarter as long.
    let short = Class {
        latency_objective: Micros(SECOND / 4),
        ..s.classes[0].clone()
    };
    s.classes.push(short);
    let is_admitted = |class| {
        let mut harness = Harness::new(s.clone(), 3);
        harness.submit_and_send(0, 1);
        harness.handle(
            0,
            Event::AttemptStarted {
                request: RequestId(1),
                attempt: 0,
            },
        );
        (0..3).for_each(|w| harness.report(0, w, 2.0));
        let second_job = Job {
            class: ClassId(class),
            ..job(2)
        };
        first_send(&harness.handle(1, Event::JobReceived(second_job))).is_some()
    };
    assert!(is_admitted(2) && !is_admitted(1));
}
