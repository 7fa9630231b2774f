//! How jobs are shown.

use marbledeck_submission_client::JobInfo;
use serde::Serialize;
use std::io::{self, Write};

/// Prints a line; a reader that has gone ends the program without a word, as with other tools.
pub(crate) fn line(text: &str) {
    let mut out = io::stdout().lock();
    if writeln!(out, "{text}").and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}

pub(crate) fn json(value: &impl Serialize) {
    line(&serde_json::to_string(value).unwrap_or_default());
}

/// Prints bytes as they are.
pub(crate) fn bytes(bytes: &[u8]) {
    let mut out = io::stdout().lock();
    if out.write_all(bytes).and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}

/// A job in a line.
pub(crate) fn job(info: &JobInfo) -> String {
    let state = match &info.job_sub_state {
        Some(sub) => format!("{} ({sub})", info.job_state),
        None => info.job_state.to_string(),
    };
    let mut text = format!("{:<28} {state:<22} {}", info.job_id, info.queue_name);
    if let Some(tenant) = &info.accounting_id {
        text += &format!(" {tenant}");
    }
    if let Some(name) = &info.job_name {
        text += &format!(" {name}");
    }
    if let Some(machine) = &info.machine {
        text += &format!(" on {machine}");
    }
    if let (Some(from), Some(to)) = (info.dispatch_time_ms, info.finish_time_ms) {
        text += &format!(" {:.2} s", to.saturating_sub(from) as f64 / 1000.0);
    }
    if let Some(problem) = &info.problem {
        text += &format!(": {}", problem.message);
    }
    text
}
