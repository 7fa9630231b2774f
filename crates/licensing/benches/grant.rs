//! What a grant costs a job: a seat of one licence, and of three, taken and given back.

use criterion::{criterion_group, criterion_main, Criterion};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{Desk, Licence, Part, Reading};
use std::hint::black_box;

fn grant(c: &mut Criterion) {
    let names: Vec<String> = (0..20).map(|n| format!("licence-{n}")).collect();
    let tenants: Vec<String> = (0..10).map(|n| format!("tenant-{n}")).collect();
    let mut desk = Desk::new(names.clone(), tenants.clone(), Micros(10_000_000));
    let part = |pool: &String| Part {
        pool: pool.clone(),
        tenant: tenants[3].clone(),
        seats: 50,
        recalled: 0,
    };
    desk.read(&Reading {
        free: Vec::new(),
        until: Micros(u64::MAX),
        done: 0,
        parts: names.iter().map(part).collect(),
        pools: names
            .iter()
            .map(|name| (name.clone(), Micros(60_000_000)))
            .collect(),
    });
    for (name, licences) in [
        ("one", vec![Licence(7)]),
        ("three", vec![Licence(2), Licence(7), Licence(19)]),
    ] {
        c.bench_function(name, |b| {
            b.iter(|| {
                let now = black_box(Micros(5));
                let taken = desk.take(now, black_box(&licences), 3);
                desk.end(now, &licences, 3, true);
                taken.is_ok()
            });
        });
    }
}

criterion_group!(benches, grant);
criterion_main!(benches);
