//! `marbledeck job wait`.

use super::selection;
use crate::args::JobSelection;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::Status;
use marbledeck_submission_client::WaitGoal;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// The options of `marbledeck job wait`.
pub(super) struct WaitOptions {
    /// Whether to wait for only one of the jobs instead of all.
    any: bool,
    goal: WaitGoal,
    timeout: Option<Duration>,
}

impl WaitOptions {
    pub(super) fn new(any: bool, started: bool, timeout: Option<Duration>) -> Self {
        let goal = if started {
            WaitGoal::Started
        } else {
            WaitGoal::Terminated
        };
        WaitOptions { any, goal, timeout }
    }
}

/// Waits for any or all of the selected jobs, and prints the jobs that have reached the goal.
pub(super) fn wait(
    context: &CommandContext,
    selection: JobSelection,
    options: &WaitOptions,
) -> Result<Status, CommandError> {
    if !options.any {
        return wait_for_all(context, selection, options);
    }
    let targets = selection::targets(selection);
    let info = context
        .client
        .wait_any(&targets, options.goal, options.timeout)?;
    context.print_job(&info);
    Ok(Status::of_job(&info))
}

fn wait_for_all(
    context: &CommandContext,
    selection: JobSelection,
    options: &WaitOptions,
) -> Result<Status, CommandError> {
    let client = &context.client;
    let deadline = options.timeout.map(|timeout| Instant::now() + timeout);
    let mut status = Status::Ok;
    let mut seen = HashSet::new();
    for job_id in selection::job_ids(client, selection)? {
        if !seen.insert(job_id.clone()) {
            continue;
        }
        let remaining = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let info = match options.goal {
            WaitGoal::Started => client.wait_started(&job_id, remaining)?,
            WaitGoal::Terminated => client.wait_terminated(&job_id, remaining)?,
        };
        context.print_job(&info);
        status = status.max(Status::of_job(&info));
    }
    Ok(status)
}
