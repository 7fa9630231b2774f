//! Charge, gate and draw.

mod common;
use common::*;
use marbledeck_dispatcher::*;

/// One tenant of 2 jobs a second: the bucket starts full, holds two standard deviations of 20 s,
/// which is more here than the mean of 4 s, and rejects with int(wait)+1 seconds, capped.
#[test]
fn bucket_arithmetic_and_retry_after() {
    let mut s = tenants(settings(Idempotency::Idempotent), &[2.0]);
    s.limits.max_retry_after = Some(Micros(5 * SECOND));
    let mut rig = Rig::new(s, 1);
    // 2 * sqrt(40) = 12.6 tokens and no more, at the start and after a long time.
    for (from, now) in [(0, 0), (100, 60 * SECOND)] {
        rig.report(now, 0, 0.0);
        let ids = from..from + 30;
        let placed = ids.filter(|id| rig.place_or_none(now, *id).is_some());
        let placed: Vec<u64> = placed.collect();
        assert_eq!(placed.len(), 12);
        for id in placed {
            rig.at(
                now,
                Event::AttemptStarted {
                    request: RequestId(id),
                    attempt: 0,
                },
            );
            rig.end(now, id, 0, WorkerId(0), Outcome::Served);
        }
    }
    // 0.65 tokens are left: a whole one takes 0.18 s, so int(0.18) + 1 = 1 s.
    let rejected = [Action::Reject {
        request: RequestId(200),
        retry_after: Some(Micros(SECOND)),
    }];
    assert_eq!(rig.at(60 * SECOND, Event::JobReceived(job(200))), rejected);
    rig.place(60 * SECOND + SECOND / 5, 201);
}

/// 0.25 jobs a second, four of 4.47 tokens taken: 2.1 s are missing, so int(2.1)+1 = 3 s, which a cap of 2 s cuts.
#[test]
fn the_longest_wait_wins_within_the_cap() {
    for (cap, expected) in [(9, 3), (2, 2)] {
        let mut s = tenants(settings(Idempotency::Idempotent), &[0.25, 4.0]);
        s.limits.max_retry_after = Some(Micros(cap * SECOND));
        let mut rig = Rig::new(s, 1);
        rig.report(0, 0, 0.0);
        for id in 0..4 {
            rig.place(0, id);
        }
        let rejected = [Action::Reject {
            request: RequestId(9),
            retry_after: Some(Micros(expected * SECOND)),
        }];
        assert_eq!(rig.at(0, Event::JobReceived(job(9))), rejected);
    }
}

/// A tenant whose own bucket is dry takes nothing from the global one.
#[test]
fn all_buckets_are_charged_or_none() {
    let mut rig = Rig::new(tenants(settings(Idempotency::Idempotent), &[1.0, 1.0]), 1);
    rig.report(0, 0, 0.0);
    let of = |id, tenant| Job {
        tenant: TenantId(tenant),
        ..job(id)
    };
    let now = 60 * SECOND;
    let placed = |rig: &mut Rig, ids: std::ops::Range<u64>, tenant| {
        ids.filter(|&id| sent(&rig.at(now, Event::JobReceived(of(id, tenant)))).is_some())
            .count()
    };
    assert_eq!(placed(&mut rig, 0..20, 0), 8, "2 * sqrt(20) of its own");
    assert_eq!(
        placed(&mut rig, 20..40, 1),
        4,
        "of the 12 global tokens the rejected jobs took none"
    );
}

/// A dry bucket lets jobs pass while fresh reports show capacity, and not when they are old.
#[test]
fn the_gate_opens_on_fresh_reports_only() {
    let mut rig = Rig::new(tenants(settings(Idempotency::Idempotent), &[0.01]), 1);
    rig.report(0, 0, 5.0);
    rig.place(0, 1);
    rig.at(
        0,
        Event::AttemptStarted {
            request: RequestId(1),
            attempt: 0,
        },
    );
    assert!(
        sent(&rig.at(0, Event::JobReceived(job(2)))).is_some(),
        "uncharged, with capacity"
    );
    let mut rig = Rig::new(tenants(settings(Idempotency::Idempotent), &[0.01]), 1);
    rig.report(0, 0, 5.0);
    rig.place(0, 1);
    rig.at(
        0,
        Event::AttemptStarted {
            request: RequestId(1),
            attempt: 0,
        },
    );
    assert!(
        sent(&rig.at(3 * SECOND, Event::JobReceived(job(2)))).is_none(),
        "the report is old"
    );
}

/// Every dispatcher reads the same free slot: with four of them one slot is not capacity for an
/// uncharged job.
#[test]
fn one_free_slot_is_not_enough_for_all_dispatchers() {
    let mut s = tenants(settings(Idempotency::Idempotent), &[0.01]);
    s.dispatchers = 4;
    let mut rig = Rig::new(s, 2);
    rig.report(0, 0, 5.0);
    rig.report(0, 0, 1.0);
    rig.report(0, 1, 1.0);
    rig.place(0, 1);
    assert!(sent(&rig.at(0, Event::JobReceived(job(2)))).is_none());
}

/// Free slots 4, 2, 0 of 4: shares 2/3, 1/3, 0. Of 3,000 draws the standard deviation of a share is
/// 0.0086; the tolerance is four of them.
#[test]
fn the_draw_follows_free_slots() {
    let mut hits = [0u32; 3];
    for seed in 0..3000 {
        let mut rig = Rig::seeded(settings(Idempotency::Idempotent), 3, seed);
        for (w, free) in [(0, 4.0), (1, 2.0), (2, 0.0)] {
            rig.report(0, w, free);
        }
        hits[rig.place(0, 1).0 as usize] += 1;
    }
    assert!(
        (f64::from(hits[0]) / 3000.0 - 2.0 / 3.0).abs() < 0.035,
        "{hits:?}"
    );
    assert_eq!(hits[2], 0);
}

/// With no report at all the draw is even: 3 workers, 3,000 draws, four standard deviations are
/// 0.035.
#[test]
fn without_reports_the_draw_is_even() {
    let mut hits = [0u32; 3];
    for seed in 0..3000 {
        let mut rig = Rig::seeded(settings(Idempotency::Idempotent), 3, seed);
        hits[rig.place(0, 1).0 as usize] += 1;
    }
    for n in hits {
        assert!(
            (f64::from(n) / 3000.0 - 1.0 / 3.0).abs() < 0.035,
            "{hits:?}"
        );
    }
}

/// With like capacity the own zone is drawn twice as often, so that few jobs pay for a crossing ...
#[test]
fn workers_of_the_own_zone_are_drawn_more_often() {
    let mut s = settings(Idempotency::Idempotent);
    s.zone = ZoneId(1);
    let mut own = 0;
    for seed in 0..1000 {
        let mut rig = Rig::seeded(s.clone(), 8, seed);
        (0..8).for_each(|w| rig.report(0, w, 4.0));
        own += u32::from(rig.place(0, 1).0 >= 4);
    }
    // Four standard deviations of a share of 2/3 are 0.06.
    assert!((607..=727).contains(&own), "{own} of 1000");
}

/// ... and where it is the busier one, jobs leave it while it still shows capacity: with a quarter of
/// the other's slots it keeps a third of its jobs, so that 300 dispatchers that all read of them do
/// not crowd there beside idle workers.
#[test]
fn a_busy_zone_does_not_keep_its_jobs() {
    let mut s = settings(Idempotency::Idempotent);
    (s.zone, s.dispatchers) = (ZoneId(1), 300);
    let mut own = 0;
    for seed in 0..1000 {
        let mut rig = Rig::seeded(s.clone(), 8, seed);
        (0..8).for_each(|w| rig.report(0, w, if w >= 4 { 1.0 } else { 4.0 }));
        own += u32::from(rig.place(0, 1).0 >= 4);
    }
    // Four standard deviations of a share of 1/3 are 0.06.
    assert!((273..=393).contains(&own), "{own} of 1000 stayed");
}

/// A report stands for up to a second and a half, and of 300 dispatchers some ten read it
/// meanwhile: each worker gets of their jobs what its capacity is of all the capacity shown, not all of
/// them the one that shows most.
#[test]
fn dispatchers_that_read_the_same_reports_spread_over_all_free_slots() {
    let mut s = settings(Idempotency::Idempotent);
    s.dispatchers = 300;
    let free = [5.0, 4.0, 3.0, 3.0];
    let mut sent = [0.0; 4];
    for seed in 0..3000 {
        let mut rig = Rig::seeded(s.clone(), 4, seed);
        (0..4).for_each(|w| rig.report(0, w, free[w as usize]));
        sent[rig.place(0, 1).0 as usize] += 1.0 / 3000.0;
    }
    for (w, free) in free.iter().enumerate() {
        // Four standard deviations are at most 0.034.
        assert!((sent[w] - free / 15.0).abs() < 0.035, "{sent:?}");
    }
}

/// A rejection is evidence: the worker that rejected is not drawn while another has capacity.
#[test]
fn a_rejection_is_a_report_of_no_free_slot() {
    for seed in 0..50 {
        let mut rig = Rig::seeded(settings(Idempotency::Idempotent), 2, seed);
        rig.report(0, 0, 4.0);
        rig.report(0, 1, 4.0);
        let to = rig.place(0, 1);
        let other = sent(&rig.end(10, 1, 0, to, Outcome::Rejected)).unwrap();
        rig.at(
            20,
            Event::AttemptStarted {
                request: RequestId(1),
                attempt: 1,
            },
        );
        assert_eq!(rig.place(20, 2), other);
    }
}

/// A job that would wait too long everywhere is rejected though its bucket has tokens, and accepted
/// again once waiting jobs have started and the sight of them is old.
#[test]
fn overload_rejects_and_recovers() {
    let mut rig = Rig::new(tenants(settings(Idempotency::Idempotent), &[100.0]), 1);
    rig.report(0, 0, 0.0);
    rig.place(0, 1);
    assert!(sent(&rig.at(5 * SECOND, Event::JobReceived(job(2)))).is_none());
    rig.at(
        5 * SECOND,
        Event::AttemptStarted {
            request: RequestId(1),
            attempt: 0,
        },
    );
    assert!(sent(&rig.at(11 * SECOND, Event::JobReceived(job(3)))).is_some());
}

/// Where most tenants bring more than an even part, the rates follow; one flooding tenant moves
/// nothing.
#[test]
fn uneven_traffic_raises_rates_and_a_flood_does_not() {
    let placed = |per_tenant: [u64; 3]| {
        let mut rig = Rig::new(
            tenants(settings(Idempotency::Idempotent), &[2.0, 2.0, 2.0]),
            3,
        );
        let (mut id, mut placed) = (0, [0; 3]);
        for step in 0..800u64 {
            let now = step * SECOND / 10;
            rig.at(now, Event::TimerExpired(TimerId(0)));
            (0..3).for_each(|w| rig.report(now, w, 0.0));
            for (t, n) in per_tenant.iter().enumerate() {
                for _ in 0..u64::from(step % 10 < *n) {
                    id += 1;
                    let tenant = TenantId(t as u32);
                    if let Some(to) =
                        sent(&rig.at(now, Event::JobReceived(Job { tenant, ..job(id) })))
                    {
                        placed[t] += u32::from(step >= 600);
                        rig.end(now, id, 0, to, Outcome::Served);
                    }
                }
            }
        }
        placed
    };
    let uneven = placed([4, 4, 4]);
    assert!(
        uneven.iter().all(|&n| n >= 70),
        "80 probed in 20 s at twice the even part: {uneven:?}"
    );
    let flood = placed([9, 1, 1]);
    assert!(
        flood[0] <= 50,
        "an even part of 2 a second for 20 s, and its burst: {flood:?}"
    );
    assert_eq!(flood[1..], [20, 20]);
}

/// An uncharged job needs capacity in proportion to its length: two free slots and four dispatchers let
/// a short one pass, and not a long one.
#[test]
fn a_long_job_needs_more_free_slots_than_a_short_one() {
    let mut s = tenants(settings(Idempotency::Idempotent), &[0.001]);
    s.dispatchers = 4;
    let long = Class {
        latency_objective: Micros(20 * SECOND),
        ..s.classes[0].clone()
    };
    s.classes.push(long);
    // The first class sets the mean; a third is a quarter as long.
    let short = Class {
        latency_objective: Micros(SECOND / 4),
        ..s.classes[0].clone()
    };
    s.classes.push(short);
    let passes = |class| {
        let mut rig = Rig::new(s.clone(), 3);
        rig.place(0, 1);
        rig.at(
            0,
            Event::AttemptStarted {
                request: RequestId(1),
                attempt: 0,
            },
        );
        (0..3).for_each(|w| rig.report(0, w, 2.0));
        let of = Job {
            class: ClassId(class),
            ..job(2)
        };
        sent(&rig.at(1, Event::JobReceived(of))).is_some()
    };
    assert!(passes(2) && !passes(1));
}
