//! Hosts independent dispatcher instances: passes the messages of a batch to them and writes their actions.

use crate::error::BatchError;
use crate::instance::{write_json, Instance};
use crate::message::{Batch, InstanceMessages, Message};
use marbledeck_dispatcher::{Action, Event, Micros};
use std::collections::HashMap;

/// The attached instances, by name.
#[derive(Default)]
pub struct Host {
    instances: HashMap<Box<str>, Instance>,
    /// Buffers for the events and actions of a message, kept to reuse their allocations; empty between messages.
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl Host {
    /// Appends the answer to one line of input to `out`, without a line end.
    ///
    /// # Errors
    /// If the line is malformed, settings are invalid, or a message is addressed to an instance that is not attached.
    pub fn answer(&mut self, line: &str, out: &mut Vec<u8>) -> Result<(), BatchError> {
        let batch: Batch = serde_json::from_str(line)?;
        let now = Micros(batch.wall_us);
        out.extend_from_slice(b"{\"schedulers\":[");
        let mut is_first = true;
        for messages in batch.schedulers {
            let start = out.len();
            if !is_first {
                out.push(b',');
            }
            if self.answer_instance(now, messages, out)? {
                is_first = false;
            } else {
                out.truncate(start);
            }
        }
        out.extend_from_slice(b"]}");
        Ok(())
    }

    /// Passes the messages of one instance to it and writes its actions. Returns whether there are any actions.
    fn answer_instance(
        &mut self,
        now: Micros,
        messages: InstanceMessages,
        out: &mut Vec<u8>,
    ) -> Result<bool, BatchError> {
        let name = &*messages.who.0;
        out.extend_from_slice(b"{\"who\":");
        write_json(out, &name);
        out.extend_from_slice(b",\"outbox\":[");
        let outbox_start = out.len();
        for message in messages.msgs {
            self.handle(now, name, message, outbox_start, out)?;
        }
        let has_actions = out.len() > outbox_start;
        out.extend_from_slice(b"]}");
        Ok(has_actions)
    }

    fn handle(
        &mut self,
        now: Micros,
        name: &str,
        message: Message,
        outbox_start: usize,
        out: &mut Vec<u8>,
    ) -> Result<(), BatchError> {
        match message {
            Message::Killed => drop(self.instances.remove(name)),
            Message::Attach { seed, settings } => {
                let instance = Instance::new(&settings, seed, now);
                let instance = instance.map_err(|source| BatchError::Settings {
                    instance: name.to_owned(),
                    source,
                })?;
                self.instances.insert(name.into(), instance);
            }
            Message::Unknown => {}
            message => {
                let instance = self.instances.get_mut(name);
                let instance = instance.ok_or_else(|| BatchError::NotAttached {
                    instance: name.to_owned(),
                })?;
                instance.translate(message, &mut self.events);
                for event in self.events.drain(..) {
                    instance.dispatcher.handle(now, event, &mut self.actions);
                }
                for action in self.actions.drain(..) {
                    instance.write(action, outbox_start, out);
                }
            }
        }
        Ok(())
    }
}
