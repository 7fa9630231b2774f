//! Reads `KNOWN-RED.txt`, the list of tests that fail for a known fault, in the current folder.
//!
//! - `known-red check` prints the entries, and fails if a line is no entry or does not name exactly one test.
//! - `known-red skip-arguments` prints the arguments with which `cargo test --` leaves out exactly these tests.
//! - `known-red run N` runs each entry's command N times and prints how many of the runs failed.

use marbledeck_test_support::known_red::{self, KnownRed, ListError};
use std::io;
use std::process::{Command, ExitCode, Stdio};

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    List(#[from] ListError),
    #[error("cannot read {file}: {source}", file = known_red::FILE)]
    Read {
        #[source]
        source: io::Error,
    },
    #[error("cannot run {program}: {source}")]
    Run {
        program: &'static str,
        #[source]
        source: io::Error,
    },
    #[error("cargo cannot list the tests; run `cargo test --no-run` to see why")]
    ListTests,
    #[error("usage: known-red check | skip-arguments | run N")]
    Usage,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("known-red: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Error> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let entries = read_entries()?;
    match arguments.as_slice() {
        ["check"] => check(&entries),
        ["skip-arguments"] => {
            println!("{}", known_red::skip_arguments(&entries).join(" "));
            Ok(())
        }
        ["run", count] => {
            let count = count.parse().map_err(|_| Error::Usage)?;
            run_commands(&entries, count)
        }
        _ => Err(Error::Usage),
    }
}

/// Reads the list; a missing file is an empty one.
fn read_entries() -> Result<Vec<KnownRed>, Error> {
    let text = match std::fs::read_to_string(known_red::FILE) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        read => read.map_err(|source| Error::Read { source })?,
    };
    Ok(known_red::parse_list(&text)?)
}

fn check(entries: &[KnownRed]) -> Result<(), Error> {
    println!("known to fail: {}", entries.len());
    for entry in entries {
        println!("{entry}");
    }
    if entries.is_empty() {
        return Ok(());
    }
    let mut cargo = Command::new("cargo");
    cargo.args(["test", "--locked", "--", "--list", "--format", "terse"]);
    let output = cargo.stderr(Stdio::inherit()).output();
    let output = output.map_err(|source| Error::Run {
        program: "cargo",
        source,
    })?;
    if !output.status.success() {
        return Err(Error::ListTests);
    }
    let listed_tests = String::from_utf8_lossy(&output.stdout);
    Ok(known_red::check_names(entries, &listed_tests)?)
}

/// Runs each entry's command this many times.
fn run_commands(entries: &[KnownRed], count: usize) -> Result<(), Error> {
    for entry in entries {
        let mut failed = 0;
        for _ in 0..count {
            let mut shell = Command::new("sh");
            let output = shell.args(["-c", &entry.command]).output();
            let output = output.map_err(|source| Error::Run {
                program: "sh",
                source,
            })?;
            failed += usize::from(!output.status.success());
        }
        println!("{}: {failed} of {count} runs failed", entry.test);
        if failed == 0 {
            println!("  its fault was not seen: trace what has changed, or take it off the list");
        }
    }
    Ok(())
}
