//! Submission keys of array members that were reaped: each is held until its window is over, over any upgrades.

mod common;

use common::upgrade::{exchange, Upgrade};
use common::{secs, served, DEDUP_WINDOW};
use marbledeck_dispatcher::RequestId;
use marbledeck_submission::Partner;
use serde_json::{json, Value};

const MEMBERS: usize = 6;
/// More than a successor waits for the state of its predecessor.
const RECEIVE_TIMEOUT_S: u64 = 4;

fn bulk() -> Value {
    json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": MEMBERS, "template": {"remoteCommand": "/x",
        "jobCategory": "sheet", "submissionKey": "k-${PARAMETRIC_INDEX}", "input": "one template for all members"}})
}

/// The ids of an answer's jobs, by index.
fn job_ids(answer: &Value) -> Vec<Value> {
    let jobs = answer["jobs"].as_array().expect("the jobs of an array");
    jobs.iter().map(|job| job["jobId"].clone()).collect()
}

/// Runs all members of an array to their end. Returns its id and theirs.
fn run_array(upgrade: &mut Upgrade) -> (Value, Vec<Value>) {
    let answer = upgrade.request(bulk());
    let requests: Vec<RequestId> = upgrade
        .serving
        .scheduler
        .open_jobs
        .keys()
        .copied()
        .collect();
    assert_eq!(requests.len(), MEMBERS);
    for request in requests {
        upgrade.serving.send_to_worker(request, true);
        upgrade.serving.end_request(request, served());
    }
    (answer["jobArrayId"].clone(), job_ids(&answer))
}

/// Hands the array in again, and checks that each member joins the first one.
fn check_all_join(upgrade: &mut Upgrade, first: &[Value], case: &str) {
    let submitted = upgrade.serving.scheduler.submitted;
    let answer = upgrade.request(bulk());
    let jobs = answer["jobs"].as_array().expect("the jobs of an array");
    assert!(
        jobs.iter().all(|job| job["duplicate"] == true),
        "{case}: {answer}"
    );
    assert_eq!(job_ids(&answer), first, "{case}");
    assert_eq!(
        upgrade.serving.scheduler.submitted, submitted,
        "{case}: no job runs again"
    );
}

/// Guards against an upgrade that forgets the keys of reaped members, so that their jobs run twice (review/2).
#[test]
fn an_upgrade_keeps_the_keys_of_reaped_members() {
    for reaped in [0, 1, MEMBERS - 1, MEMBERS] {
        for upgrades_before_reaping in 0..3 {
            let case = format!("{reaped} reaped after {upgrades_before_reaping} upgrades");
            let mut upgrade = Upgrade::new();
            let (_, jobs) = run_array(&mut upgrade);
            (0..upgrades_before_reaping).for_each(|_| upgrade.upgrade());
            for job in &jobs[..reaped] {
                let answer = upgrade.request(json!({"op": "reap", "jobId": job}));
                assert_eq!(answer["jobState"], "DONE", "{case}: {answer}");
            }
            for later_upgrades in 0..3 {
                let case = format!("{case}, {later_upgrades} more");
                check_all_join(&mut upgrade, &jobs, &case);
                upgrade.upgrade();
            }
        }
    }
}

/// An array that only reaped members belong to is unknown to clients, before and after an upgrade.
#[test]
fn an_array_of_reaped_members_is_not_shown() {
    let mut upgrade = Upgrade::new();
    let (array, _) = run_array(&mut upgrade);
    upgrade.request(json!({"op": "reap", "jobArrayId": array}));
    for _ in 0..2 {
        for line in [
            json!({"op": "getJobArray", "jobArrayId": array}),
            json!({"op": "terminate", "jobArrayId": array}),
            json!({"op": "listJobs", "filter": {"jobArrayId": array}}),
            json!({"op": "waitAnyTerminated", "jobArrayId": array}),
        ] {
            let answer = upgrade.request(line.clone());
            assert_eq!(answer["error"], "INVALID_ARGUMENT", "{line}: {answer}");
        }
        upgrade.upgrade();
    }
}

/// Nothing is left of an array once the keys of its reaped members are no longer held.
#[test]
fn an_array_is_forgotten_with_the_last_key_of_its_members() {
    for upgrades in 0..3 {
        let mut upgrade = Upgrade::new();
        let (array, jobs) = run_array(&mut upgrade);
        upgrade.request(json!({"op": "reap", "jobArrayId": array}));
        (0..upgrades).for_each(|_| upgrade.upgrade());
        upgrade.serving.advance(DEDUP_WINDOW - secs(1));
        check_all_join(&mut upgrade, &jobs, "in the window");
        upgrade.serving.advance(secs(1));
        let usage = upgrade.serving.server.usage();
        assert_eq!(
            (usage.jobs, usage.arrays, usage.bytes),
            (0, 0, 0),
            "{upgrades} upgrades"
        );
        let answer = upgrade.request(bulk());
        assert_eq!(answer["jobs"][0]["duplicate"], false);
    }
}

/// A successor reads clients when its predecessor takes too long to send the state. What they reap then is reaped, and
/// each key that has been sent is held.
#[test]
fn keys_are_kept_where_members_are_reaped_while_the_state_is_sent() {
    // The array, its members and the end.
    for messages_before in 0..=MEMBERS + 2 {
        let case = format!("{messages_before} messages before the reaping");
        let mut upgrade = Upgrade::new();
        let (array, jobs) = run_array(&mut upgrade);
        let mut old = upgrade.start_successor();
        exchange(&mut old, &mut upgrade.serving, messages_before);
        old.advance(secs(RECEIVE_TIMEOUT_S));
        upgrade.serving.advance(secs(RECEIVE_TIMEOUT_S));
        upgrade.request(json!({"op": "reap", "jobArrayId": array}));
        upgrade.finish(old);
        check_all_join(&mut upgrade, &jobs, &case);
        upgrade.request(json!({"op": "reap", "jobArrayId": array}));
        upgrade.upgrade();
        check_all_join(&mut upgrade, &jobs, &format!("{case}, and an upgrade"));
    }
}

/// A successor that is lost after a client has reaped there leaves the keys with the old process.
#[test]
fn a_lost_successor_leaves_the_keys_of_reaped_members() {
    let mut upgrade = Upgrade::new();
    let (array, jobs) = run_array(&mut upgrade);
    upgrade.request(json!({"op": "reap", "jobId": jobs[0]}));
    let mut old = upgrade.start_successor();
    exchange(&mut old, &mut upgrade.serving, usize::MAX);
    upgrade.request(json!({"op": "reap", "jobArrayId": array}));
    exchange(&mut old, &mut upgrade.serving, usize::MAX);
    let now = old.now;
    old.server.handle_partner_lost(now, Partner::Successor);
    old.connect(upgrade.client);
    upgrade.serving = old;
    check_all_join(&mut upgrade, &jobs, "the successor was lost");
    upgrade.upgrade();
    check_all_join(&mut upgrade, &jobs, "the next successor");
}
