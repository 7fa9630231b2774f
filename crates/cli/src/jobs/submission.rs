//! `marbledeck job run` and `marbledeck job bulk`.

use crate::args::TemplateArgs;
use crate::context::{CommandContext, OutputFormat};
use crate::error::CommandError;
use crate::{output, Status};
use indicatif::{ProgressBar, ProgressStyle};
use marbledeck_submission_client::{Accepted, Bulk, Error, IndexRange, Problem, Template};
use serde::Serialize;
use serde_json::Value;
use std::io::{self, Read};
use std::path::PathBuf;

/// The options of `marbledeck job bulk`.
pub(super) struct BulkOptions {
    pub(super) indices: IndexRange,
    pub(super) max_parallel: Option<u32>,
    /// Whether to wait until all jobs have ended.
    pub(super) wait: bool,
}

/// Submits a job; if `wait` is set, waits for its end and prints its result.
pub(super) fn run_job(
    context: &CommandContext,
    mut args: TemplateArgs,
    wait: bool,
) -> Result<Status, CommandError> {
    let session = args.session.take();
    let template = template(args)?;
    let job = context.client.run_job(template, session.as_deref())?;
    if !wait {
        context.format.print(&job, || job.job_id.clone());
        return Ok(Status::Ok);
    }
    context.print_note(&job.job_id);
    let info = context.client.wait_terminated(&job.job_id, None)?;
    if context.format == OutputFormat::Json {
        output::print_json(&info);
    } else if let Some(result) = info.result_bytes() {
        output::print_bytes(&result);
    } else {
        eprintln!("{}", output::format_job(&info));
    }
    Ok(Status::of_ended_job(&info))
}

/// Submits a bulk job; if `options.wait` is set, waits until all its jobs have ended.
pub(super) fn run_bulk(
    context: &CommandContext,
    mut args: TemplateArgs,
    options: &BulkOptions,
) -> Result<Status, CommandError> {
    let session = args.session.take();
    let template = template(args)?;
    let bulk = context.client.run_bulk(
        template,
        options.indices,
        options.max_parallel,
        session.as_deref(),
    )?;
    let mut status = Status::Ok;
    let mut accepted = Vec::new();
    for job in &bulk.jobs {
        match &job.result {
            Ok(job) => accepted.push(job),
            Err(problem) => {
                status = status.max(Status::of_error(&Error::Problem(problem.clone())));
                print_rejected(context, job.index, problem);
            }
        }
    }
    if options.wait {
        return Ok(status.max(wait_for_all(context, &accepted)?));
    }
    print_bulk(context, &bulk);
    Ok(status)
}

/// Creates the job template from the arguments.
fn template(args: TemplateArgs) -> Result<Template, CommandError> {
    let mut template = Template {
        remote_command: args.command,
        job_category: args.class,
        accounting_id: args.tenant,
        submission_key: args.key,
        job_name: args.name,
        min_slots: args.slots,
        deadline_ms: args
            .deadline
            .map(|deadline| (deadline.as_millis() as u64).max(1)),
        deadline_time: args.until,
        start_time: args.start,
        submit_as_hold: args.hold,
        ..Template::default()
    };
    if let Some(path) = args.input {
        template.set_input(read_input(path)?);
    }
    Ok(template)
}

/// Reads the file given with `--input`; `-` means standard input.
fn read_input(path: PathBuf) -> Result<Vec<u8>, CommandError> {
    let result = if path.as_os_str() == "-" {
        read_stdin()
    } else {
        std::fs::read(&path)
    };
    result.map_err(|source| CommandError::Input { path, source })
}

fn read_stdin() -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    io::stdin().read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Converts a message to JSON and adds the index of its job.
fn with_index(message: &impl Serialize, index: i64) -> Value {
    let mut value = serde_json::to_value(message).unwrap_or_default();
    value["index"] = index.into();
    value
}

fn print_rejected(context: &CommandContext, index: i64, problem: &Problem) {
    match context.format {
        OutputFormat::Json => output::print_json(&with_index(problem, index)),
        OutputFormat::Text => eprintln!("{index}: {:?}: {}", problem.error, problem.message),
    }
}

/// Prints the ids of the accepted jobs.
fn print_bulk(context: &CommandContext, bulk: &Bulk) {
    if context.format == OutputFormat::Text {
        context.print_note(&format!("array {}", bulk.arrays.join(" ")));
    }
    for job in &bulk.jobs {
        let Ok(accepted) = &job.result else {
            continue;
        };
        match context.format {
            OutputFormat::Json => {
                let mut value = with_index(accepted, job.index);
                value["jobArrayId"] = bulk.arrays.last().cloned().into();
                output::print_json(&value);
            }
            OutputFormat::Text => output::print_line(&accepted.job_id),
        }
    }
}

/// Waits with a progress bar until all jobs have ended, and prints each.
fn wait_for_all(context: &CommandContext, jobs: &[&Accepted]) -> Result<Status, CommandError> {
    let bar = progress_bar(context, jobs.len());
    let mut worst = Status::Ok;
    let mut failed = 0;
    for job in jobs {
        let info = context.client.wait_terminated(&job.job_id, None)?;
        let status = Status::of_ended_job(&info);
        worst = worst.max(status);
        if status != Status::Ok {
            failed += 1;
            bar.set_message(format!("{failed} not done, "));
        }
        bar.inc(1);
        bar.suspend(|| context.print_job(&info));
    }
    bar.finish_and_clear();
    context.print_note(&format!("{} ended, {failed} of them not done", jobs.len()));
    Ok(worst)
}

fn progress_bar(context: &CommandContext, jobs: usize) -> ProgressBar {
    let bar = if context.quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(jobs as u64)
    };
    let style = "{bar:30} {pos}/{len} ended, {msg}{elapsed_precise}, {eta} to go";
    if let Ok(style) = ProgressStyle::with_template(style) {
        bar.set_style(style);
    }
    bar
}
