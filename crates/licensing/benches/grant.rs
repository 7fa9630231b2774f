//! The cost of a grant: a seat of one licence, and of three, acquired and released.

#![expect(
    missing_docs,
    reason = "criterion_group! makes a public function without a doc comment"
)]

use criterion::{criterion_group, criterion_main, Criterion};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{ConfirmedSeats, LicenceId, SeatAllocation, SeatAllocator};
use std::hint::black_box;

fn grant(c: &mut Criterion) {
    let names: Vec<String> = (0..20).map(|n| format!("licence-{n}")).collect();
    let tenants: Vec<String> = (0..10).map(|n| format!("tenant-{n}")).collect();
    let mut allocator = SeatAllocator::new(names.clone(), tenants.clone(), Micros(10_000_000));
    let part = |pool: &String| SeatAllocation {
        pool: pool.clone(),
        tenant: tenants[3].clone(),
        seats: 50,
        recalled: 0,
    };
    allocator.apply_confirmed(&ConfirmedSeats {
        free_seats: Vec::new(),
        lease_expiry: Micros(u64::MAX),
        last_applied_command: 0,
        allocations: names.iter().map(part).collect(),
        pools: names
            .iter()
            .map(|name| (name.clone(), Micros(60_000_000)))
            .collect(),
    });
    for (name, licences) in [
        ("one", vec![LicenceId(7)]),
        ("three", vec![LicenceId(2), LicenceId(7), LicenceId(19)]),
    ] {
        c.bench_function(name, |b| {
            b.iter(|| {
                let now = black_box(Micros(5));
                let taken = allocator.acquire(now, black_box(&licences), 3);
                allocator.release(now, &licences, 3, true);
                taken.is_ok()
            });
        });
    }
}

criterion_group!(benches, grant);
criterion_main!(benches);
