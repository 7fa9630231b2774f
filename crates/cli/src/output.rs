//! Printing of results to standard output.
//!
//! If standard output is closed, such as by `head`, the program exits silently.

use marbledeck_submission_client::JobInfo;
use serde::Serialize;
use std::fmt::Write as _;
use std::io::{self, Write as _};

/// Prints a line.
pub(crate) fn print_line(text: &str) {
    let mut stdout = io::stdout().lock();
    exit_on_error(writeln!(stdout, "{text}").and_then(|()| stdout.flush()));
}

/// Prints a value as JSON on one line.
pub(crate) fn print_json(value: &impl Serialize) {
    print_line(&serde_json::to_string(value).unwrap_or_default());
}

/// Prints bytes unchanged.
pub(crate) fn print_bytes(bytes: &[u8]) {
    let mut stdout = io::stdout().lock();
    exit_on_error(stdout.write_all(bytes).and_then(|()| stdout.flush()));
}

fn exit_on_error(written: io::Result<()>) {
    if written.is_err() {
        std::process::exit(0);
    }
}

/// Formats a job as one line of text.
pub(crate) fn format_job(info: &JobInfo) -> String {
    let state = match &info.job_sub_state {
        Some(sub_state) => format!("{} ({sub_state})", info.job_state),
        None => info.job_state.to_string(),
    };
    let mut text = format!("{:<28} {state:<22} {}", info.job_id, info.queue_name);
    for name in [&info.accounting_id, &info.job_name].into_iter().flatten() {
        let _ = write!(text, " {name}");
    }
    if let Some(machine) = &info.machine {
        let _ = write!(text, " on {machine}");
    }
    if let (Some(start), Some(finish)) = (info.dispatch_time_ms, info.finish_time_ms) {
        let seconds = finish.saturating_sub(start) as f64 / 1000.0;
        let _ = write!(text, " {seconds:.2} s");
    }
    if let Some(problem) = &info.problem {
        let _ = write!(text, ": {}", problem.message);
    }
    text
}
