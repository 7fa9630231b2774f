//! Runs a soak test for a range of seeds.

use std::ops::Range;

/// Environment variable with the seeds to run, as `FROM..TO`.
const SEEDS: &str = "MARBLEDECK_SOAK_SEEDS";

/// Runs a test for the seeds in `MARBLEDECK_SOAK_SEEDS`, or for these by default, and prints each fault.
///
/// # Panics
/// A seed has a fault, or the variable holds no range.
pub fn run_seeds(default: Range<u64>, mut run_seed: impl FnMut(u64) -> Vec<String>) {
    let mut found = Vec::new();
    let mut seeds_run = 0;
    for seed in seeds(default) {
        let faults = run_seed(seed);
        seeds_run += 1;
        let faults = faults
            .into_iter()
            .map(|fault| format!("seed {seed}: {fault}"));
        found.extend(faults.inspect(|fault| println!("{fault}")));
    }
    println!("{seeds_run} seeds, {} faults", found.len());
    assert!(found.is_empty(), "{}", found.join("\n"));
}

fn seeds(default: Range<u64>) -> Range<u64> {
    let named = std::env::var(SEEDS).ok();
    let range = named.as_deref().and_then(|named| named.split_once(".."));
    range.map_or(default, |(from, to)| {
        let number = |text: &str| text.parse().expect("FROM..TO");
        number(from)..number(to)
    })
}
