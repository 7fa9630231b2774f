//! Demonstrates a node with stubs on loopback: submits a bulk job with the command line client, then lists the machines
//! and the queues. The node and the stubs are stopped at the end.

use marbledeck_test_support::{binary, EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::process::{Command, ExitCode};
use std::time::Duration;

fn main() -> ExitCode {
    let environment = TestEnvironment::start(EnvironmentOptions::default());
    for worker in &environment.workers {
        worker.set_behaviour(|job| {
            JobBehaviour::Serve(Duration::from_millis(40), format!("made {}", job.target))
        });
    }
    println!(
        "a node serves clients at {}, submitters at {}",
        environment.client_address, environment.submission_address
    );
    let command_lines: [&[&str]; 3] = [
        &[
            "job",
            "bulk",
            "/frame?n=${PARAMETRIC_INDEX}",
            "--from",
            "1",
            "--to",
            "40",
            "--max-parallel",
            "8",
            "--class",
            "preview",
            "--tenant",
            "au",
            "--wait",
        ],
        &["machines"],
        &["queues"],
    ];
    for args in command_lines {
        println!("\n$ marbledeck {}", args.join(" "));
        let status = Command::new(binary())
            .args(args)
            .env("MARBLEDECK_NODE", &environment.submission_address)
            .status();
        if !status.is_ok_and(|status| status.success()) {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
