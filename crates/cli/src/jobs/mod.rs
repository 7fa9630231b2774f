//! `marbledeck job ...`

mod selection;
mod submission;
mod waits;
mod watch;

use crate::args::{JobCommand, JobSelection};
use crate::context::{CommandContext, OutputFormat};
use crate::error::CommandError;
use crate::{output, Status};
use marbledeck_submission_client::{Filter, IndexRange, Operation, Targets};
use serde_json::json;
use submission::BulkOptions;
use waits::WaitOptions;

/// Runs a command on jobs.
#[expect(clippy::too_many_lines, reason = "a table with one entry per command")]
pub(crate) fn run(command: JobCommand) -> Result<Status, CommandError> {
    match command {
        JobCommand::Run {
            template,
            wait,
            common,
        } => submission::run_job(&CommandContext::new(&common), template, wait),
        JobCommand::Bulk {
            template,
            from,
            to,
            step,
            max_parallel,
            wait,
            common,
        } => {
            let options = BulkOptions {
                indices: IndexRange::new(from, to, step),
                max_parallel,
                wait,
            };
            submission::run_bulk(&CommandContext::new(&common), template, &options)
        }
        JobCommand::Info {
            jobs,
            result,
            common,
        } => {
            let context = CommandContext::new(&common);
            if result {
                print_results(&context, &jobs)
            } else {
                print_jobs(&context, &jobs)
            }
        }
        JobCommand::Wait {
            which,
            any,
            started,
            timeout,
            common,
        } => {
            let options = WaitOptions::new(any, started, timeout);
            waits::wait(&CommandContext::new(&common), which, &options)
        }
        JobCommand::List {
            session,
            state,
            name,
            class,
            tenant,
            array,
            common,
        } => {
            let filter = Filter {
                job_name: name,
                job_states: (!state.is_empty()).then_some(state),
                queue_name: class,
                accounting_id: tenant,
                job_array_id: array,
                ..Filter::default()
            };
            list(&CommandContext::new(&common), session.as_deref(), &filter)
        }
        JobCommand::Hold { which, common } => {
            control(&CommandContext::new(&common), which, |targets| {
                Operation::Hold { targets }
            })
        }
        JobCommand::Release { which, common } => {
            control(&CommandContext::new(&common), which, |targets| {
                Operation::Release { targets }
            })
        }
        JobCommand::Terminate { which, common } => {
            control(&CommandContext::new(&common), which, |targets| {
                Operation::Terminate { targets }
            })
        }
        JobCommand::Reap { which, common } => {
            control(&CommandContext::new(&common), which, |targets| {
                Operation::Reap { targets }
            })
        }
        JobCommand::Watch {
            session,
            since,
            count,
            common,
        } => watch::watch(&common, &session, since, count),
    }
}

fn list(
    context: &CommandContext,
    session: Option<&str>,
    filter: &Filter,
) -> Result<Status, CommandError> {
    context
        .client
        .list_jobs(session, filter, |info| context.print_job(&info))?;
    Ok(Status::Ok)
}

/// Prints the information of jobs.
fn print_jobs(context: &CommandContext, job_ids: &[String]) -> Result<Status, CommandError> {
    for job_id in job_ids {
        context.print_job(&context.client.job_info(job_id)?);
    }
    Ok(Status::Ok)
}

/// Prints the results of jobs; a job without a result is described on standard error.
fn print_results(context: &CommandContext, job_ids: &[String]) -> Result<Status, CommandError> {
    let mut status = Status::Ok;
    for job_id in job_ids {
        let info = context.client.job_info(job_id)?;
        if let Some(result) = info.result_bytes() {
            output::print_bytes(&result);
        } else {
            eprintln!("{}", output::format_job(&info));
            status = Status::Failed;
        }
    }
    Ok(status)
}

/// Performs a control operation on the selected jobs, and prints how many were changed.
fn control(
    context: &CommandContext,
    selection: JobSelection,
    operation: impl Fn(Targets) -> Operation,
) -> Result<Status, CommandError> {
    let targets = selection::targets(selection);
    let summary = context.client.control(operation(targets))?;
    let (changed, rejected) = (summary.changed, summary.rejected);
    match context.format {
        OutputFormat::Json => {
            output::print_json(&json!({"changed": changed, "refused": rejected}));
        }
        OutputFormat::Text => context.print_note(&format!("{changed} changed, {rejected} not")),
    }
    if rejected == 0 {
        Ok(Status::Ok)
    } else {
        Ok(Status::Failed)
    }
}
