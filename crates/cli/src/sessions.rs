//! `marbledeck session ...`, and what a node tells of itself.

use crate::args::{NodeCommand, SessionCommand};
use crate::{print, Cli, Failure, Status};
use marbledeck_submission_client::{Filter, Operation};
use serde::Serialize;
use std::collections::BTreeMap;

pub(crate) fn carry_out(command: SessionCommand) -> Result<Status, Failure> {
    match command {
        SessionCommand::Create { name, common } => {
            let cli = Cli::new(&common);
            cli.client
                .request(Operation::CreateSession { name: name.clone() })?;
            match cli.json {
                true => print::json(&serde_json::json!({ "session": name })),
                false => print::line(&name),
            }
        }
        SessionCommand::List { common } => {
            let cli = Cli::new(&common);
            for name in cli.client.sessions()? {
                match cli.json {
                    true => print::json(&serde_json::json!({ "session": name })),
                    false => print::line(&name),
                }
            }
        }
        SessionCommand::Show { name, common } => {
            let cli = Cli::new(&common);
            let last = cli.client.open_session(&name, None)?;
            let mut states: BTreeMap<_, usize> = BTreeMap::new();
            cli.client
                .list_jobs(Some(&name), &Filter::default(), |info| {
                    *states.entry(info.job_state).or_default() += 1;
                })?;
            if cli.json {
                let states: BTreeMap<&str, usize> = states
                    .iter()
                    .map(|(state, n)| (state.as_str(), *n))
                    .collect();
                print::json(
                    &serde_json::json!({"session": name, "lastEvent": last, "jobs": states}),
                );
            } else {
                print::line(&format!("last event {last}"));
                for (state, count) in states {
                    print::line(&format!("{:<16} {count}", state.as_str()));
                }
            }
        }
        SessionCommand::Destroy { name, common } => {
            Cli::new(&common).client.destroy_session(&name)?
        }
    }
    Ok(Status::Ok)
}

/// Prints each, as an object or as this line.
fn each<T: Serialize>(json: bool, all: &[T], line: impl Fn(&T) -> String) {
    for one in all {
        match json {
            true => print::json(one),
            false => print::line(&line(one)),
        }
    }
}

pub(crate) fn node(command: NodeCommand) -> Result<Status, Failure> {
    match command {
        NodeCommand::Queues(common) => {
            let cli = Cli::new(&common);
            each(common.json, &cli.client.queues()?, |queue| {
                let deadline = queue.deadline_ms as f64 / 1000.0;
                let keyed = if queue.keyed { ", wants a key" } else { "" };
                format!("{:<20} given up after {deadline:.1} s{keyed}", queue.name)
            });
        }
        NodeCommand::Machines(common) => {
            let cli = Cli::new(&common);
            each(common.json, &cli.client.machines()?, |machine| {
                let free = machine
                    .free_slots
                    .map_or("-".to_owned(), |free| free.to_string());
                let (zone, kind) = (&machine.zone, &machine.kind);
                let (name, state, calls) = (&machine.name, &machine.state, machine.calls);
                format!("{name:<20} {state:<10} {zone:<12} {kind:<10} calls {calls:<4} free {free}")
            });
        }
        NodeCommand::Capabilities(common) => {
            print::json(
                &Cli::new(&common)
                    .client
                    .request(Operation::GetCapabilities)?,
            );
        }
    }
    Ok(Status::Ok)
}
