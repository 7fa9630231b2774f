//! Simulates registry faults in virtual time, with self-preservation and without it: 100 workers, ten of which die at
//! different moments within ten minutes. Prints a Markdown table; the figures are the same in every run.

use marbledeck_dispatcher::{Micros, WorkerState};
use marbledeck_membership::{HealthEvidence, Membership, SelfPreservation, SourceReport, Status};
use marbledeck_platform_settings::worker_id;
use std::collections::HashMap;

const WORKERS: usize = 100;
const SECONDS: u64 = 600;
/// The seconds between two polls of the registry.
const POLL_INTERVAL: u64 = 10;

/// Whether the registry lists this worker at this second; none if the registry does not answer. `dies` is the second of
/// the worker's death.
type Fault = fn(second: u64, worker: usize, dies: Option<u64>) -> Option<bool>;

/// No fault: the registry lists a dead worker until its lease expires after 90 s.
fn no_fault(second: u64, _: usize, dies: Option<u64>) -> Option<bool> {
    Some(dies.is_none_or(|at| second < at + 90))
}

fn restarts_empty(second: u64, worker: usize, dies: Option<u64>) -> Option<bool> {
    // The list fills up with the workers' renewals, in any order, within 30 s.
    let renewed_at = 120 + 30 + (worker as u64 * 7919) % 30;
    match second {
        120.. if second < renewed_at => Some(false),
        _ => no_fault(second, worker, dies),
    }
}

fn half_expires(second: u64, worker: usize, dies: Option<u64>) -> Option<bool> {
    if (120..300).contains(&second) && worker.is_multiple_of(2) {
        Some(false)
    } else {
        no_fault(second, worker, dies)
    }
}

fn no_answer(second: u64, worker: usize, dies: Option<u64>) -> Option<bool> {
    if (60..500).contains(&second) {
        None
    } else {
        no_fault(second, worker, dies)
    }
}

fn every_other_list_empty(second: u64, worker: usize, dies: Option<u64>) -> Option<bool> {
    if (120..360).contains(&second) && (second / POLL_INTERVAL).is_multiple_of(2) {
        Some(false)
    } else {
        no_fault(second, worker, dies)
    }
}

fn simulate(name: &str, fault: Fault, policy: Option<SelfPreservation>) {
    let is_protected = policy.is_some();
    let mut membership = Membership::new(Vec::new(), Vec::new());
    let registry = membership.add_source("registry", policy);
    let ids: Vec<String> = (0..WORKERS).map(|n| format!("w{n:02}")).collect();
    let dies: Vec<Option<u64>> = (0..WORKERS)
        .map(|n| (n % 10 == 3).then(|| 30 + (n as u64 * 37) % 500))
        .collect();
    let index_by_worker: HashMap<_, _> = ids
        .iter()
        .enumerate()
        .map(|(n, id)| (worker_id(id), n))
        .collect();
    let mut ready = [false; WORKERS];
    let (mut ready_s, mut live_s, mut wrong_removals, mut probes) = (0u64, 0u64, 0u64, 0u64);
    let mut dead_but_ready = vec![0u64; WORKERS];
    for second in 0..SECONDS {
        let now = Micros(second * 1_000_000);
        let is_alive = |n: usize| dies[n].is_none_or(|at| second < at);
        let mut entries = Vec::new();
        let list: Option<Vec<bool>> = (0..WORKERS).map(|n| fault(second, n, dies[n])).collect();
        if let Some(list) = list.filter(|_| second % POLL_INTERVAL == 0) {
            let listed = (0..WORKERS).filter(|n| list[*n]);
            let report = |n: usize| {
                SourceReport::new(&ids[n], &format!("127.0.0.1:{}", 8000 + n), Status::Up)
            };
            entries.extend(
                membership
                    .apply_full_list(now, registry, listed.map(report).collect())
                    .entries,
            );
        }
        entries.extend(membership.wake(now).entries);
        for worker in membership.take_due_probes() {
            probes += 1;
            let evidence = if is_alive(index_by_worker[&worker]) {
                HealthEvidence::Alive
            } else {
                HealthEvidence::Unreachable
            };
            entries.extend(membership.record_evidence(now, worker, evidence).entries);
        }
        for entry in entries {
            let n = index_by_worker[&entry.worker];
            let is_ready = entry.state == WorkerState::Ready;
            wrong_removals += u64::from(ready[n] && !is_ready && is_alive(n));
            ready[n] = is_ready;
        }
        for n in 0..WORKERS {
            live_s += u64::from(is_alive(n));
            ready_s += u64::from(is_alive(n) && ready[n]);
            dead_but_ready[n] += u64::from(!is_alive(n) && ready[n]);
        }
    }
    let longest_s = dead_but_ready.iter().max().copied().unwrap_or(0);
    println!(
        "| {name} | {} | {:.1} % | {wrong_removals} | {longest_s} s | {probes} |",
        if is_protected { "with" } else { "without" },
        ready_s as f64 * 100.0 / live_s as f64
    );
}

fn main() {
    println!(
        "| fault | self-preservation | live workers ready | wrongly removed | dead worker ready, at most | probes |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let faults: [(&str, Fault); 5] = [
        ("none", no_fault),
        ("the registry restarts with an empty list", restarts_empty),
        ("half of the leases expire for 180 s", half_expires),
        ("the registry does not answer for 440 s", no_answer),
        (
            "every other list is empty for 240 s",
            every_other_list_empty,
        ),
    ];
    for (name, fault) in faults {
        for policy in [None, Some(SelfPreservation::default())] {
            simulate(name, fault, policy);
        }
    }
}
