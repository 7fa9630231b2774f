//! Who holds which seats, and what a node grants of its own.

use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{Desk, Ledger, Licence, Move, NoSeat, Part, Pool, Reading};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn pool(seats: u32, parts: &[(&str, u32)]) -> Pool {
    let guaranteed = parts.iter().map(|(t, n)| ((*t).to_owned(), *n)).collect();
    Pool {
        seats,
        guaranteed,
        longest_run_ms: 1000,
    }
}

fn want(tenant: &str, seats: u32) -> Move {
    Move::Want {
        pool: "av1".into(),
        tenant: tenant.into(),
        seats,
    }
}

fn back(tenant: &str, seats: u32) -> Move {
    Move::Return {
        pool: "av1".into(),
        tenant: tenant.into(),
        seats,
    }
}

fn held(ledger: &Ledger, node: u32, boot: u64) -> u32 {
    ledger
        .holds(node, boot)
        .iter()
        .map(|(.., seats)| seats)
        .sum()
}

const AV1: &[Licence] = &[Licence(0)];

fn desk(seats: u32, until: u64) -> Desk {
    let mut desk = Desk::new(
        vec!["av1".into(), "aac".into()],
        Vec::new(),
        Micros(1_000_000),
    );
    desk.read(&reading(seats, until, 0));
    desk
}

fn reading(seats: u32, until: u64, done: u64) -> Reading {
    let part = |pool: &str| Part {
        pool: pool.into(),
        tenant: String::new(),
        seats,
        recalled: 0,
    };
    Reading {
        free: Vec::new(),
        until: Micros(until),
        done,
        parts: vec![part("av1")],
        pools: vec![
            ("av1".into(), Micros(1_000_000)),
            ("aac".into(), Micros(1_000_000)),
        ],
    }
}

#[test]
fn an_unknown_end_holds_its_seat_for_the_longest_run() {
    let mut desk = desk(1, 10_000_000);
    desk.take(Micros(0), AV1, 0).expect("one is free");
    // Its call timed out: it may still run.
    desk.end(Micros(0), AV1, 0, false);
    assert_eq!(
        desk.take(Micros(999_999), AV1, 0),
        Err(NoSeat::Taken("av1".into()))
    );
    desk.take(Micros(1_000_000), AV1, 0)
        .expect("its run is over");
    // Known to have ended: free at once.
    desk.end(Micros(1_000_000), AV1, 0, true);
    desk.take(Micros(1_000_001), AV1, 0).expect("free");
}

#[test]
fn a_job_of_several_licences_gets_all_or_none() {
    let mut desk = desk(1, 10_000_000);
    let both = [Licence(0), Licence(1)];
    assert_eq!(
        desk.take(Micros(0), &both, 0),
        Err(NoSeat::Taken("aac".into()))
    );
    // Nothing of it was taken.
    desk.take(Micros(0), AV1, 0).expect("free");
}

#[test]
fn without_a_reading_there_are_no_new_seats() {
    let mut desk = desk(5, 1_000);
    desk.take(Micros(999), AV1, 0).expect("in time");
    let late = desk.take(Micros(1_000), AV1, 0).expect_err("too late");
    assert_eq!(late, NoSeat::Unconfirmed("av1".into()));
    for why in [
        late,
        NoSeat::Taken(String::new()),
        NoSeat::NoPool(String::new()),
    ] {
        assert!(why.advice().contains(' ') && !why.to_string().is_empty());
    }
}

#[test]
fn what_is_given_back_is_not_granted_while_that_is_under_way() {
    let mut desk = desk(3, 60_000_000);
    // Two spans without use.
    let mut given = None;
    for at in [1_000_000, 2_100_000, 3_200_000] {
        given = given.or(desk.command(Micros(at)));
    }
    let (number, what) = given.expect("idle seats go back");
    assert_eq!(what, back("", 3));
    assert!(desk.take(Micros(3_300_000), AV1, 0).is_err());
    // The same until it is carried out, and free of it then.
    assert_eq!(desk.command(Micros(3_400_000)), Some((number, what)));
    desk.read(&reading(0, 60_000_000, number));
    assert!(desk.take(Micros(3_500_000), AV1, 0).is_err());
    assert!(matches!(
        desk.command(Micros(3_600_000)),
        Some((2, Move::Want { .. }))
    ));
}

#[test]
fn lent_seats_come_back_to_a_guaranteed_part() {
    let set = pool(10, &[("au", 4)]);
    let (mut ledger, find) = (Ledger::default(), |_: &str| Some(&set));
    // What another may have leaves au its part.
    ledger.apply(1, 1, &want("sued", 10), find);
    assert_eq!(held(&ledger, 1, 1), 6);
    ledger.apply(2, 1, &want("au", 4), find);
    assert_eq!(held(&ledger, 2, 1), 4);
    // au gives up two, which are lent once its part is lowered; then it is raised again.
    ledger.apply(2, 1, &back("au", 2), find);
    let lower = pool(10, &[("au", 2)]);
    ledger.apply(1, 1, &want("sued", 2), |_| Some(&lower));
    assert_eq!(held(&ledger, 1, 1), 8);
    ledger.apply(2, 1, &want("au", 2), find);
    assert_eq!(
        (held(&ledger, 2, 1), ledger.recalled("av1", &set, "sued")),
        (2, 2)
    );
    assert_eq!(ledger.recalled("av1", &set, "au"), 0);
    ledger.apply(1, 1, &back("sued", 2), find);
    ledger.apply(2, 1, &want("au", 2), find);
    assert_eq!(
        (held(&ledger, 2, 1), ledger.recalled("av1", &set, "sued")),
        (4, 0)
    );
}

#[test]
fn a_restarted_node_does_not_count_its_old_calls_as_free() {
    let set = pool(4, &[]);
    let (mut ledger, find) = (Ledger::default(), |_: &str| Some(&set));
    ledger.apply(1, 1, &want("", 3), find);
    ledger.apply(1, 2, &want("", 4), find);
    assert_eq!(
        (
            held(&ledger, 1, 1),
            held(&ledger, 1, 2),
            ledger.taken("av1")
        ),
        (0, 1, 4)
    );
    let (pool, ebb, _) = ledger
        .ebbing()
        .next()
        .map(|(p, e, what)| (p.to_owned(), e, what.clone()))
        .expect("one");
    ledger.apply(0, 0, &Move::Free { pool, ebb }, find);
    assert_eq!(ledger.taken("av1"), 1);
}

#[test]
fn a_pool_that_shrinks_below_what_is_held_gives_nothing_until_it_fits() {
    let mut ledger = Ledger::default();
    let (large, small) = (pool(10, &[]), pool(4, &[]));
    ledger.apply(1, 1, &want("", 8), |_| Some(&large));
    ledger.apply(2, 1, &want("", 3), |_| Some(&small));
    assert_eq!((held(&ledger, 1, 1), held(&ledger, 2, 1)), (8, 0));
    ledger.apply(1, 1, &back("", 6), |_| Some(&small));
    ledger.apply(2, 1, &want("", 3), |_| Some(&small));
    assert_eq!((held(&ledger, 1, 1), held(&ledger, 2, 1)), (2, 2));
}

#[derive(Clone, Debug)]
enum Step {
    Want(u32, u64, usize, u32),
    Back(u32, u64, usize, u32),
    Reclaim(u32, u64),
    Free(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step =
        (0..4u32, 1..3u64, 0..3usize, 0..9u32, 0..4u8).prop_map(|(node, boot, tenant, n, kind)| {
            match kind {
                0 => Step::Back(node, boot, tenant, n),
                1 => Step::Reclaim(node, boot),
                2 => Step::Free(u64::from(n)),
                _ => Step::Want(node, boot, tenant, n),
            }
        });
    proptest::collection::vec(step, 0..60)
}

proptest! {
    /// Whatever moves come: no more is given than there is, and a tenant at its part is never crowded out.
    #[test]
    fn seats_in_use_never_exceed_the_pool(steps in steps()) {
        let tenants = ["au", "sued", "nord"];
        let set = pool(12, &[("au", 4), ("sued", 3)]);
        let mut ledger = Ledger::default();
        for step in steps {
            let before = ledger.clone();
            let of = |ledger: &Ledger, tenant: &str| -> u32 {
                let mut sum: BTreeMap<String, u32> = BTreeMap::new();
                for (node, boot) in ledger.holders() {
                    for (_, tenant, seats) in ledger.holds(node, boot) {
                        *sum.entry(tenant).or_default() += seats;
                    }
                }
                for (_, _, ebb) in ledger.ebbing() {
                    *sum.entry(ebb.tenant.clone()).or_default() += ebb.seats;
                }
                sum.get(tenant).copied().unwrap_or(0)
            };
            match step {
                Step::Want(node, boot, tenant, n) => ledger.apply(node, boot, &want(tenants[tenant], n), |_| Some(&set)),
                Step::Back(node, boot, tenant, n) => ledger.apply(node, boot, &back(tenants[tenant], n), |_| Some(&set)),
                Step::Reclaim(node, boot) => ledger.apply(0, 0, &Move::Reclaim { node, boot }, |_| Some(&set)),
                Step::Free(ebb) => ledger.apply(0, 0, &Move::Free { pool: "av1".into(), ebb }, |_| Some(&set)),
            }
            prop_assert!(ledger.taken("av1") <= 12);
            // What is free is enough for every part that is not full.
            let lacking = 4u32.saturating_sub(of(&ledger, "au")) + 3u32.saturating_sub(of(&ledger, "sued"));
            prop_assert!(12 - ledger.taken("av1") >= lacking, "{before:?} -> {ledger:?}");
        }
    }
}
