//! `marbledeck queues`, `machines` and `capabilities`.

use crate::args::NodeCommand;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::{output, Status};
use marbledeck_submission_client::{Machine, Operation, Queue};

/// Runs a command about the node.
pub(crate) fn run(command: NodeCommand) -> Result<Status, CommandError> {
    match command {
        NodeCommand::Queues(common) => {
            let context = CommandContext::new(&common);
            for queue in context.client.queues()? {
                context.format.print(&queue, || format_queue(&queue));
            }
        }
        NodeCommand::Machines(common) => {
            let context = CommandContext::new(&common);
            for machine in context.client.machines()? {
                context.format.print(&machine, || format_machine(&machine));
            }
        }
        NodeCommand::Capabilities(common) => {
            let context = CommandContext::new(&common);
            output::print_json(&context.client.request(Operation::GetCapabilities)?);
        }
    }
    Ok(Status::Ok)
}

fn format_queue(queue: &Queue) -> String {
    let deadline = queue.deadline_ms as f64 / 1000.0;
    let keyed = if queue.keyed { ", requires a key" } else { "" };
    format!("{:<20} given up after {deadline:.1} s{keyed}", queue.name)
}

fn format_machine(machine: &Machine) -> String {
    let free = machine
        .free_slots
        .map_or("-".to_owned(), |free| free.to_string());
    let (zone, kind) = (&machine.zone, &machine.kind);
    let (name, state, calls) = (&machine.name, &machine.state, machine.calls);
    format!("{name:<20} {state:<10} {zone:<12} {kind:<10} calls {calls:<4} free {free}")
}
