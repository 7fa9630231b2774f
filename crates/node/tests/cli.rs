//! The command line, against a node between stand-ins and against nothing.

use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment, WorkerStub};
use rstest::rstest;
use serde_json::Value;
use std::process::{Command, Output};
use std::time::Duration;

fn marbledeck(node: &str, words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marbledeck"));
    command.env("MARBLEDECK_NODE", node).env_remove("LB_CONFIG");
    command.args(words).output().unwrap()
}

fn words(line: &str) -> Vec<&str> {
    line.split(' ').collect()
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn json_lines(output: &Output) -> Vec<Value> {
    out(output)
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// The values of this key, one a line.
fn texts<'a>(lines: &'a [Value], key: &str) -> Vec<&'a str> {
    lines
        .iter()
        .map(|line| line[key].as_str().unwrap())
        .collect()
}

fn lab() -> TestEnvironment {
    let lab = TestEnvironment::start(EnvironmentOptions::default());
    for worker in &lab.workers {
        worker.set_behaviour(|job| match job.target.as_str() {
            "/failing" => JobBehaviour::Fail(Duration::from_millis(2)),
            "/slow" => JobBehaviour::Serve(Duration::from_secs(4), "late".to_owned()),
            target => JobBehaviour::Serve(Duration::from_millis(2), format!("made {target}")),
        });
    }
    lab
}

/// What is wrong is named, and the exit status says what kind it is.
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
    #[case] words: &[&str],
    #[case] status: i32,
    #[case] message: &str,
) {
    // Nothing listens on port 1.
    let output = marbledeck("127.0.0.1:1", words);
    assert_eq!(output.status.code(), Some(status), "{}", err(&output));
    assert!(err(&output).contains(message), "{}", err(&output));
}

#[test]
fn help_and_completions_are_printed() {
    for words in [
        &["--version"][..],
        &["--help"],
        &["job", "--help"],
        &["job", "bulk", "--help"],
        &["completions", "bash"],
    ] {
        let output = marbledeck("", words);
        assert!(
            output.status.success() && out(&output).contains("marbledeck"),
            "{words:?}"
        );
    }
    assert!(out(&marbledeck("", &["job", "bulk", "--help"])).contains("Example"));
}

/// The options of a job that is idempotent.
const PREVIEW: [&str; 4] = ["--class", "preview", "--tenant", "au"];

/// A result comes as it was made; a failure is status 1, what the node denies 3.
#[test]
fn the_end_of_a_job_sets_the_exit_status() {
    let lab = lab();
    let run = |words: &[&str]| marbledeck(&lab.submission_address, words);
    let with = |words: &[&str]| run(&[words, &PREVIEW[..]].concat());
    let made = with(&["job", "run", "/one", "--wait", "--quiet"]);
    assert_eq!(
        (out(&made).as_str(), made.status.code()),
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
    assert_eq!(failed.status.code(), Some(1), "{}", err(&failed));
    let refused = with(&["job", "run", "/failing", "--wait"]);
    assert_eq!(
        refused.status.code(),
        Some(75),
        "a preview is harmless to repeat"
    );
    let denied = run(&["job", "run", "/one", "--class", "nonsense"]);
    assert_eq!(denied.status.code(), Some(3));
    assert!(err(&denied).contains("unknown class 'nonsense'"));
}

#[test]
fn a_held_job_of_a_session_is_listed_released_watched_and_reaped() {
    let lab = lab();
    let run = |words: &[&str]| marbledeck(&lab.submission_address, words);
    let with = |words: &[&str]| run(&[words, &PREVIEW[..]].concat());
    assert!(run(&["session", "create", "films"]).status.success());
    assert!(run(&["session", "list"]).status.success());
    let held = with(&words("job run /held --hold --session films --name reel"));
    let id = out(&held).trim().to_owned();
    let hold = run(&["job", "hold", &id]);
    assert_eq!(hold.status.code(), Some(3));
    let listed = run(&words(
        "job list --session films --state queued_held --json",
    ));
    let value: Value = serde_json::from_str(&out(&listed)).unwrap();
    assert_eq!(
        (&value["jobId"], &value["jobName"]),
        (&Value::from(id.clone()), &Value::from("reel"))
    );
    let late = run(&["job", "wait", &id, "--timeout", "20ms"]);
    assert_eq!(late.status.code(), Some(124), "{}", err(&late));
    assert!(run(&["job", "release", &id]).status.success());
    assert!(run(&["job", "wait", &id]).status.success());
    assert_eq!(out(&run(&["job", "info", "--result", &id])), "made /held");
    let watched = run(&words(
        "job watch --session films --since 0 --count 4 --json",
    ));
    let events = json_lines(&watched);
    let states = texts(&events, "jobState");
    assert_eq!(states, ["QUEUED_HELD", "QUEUED", "RUNNING", "DONE"]);
    let shown = run(&["session", "show", "films", "--json"]);
    let value: Value = serde_json::from_str(&out(&shown)).unwrap();
    assert_eq!(
        (&value["lastEvent"], &value["jobs"]["DONE"]),
        (&4.into(), &1.into())
    );
    assert!(run(&["job", "reap", &id]).status.success());
    assert_eq!(run(&["job", "info", &id]).status.code(), Some(3));
    assert!(run(&["session", "destroy", "films"]).status.success());
    assert_eq!(run(&["session", "show", "films"]).status.code(), Some(3));
}

/// With its progress bar, and a whole array under control.
#[test]
fn a_bulk_is_run_and_terminated_as_an_array() {
    let lab = lab();
    let run = |words: &[&str]| marbledeck(&lab.submission_address, words);
    let with = |words: &[&str]| run(&[words, &PREVIEW[..]].concat());
    let bulk = with(&[
        "job",
        "bulk",
        "/n/${PARAMETRIC_INDEX}",
        "--to",
        "40",
        "-p",
        "4",
        "--wait",
    ]);
    assert!(bulk.status.success(), "{}", err(&bulk));
    assert_eq!(
        out(&bulk)
            .lines()
            .filter(|line| line.contains("DONE"))
            .count(),
        40
    );
    let bulk = with(&["job", "bulk", "/slow", "--to", "9", "-p", "2", "--json"]);
    let first: Value = serde_json::from_str(out(&bulk).lines().next().unwrap()).unwrap();
    let array = first["jobArrayId"].as_str().unwrap();
    let ended = run(&["job", "terminate", "--array", array, "--json"]);
    assert_eq!(out(&ended).trim(), r#"{"changed":9,"refused":0}"#);
    let any = run(&["job", "wait", "--any", "--array", array]);
    assert_eq!(any.status.code(), Some(1), "terminated is not done");
}

#[test]
fn the_input_of_a_job_is_read_from_a_file() {
    let lab = lab();
    let run = |words: &[&str]| marbledeck(&lab.submission_address, words);
    let with = |words: &[&str]| run(&[words, &PREVIEW[..]].concat());
    let file = lab.folder().join("reel.json");
    std::fs::write(&file, b"\x00\xff reel").unwrap();
    assert!(with(&[
        "job",
        "run",
        "/with-input",
        "--wait",
        "--input",
        file.to_str().unwrap()
    ])
    .status
    .success());
    let started = lab
        .workers
        .iter()
        .flat_map(WorkerStub::started_jobs)
        .find(|job| job.target == "/with-input");
    assert_eq!(started.unwrap().body, b"\x00\xff reel");
}

#[test]
fn a_node_shows_its_machines_queues_and_capabilities() {
    let lab = lab();
    let run = |words: &[&str]| marbledeck(&lab.submission_address, words);
    assert_eq!(out(&run(&["machines"])).lines().count(), 3);
    assert!(out(&run(&["queues"])).contains("sheet-publish"));
    assert!(out(&run(&["capabilities"])).contains("BULK_JOBS_MAXPARALLEL"));
}

/// A machine that an operator has taken out is shown as that.
#[test]
fn a_machine_that_an_operator_took_out_is_shown_as_out() {
    let lab = lab();
    assert_eq!(lab.call_admin("set-down w2").as_deref(), Some("ACK w2 out"));
    let shown = marbledeck(&lab.submission_address, &["machines", "--json"]);
    let machines = json_lines(&shown);
    let states = texts(&machines, "state");
    assert_eq!(states, ["up", "out", "up"]);
    assert_eq!(machines[1]["available"], false);
}
