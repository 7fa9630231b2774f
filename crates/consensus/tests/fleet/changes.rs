//! Changes of records, and histories of a fleet under faults.

use crate::world::{no_faults, World, ALL_FAULTS, LONGEST, STEP, TERMS};
use marbledeck_consensus::{Change, Rates, RecordBody};
use marbledeck_licensing::Pool;
use std::collections::BTreeMap;

pub fn pool(seats: u32) -> Option<RecordBody> {
    Some(RecordBody::Pool(Pool {
        seats,
        guaranteed: BTreeMap::new(),
        longest_run_ms: LONGEST / 1000,
    }))
}

pub fn put(
    expect: &[(&str, u64)],
    bodies: Vec<(&str, Option<RecordBody>)>,
    exclusive: &[&str],
) -> Change {
    Change {
        expect: expect
            .iter()
            .map(|(name, version)| ((*name).to_owned(), *version))
            .collect(),
        put: bodies
            .into_iter()
            .map(|(name, body)| (name.to_owned(), body))
            .collect(),
        exclusive: exclusive.iter().map(|name| (*name).to_owned()).collect(),
    }
}

pub fn rates(of: f64) -> Option<RecordBody> {
    Some(RecordBody::Rates(Rates {
        per_s: [("au".to_owned(), of)].into(),
    }))
}

/// A second's changes: rates, and a list of which no two versions may act at a time.
pub fn change_some(world: &mut World) {
    let Some(book) = world.newest() else {
        return;
    };
    let (r, o, p) = (
        book.version("settings/rates"),
        book.version("workers/out"),
        book.version("seats/codec"),
    );
    let n = world.rng.below(world.nodes.len() as u64) as usize;
    let seats = world.pool;
    let out = Some(RecordBody::OutOfService([format!("w{o}")].into()));
    let change = match (p, world.rng.chance(0.5)) {
        (0, _) => put(
            &[("seats/codec", 0)],
            vec![("seats/codec", pool(seats))],
            &[],
        ),
        (_, true) => put(
            &[("settings/rates", r)],
            vec![("settings/rates", rates(r as f64))],
            &[],
        ),
        (_, false) => put(
            &[("workers/out", o)],
            vec![("workers/out", out)],
            &["workers/out"],
        ),
    };
    world.change(n, change);
}

pub fn history(seed: u64, nodes: usize, seconds: u64) -> World {
    let mut world = World::new(seed, 5, nodes);
    world.run(5_000_000, no_faults(), change_some);
    world.run(seconds * 1_000_000, ALL_FAULTS, change_some);
    let overlap = TERMS.max_overlap().0 as i64 + STEP as i64;
    for name in ["settings/rates", "seats/codec"] {
        let worst = world.acts.worst(name);
        assert!(
            worst <= overlap,
            "seed {seed}: {name}: {worst} us of overlap, {overlap} are allowed"
        );
    }
    let worst = world.acts.worst("workers/out");
    assert!(
        worst < 0,
        "seed {seed}: versions of an exclusive record overlapped by {worst} us"
    );
    world
}

/// Histories of faults: the first seed, and how many, may be set; a long run takes 1,000.
pub fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str, or| {
        std::env::var(name)
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(or)
    };
    let first = number("MARBLEDECK_SEED", 1);
    first..first + number("MARBLEDECK_HISTORIES", 24)
}
