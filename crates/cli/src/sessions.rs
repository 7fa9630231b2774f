//! `marbledeck session ...`

use crate::args::SessionCommand;
use crate::context::{CommandContext, OutputFormat};
use crate::error::CommandError;
use crate::{output, Status};
use marbledeck_submission_client::{Filter, JobState, Operation};
use serde_json::json;
use std::collections::BTreeMap;

/// Runs a command on sessions.
pub(crate) fn run(command: SessionCommand) -> Result<Status, CommandError> {
    match command {
        SessionCommand::Create { name, common } => create(&CommandContext::new(&common), &name)?,
        SessionCommand::List { common } => list(&CommandContext::new(&common))?,
        SessionCommand::Show { name, common } => show(&CommandContext::new(&common), &name)?,
        SessionCommand::Destroy { name, common } => {
            CommandContext::new(&common).client.destroy_session(&name)?;
        }
    }
    Ok(Status::Ok)
}

fn create(context: &CommandContext, name: &str) -> Result<(), CommandError> {
    let operation = Operation::CreateSession {
        name: name.to_owned(),
    };
    context.client.request(operation)?;
    print_name(context, name);
    Ok(())
}

fn list(context: &CommandContext) -> Result<(), CommandError> {
    for name in context.client.sessions()? {
        print_name(context, &name);
    }
    Ok(())
}

fn print_name(context: &CommandContext, name: &str) {
    context
        .format
        .print(&json!({ "session": name }), || name.to_owned());
}

/// Prints the number of a session's last event and the number of its jobs in each state.
fn show(context: &CommandContext, name: &str) -> Result<(), CommandError> {
    let last_event = context.client.open_session(name, None)?;
    let mut counts: BTreeMap<JobState, usize> = BTreeMap::new();
    context
        .client
        .list_jobs(Some(name), &Filter::default(), |info| {
            *counts.entry(info.job_state).or_default() += 1;
        })?;
    match context.format {
        OutputFormat::Json => {
            let counts: BTreeMap<&str, usize> = counts
                .iter()
                .map(|(state, count)| (state.as_str(), *count))
                .collect();
            output::print_json(&json!({"session": name, "lastEvent": last_event, "jobs": counts}));
        }
        OutputFormat::Text => {
            output::print_line(&format!("last event {last_event}"));
            for (state, count) in counts {
                output::print_line(&format!("{:<16} {count}", state.as_str()));
            }
        }
    }
    Ok(())
}
