//! What a registry's bad days cost, with the policy and without it, in virtual time: 100 workers, of which ten die at
//! different moments of ten minutes. Prints Markdown; the same figures at every run.

use marbledeck_dispatcher::{Micros, WorkerState};
use marbledeck_membership::{HealthEvidence, Membership, SelfPreservation, SourceReport, Status};
use marbledeck_platform_settings::worker_id;
use std::collections::HashMap;

const WORKERS: usize = 100;
const SECONDS: u64 = 600;
/// The registry is read this often.
const POLL: u64 = 10;

/// What the registry's list holds at this second, of those whose leases it knows.
type Day = fn(second: u64, worker: usize, dies: Option<u64>) -> Option<bool>;

/// A registry that is well: a dead worker's lease runs out 90 s later.
fn well(second: u64, _: usize, dies: Option<u64>) -> Option<bool> {
    Some(dies.is_none_or(|at| second < at + 90))
}

fn restarts_empty(second: u64, worker: usize, dies: Option<u64>) -> Option<bool> {
    // It fills as renewals come, in any order, within 30 s.
    let back = 120 + 30 + (worker as u64 * 7919) % 30;
    match second {
        120.. if second < back => Some(false),
        _ => well(second, worker, dies),
    }
}

fn expires_half(second: u64, worker: usize, dies: Option<u64>) -> Option<bool> {
    if (120..300).contains(&second) && worker.is_multiple_of(2) {
        Some(false)
    } else {
        well(second, worker, dies)
    }
}

fn silent(second: u64, worker: usize, dies: Option<u64>) -> Option<bool> {
    if (60..500).contains(&second) {
        None
    } else {
        well(second, worker, dies)
    }
}

fn flaps(second: u64, worker: usize, dies: Option<u64>) -> Option<bool> {
    if (120..360).contains(&second) && (second / POLL).is_multiple_of(2) {
        Some(false)
    } else {
        well(second, worker, dies)
    }
}

fn play(name: &str, day: Day, policy: Option<SelfPreservation>) {
    let protected = policy.is_some();
    let mut members = Membership::new(Vec::new(), Vec::new());
    let registry = members.add_source("registry", policy);
    let ids: Vec<String> = (0..WORKERS).map(|n| format!("w{n:02}")).collect();
    let dies: Vec<Option<u64>> = (0..WORKERS)
        .map(|n| (n % 10 == 3).then(|| 30 + (n as u64 * 37) % 500))
        .collect();
    let by_worker: HashMap<_, _> = ids
        .iter()
        .enumerate()
        .map(|(n, id)| (worker_id(id), n))
        .collect();
    let mut ready = [false; WORKERS];
    let (mut served, mut alive, mut wrong, mut probes) = (0u64, 0u64, 0u64, 0u64);
    let mut dead_in = vec![0u64; WORKERS];
    for second in 0..SECONDS {
        let now = Micros(second * 1_000_000);
        let lives = |n: usize| dies[n].is_none_or(|at| second < at);
        let mut entries = Vec::new();
        let list: Option<Vec<bool>> = (0..WORKERS).map(|n| day(second, n, dies[n])).collect();
        if let Some(list) = list.filter(|_| second % POLL == 0) {
            let named = (0..WORKERS).filter(|n| list[*n]);
            let report = |n: usize| {
                SourceReport::new(&ids[n], &format!("127.0.0.1:{}", 8000 + n), Status::Up)
            };
            entries.extend(
                members
                    .apply_full_list(now, registry, named.map(report).collect())
                    .entries,
            );
        }
        entries.extend(members.wake(now).entries);
        for worker in members.take_due_probes() {
            probes += 1;
            let evidence = if lives(by_worker[&worker]) {
                HealthEvidence::Alive
            } else {
                HealthEvidence::Unreachable
            };
            entries.extend(members.record_evidence(now, worker, evidence).entries);
        }
        for entry in entries {
            let n = by_worker[&entry.worker];
            let is = entry.state == WorkerState::Ready;
            wrong += u64::from(ready[n] && !is && lives(n));
            ready[n] = is;
        }
        for n in 0..WORKERS {
            alive += u64::from(lives(n));
            served += u64::from(lives(n) && ready[n]);
            dead_in[n] += u64::from(!lives(n) && ready[n]);
        }
    }
    let longest = dead_in.iter().max().copied().unwrap_or(0);
    println!(
        "| {name} | {} | {:.1} % | {wrong} | {longest} s | {probes} |",
        if protected { "with" } else { "without" },
        served as f64 * 100.0 / alive as f64
    );
}

fn main() {
    println!(
        "| day | policy | living workers in | wrongly taken out | a dead one in, at most | probes |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let days: [(&str, Day); 5] = [
        ("the registry is well", well),
        ("it restarts empty", restarts_empty),
        ("it expires half of the fleet for 180 s", expires_half),
        ("it says nothing for 440 s", silent),
        ("every other list is empty, for 240 s", flaps),
    ];
    for (name, day) in days {
        for policy in [None, Some(SelfPreservation::default())] {
            play(name, day, policy);
        }
    }
}
