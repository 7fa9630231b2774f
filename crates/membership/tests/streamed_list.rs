//! Lists that are taken in entry by entry, and the trust in what lists before have said.

use marbledeck_dispatcher::{Micros, WorkerState};
use marbledeck_membership::{
    EntryDigest, ListedReport, Membership, MembershipChange, SourceId, Status,
};
use marbledeck_platform_settings::worker_id;

const HOUR: Micros = Micros(3_600_000_000);

fn secs(secs: u64) -> Micros {
    Micros(secs * 1_000_000)
}

fn discovery() -> (Membership, SourceId) {
    let mut members = Membership::new(vec!["east".into()], vec!["std".into()]);
    let source = members.add_source("directory", None);
    (members, source)
}

fn up(id: &str, port: u16) -> ListedReport<'_> {
    ListedReport {
        id,
        address: Some(([127, 0, 0, 1], port).into()),
        status: Status::Up,
        zone: "east",
        kind: "std",
        cell: None,
        started_at: None,
    }
}

/// Takes a whole list or a part of one, each entry with its digest.
fn apply(
    members: &mut Membership,
    now: Micros,
    source: SourceId,
    reports: &[(ListedReport, u64)],
) -> MembershipChange {
    let mut change = MembershipChange::default();
    members.begin_full_list(source);
    for (report, digest) in reports {
        let digest = EntryDigest(*digest);
        if !members.confirm_listed(now, source, digest, &mut change) {
            members.apply_listed_report(now, source, report, Some(digest), &mut change);
        }
    }
    change
}

fn states(change: &MembershipChange) -> Vec<WorkerState> {
    change.entries.iter().map(|entry| entry.state).collect()
}

/// A text that comes back after another one counts for what it says, not for what came in between.
#[test]
fn an_entry_that_is_as_before_changes_nothing_and_an_older_text_counts_again() {
    let (mut members, source) = discovery();
    let (w1, w2) = (up("w1", 8001), up("w2", 8002));
    let draining = ListedReport {
        status: Status::Draining,
        ..w1
    };
    let change = apply(&mut members, secs(1), source, &[(w1, 1), (w2, 2)]);
    assert_eq!(states(&change), [WorkerState::Ready; 2]);
    let change = apply(&mut members, secs(2), source, &[(w1, 1), (w2, 2)]);
    assert!(change.entries.is_empty());
    let change = apply(&mut members, secs(3), source, &[(draining, 3)]);
    assert_eq!(states(&change), [WorkerState::Draining]);
    let change = apply(&mut members, secs(4), source, &[(w1, 1)]);
    assert_eq!(states(&change), [WorkerState::Ready]);
    // Gone and back by the same text.
    let mut change = MembershipChange::default();
    members.apply_listed_removal(secs(5), source, "w1", &mut change);
    assert_eq!(states(&change), [WorkerState::Removed]);
    let change = apply(&mut members, secs(6), source, &[(w1, 1)]);
    assert_eq!(states(&change), [WorkerState::Ready]);
}

/// Where only later lists are trusted, a worker is sent to again once such a list names it, by whatever text.
#[test]
fn only_what_a_trusted_list_names_is_sent_to() {
    let (mut members, source) = discovery();
    let all = [
        (up("w1", 8001), 1),
        (up("w2", 8002), 2),
        (up("w3", 8003), 3),
    ];
    apply(&mut members, secs(1), source, &all);
    let next = members.list_number(source) + 1;
    let change = members.set_trusted_from_list(source, next);
    assert_eq!(states(&change), [WorkerState::Draining; 3]);
    let moved = [(up("w1", 8001), 1), (up("w2", 8012), 4)];
    let change = apply(&mut members, secs(2), source, &moved);
    assert_eq!(states(&change), [WorkerState::Ready; 2]);
    assert_eq!(
        members.entry("w3").expect("listed").state,
        WorkerState::Draining
    );
    let change = members.set_trusted_from_list(source, 0);
    assert_eq!(change.entries.len(), 1);
    assert_eq!(change.entries[0].worker, worker_id("w3"));
}

/// A worker's start by a clock that is an hour off: one that is news is not taken for an old one, nor for one that is
/// still to come, and the same entry again is no restart.
#[test]
fn a_stepped_clock_makes_no_cold_worker_warm_and_none_cold_for_an_hour() {
    let (mut members, source) = discovery();
    let now = HOUR + secs(100);
    let start = |members: &Membership| members.entry("w1").expect("listed").started_at;
    apply(&mut members, now, source, &[(up("w1", 8001), 1)]);
    members.note_list_complete(now, source);
    let restarted = |at| ListedReport {
        started_at: Some(at),
        ..up("w1", 8001)
    };
    // This machine's clock is an hour ahead.
    let behind = restarted(secs(103));
    apply(&mut members, now + secs(4), source, &[(behind, 2)]);
    assert_eq!(start(&members), Some(now));
    let draining = ListedReport {
        status: Status::Draining,
        ..behind
    };
    let change = apply(&mut members, now + secs(20), source, &[(draining, 3)]);
    assert_eq!(
        (start(&members), change.stale_workers.len()),
        (Some(now), 0)
    );
    // It is an hour behind.
    let ahead = restarted(now + HOUR);
    apply(&mut members, now + secs(30), source, &[(ahead, 4)]);
    assert_eq!(start(&members), Some(now + secs(30)));
    // Clocks that agree, and an answer that comes a while after the start.
    members.note_list_complete(now + secs(39), source);
    let right = restarted(now + secs(36));
    apply(&mut members, now + secs(40), source, &[(right, 5)]);
    assert_eq!(start(&members), Some(now + secs(36)));
}

/// Thousands of workers at one address: each report costs no walk over the others, and one of them is sent to.
#[test]
fn many_workers_at_one_address_have_one_owner() {
    let (mut members, source) = discovery();
    let ids: Vec<String> = (0..8000).rev().map(|n| format!("w{n:05}")).collect();
    let reports = ids.iter().enumerate();
    let reports: Vec<_> = reports.map(|(n, id)| (up(id, 8001), n as u64)).collect();
    let change = apply(&mut members, secs(1), source, &reports);
    // Each that comes before the owner takes its place.
    assert_eq!(change.entries.len(), 2 * ids.len() - 1);
    assert_eq!(
        members.entry("w00000").expect("listed").state,
        WorkerState::Ready
    );
    let ready = ids.iter().filter_map(|id| members.entry(id));
    assert_eq!(
        ready
            .filter(|entry| entry.state == WorkerState::Ready)
            .count(),
        1
    );
    let mut change = MembershipChange::default();
    members.apply_listed_removal(secs(2), source, "w00000", &mut change);
    assert_eq!(states(&change), [WorkerState::Removed, WorkerState::Ready]);
    assert_eq!(
        members.entry("w00001").expect("listed").state,
        WorkerState::Ready
    );
}
