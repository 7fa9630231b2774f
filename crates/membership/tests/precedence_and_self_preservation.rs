//! Tests of the precedence rules and of self-preservation.

use marbledeck_dispatcher::{Micros, WorkerEntry, WorkerState};
use marbledeck_membership::{
    HealthEvidence, Membership, MembershipChange, SelfPreservation, SourceId, SourceReport, Status,
};
use marbledeck_platform_settings::worker_id;

fn secs(s: u64) -> Micros {
    Micros(s * 1_000_000)
}

fn up(id: &str, port: u16) -> SourceReport {
    SourceReport::new(id, &format!("127.0.0.1:{port}"), Status::Up)
}

fn state(change: &MembershipChange, id: &str) -> Option<WorkerState> {
    let entry = change
        .entries
        .iter()
        .rev()
        .find(|entry: &&WorkerEntry| entry.worker == worker_id(id));
    entry.map(|entry| entry.state)
}

fn with_self_preservation() -> (Membership, SourceId) {
    let mut members = Membership::new(vec!["east".into(), "west".into()], vec!["std".into()]);
    let registry = members.add_source("registry", Some(SelfPreservation::default()));
    (members, registry)
}

/// A registry that restarts with an empty list and fills up in any order removes no worker and changes no entry.
#[test]
fn an_empty_list_after_a_restart_removes_no_worker() {
    let (mut members, registry) = with_self_preservation();
    let reports: Vec<SourceReport> = (0..100).map(|n| up(&format!("w{n}"), 8000 + n)).collect();
    assert_eq!(
        members
            .apply_full_list(secs(0), registry, reports.clone())
            .entries
            .len(),
        100
    );
    assert!(members
        .apply_full_list(secs(10), registry, Vec::new())
        .entries
        .is_empty());
    assert_eq!(members.suspected(), 100);
    for (n, report) in reports.into_iter().rev().enumerate() {
        let change = members.apply_report(secs(11), registry, report);
        assert!(
            change.entries.is_empty() && change.stale_workers.is_empty(),
            "{n}"
        );
    }
    assert_eq!(members.suspected(), 0);
}

/// Half of the fleet's leases expire at once. Workers that answer probes stay for the whole retention; dead ones are
/// removed after `max_failures` probes.
#[test]
fn workers_missing_from_a_list_are_removed_when_dead_or_after_the_retention() {
    let (mut members, registry) = with_self_preservation();
    let reports: Vec<SourceReport> = (0..10).map(|n| up(&format!("w{n}"), 8000 + n)).collect();
    members.apply_full_list(secs(0), registry, reports.clone());
    members.apply_full_list(secs(1), registry, reports[..5].to_vec());
    let policy = SelfPreservation::default();
    let mut removals = Vec::new();
    for second in 1..400 {
        let now = secs(second);
        let mut change = members.wake(now);
        // w5 to w7 answer their probes; w8 and w9 are dead.
        for worker in members.take_due_probes() {
            let dead = [worker_id("w8"), worker_id("w9")].contains(&worker);
            let evidence = if dead {
                HealthEvidence::Unreachable
            } else {
                HealthEvidence::Alive
            };
            change
                .entries
                .extend(members.record_evidence(now, worker, evidence).entries);
        }
        removals.extend(
            change
                .entries
                .iter()
                .map(|entry| (second, entry.worker, entry.state)),
        );
    }
    let removed_at = |id: &str| {
        removals
            .iter()
            .find(|(_, worker, _)| *worker == worker_id(id))
            .map(|(at, ..)| *at)
    };
    for dead in ["w8", "w9"] {
        let at = removed_at(dead).expect("a dead worker is removed");
        assert!(
            at <= 1 + u64::from(policy.max_failures) * 2 + 1,
            "{dead} at {at}"
        );
    }
    for alive in ["w5", "w6", "w7"] {
        assert_eq!(removed_at(alive), Some(1 + 300), "{alive}");
    }
    assert_eq!(removals.len(), 5);
    assert!(removals
        .iter()
        .all(|(.., state)| *state == WorkerState::Removed));
}

/// With more suspected workers than the probe budget, no interval has more probes than the budget, and every worker is
/// probed.
#[test]
fn probes_keep_to_their_budget_and_reach_every_suspected_worker() {
    let mut members = Membership::new(Vec::new(), Vec::new());
    let policy = SelfPreservation {
        probe_budget: 10,
        ..SelfPreservation::default()
    };
    let registry = members.add_source("registry", Some(policy));
    members.apply_full_list(
        secs(0),
        registry,
        (0..35).map(|n| up(&format!("w{n}"), 8000 + n)).collect(),
    );
    members.apply_full_list(secs(0), registry, Vec::new());
    let (mut probes_by_worker, mut probed_at) = (std::collections::HashMap::new(), Vec::new());
    let mut now = secs(0);
    while now < secs(16) {
        members.wake(now);
        for worker in members.take_due_probes() {
            probed_at.push(now);
            *probes_by_worker.entry(worker).or_insert(0) += 1;
            members.record_evidence(now, worker, HealthEvidence::Alive);
        }
        now = members
            .next_wake()
            .expect("a check is scheduled")
            .max(now + Micros(1));
    }
    for (n, at) in probed_at.iter().enumerate() {
        let within = probed_at[n..]
            .iter()
            .take_while(|later| **later < *at + secs(2) - Micros(8))
            .count();
        assert!(within <= 10, "{within} probes in one interval");
    }
    assert_eq!(probes_by_worker.len(), 35);
    assert!(
        probes_by_worker
            .values()
            .all(|probes| (1..=4).contains(probes)),
        "{probes_by_worker:?}"
    );
}

/// Self-preservation delays no explicit report.
#[test]
fn explicit_reports_are_applied_at_once() {
    let (mut members, registry) = with_self_preservation();
    members.apply_full_list(secs(0), registry, vec![up("w1", 8001), up("w2", 8002)]);
    members.apply_full_list(secs(1), registry, Vec::new());
    let report = SourceReport {
        status: Status::OutOfService,
        ..up("w1", 8001)
    };
    assert_eq!(
        state(&members.apply_report(secs(1), registry, report), "w1"),
        Some(WorkerState::Draining)
    );
    assert_eq!(
        state(&members.remove_worker(secs(1), registry, "w2", true), "w2"),
        Some(WorkerState::Removed)
    );
    // A worker that was out of service and is missing is removed at once.
    assert_eq!(
        state(&members.remove_worker(secs(2), registry, "w1", false), "w1"),
        Some(WorkerState::Removed)
    );
}

/// While a registry is silent, its workers are removed only by health evidence, and the next list brings them back.
#[test]
fn a_silent_registry_removes_only_unreachable_workers() {
    let (mut members, registry) = with_self_preservation();
    members.apply_full_list(secs(0), registry, vec![up("w1", 8001), up("w2", 8002)]);
    let mut now = secs(0);
    while now < secs(1000) {
        now = members
            .next_wake()
            .expect("a check is scheduled")
            .max(now + Micros(1));
        assert!(members.wake(now).entries.is_empty());
        for worker in members.take_due_probes() {
            let evidence = if worker == worker_id("w2") && now > secs(500) {
                HealthEvidence::Unreachable
            } else {
                HealthEvidence::Alive
            };
            let change = members.record_evidence(now, worker, evidence);
            assert!(change
                .entries
                .iter()
                .all(|entry| entry.worker == worker_id("w2") && now > secs(500)));
        }
    }
    assert_eq!(
        (members.is_known("w1"), members.is_known("w2")),
        (true, false)
    );
    let change = members.apply_full_list(now, registry, vec![up("w1", 8001), up("w2", 8002)]);
    assert_eq!(
        (change.entries.len(), state(&change, "w2")),
        (1, Some(WorkerState::Ready))
    );
    assert_eq!(members.suspected(), 0);
}

/// An operator's call overrides a drain of any source, and a drain overrides up. The latest start counts, and decides
/// between two addresses.
#[test]
fn precedence_of_operators_drains_and_latest_starts() {
    let mut members = Membership::new(vec!["east".into()], Vec::new());
    let first = members.add_source("directory", None);
    let second = members.add_source("registry", None);
    let started = |at, port| SourceReport {
        started_at: Some(secs(at)),
        zone: "east".into(),
        ..up("w1", port)
    };
    members.apply_report(secs(9), first, started(5, 8001));
    let change = members.apply_report(secs(9), second, started(7, 8002));
    assert_eq!(change.entries[0].started_at, Some(secs(7)));
    assert_eq!(change.stale_workers, [worker_id("w1")], "it has moved");
    assert_eq!(
        members.endpoint(worker_id("w1")).unwrap().address.port(),
        8002
    );
    let drain = SourceReport {
        status: Status::Draining,
        ..started(5, 8001)
    };
    assert_eq!(
        state(&members.apply_report(secs(9), first, drain), "w1"),
        Some(WorkerState::Draining)
    );
    assert!(members
        .apply_report(secs(9), second, started(7, 8002))
        .entries
        .is_empty());
    members.apply_report(secs(9), first, started(5, 8001));
    assert_eq!(
        state(&members.set_out_of_service("w1", true), "w1"),
        Some(WorkerState::Draining)
    );
    assert!(members
        .apply_report(secs(9), second, started(7, 8002))
        .entries
        .is_empty());
    assert_eq!(members.views(secs(9))[0].reason, "out by hand");
    assert_eq!(
        state(&members.set_out_of_service("w1", false), "w1"),
        Some(WorkerState::Ready)
    );
    assert!(members
        .remove_worker(secs(9), second, "w1", true)
        .stale_workers
        .contains(&worker_id("w1")));
    assert_eq!(
        members.endpoint(worker_id("w1")).unwrap().address.port(),
        8001
    );
}

/// A directory and a registry that both report the workers w1 and w2 as up.
fn with_directory_and_registry() -> (Membership, SourceId, SourceId) {
    let mut members = Membership::new(Vec::new(), Vec::new());
    let directory = members.add_source("directory", None);
    let registry = members.add_source("registry", Some(SelfPreservation::default()));
    for source in [directory, registry] {
        members.apply_full_list(secs(0), source, vec![up("w1", 8001), up("w2", 8002)]);
    }
    (members, directory, registry)
}

fn current_state(members: &Membership, id: &str) -> WorkerState {
    let entry = members.entry(id);
    entry.map_or(WorkerState::Removed, |entry| entry.state)
}

/// Guards against work for a worker that one source has told to be gone while another still reports it as up: with
/// either order of the sources, a change or a complete list without it, and lists of the other source that come later.
#[test]
fn a_worker_told_to_be_gone_gets_nothing_by_another_sources_up() {
    for by_list in [false, true] {
        let (mut members, directory, registry) = with_directory_and_registry();
        let drain = SourceReport {
            status: Status::Draining,
            ..up("w2", 8002)
        };
        members.apply_report(secs(1), directory, drain);
        let change = if by_list {
            members.apply_full_list(secs(2), directory, vec![up("w1", 8001)])
        } else {
            members.remove_worker(secs(2), directory, "w2", true)
        };
        assert_eq!(state(&change, "w2"), None, "it stays out");
        for second in 3..400 {
            members.apply_full_list(secs(second), registry, vec![up("w1", 8001), up("w2", 8002)]);
            assert_eq!(current_state(&members, "w2"), WorkerState::Draining);
        }
        assert_eq!(members.view(secs(9), "w2").reason, "directory says removed");
        let change = members.apply_report(secs(400), directory, up("w2", 8002));
        assert_eq!(state(&change, "w2"), Some(WorkerState::Ready));
    }
    let (mut members, directory, registry) = with_directory_and_registry();
    members.remove_worker(secs(1), registry, "w2", true);
    members.apply_full_list(secs(2), directory, vec![up("w1", 8001), up("w2", 8002)]);
    assert_eq!(current_state(&members, "w2"), WorkerState::Draining);
    members.apply_report(secs(3), registry, up("w2", 8002));
    assert_eq!(current_state(&members, "w2"), WorkerState::Ready);
}

/// Guards against a registry's empty list that brings a worker back in which the registry has taken out of service, by
/// the report of another source. The word ends with the retention, and not by failures of the worker.
#[test]
fn a_registry_that_loses_a_drained_worker_does_not_bring_it_back() {
    let (mut members, _, registry) = with_directory_and_registry();
    let out = SourceReport {
        status: Status::OutOfService,
        ..up("w2", 8002)
    };
    members.apply_report(secs(1), registry, out);
    members.apply_full_list(secs(2), registry, Vec::new());
    let retention = SelfPreservation::default().retention;
    for second in 2..2 + retention.0 / 1_000_000 {
        members.wake(secs(second));
        members.take_due_probes();
        members.record_evidence(secs(second), worker_id("w2"), HealthEvidence::Unreachable);
        assert_eq!(current_state(&members, "w2"), WorkerState::Draining);
    }
    let change = members.wake(secs(2) + retention);
    assert_eq!(state(&change, "w2"), Some(WorkerState::Ready));
}

/// Guards against an outdated list that brings a worker back after all sources have stopped naming it, and against a
/// departure that counts for ever.
#[test]
fn a_departure_counts_until_no_source_has_named_the_worker_for_the_retention() {
    let retention = SelfPreservation::default().retention;
    for (later, expected) in [
        (secs(10), WorkerState::Draining),
        (retention, WorkerState::Ready),
    ] {
        let (mut members, directory, registry) = with_directory_and_registry();
        members.remove_worker(secs(1), directory, "w2", true);
        members.remove_worker(secs(5), registry, "w2", true);
        assert_eq!(current_state(&members, "w2"), WorkerState::Removed);
        members.apply_report(secs(5) + later, registry, up("w2", 8002));
        assert_eq!(current_state(&members, "w2"), expected);
    }
}

/// Guards against a source whose end of a word against a worker is taken for one that the worker is gone.
#[test]
fn a_withdrawn_report_says_nothing_against_the_worker() {
    let (mut members, ..) = with_directory_and_registry();
    let agreement = members.add_source("agreement", None);
    let out = SourceReport {
        status: Status::OutOfService,
        ..SourceReport::new("w2", "", Status::Up)
    };
    members.apply_report(secs(1), agreement, out);
    assert_eq!(current_state(&members, "w2"), WorkerState::Draining);
    let change = members.withdraw_report(secs(2), agreement, "w2");
    assert_eq!(state(&change, "w2"), Some(WorkerState::Ready));
}

/// Guards against memory that grows with every departure.
#[test]
fn only_the_latest_departures_are_remembered() {
    let (mut members, directory, _) = with_directory_and_registry();
    for number in 0..20_000 {
        members.remove_worker(secs(1), directory, &format!("x{number}"), true);
    }
    assert_eq!(members.departed(directory).count(), 8192);
    assert_eq!(members.departed(directory).last(), Some("x19999"));
}

/// If two workers have the same address, that of the earlier source gets the requests. The other takes over when it
/// leaves.
#[test]
fn the_earlier_source_owns_an_address_of_two_workers() {
    let mut members = Membership::new(Vec::new(), Vec::new());
    let first = members.add_source("directory", None);
    let second = members.add_source("registry", None);
    members.apply_report(secs(0), second, up("host:8001", 8001));
    let change = members.apply_report(secs(0), first, up("w1", 8001));
    assert_eq!(
        (state(&change, "w1"), state(&change, "host:8001")),
        (Some(WorkerState::Ready), Some(WorkerState::Draining))
    );
    let change = members.remove_worker(secs(0), first, "w1", true);
    assert_eq!(
        (state(&change, "w1"), state(&change, "host:8001")),
        (Some(WorkerState::Removed), Some(WorkerState::Ready))
    );
}

/// A report with an older version is ignored. A worker that a list contains twice gets no requests unless both reports
/// are up.
#[test]
fn outdated_and_duplicate_reports() {
    let (mut members, registry) = with_self_preservation();
    let versioned = |version, status| SourceReport {
        version,
        status,
        ..up("w1", 8001)
    };
    members.apply_report(secs(0), registry, versioned(5, Status::OutOfService));
    assert!(members
        .apply_report(secs(1), registry, versioned(4, Status::Up))
        .entries
        .is_empty());
    assert_eq!(
        state(
            &members.apply_report(secs(1), registry, versioned(6, Status::Up)),
            "w1"
        ),
        Some(WorkerState::Ready)
    );
    for order in [[Status::Up, Status::Down], [Status::Down, Status::Up]] {
        let list = order.map(|status| versioned(7, status)).into();
        members.apply_full_list(secs(2), registry, list);
        assert_eq!(members.entry("w1").unwrap().state, WorkerState::Draining);
    }
}

/// No worker of a list in parts is suspected before the end of the list, and each sweep checks no more than its
/// maximum.
#[test]
fn workers_are_missing_only_after_the_end_of_a_list_in_parts() {
    let (mut members, registry) = with_self_preservation();
    members.apply_full_list(
        secs(0),
        registry,
        (0..300)
            .map(|n| up(&format!("w{n:03}"), 8000 + n))
            .collect(),
    );
    members.begin_full_list(registry);
    for n in 0..150 {
        members.apply_list_part(secs(1), registry, vec![up(&format!("w{n:03}"), 8000 + n)]);
        assert_eq!(members.suspected(), 0);
    }
    let (mut after, mut sweeps) = (None, 0);
    loop {
        let (change, next) = members.sweep_missing(secs(1), registry, after.as_deref(), 64);
        assert!(change.entries.is_empty());
        sweeps += 1;
        after = next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!((members.suspected(), sweeps), (150, 5));
}
