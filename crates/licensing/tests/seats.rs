//! Tests of the ledger, which records who holds which seats, and of the allocator, which grants a node's own seats.

use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{
    ConfirmedSeats, DrainingSeats, HeldSeats, Holder, Ledger, LedgerCommand, LicenceId,
    NumberedCommand, Pool, SeatAllocation, SeatAllocator, SeatError,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn pool(seats: u32, guarantees: &[(&str, u32)]) -> Pool {
    let guaranteed = guarantees
        .iter()
        .map(|(t, n)| ((*t).to_owned(), *n))
        .collect();
    Pool {
        seats,
        guaranteed,
        longest_run_ms: 1000,
    }
}

fn request(tenant: &str, seats: u32) -> LedgerCommand {
    LedgerCommand::Request {
        pool: "av1".into(),
        tenant: tenant.into(),
        seats,
    }
}

fn return_seats(tenant: &str, seats: u32) -> LedgerCommand {
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

fn allocator(seats: u32, lease_expiry: u64) -> SeatAllocator {
    let mut allocator = SeatAllocator::new(
        vec!["av1".into(), "aac".into()],
        Vec::new(),
        Micros(1_000_000),
    );
    allocator.apply_confirmed(&confirmed(seats, lease_expiry, 0));
    allocator
}

fn confirmed(seats: u32, lease_expiry: u64, last_applied_command: u64) -> ConfirmedSeats {
    let allocation = |pool: &str| SeatAllocation {
        pool: pool.into(),
        tenant: String::new(),
        seats,
        recalled: 0,
    };
    ConfirmedSeats {
        free_seats: Vec::new(),
        lease_expiry: Micros(lease_expiry),
        last_applied_command,
        allocations: vec![allocation("av1")],
        pools: vec![
            ("av1".into(), Micros(1_000_000)),
            ("aac".into(), Micros(1_000_000)),
        ],
    }
}

#[test]
fn the_seat_of_an_unknown_end_stays_in_use_for_the_longest_run() {
    let mut allocator = allocator(1, 10_000_000);
    allocator.acquire(Micros(0), AV1, 0).expect("one is free");
    // The attempt timed out and may still run.
    allocator.release(Micros(0), AV1, 0, false);
    assert_eq!(
        allocator.acquire(Micros(999_999), AV1, 0),
        Err(SeatError::NoneFree("av1".into()))
    );
    allocator
        .acquire(Micros(1_000_000), AV1, 0)
        .expect("the longest run has passed");
    // A seat whose attempt is known to have ended is free at once.
    allocator.release(Micros(1_000_000), AV1, 0, true);
    allocator.acquire(Micros(1_000_001), AV1, 0).expect("free");
}

#[test]
fn an_attempt_acquires_all_its_licences_or_none() {
    let mut allocator = allocator(1, 10_000_000);
    let both = [LicenceId(0), LicenceId(1)];
    assert_eq!(
        allocator.acquire(Micros(0), &both, 0),
        Err(SeatError::NoneFree("aac".into()))
    );
    // The denied attempt took no seat of the first licence either.
    allocator.acquire(Micros(0), AV1, 0).expect("free");
}

#[test]
fn no_seat_is_granted_after_the_lease_has_expired() {
    let mut allocator = allocator(5, 1_000);
    allocator.acquire(Micros(999), AV1, 0).expect("in time");
    let expired = allocator
        .acquire(Micros(1_000), AV1, 0)
        .expect_err("too late");
    assert_eq!(expired, SeatError::Unconfirmed("av1".into()));
    for error in [
        expired,
        SeatError::NoneFree(String::new()),
        SeatError::UnknownPool(String::new()),
    ] {
        assert!(error.advice().contains(' ') && !error.to_string().is_empty());
    }
}

#[test]
fn seats_that_are_being_returned_are_not_granted() {
    let mut allocator = allocator(3, 60_000_000);
    // Idle seats are returned after two idle periods.
    let mut return_command = None;
    for at in [1_000_000, 2_100_000, 3_200_000] {
        return_command = return_command.or(allocator.poll_command(Micros(at)));
    }
    let return_command = return_command.expect("idle seats go back");
    assert_eq!(return_command.command, return_seats("", 3));
    assert!(allocator.acquire(Micros(3_300_000), AV1, 0).is_err());
    // The same command is repeated until it is applied.
    assert_eq!(
        allocator.poll_command(Micros(3_400_000)),
        Some(return_command.clone())
    );
    allocator.apply_confirmed(&confirmed(0, 60_000_000, return_command.number));
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
fn seats_beyond_a_guarantee_are_recalled_for_another_tenant() {
    let configured = pool(10, &[("au", 4)]);
    let (mut ledger, find) = (Ledger::default(), |_: &str| Some(&configured));
    // Another tenant is granted only the seats beyond the guarantee of au.
    ledger.apply(1, 1, &request("sued", 10), find);
    assert_eq!(held_seats(&ledger, 1, 1), 6);
    ledger.apply(2, 1, &request("au", 4), find);
    assert_eq!(held_seats(&ledger, 2, 1), 4);
    // au returns two seats. Another tenant gets them while the guarantee is lowered; then it is raised again.
    ledger.apply(2, 1, &return_seats("au", 2), find);
    let lower = pool(10, &[("au", 2)]);
    ledger.apply(1, 1, &request("sued", 2), |_| Some(&lower));
    assert_eq!(held_seats(&ledger, 1, 1), 8);
    ledger.apply(2, 1, &request("au", 2), find);
    assert_eq!(
        (
            held_seats(&ledger, 2, 1),
            ledger.recalled("av1", &configured, "sued")
        ),
        (2, 2)
    );
    assert_eq!(ledger.recalled("av1", &configured, "au"), 0);
    ledger.apply(1, 1, &return_seats("sued", 2), find);
    ledger.apply(2, 1, &request("au", 2), find);
    assert_eq!(
        (
            held_seats(&ledger, 2, 1),
            ledger.recalled("av1", &configured, "sued")
        ),
        (4, 0)
    );
}

#[test]
fn seats_of_an_earlier_incarnation_drain_before_they_are_free() {
    let configured = pool(4, &[]);
    let (mut ledger, find) = (Ledger::default(), |_: &str| Some(&configured));
    ledger.apply(1, 1, &request("", 3), find);
    ledger.apply(1, 2, &request("", 4), find);
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
fn a_pool_smaller_than_the_held_seats_grants_none_until_enough_are_returned() {
    let mut ledger = Ledger::default();
    let (large, small) = (pool(10, &[]), pool(4, &[]));
    ledger.apply(1, 1, &request("", 8), |_| Some(&large));
    ledger.apply(2, 1, &request("", 3), |_| Some(&small));
    assert_eq!(
        (held_seats(&ledger, 1, 1), held_seats(&ledger, 2, 1)),
        (8, 0)
    );
    ledger.apply(1, 1, &return_seats("", 6), |_| Some(&small));
    ledger.apply(2, 1, &request("", 3), |_| Some(&small));
    assert_eq!(
        (held_seats(&ledger, 1, 1), held_seats(&ledger, 2, 1)),
        (2, 2)
    );
}

#[derive(Clone, Debug)]
enum Step {
    Request(u32, u64, usize, u32),
    Return(u32, u64, usize, u32),
    Reclaim(u32, u64),
    Free(u64),
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..4u32, 1..3u64, 0..3usize, 0..9u32, 0..4u8).prop_map(
        |(node, incarnation, tenant, n, kind)| match kind {
            0 => Step::Return(node, incarnation, tenant, n),
            1 => Step::Reclaim(node, incarnation),
            2 => Step::Free(u64::from(n)),
            _ => Step::Request(node, incarnation, tenant, n),
        },
    );
    proptest::collection::vec(step, 0..60)
}

proptest! {
    /// For any commands, no more seats are taken than the pool has, and all guarantees can still be met.
    #[test]
    fn taken_seats_never_exceed_the_pool_or_break_a_guarantee(steps in any_steps()) {
        let tenants = ["au", "sued", "nord"];
        let configured = pool(12, &[("au", 4), ("sued", 3)]);
        let mut ledger = Ledger::default();
        for step in steps {
            let before = ledger.clone();
            let taken_by = |ledger: &Ledger, tenant: &str| -> u32 {
                let mut seats_by_tenant: BTreeMap<String, u32> = BTreeMap::new();
                for Holder { node, incarnation } in ledger.holders() {
                    for HeldSeats { tenant, seats, .. } in ledger.held_by(node, incarnation) {
                        *seats_by_tenant.entry(tenant).or_default() += seats;
                    }
                }
                for DrainingSeats { lease, .. } in ledger.draining() {
                    *seats_by_tenant.entry(lease.tenant.clone()).or_default() += lease.seats;
                }
                seats_by_tenant.get(tenant).copied().unwrap_or(0)
            };
            match step {
                Step::Request(node, incarnation, tenant, n) => ledger.apply(node, incarnation, &request(tenants[tenant], n), |_| Some(&configured)),
                Step::Return(node, incarnation, tenant, n) => ledger.apply(node, incarnation, &return_seats(tenants[tenant], n), |_| Some(&configured)),
                Step::Reclaim(node, incarnation) => ledger.apply(0, 0, &LedgerCommand::Reclaim { node, incarnation }, |_| Some(&configured)),
                Step::Free(draining_id) => ledger.apply(0, 0, &LedgerCommand::FreeDrained { pool: "av1".into(), draining_id }, |_| Some(&configured)),
            }
            prop_assert!(ledger.taken("av1") <= 12);
            // The free seats suffice to meet every guarantee.
            let lacking = 4u32.saturating_sub(taken_by(&ledger, "au")) + 3u32.saturating_sub(taken_by(&ledger, "sued"));
            prop_assert!(12 - ledger.taken("av1") >= lacking, "{before:?} -> {ledger:?}");
        }
    }
}
