//! A first look: a node between stand-ins on loopback, a bulk of jobs handed in on the command line, and what the node
//! tells of itself. Everything ends with it.

use marbledeck_test_support::{binary, EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::process::{Command, ExitCode};
use std::time::Duration;

fn main() -> ExitCode {
    let lab = TestEnvironment::start(EnvironmentOptions::default());
    for worker in &lab.workers {
        worker.set_behaviour(|job| {
            JobBehaviour::Serve(Duration::from_millis(40), format!("made {}", job.target))
        });
    }
    println!(
        "a node serves clients at {}, submitters at {}",
        lab.client_address, lab.submission_address
    );
    let calls: [&[&str]; 3] = [
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
    for words in calls {
        println!("\n$ marbledeck {}", words.join(" "));
        let run = Command::new(binary())
            .args(words)
            .env("MARBLEDECK_NODE", &lab.submission_address)
            .status();
        if !run.is_ok_and(|status| status.success()) {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
