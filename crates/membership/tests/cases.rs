//! Precedence and self-preservation, case by case.

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

/// A registry that restarts empty and fills in any order takes nobody out, and nothing is change twice.
#[test]
fn an_empty_list_at_a_restart() {
    let (mut members, registry) = with_self_preservation();
    let all: Vec<SourceReport> = (0..100).map(|n| up(&format!("w{n}"), 8000 + n)).collect();
    assert_eq!(
        members
            .apply_full_list(secs(0), registry, all.clone())
            .entries
            .len(),
        100
    );
    assert!(members
        .apply_full_list(secs(10), registry, Vec::new())
        .entries
        .is_empty());
    assert_eq!(members.suspected(), 100);
    for (n, report) in all.into_iter().rev().enumerate() {
        let change = members.apply_report(secs(11), registry, report);
        assert!(
            change.entries.is_empty() && change.stale_workers.is_empty(),
            "{n}"
        );
    }
    assert_eq!(members.suspected(), 0);
}

/// Half of the fleet expires while it serves: those that answer stay for as long as the guarantee says, the dead go
/// within it.
#[test]
fn a_registry_cut_off() {
    let (mut members, registry) = with_self_preservation();
    let all: Vec<SourceReport> = (0..10).map(|n| up(&format!("w{n}"), 8000 + n)).collect();
    members.apply_full_list(secs(0), registry, all.clone());
    members.apply_full_list(secs(1), registry, all[..5].to_vec());
    let policy = SelfPreservation::default();
    let mut gone = Vec::new();
    for second in 1..400 {
        let now = secs(second);
        let mut change = members.wake(now);
        // 5 to 7 answer their probes, 8 and 9 are dead.
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
        gone.extend(
            change
                .entries
                .iter()
                .map(|entry| (second, entry.worker, entry.state)),
        );
    }
    let when = |id: &str| {
        gone.iter()
            .find(|(_, worker, _)| *worker == worker_id(id))
            .map(|(at, ..)| *at)
    };
    for dead in ["w8", "w9"] {
        let at = when(dead).expect("the dead go");
        assert!(
            at <= 1 + u64::from(policy.max_failures) * 2 + 1,
            "{dead} at {at}"
        );
    }
    for alive in ["w5", "w6", "w7"] {
        assert_eq!(when(alive), Some(1 + 300), "{alive}");
    }
    assert_eq!(gone.len(), 5);
    assert!(gone
        .iter()
        .all(|(.., state)| *state == WorkerState::Removed));
}

/// A budget of probes: with more suspected workers than it allows in a span, all have their turn.
#[test]
fn a_budget_of_probes() {
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
    let (mut probed, mut spans) = (std::collections::HashMap::new(), Vec::new());
    let mut now = secs(0);
    while now < secs(16) {
        members.wake(now);
        for worker in members.take_due_probes() {
            spans.push(now);
            *probed.entry(worker).or_insert(0) += 1;
            members.record_evidence(now, worker, HealthEvidence::Alive);
        }
        now = members
            .next_wake()
            .expect("they are looked at")
            .max(now + Micros(1));
    }
    for (n, at) in spans.iter().enumerate() {
        let within = spans[n..]
            .iter()
            .take_while(|later| **later < *at + secs(2) - Micros(8))
            .count();
        assert!(within <= 10, "{within} probes in a span");
    }
    assert_eq!(probed.len(), 35);
    assert!(
        probed.values().all(|probes| (1..=4).contains(probes)),
        "{probed:?}"
    );
}

/// Explicit reports are never held back, whatever the policy thinks of the source.
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
    // One that was out of service and is missing goes at once.
    assert_eq!(
        state(&members.remove_worker(secs(2), registry, "w1", false), "w1"),
        Some(WorkerState::Removed)
    );
}

/// A silent registry changes nothing; its workers go by their own health evidence, and come back with its next report.
#[test]
fn a_silent_registry() {
    let (mut members, registry) = with_self_preservation();
    members.apply_full_list(secs(0), registry, vec![up("w1", 8001), up("w2", 8002)]);
    let mut now = secs(0);
    while now < secs(1000) {
        now = members
            .next_wake()
            .expect("it is watched")
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

/// By hand over any source's drain, any source's drain over any source's up; the latest start; two addresses.
#[test]
fn precedence() {
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

/// One address under two ids: the earlier source's counts, and the other comes in when it leaves.
#[test]
fn one_address_under_two_ids() {
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

/// A report of before is no news; an id twice in a list is out if either says so.
#[test]
fn outdated_and_duplicate_reports() {
    let (mut members, registry) = with_self_preservation();
    let dirty = |dirty, status| SourceReport {
        version: dirty,
        status,
        ..up("w1", 8001)
    };
    members.apply_report(secs(0), registry, dirty(5, Status::OutOfService));
    assert!(members
        .apply_report(secs(1), registry, dirty(4, Status::Up))
        .entries
        .is_empty());
    assert_eq!(
        state(
            &members.apply_report(secs(1), registry, dirty(6, Status::Up)),
            "w1"
        ),
        Some(WorkerState::Ready)
    );
    for order in [[Status::Up, Status::Down], [Status::Down, Status::Up]] {
        let list = order.map(|status| dirty(7, status)).into();
        members.apply_full_list(secs(2), registry, list);
        assert_eq!(members.entry("w1").unwrap().state, WorkerState::Draining);
    }
}

/// A list in parts misses nobody before its end, and looks at no more than it is asked to.
#[test]
fn a_list_in_parts() {
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
