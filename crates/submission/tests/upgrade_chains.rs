//! Upgrades that meet other events: another upgrade, the end of the old process, submissions that go on.

mod common;

use common::upgrade::{exchange, Upgrade};
use common::{secs, served, Harness};
use marbledeck_submission::{Partner, Verdict};
use serde_json::{json, Value};

/// A bulk with submission keys of which two members may be with the scheduler.
fn limited_bulk(end_index: u64) -> Value {
    json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": end_index, "maxParallel": 2, "template":
        {"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": "k-${PARAMETRIC_INDEX}"}})
}

/// Serves jobs until none is with the scheduler. Returns how many have run. Never more than two may be there.
fn serve_all(harness: &mut Harness) -> usize {
    let mut served_jobs = 0;
    loop {
        harness.advance(secs(0));
        assert!(harness.scheduler.open_jobs.len() <= 2);
        let Some(request) = harness.scheduler.open_jobs.keys().next().copied() else {
            return served_jobs;
        };
        harness.send_to_worker(request, true);
        harness.end_request(request, served());
        served_jobs += 1;
    }
}

/// Guards against the loss of array members whose process is replaced, or connected to, while it still receives them:
/// the loss of a successor does not end what a predecessor sends.
#[test]
fn a_lost_successor_leaves_the_arrays_that_a_predecessor_still_sends() {
    const MEMBERS: usize = 5;
    // The array, its members and the end.
    for messages_before in 0..=MEMBERS + 2 {
        let mut upgrade = Upgrade::new();
        let answer = upgrade.request(limited_bulk(MEMBERS as u64));
        let mut old = upgrade.start_successor();
        exchange(&mut old, &mut upgrade.serving, messages_before);
        let now = upgrade.serving.now;
        let server = &mut upgrade.serving.server;
        server.handle_partner_lost(now, Partner::Successor);
        upgrade.finish(old);
        let array = json!({"op": "getJobArray", "jobArrayId": answer["jobArrayId"]});
        let info = upgrade.request(array);
        let members = &info["jobArray"]["jobs"];
        assert_eq!(
            members, MEMBERS,
            "{messages_before} messages before the loss"
        );
    }
}

/// Guards against members that never run, or run beyond `maxParallel`, because their array was removed when the old
/// process ended: a bulk is handed in again after an upgrade, and its first members join the jobs of before.
#[test]
fn a_bulk_goes_on_when_the_old_process_ends_at_any_turn() {
    const KNOWN: u64 = 130;
    const ALL: u64 = 200;
    for turns in 0..6 {
        let mut upgrade = Upgrade::new();
        upgrade.request(limited_bulk(KNOWN));
        assert_eq!(serve_all(&mut upgrade.serving), KNOWN as usize);
        let mut old = upgrade.start_successor();
        exchange(&mut old, &mut upgrade.serving, usize::MAX);
        let client = upgrade.client;
        upgrade.serving.send_line(client, limited_bulk(ALL));
        (0..turns).for_each(|_| upgrade.serving.run_turn());
        let now = upgrade.serving.now;
        let server = &mut upgrade.serving.server;
        server.handle_partner_lost(now, Partner::Predecessor);
        let new_jobs = (ALL - KNOWN) as usize;
        assert_eq!(
            serve_all(&mut upgrade.serving),
            new_jobs,
            "the old process ended after {turns} turns"
        );
    }
}

/// Guards against jobs that no process has any more because a process was replaced while it still received them: it
/// waits for its predecessor's state before it sends its own.
#[test]
fn a_process_that_is_replaced_while_it_receives_the_state_passes_all_of_it_on() {
    const MEMBERS: usize = 6;
    // The array, its members, a single job and the end.
    for messages_before in 0..=MEMBERS + 3 {
        let case = format!("{messages_before} messages before the second upgrade");
        let mut upgrade = Upgrade::new();
        let held = json!({"jobCategory": "sheet", "submissionKey": "held", "submitAsHold": true});
        let held_job = upgrade.serving.submit_job(0, held.clone())["jobId"].clone();
        upgrade.request(limited_bulk(MEMBERS as u64));
        let mut first = upgrade.start_successor();
        exchange(&mut first, &mut upgrade.serving, messages_before);
        let mut second = upgrade.start_successor();
        while exchange(&mut second, &mut upgrade.serving, usize::MAX) > 0
            || exchange(&mut first, &mut second, usize::MAX) > 0
        {}
        assert!(first.server.is_handover_complete(), "{case}");
        assert!(second.server.is_handover_complete(), "{case}");
        let client = upgrade.client;
        let joined = upgrade.serving.submit_job(client, held);
        assert_eq!(joined["jobId"], held_job, "{case}");
        let answer = upgrade.request(limited_bulk(MEMBERS as u64));
        let jobs = answer["jobs"].as_array().expect("the jobs of the array");
        assert!(
            jobs.iter().all(|job| job["duplicate"] == true),
            "{case}: {answer}"
        );
        // Members that were with no scheduler before the upgrades run at the last process.
        let sent_before = first.scheduler.open_jobs.len();
        let request = first
            .scheduler
            .open_jobs
            .keys()
            .copied()
            .collect::<Vec<_>>();
        for request in request {
            first.send_to_worker(request, true);
            first.end_request(request, served());
        }
        while exchange(&mut second, &mut upgrade.serving, usize::MAX) > 0
            || exchange(&mut first, &mut second, usize::MAX) > 0
        {}
        assert_eq!(
            serve_all(&mut upgrade.serving),
            MEMBERS - sent_before,
            "{case}"
        );
    }
}

/// Guards against a job that its submitter never got and that never runs, but keeps its key until the old process has
/// ended: it was handed over before the scheduler had accepted it.
#[test]
fn a_job_that_is_rejected_in_the_turn_of_an_upgrade_is_not_handed_over() {
    let mut upgrade = Upgrade::new();
    let line = limited_bulk(1)
        .to_string()
        .replace(r#""maxParallel":2,"#, "");
    let now = upgrade.serving.now;
    let old = &mut upgrade.serving;
    let server = &mut old.server;
    server.handle_line(now, 0, line.as_bytes(), &mut old.scheduler);
    let mut old = upgrade.start_successor();
    exchange(&mut old, &mut upgrade.serving, usize::MAX);
    let (request, _) = old.scheduler.open_jobs.pop_first().expect("the job");
    let rejected = Verdict::Rejected { retry_after: None };
    old.server.handle_verdict(now, request, rejected, None);
    old.run_turn();
    exchange(&mut old, &mut upgrade.serving, usize::MAX);
    assert!(old.server.is_handover_complete());
    let answer = upgrade.request(limited_bulk(1));
    assert_eq!(answer["jobs"][0]["duplicate"], false, "{answer}");
    assert_eq!(serve_all(&mut upgrade.serving), 1);
}

/// Guards against members that are passed to the scheduler before the time that a rejection asked for, because an
/// upgrade has forgotten it.
#[test]
fn an_upgrade_keeps_the_pause_of_an_array() {
    const RETRY_AFTER_S: u64 = 5;
    for ends_before_the_pause in [false, true] {
        let mut upgrade = Upgrade::new();
        upgrade.request(limited_bulk(4));
        upgrade.serving.advance(secs(0));
        let open_jobs = &upgrade.serving.scheduler.open_jobs;
        let request = *open_jobs.keys().next().expect("two members are there");
        let rejected = Verdict::Rejected {
            retry_after: Some(secs(RETRY_AFTER_S)),
        };
        upgrade.serving.end_request(request, rejected);
        let mut old = upgrade.start_successor();
        exchange(&mut old, &mut upgrade.serving, usize::MAX);
        upgrade.serving.advance(secs(RETRY_AFTER_S - 1));
        assert!(upgrade.serving.scheduler.open_jobs.is_empty());
        if ends_before_the_pause {
            upgrade.finish(old);
            upgrade.serving.advance(secs(0));
            assert!(upgrade.serving.scheduler.open_jobs.is_empty());
        }
        upgrade.serving.advance(secs(1));
        let active = upgrade.serving.scheduler.open_jobs.len();
        assert_eq!(active, if ends_before_the_pause { 2 } else { 1 });
    }
}

/// Three processes of a node in a row: the first still runs two of six members.
struct ThreeProcesses {
    first: Harness,
    middle: Harness,
    last: Upgrade,
    /// The ids of the members.
    jobs: Vec<Value>,
}

impl ThreeProcesses {
    const MEMBERS: u64 = 6;

    /// Starts a second upgrade after the first one is over, and exchanges at most `max_messages` messages of it.
    fn new(max_messages: usize) -> Self {
        let mut last = Upgrade::new();
        let answer = last.request(limited_bulk(Self::MEMBERS));
        let members = answer["jobs"].as_array().expect("the jobs of the array");
        let jobs = members.iter().map(|job| job["jobId"].clone()).collect();
        last.serving.advance(secs(0));
        let requests: Vec<_> = last.serving.scheduler.open_jobs.keys().copied().collect();
        for request in requests {
            last.serving.send_to_worker(request, true);
        }
        let mut first = last.start_successor();
        exchange(&mut first, &mut last.serving, usize::MAX);
        first.server.begin_shutdown();
        let mut middle = last.start_successor();
        exchange(&mut middle, &mut last.serving, max_messages);
        middle.server.begin_shutdown();
        ThreeProcesses {
            first,
            middle,
            last,
            jobs,
        }
    }

    fn exchange_all(&mut self) {
        while exchange(&mut self.first, &mut self.middle, usize::MAX) > 0
            || exchange(&mut self.middle, &mut self.last.serving, usize::MAX) > 0
        {}
        self.last.serving.advance(secs(0));
    }

    fn end_one_at_the_first(&mut self) {
        let request = *self
            .first
            .scheduler
            .open_jobs
            .keys()
            .next()
            .expect("it runs a job");
        self.first.end_request(request, served());
    }
}

/// Guards against jobs that end `lost` although they are served, and others that run twice, where a second upgrade
/// begins while the first process still runs jobs (review/1).
#[test]
fn a_process_in_the_middle_stays_until_its_predecessor_has_no_jobs_left() {
    let mut processes = ThreeProcesses::new(usize::MAX);
    for _ in 0..2 {
        processes.exchange_all();
        assert!(!processes.middle.server.is_handover_complete());
        processes.end_one_at_the_first();
    }
    processes.exchange_all();
    assert!(processes.middle.server.is_handover_complete());
    assert!(processes.first.server.is_handover_complete());
    // The first process may still have connections open when the others have ended or go on alone.
    let now = processes.first.now;
    processes
        .first
        .server
        .handle_partner_lost(now, Partner::Successor);
    processes.first.advance(secs(1));
    assert!(
        processes.first.scheduler.open_jobs.is_empty(),
        "it starts none of what it has handed on"
    );
    let last = &mut processes.last;
    last.serving
        .server
        .handle_partner_lost(now, Partner::Predecessor);
    assert_eq!(serve_all(&mut last.serving), 4);
    let client = last.client;
    for job in &processes.jobs {
        assert_eq!(last.serving.job_state(client, job), "DONE");
    }
}

/// The process in the middle is lost after any message that it exchanges with its successor: no job runs twice.
#[test]
fn a_lost_process_in_the_middle_makes_no_job_run_twice() {
    // The array, its members and the end, and the answer to it.
    for messages in 0..=ThreeProcesses::MEMBERS as usize + 3 {
        let mut processes = ThreeProcesses::new(messages);
        let now = processes.first.now;
        let first = &mut processes.first;
        first.server.handle_partner_lost(now, Partner::Successor);
        processes.end_one_at_the_first();
        processes.end_one_at_the_first();
        let first = &mut processes.first;
        first.advance(secs(1));
        assert_eq!(
            first.scheduler.submitted, 2,
            "{messages} messages: the first starts no further member"
        );
        let last = &mut processes.last;
        last.serving
            .server
            .handle_partner_lost(now, Partner::Predecessor);
        last.serving.run_turn();
        serve_all(&mut last.serving);
        let answer = last.request(limited_bulk(ThreeProcesses::MEMBERS));
        let members = answer["jobs"].as_array().expect("the jobs of the array");
        let known = members.iter().filter(|job| job["duplicate"] == true);
        let known: Vec<&Value> = known.map(|job| &job["jobState"]).collect();
        assert!(
            known
                .iter()
                .all(|state| *state == "DONE" || *state == "FAILED"),
            "{messages} messages: {answer}"
        );
    }
}

/// A process that drains, and has handed nothing on yet, keeps its waiting jobs for a successor that connects: each new
/// one counts as the loss of the one before.
#[test]
fn a_process_that_shuts_down_keeps_waiting_jobs_for_the_next_successor() {
    let mut upgrade = Upgrade::new();
    let held = json!({"jobCategory": "sheet", "submissionKey": "held", "submitAsHold": true});
    let held_job = upgrade.serving.submit_job(0, held)["jobId"].clone();
    upgrade.serving.server.begin_shutdown();
    let now = upgrade.serving.now;
    let server = &mut upgrade.serving.server;
    server.handle_partner_lost(now, Partner::Successor);
    upgrade.upgrade();
    let client = upgrade.client;
    assert_eq!(upgrade.serving.job_state(client, &held_job), "QUEUED_HELD");
}
