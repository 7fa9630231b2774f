//! The command line, run against a node with stub workers and against an unused address.

use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment, WorkerStub};
use rstest::rstest;
use serde_json::Value;
use std::process::{Command, Output};
use std::time::Duration;

fn marbledeck(node: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marbledeck"));
    command.env("MARBLEDECK_NODE", node).env_remove("LB_CONFIG");
    command.args(arguments).output().unwrap()
}

fn split_words(line: &str) -> Vec<&str> {
    line.split(' ').collect()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn json_lines(output: &Output) -> Vec<Value> {
    stdout(output)
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// The values of this key, one for each line.
fn values<'a>(lines: &'a [Value], key: &str) -> Vec<&'a str> {
    lines
        .iter()
        .map(|line| line[key].as_str().unwrap())
        .collect()
}

fn start_environment() -> TestEnvironment {
    let environment = TestEnvironment::start(EnvironmentOptions::default());
    for worker in &environment.workers {
        worker.set_behaviour(|job| match job.target.as_str() {
            "/failing" => JobBehaviour::Fail(Duration::from_millis(2)),
            "/slow" => JobBehaviour::Serve(Duration::from_secs(4), "late".to_owned()),
            target => JobBehaviour::Serve(Duration::from_millis(2), format!("made {target}")),
        });
    }
    environment
}

/// A faulty command line is answered with the faulty word and the exit status of that kind of fault.
#[rstest]
#[case(&["--submission"], 2, "--submission <FILE>")]
#[case(&["-x"], 2, "'-x'")]
#[case(&["jbo"], 2, "'jbo'")]
#[case(&["job", "run", "/x"], 2, "--class")]
#[case(&["job", "run", "/x", "--class", "c", "--deadline", "soon"], 2, "'soon' is not a duration")]
#[case(&["job", "wait"], 2, "--array")]
#[case(&["job", "list", "--state", "SLEEPING"], 2, "QUEUED_HELD")]
#[case(&["job", "list", "--patience", "0"], 4, "no connection to the node")]
#[case(&[], 1, "LB_CONFIG: not set")]
#[case(&["serve"], 1, "LB_CONFIG: not set")]
fn a_faulty_command_line_is_named_and_sets_the_exit_status(
    #[case] arguments: &[&str],
    #[case] status: i32,
    #[case] message: &str,
) {
    // Nothing listens on port 1.
    let output = marbledeck("127.0.0.1:1", arguments);
    assert_eq!(output.status.code(), Some(status), "{}", stderr(&output));
    assert!(stderr(&output).contains(message), "{}", stderr(&output));
}

#[test]
fn help_and_completions_are_printed() {
    for arguments in [
        &["--version"][..],
        &["--help"],
        &["job", "--help"],
        &["job", "bulk", "--help"],
        &["completions", "bash"],
    ] {
        let output = marbledeck("", arguments);
        assert!(
            output.status.success() && stdout(&output).contains("marbledeck"),
            "{arguments:?}"
        );
    }
    assert!(stdout(&marbledeck("", &["job", "bulk", "--help"])).contains("Example"));
}

/// The options of an idempotent job.
const PREVIEW: [&str; 4] = ["--class", "preview", "--tenant", "au"];

/// A result is printed unchanged with status 0. A failed job ends with status 1, a request that the node denies with 3.
#[test]
fn the_end_of_a_job_sets_the_exit_status() {
    let environment = start_environment();
    let run = |arguments: &[&str]| marbledeck(&environment.submission_address, arguments);
    let run_preview = |arguments: &[&str]| run(&[arguments, &PREVIEW[..]].concat());
    let made = run_preview(&["job", "run", "/one", "--wait", "--quiet"]);
    assert_eq!(
        (stdout(&made).as_str(), made.status.code()),
        ("made /one", Some(0))
    );
    let failed = run(&[
        "job",
        "run",
        "/failing",
        "--wait",
        "-c",
        "sheet-publish",
        "-t",
        "au",
    ]);
    assert_eq!(failed.status.code(), Some(1), "{}", stderr(&failed));
    let refused = run_preview(&["job", "run", "/failing", "--wait"]);
    assert_eq!(
        refused.status.code(),
        Some(75),
        "an idempotent job is rejected, not failed"
    );
    let denied = run(&["job", "run", "/one", "--class", "nonsense"]);
    assert_eq!(denied.status.code(), Some(3));
    assert!(stderr(&denied).contains("unknown class 'nonsense'"));
}

#[test]
fn a_held_job_of_a_session_is_listed_released_watched_and_reaped() {
    let environment = start_environment();
    let run = |arguments: &[&str]| marbledeck(&environment.submission_address, arguments);
    let run_preview = |arguments: &[&str]| run(&[arguments, &PREVIEW[..]].concat());
    assert!(run(&["session", "create", "films"]).status.success());
    assert!(run(&["session", "list"]).status.success());
    let held = run_preview(&split_words(
        "job run /held --hold --session films --name reel",
    ));
    let id = stdout(&held).trim().to_owned();
    let hold = run(&["job", "hold", &id]);
    assert_eq!(hold.status.code(), Some(3));
    let listed = run(&split_words(
        "job list --session films --state queued_held --json",
    ));
    let value: Value = serde_json::from_str(&stdout(&listed)).unwrap();
    assert_eq!(
        (&value["jobId"], &value["jobName"]),
        (&Value::from(id.clone()), &Value::from("reel"))
    );
    let late = run(&["job", "wait", &id, "--timeout", "20ms"]);
    assert_eq!(late.status.code(), Some(124), "{}", stderr(&late));
    assert!(run(&["job", "release", &id]).status.success());
    assert!(run(&["job", "wait", &id]).status.success());
    assert_eq!(
        stdout(&run(&["job", "info", "--result", &id])),
        "made /held"
    );
    let watched = run(&split_words(
        "job watch --session films --since 0 --count 4 --json",
    ));
    let events = json_lines(&watched);
    let states = values(&events, "jobState");
    assert_eq!(states, ["QUEUED_HELD", "QUEUED", "RUNNING", "DONE"]);
    let shown = run(&["session", "show", "films", "--json"]);
    let value: Value = serde_json::from_str(&stdout(&shown)).unwrap();
    assert_eq!(
        (&value["lastEvent"], &value["jobs"]["DONE"]),
        (&4.into(), &1.into())
    );
    assert!(run(&["job", "reap", &id]).status.success());
    assert_eq!(run(&["job", "info", &id]).status.code(), Some(3));
    assert!(run(&["session", "destroy", "films"]).status.success());
    assert_eq!(run(&["session", "show", "films"]).status.code(), Some(3));
}

/// A bulk job runs with its progress bar, and its array is terminated as a whole.
#[test]
fn a_bulk_is_run_and_terminated_as_an_array() {
    let environment = start_environment();
    let run = |arguments: &[&str]| marbledeck(&environment.submission_address, arguments);
    let run_preview = |arguments: &[&str]| run(&[arguments, &PREVIEW[..]].concat());
    let bulk = run_preview(&[
        "job",
        "bulk",
        "/n/${PARAMETRIC_INDEX}",
        "--to",
        "40",
        "-p",
        "4",
        "--wait",
    ]);
    assert!(bulk.status.success(), "{}", stderr(&bulk));
    assert_eq!(
        stdout(&bulk)
            .lines()
            .filter(|line| line.contains("DONE"))
            .count(),
        40
    );
    let bulk = run_preview(&["job", "bulk", "/slow", "--to", "9", "-p", "2", "--json"]);
    let first: Value = serde_json::from_str(stdout(&bulk).lines().next().unwrap()).unwrap();
    let array = first["jobArrayId"].as_str().unwrap();
    let ended = run(&["job", "terminate", "--array", array, "--json"]);
    assert_eq!(stdout(&ended).trim(), r#"{"changed":9,"refused":0}"#);
    let any = run(&["job", "wait", "--any", "--array", array]);
    assert_eq!(
        any.status.code(),
        Some(1),
        "a terminated job does not count as done"
    );
}

#[test]
fn the_input_of_a_job_is_read_from_a_file() {
    let environment = start_environment();
    let run = |arguments: &[&str]| marbledeck(&environment.submission_address, arguments);
    let run_preview = |arguments: &[&str]| run(&[arguments, &PREVIEW[..]].concat());
    let file = environment.folder().join("reel.json");
    std::fs::write(&file, b"\x00\xff reel").unwrap();
    assert!(run_preview(&[
        "job",
        "run",
        "/with-input",
        "--wait",
        "--input",
        file.to_str().unwrap()
    ])
    .status
    .success());
    let started = environment
        .workers
        .iter()
        .flat_map(WorkerStub::started_jobs)
        .find(|job| job.target == "/with-input");
    assert_eq!(started.unwrap().body, b"\x00\xff reel");
}

#[test]
fn a_node_shows_its_machines_queues_and_capabilities() {
    let environment = start_environment();
    let run = |arguments: &[&str]| marbledeck(&environment.submission_address, arguments);
    assert_eq!(stdout(&run(&["machines"])).lines().count(), 3);
    assert!(stdout(&run(&["queues"])).contains("sheet-publish"));
    assert!(stdout(&run(&["capabilities"])).contains("BULK_JOBS_MAXPARALLEL"));
}

/// A machine that an operator took out of service has the state `out` and is not available.
#[test]
fn a_machine_that_an_operator_took_out_is_shown_as_out() {
    let environment = start_environment();
    assert_eq!(
        environment.call_admin("set-down w2").as_deref(),
        Some("ACK w2 out")
    );
    let shown = marbledeck(&environment.submission_address, &["machines", "--json"]);
    let machines = json_lines(&shown);
    let states = values(&machines, "state");
    assert_eq!(states, ["up", "out", "up"]);
    assert_eq!(machines[1]["available"], false);
}
