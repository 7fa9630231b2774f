//! Benchmarks a grant: acquiring and releasing a seat of one licence, and of three licences.

#![expect(
    missing_docs,
    reason = "criterion_group! makes a public function without a doc comment"
)]

use criterion::{criterion_group, criterion_main, Criterion};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{ConfirmedSeats, LicenceId, SeatAllocation, SeatAllocator};
use std::hint::black_box;

fn grant(criterion: &mut Criterion) {
    let names: Vec<String> = (0..20).map(|n| format!("licence-{n}")).collect();
    let tenants: Vec<String> = (0..10).map(|n| format!("tenant-{n}")).collect();
    let mut allocator = SeatAllocator::new(names.clone(), tenants.clone(), Micros(10_000_000));
    let allocation = |pool: &String| SeatAllocation {
        pool: pool.clone(),
        tenant: tenants[3].clone(),
        seats: 50,
        recalled: 0,
    };
    allocator.apply_confirmed(&ConfirmedSeats {
        free_seats: Vec::new(),
        lease_expiry: Micros(u64::MAX),
        last_applied_command: 0,
        allocations: names.iter().map(allocation).collect(),
        pools: names
            .iter()
            .map(|name| (name.clone(), Micros(60_000_000)))
            .collect(),
    });
    for (name, licences) in [
        ("one", vec![LicenceId(7)]),
        ("three", vec![LicenceId(2), LicenceId(7), LicenceId(19)]),
    ] {
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                let now = black_box(Micros(5));
                let granted = allocator.acquire(now, black_box(&licences), 3);
                allocator.release(now, &licences, 3, true);
                granted.is_ok()
            });
        });
    }
}

criterion_group!(benches, grant);
criterion_main!(benches);
