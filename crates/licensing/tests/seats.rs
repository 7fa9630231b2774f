//! Who holds which seats, and what a node grants of its own seats.

use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{
    ConfirmedSeats, DrainingSeats, HeldSeats, Holder, Ledger, LedgerCommand, LicenceId,
    NumberedCommand, Pool, SeatAllocation, SeatAllocator, SeatError,
};
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

fn want(tenant: &str, seats: u32) -> LedgerCommand {
    LedgerCommand::Request {
        pool: "av1".into(),
        tenant: tenant.into(),
        seats,
    }
}

fn give_back(tenant: &str, seats: u32) -> LedgerCommand {
    LedgerCommand::Return {
        pool: "av1".into(),
        tenant: tenant.into(),
        seats,
    }
}

fn held_seats(ledger: &Ledger, node: u32, incarnation: u64) -> u32 {
    ledger
        .held_by(node, incarnation)
        .iter()
        .map(|held| held.seats)
        .sum()
}

const AV1: &[LicenceId] = &[LicenceId(0)];

fn allocator(seats: u32, until: u64) -> SeatAllocator {
    let mut allocator = SeatAllocator::new(
        vec!["av1".into(), "aac".into()],
        Vec::new(),
        Micros(1_000_000),
    );
    allocator.apply_confirmed(&confirmed(seats, until, 0));
    allocator
}

fn confirmed(seats: u32, until: u64, done: u64) -> ConfirmedSeats {
    let part = |pool: &str| SeatAllocation {
        pool: pool.into(),
        tenant: String::new(),
        seats,
        recalled: 0,
    };
    ConfirmedSeats {
        free_seats: Vec::new(),
        lease_expiry: Micros(until),
        last_applied_command: done,
        allocations: vec![part("av1")],
        pools: vec![
            ("av1".into(), Micros(1_000_000)),
            ("aac".into(), Micros(1_000_000)),
        ],
    }
}

#[test]
fn an_unknown_end_holds_its_seat_for_the_longest_run() {
    let mut allocator = allocator(1, 10_000_000);
    allocator.acquire(Micros(0), AV1, 0).expect("one is free");
    // Its attempt timed out: it may still run.
    allocator.release(Micros(0), AV1, 0, false);
    assert_eq!(
        allocator.acquire(Micros(999_999), AV1, 0),
        Err(SeatError::NoneFree("av1".into()))
    );
    allocator
        .acquire(Micros(1_000_000), AV1, 0)
        .expect("its run is over");
    // The end is known: free at once.
    allocator.release(Micros(1_000_000), AV1, 0, true);
    allocator.acquire(Micros(1_000_001), AV1, 0).expect("free");
}

#[test]
fn a_job_of_several_licences_gets_all_or_none() {
    let mut allocator = allocator(1, 10_000_000);
    let both = [LicenceId(0), LicenceId(1)];
    assert_eq!(
        allocator.acquire(Micros(0), &both, 0),
        Err(SeatError::NoneFree("aac".into()))
    );
    // Nothing of it was taken.
    allocator.acquire(Micros(0), AV1, 0).expect("free");
}

#[test]
fn without_a_reading_there_are_no_new_seats() {
    let mut allocator = allocator(5, 1_000);
    allocator.acquire(Micros(999), AV1, 0).expect("in time");
    let late = allocator
        .acquire(Micros(1_000), AV1, 0)
        .expect_err("too late");
    assert_eq!(late, SeatError::Unconfirmed("av1".into()));
    for why in [
        late,
        SeatError::NoneFree(String::new()),
        SeatError::UnknownPool(String::new()),
    ] {
        assert!(why.advice().contains(' ') && !why.to_string().is_empty());
    }
}

#[test]
fn what_is_given_back_is_not_granted_while_that_is_under_way() {
    let mut allocator = allocator(3, 60_000_000);
    // Two idle periods.
    let mut given = None;
    for at in [1_000_000, 2_100_000, 3_200_000] {
        given = given.or(allocator.poll_command(Micros(at)));
    }
    let given = given.expect("idle seats go back");
    assert_eq!(given.command, give_back("", 3));
    assert!(allocator.acquire(Micros(3_300_000), AV1, 0).is_err());
    // The same command until it was applied.
    assert_eq!(
        allocator.poll_command(Micros(3_400_000)),
        Some(given.clone())
    );
    allocator.apply_confirmed(&confirmed(0, 60_000_000, given.number));
    assert!(allocator.acquire(Micros(3_500_000), AV1, 0).is_err());
    assert!(matches!(
        allocator.poll_command(Micros(3_600_000)),
        Some(NumberedCommand {
            number: 2,
            command: LedgerCommand::Request { .. }
        })
    ));
}

#[test]
fn lent_seats_come_back_to_a_guaranteed_part() {
    let configured = pool(10, &[("au", 4)]);
    let (mut ledger, find) = (Ledger::default(), |_: &str| Some(&configured));
    // What another tenant can have leaves au its guarantee.
    ledger.apply(1, 1, &want("sued", 10), find);
    assert_eq!(held_seats(&ledger, 1, 1), 6);
    ledger.apply(2, 1, &want("au", 4), find);
    assert_eq!(held_seats(&ledger, 2, 1), 4);
    // au returns two, which another gets while the guarantee is lowered; then it is raised again.
    ledger.apply(2, 1, &give_back("au", 2), find);
    let lower = pool(10, &[("au", 2)]);
    ledger.apply(1, 1, &want("sued", 2), |_| Some(&lower));
    assert_eq!(held_seats(&ledger, 1, 1), 8);
    ledger.apply(2, 1, &want("au", 2), find);
    assert_eq!(
        (
            held_seats(&ledger, 2, 1),
            ledger.recalled("av1", &configured, "sued")
        ),
        (2, 2)
    );
    assert_eq!(ledger.recalled("av1", &configured, "au"), 0);
    ledger.apply(1, 1, &give_back("sued", 2), find);
    ledger.apply(2, 1, &want("au", 2), find);
    assert_eq!(
        (
            held_seats(&ledger, 2, 1),
            ledger.recalled("av1", &configured, "sued")
        ),
        (4, 0)
    );
}

#[test]
fn a_restarted_node_does_not_count_its_old_calls_as_free() {
    let configured = pool(4, &[]);
    let (mut ledger, find) = (Ledger::default(), |_: &str| Some(&configured));
    ledger.apply(1, 1, &want("", 3), find);
    ledger.apply(1, 2, &want("", 4), find);
    assert_eq!(
        (
            held_seats(&ledger, 1, 1),
            held_seats(&ledger, 1, 2),
            ledger.taken("av1")
        ),
        (0, 1, 4)
    );
    let (pool, draining_id) = ledger
        .draining()
        .next()
        .map(|draining| (draining.pool.to_owned(), draining.draining_id))
        .expect("one");
    ledger.apply(
        0,
        0,
        &LedgerCommand::FreeDrained { pool, draining_id },
        find,
    );
    assert_eq!(ledger.taken("av1"), 1);
}

#[test]
fn a_pool_that_shrinks_below_what_is_held_gives_nothing_until_it_fits() {
    let mut ledger = Ledger::default();
    let (large, small) = (pool(10, &[]), pool(4, &[]));
    ledger.apply(1, 1, &want("", 8), |_| Some(&large));
    ledger.apply(2, 1, &want("", 3), |_| Some(&small));
    assert_eq!(
        (held_seats(&ledger, 1, 1), held_seats(&ledger, 2, 1)),
        (8, 0)
    );
    ledger.apply(1, 1, &give_back("", 6), |_| Some(&small));
    ledger.apply(2, 1, &want("", 3), |_| Some(&small));
    assert_eq!(
        (held_seats(&ledger, 1, 1), held_seats(&ledger, 2, 1)),
        (2, 2)
    );
}

#[derive(Clone, Debug)]
enum Step {
    Want(u32, u64, usize, u32),
    Back(u32, u64, usize, u32),
    Reclaim(u32, u64),
    Free(u64),
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..4u32, 1..3u64, 0..3usize, 0..9u32, 0..4u8).prop_map(
        |(node, incarnation, tenant, n, kind)| match kind {
            0 => Step::Back(node, incarnation, tenant, n),
            1 => Step::Reclaim(node, incarnation),
            2 => Step::Free(u64::from(n)),
            _ => Step::Want(node, incarnation, tenant, n),
        },
    );
    proptest::collection::vec(step, 0..60)
}

proptest! {
    /// Whatever commands come: no more seats are given than exist, and guarantees can always be met.
    #[test]
    fn seats_in_use_never_exceed_the_pool(steps in any_steps()) {
        let tenants = ["au", "sued", "nord"];
        let configured = pool(12, &[("au", 4), ("sued", 3)]);
        let mut ledger = Ledger::default();
        for step in steps {
            let before = ledger.clone();
            let of = |ledger: &Ledger, tenant: &str| -> u32 {
                let mut sum: BTreeMap<String, u32> = BTreeMap::new();
                for Holder { node, incarnation } in ledger.holders() {
                    for HeldSeats { tenant, seats, .. } in ledger.held_by(node, incarnation) {
                        *sum.entry(tenant).or_default() += seats;
                    }
                }
                for DrainingSeats { lease, .. } in ledger.draining() {
                    *sum.entry(lease.tenant.clone()).or_default() += lease.seats;
                }
                sum.get(tenant).copied().unwrap_or(0)
            };
            match step {
                Step::Want(node, incarnation, tenant, n) => ledger.apply(node, incarnation, &want(tenants[tenant], n), |_| Some(&configured)),
                Step::Back(node, incarnation, tenant, n) => ledger.apply(node, incarnation, &give_back(tenants[tenant], n), |_| Some(&configured)),
                Step::Reclaim(node, incarnation) => ledger.apply(0, 0, &LedgerCommand::Reclaim { node, incarnation }, |_| Some(&configured)),
                Step::Free(draining_id) => ledger.apply(0, 0, &LedgerCommand::FreeDrained { pool: "av1".into(), draining_id }, |_| Some(&configured)),
            }
            prop_assert!(ledger.taken("av1") <= 12);
            // The free seats suffice for what every guarantee lacks.
            let lacking = 4u32.saturating_sub(of(&ledger, "au")) + 3u32.saturating_sub(of(&ledger, "sued"));
            prop_assert!(12 - ledger.taken("av1") >= lacking, "{before:?} -> {ledger:?}");
        }
    }
}
