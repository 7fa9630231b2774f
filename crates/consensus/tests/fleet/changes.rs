//! Changes of records, and simulations of a fleet under random faults.

use crate::simulation::{no_faults, Simulation, ALL_FAULTS, LONGEST_RUN_US, STEP_US, TERMS};
use marbledeck_consensus::{Change, Rates, RecordBody};
use marbledeck_licensing::Pool;
use std::collections::BTreeMap;

pub fn pool(seats: u32) -> Option<RecordBody> {
    Some(RecordBody::Pool(Pool {
        seats,
        guaranteed: BTreeMap::new(),
        longest_run_ms: LONGEST_RUN_US / 1000,
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

pub fn rates(rate: f64) -> Option<RecordBody> {
    Some(RecordBody::Rates(Rates {
        per_s: [("au".to_owned(), rate)].into(),
    }))
}

/// Requests one random change: of the rates, or of the exclusive list of workers. The first change creates the pool.
pub fn request_random_change(sim: &mut Simulation) {
    let Some(state) = sim.newest_state() else {
        return;
    };
    let (rates_version, out_version, pool_version) = (
        state.version("settings/rates"),
        state.version("workers/out"),
        state.version("seats/codec"),
    );
    let node = sim.rng.below(sim.nodes.len() as u64) as usize;
    let seats = sim.pool_seats;
    let out = Some(RecordBody::OutOfService([format!("w{out_version}")].into()));
    let change = match (pool_version, sim.rng.chance(0.5)) {
        (0, _) => put(
            &[("seats/codec", 0)],
            vec![("seats/codec", pool(seats))],
            &[],
        ),
        (_, true) => put(
            &[("settings/rates", rates_version)],
            vec![("settings/rates", rates(rates_version as f64))],
            &[],
        ),
        (_, false) => put(
            &[("workers/out", out_version)],
            vec![("workers/out", out)],
            &["workers/out"],
        ),
    };
    sim.request_change(node, change);
}

/// Simulates a fleet under faults and checks how long different versions of a record were active at the same time.
pub fn run_with_faults(seed: u64, nodes: usize, seconds: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 5, nodes);
    sim.run(5_000_000, no_faults(), request_random_change);
    sim.run(seconds * 1_000_000, ALL_FAULTS, request_random_change);
    let max_overlap = TERMS.max_overlap().0 as i64 + STEP_US as i64;
    for name in ["settings/rates", "seats/codec"] {
        let longest_overlap = sim.active_periods.longest_overlap(name);
        assert!(
            longest_overlap <= max_overlap,
            "seed {seed}: {name}: versions overlapped by {longest_overlap} us, {max_overlap} are allowed"
        );
    }
    let longest_overlap = sim.active_periods.longest_overlap("workers/out");
    assert!(
        longest_overlap < 0,
        "seed {seed}: versions of an exclusive record overlapped by {longest_overlap} us"
    );
    sim
}

/// The seeds to simulate. The environment may set the first one and their number; a long run takes 1,000.
pub fn seeds() -> std::ops::Range<u64> {
    let env_number = |name: &str, default| {
        std::env::var(name)
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(default)
    };
    let first = env_number("MARBLEDECK_SEED", 1);
    first..first + env_number("MARBLEDECK_HISTORIES", 24)
}
