//! The output and the exit status of the command line.

use crate::assert_golden;
use crate::support::{bind_listener, list_entry, node_file, program, Node};
use crate::text::{self, section, without_numbers_after, without_numbers_before};
use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::time::Duration;

/// Runs the program with these arguments for a node.
fn run(node: &str, line: &str) -> String {
    let mut command = program();
    command
        .env("MARBLEDECK_NODE", node)
        .args(line.split(' ').filter(|word| !word.is_empty()));
    text::describe_output(&command.output().expect("it runs"))
}

/// Runs the program with these arguments and without any variable.
fn run_without_variables(line: &str) -> String {
    let mut command = program();
    command.args(line.split(' ').filter(|word| !word.is_empty()));
    text::describe_output(&command.output().expect("it runs"))
}

#[test]
fn help_keeps_its_text() {
    let lines = [
        "--version",
        "--help",
        "serve --help",
        "job --help",
        "job run --help",
        "job bulk --help",
        "job info --help",
        "job wait --help",
        "job list --help",
        "job hold --help",
        "job release --help",
        "job terminate --help",
        "job reap --help",
        "job watch --help",
        "session --help",
        "session create --help",
        "session list --help",
        "session show --help",
        "session destroy --help",
        "queues --help",
        "machines --help",
        "capabilities --help",
        "config --help",
        "config check --help",
        "members --help",
        "completions --help",
    ];
    let mut golden = String::new();
    for line in lines {
        golden += &section(line, &run_without_variables(line));
    }
    assert_golden("command_line_help", &golden);
}

#[test]
fn completions_keep_their_text() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let output = run_without_variables(&format!("completions {shell}"));
        assert_golden(&format!("command_line_completions_{shell}"), &output);
    }
}

/// Invalid command lines, and commands for a node that is not reachable.
#[test]
fn a_wrong_command_line_is_refused_with_its_reason() {
    let lines = [
        "",
        "jbo",
        "-x",
        "--submission",
        "--site",
        "--site a --submission b",
        "--site a job list",
        "job",
        "job rnu",
        "job run",
        "job run /x",
        "job run /x --class c --deadline soon",
        "job run /x --class c --until soon",
        "job run /x --class c --start +soon",
        "job run /x --class c --slots many",
        "job run /x --class c --patience long",
        "job bulk /x --class c",
        "job bulk /x --class c --to x",
        "job bulk /x --class c --to 3 --max-parallel -1",
        "job info",
        "job info a --result --json",
        "job wait",
        "job wait a --array b",
        "job wait a --timeout 3d",
        "job list --state SLEEPING",
        "job hold",
        "job watch",
        "job watch --session s --count x",
        "session",
        "session create",
        "session show",
        "queues more",
        "config",
        "config check",
        "config chekc x",
        "members",
        "members nowhere",
        "members 127.0.0.1:1",
        "completions",
        "completions tcsh",
        "job run /x --class c --input /none",
        "job list --patience 0",
        "job run /x --class c --patience 0",
        "session list --patience 0 --json",
        "queues --patience 0",
        "machines --patience 0 --quiet",
        "capabilities --patience 0",
        "job watch --session s --patience 0",
        "job list --patience 0 --node 127.0.0.1:2",
    ];
    let mut golden = String::new();
    for line in lines {
        golden += &section(line, &run("127.0.0.1:1", line));
    }
    assert_golden("command_line_refused", &golden);
}

/// `members` prints the answer of the node's operators' address.
#[test]
fn members_prints_the_workers_of_a_node() {
    let (_discovery, discovery) = bind_listener();
    let (_worker, worker) = bind_listener();
    let node = Node::start(&node_file(discovery, &[list_entry("w1", worker)]), "");
    let mut golden = section(
        "members OPS",
        &run_without_variables(&format!("members {}", node.admin_address)),
    );
    let mut command = program();
    command.env("LB_OPS", &node.admin_address).arg("members");
    let output = text::describe_output(&command.output().expect("it runs"));
    golden += &section("LB_OPS=OPS members", &output);
    let golden = golden.replace(&worker.to_string(), "<w1>");
    assert_golden(
        "command_line_members",
        &without_numbers_before(&golden, " s\n", "<age>"),
    );
}

/// Replaces times and durations of jobs.
fn hide_times(text: &str) -> String {
    let text = without_numbers_after(text, "TimeMs\":", "<time>");
    let text = without_numbers_after(&text, "retry in ", "<seconds>");
    without_numbers_after(&text, " on w1 ", "<seconds>")
}

/// Commands for jobs, sessions and the state of the node, one after another.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of command lines")]
fn commands_print_what_a_node_answers() {
    let environment = TestEnvironment::start(EnvironmentOptions {
        workers: 1,
        ..EnvironmentOptions::default()
    });
    environment.workers[0].set_behaviour(|job| match job.target.as_str() {
        "/failing" => JobBehaviour::Fail(Duration::from_millis(2)),
        target => JobBehaviour::Serve(Duration::from_millis(2), format!("made {target}")),
    });
    let lines = [
        "queues",
        "queues --json",
        "machines",
        "machines --json",
        "capabilities",
        "job run /one -c preview -t au --wait",
        "job run /two -c preview -t au --wait --json",
        "job run /three -c preview -t au --wait --quiet",
        "job run /failing -c sheet-publish -t au -k k-1 --wait",
        "job run /failing -c sheet-publish -t au -k k-2 --wait --json",
        "job run /one -c nonsense -t au",
        "job run /one -c preview -t nobody",
        "job run /one -c nonsense -t au --json",
        "session create films",
        "session create films",
        "session create stills --json",
        "session list",
        "session list --json",
        "job run /held -c preview -t au --hold -s films --name reel",
        "job run /held -c preview -t au --hold -s films --name still --json",
        "job list",
        "job list -s films --json",
        "job list --state queued_held --name reel",
        "session show films",
        "session show films --json",
        "job wait n0-17-5 --timeout 20ms",
        "job wait n0-17-5 --timeout 20ms --json",
        "job hold n0-17-5",
        "job hold n0-17-5 --json",
        "job release n0-17-5",
        "job wait n0-17-5",
        "job wait n0-17-5 --json",
        "job release n0-17-5 --json",
        "job wait --any n0-17-5 n0-17-5",
        "job info n0-17-5",
        "job info n0-17-5 --json",
        "job info n0-17-5 --result",
        "job info n0-17-6 --result",
        "job info none",
        "job info none --json",
        "job terminate n0-17-6",
        "job terminate n0-17-6 --json",
        "job watch -s films --since 0 --count 6",
        "job watch -s films --since 0 --count 6 --json",
        "session show films",
        "job bulk /n/${PARAMETRIC_INDEX} --from 1 --to 3 -p 1 -c preview -t au --wait",
        "job bulk /n/${PARAMETRIC_INDEX} --from 1 --to 3 -p 1 -c preview -t au --wait --json",
        "job bulk /n/${PARAMETRIC_INDEX} --from 1 --to 2 -c preview -t au --hold",
        "job bulk /n/${PARAMETRIC_INDEX} --from 1 --to 2 -c preview -t au --hold --json",
        "job bulk /n --from 3 --to 1 -c preview -t au",
        "job reap n0-17-5",
        "job reap n0-17-5",
        "job wait none",
        "job terminate none",
        "job list -s none",
        "session show none",
        "session destroy films",
        "session destroy films",
        "job watch -s films",
    ];
    let mut golden = String::new();
    for line in lines {
        golden += &section(line, &run(&environment.submission_address, line));
    }
    let golden = golden.replace(&environment.workers[0].address.to_string(), "<w1>");
    assert_golden("command_line_against_a_node", &hide_times(&golden));
}
