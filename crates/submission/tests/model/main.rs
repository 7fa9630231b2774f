//! Property tests: random sequences of client, worker and time events and upgrades are compared with a small model of
//! the jobs' states.

#[path = "../common/mod.rs"]
mod common;
mod job;
mod oracle;
mod processes;
mod requests;
mod simulation;

use common::{limits, Harness};
use marbledeck_dispatcher::Micros;
use proptest::prelude::*;
use serde_json::json;
use simulation::Simulation;

/// The server's retention and maximum hold, as used by the model.
const RETENTION: Micros = Micros(60_000_000);
const MAX_HOLD: Micros = Micros(100_000_000);
/// The maximum number of processes at a time.
const MAX_PROCESSES: usize = 3;

/// The number of random sequences: `MARBLEDECK_MODEL_SEQUENCES`, or few enough for each run of the tests.
fn sequences() -> u32 {
    let given = std::env::var("MARBLEDECK_MODEL_SEQUENCES").ok();
    given.map_or(400, |number| number.parse().expect("a number of sequences"))
}

#[derive(Clone, Debug)]
enum Step {
    Submit {
        key: Option<u8>,
        held: bool,
    },
    SubmitBulk(Bulk),
    Hold(usize),
    Release(usize),
    Terminate(usize),
    Reap(usize),
    TerminateArray(usize),
    ReapArray(usize),
    SendToWorker(usize, bool),
    Requeue(usize),
    EndRequest(usize, u8),
    Advance(u64),
    Reconnect,
    /// A successor replaces the serving process, which goes on with the jobs that are with its scheduler.
    Upgrade,
    /// A process that was replaced ends if it has nothing left to do.
    EndReplaced(usize),
    /// A process that was replaced is lost with its jobs.
    LoseReplaced(usize),
}

/// The members of a bulk submission.
#[derive(Clone, Copy, Debug)]
struct Bulk {
    first_index: u8,
    members: u8,
    max_parallel: Option<usize>,
    has_keys: bool,
}

fn bulk() -> impl Strategy<Value = Bulk> {
    let max_parallel = proptest::option::of(1..3usize);
    let bulk = (0..4u8, 1..4u8, max_parallel, any::<bool>());
    bulk.prop_map(|(first_index, members, max_parallel, has_keys)| Bulk {
        first_index,
        members,
        max_parallel,
        has_keys,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let job = 0..24usize;
    prop_oneof![
        4 => (proptest::option::of(0..4u8), any::<bool>()).prop_map(|(key, held)| Step::Submit { key, held }),
        3 => bulk().prop_map(Step::SubmitBulk),
        2 => job.clone().prop_map(Step::Hold),
        2 => job.clone().prop_map(Step::Release),
        1 => job.clone().prop_map(Step::Terminate),
        1 => job.clone().prop_map(Step::Reap),
        1 => job.clone().prop_map(Step::TerminateArray),
        2 => job.clone().prop_map(Step::ReapArray),
        4 => (job.clone(), any::<bool>()).prop_map(|(job, starts)| Step::SendToWorker(job, starts)),
        1 => job.clone().prop_map(Step::Requeue),
        5 => (job, 0..3u8).prop_map(|(job, outcome)| Step::EndRequest(job, outcome)),
        2 => (1..45u64).prop_map(Step::Advance),
        1 => Just(Step::Reconnect),
        2 => Just(Step::Upgrade),
        2 => (0..MAX_PROCESSES).prop_map(Step::EndReplaced),
        1 => (0..MAX_PROCESSES).prop_map(Step::LoseReplaced),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: sequences(), failure_persistence: None, max_shrink_iters: 2000, ..ProptestConfig::default() })]

    #[test]
    fn random_sequences_agree_with_the_model(steps in proptest::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
        }
        simulation.finish();
    }

    /// Requests with random bytes replaced, removed or cut off. Each gets one answer, and the server accepts jobs
    /// afterwards.
    #[test]
    fn every_mutated_line_gets_one_answer(line_index in 0..12usize, mutations in proptest::collection::vec((0..400usize, any::<u8>()), 0..6)) {
        let lines = [
            r#"{"op":"runJob","seq":1,"template":{"remoteCommand":"/x","jobCategory":"preview","minSlots":1.5,"args":["a"]}}"#,
            r#"{"op":"runBulkJobs","seq":1,"beginIndex":-2,"endIndex":9,"step":3,"maxParallel":2,"template":{"remoteCommand":"/x","jobCategory":"preview"}}"#,
            r#"{"op":"getJobInfo","seq":1,"jobId":"n0-1-0"}"#,
            r#"{"op":"waitAnyTerminated","seq":1,"jobIds":["n0-1-0"],"timeoutMs":10}"#,
            r#"{"op":"terminate","seq":1,"jobArrayId":"n0-1-0"}"#,
            r#"{"op":"hold","seq":1,"session":"s"}"#,
            r#"{"op":"listJobs","seq":1,"session":"s","filter":{"jobStates":["QUEUED"]},"limit":3,"after":"n0-1-0"}"#,
            r#"{"op":"createSession","seq":1,"name":"s"}"#,
            r#"{"op":"openSession","seq":1,"name":"s","since":1}"#,
            r#"{"op":"getAllMachines","seq":1,"names":["w1"]}"#,
            r#"{"op":"getCapabilities","seq":{"a":[1,2]}}"#,
            r#"{"op":"reap","seq":1,"jobId":"n0-1-0"}"#,
        ];
        let mut harness = Harness::new(limits());
        harness.connect(1);
        let mut bytes = lines[line_index].as_bytes().to_vec();
        for (at, byte) in mutations {
            let at = at % bytes.len();
            match byte % 3 {
                0 => bytes[at] = byte,
                1 => drop(bytes.remove(at)),
                _ => bytes.truncate(at.max(1)),
            }
            if bytes.is_empty() {
                bytes.push(b'{');
            }
        }
        harness.server.handle_line(harness.now, 1, &bytes, &mut harness.scheduler);
        harness.advance(Micros(50_000));
        let answers = harness.take_received(1);
        prop_assert_eq!(answers.iter().filter(|v| v["event"].is_null()).count(), 1, "{:?}", answers);
        let after = harness.submit_job(1, json!({}));
        prop_assert!(after["jobId"].is_string(), "{}", after);
    }
}
