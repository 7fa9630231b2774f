//! Tests of lists that are applied entry by entry, and of which lists are trusted.

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

/// Applies the entries of a list, each with the digest of its text.
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
        if !members.confirm_unchanged(now, source, digest, &mut change) {
            members.apply_listed_report(now, source, report, Some(digest), &mut change);
        }
    }
    change
}

fn states(change: &MembershipChange) -> Vec<WorkerState> {
    change.entries.iter().map(|entry| entry.state).collect()
}

/// An entry with the same text as before changes nothing. An earlier text that returns after another one is applied
/// again, not mistaken for the current one.
#[test]
fn an_unchanged_entry_changes_nothing_and_an_earlier_text_is_applied_again() {
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
    // The worker is removed and listed again with the same text.
    let mut change = MembershipChange::default();
    members.apply_listed_removal(secs(5), source, "w1", &mut change);
    assert_eq!(states(&change), [WorkerState::Removed]);
    let change = apply(&mut members, secs(6), source, &[(w1, 1)]);
    assert_eq!(states(&change), [WorkerState::Ready]);
}

/// If only later lists are trusted, a worker gets requests again once such a list contains it, with the same text or
/// another one.
#[test]
fn only_workers_of_trusted_lists_get_requests() {
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

/// The list's clock is an hour off. A new start must count neither as an hour old nor as an hour in the future, and a
/// further entry with the same start must not count as a restart.
#[test]
fn a_stepped_clock_dates_no_start_an_hour_off() {
    let (mut members, source) = discovery();
    let now = HOUR + secs(100);
    let start = |members: &Membership| members.entry("w1").expect("listed").started_at;
    apply(&mut members, now, source, &[(up("w1", 8001), 1)]);
    members.record_list_complete(now, source);
    let restarted = |at| ListedReport {
        started_at: Some(at),
        ..up("w1", 8001)
    };
    // This machine's clock is an hour ahead.
    let start_behind = restarted(secs(103));
    apply(&mut members, now + secs(4), source, &[(start_behind, 2)]);
    assert_eq!(start(&members), Some(now));
    let draining = ListedReport {
        status: Status::Draining,
        ..start_behind
    };
    let change = apply(&mut members, now + secs(20), source, &[(draining, 3)]);
    assert_eq!(
        (start(&members), change.stale_workers.len()),
        (Some(now), 0)
    );
    // This machine's clock is an hour behind.
    let start_ahead = restarted(now + HOUR);
    apply(&mut members, now + secs(30), source, &[(start_ahead, 4)]);
    assert_eq!(start(&members), Some(now + secs(30)));
    // The clocks agree, and the answer comes a few seconds after the start.
    members.record_list_complete(now + secs(39), source);
    let start_in_step = restarted(now + secs(36));
    apply(&mut members, now + secs(40), source, &[(start_in_step, 5)]);
    assert_eq!(start(&members), Some(now + secs(36)));
}

/// With thousands of workers at one address, a report recomputes only the previous and the new owner, and exactly one
/// worker gets requests.
#[test]
fn many_workers_at_one_address_have_one_owner() {
    let (mut members, source) = discovery();
    let ids: Vec<String> = (0..8000).rev().map(|n| format!("w{n:05}")).collect();
    let reports = ids.iter().enumerate();
    let reports: Vec<_> = reports.map(|(n, id)| (up(id, 8001), n as u64)).collect();
    let change = apply(&mut members, secs(1), source, &reports);
    // The ids arrive in descending order, so each worker takes the address over from the one before.
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
