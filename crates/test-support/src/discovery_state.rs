//! The state of the discovery stub: its list, its answers, and the record of what it has told.

use crate::discovery::Delivery;
use crate::discovery_answer::{Answer, AnswerForm, ListedWorker, ToldEntry};
use crate::notices::{AnswerId, ProcessRecord, WorkerReport};
use serde_json::{json, Value};
use std::net::TcpStream;
use std::time::Instant;

/// A connection from a process of the node.
pub(crate) struct NodeConnection {
    pub(crate) stream: TcpStream,
    /// The index of the process in the order of their start.
    pub(crate) process: usize,
    /// The number of the connection, from 1.
    pub(crate) number: u64,
}

/// What the stub lists, how it answers, and what it has told.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) revision: u64,
    pub(crate) workers: Vec<ListedWorker>,
    pub(crate) form: AnswerForm,
    pub(crate) delivery: Delivery,
    /// Whether changes are answered with the whole list.
    pub(crate) sends_whole_lists: bool,
    /// Number of calls of [`DiscoveryStub::resume`].
    pub(crate) resume_count: u64,
    pub(crate) is_down: bool,
    /// Number of answers whose transmission has started.
    pub(crate) answers: usize,
    /// Whether lists are pushed. A change then counts as reported when it is made, or when an outage ends, instead of
    /// when an answer reports it.
    pub(crate) pushes_lists: bool,
    /// Whether answers are held between their composition and their first byte.
    pub(crate) holds_answers: bool,
    /// Number of answers that are held.
    pub(crate) held_answers: usize,
    /// Number of connections accepted so far.
    pub(crate) connections: u64,
    /// What each process of the node was told, in the order of their start.
    pub(crate) processes: Vec<ProcessRecord>,
}

impl State {
    /// The record of the process that was the newest one at this moment.
    pub(crate) fn process_at(&self, moment: Instant) -> Option<&ProcessRecord> {
        let mut newest_first = self.processes.iter().rev();
        newest_first.find(|process| process.began_at <= moment)
    }

    /// If lists are pushed and there is no outage, records that all processes were told the current list.
    pub(crate) fn tell_pushed_lists(&mut self) {
        if !self.pushes_lists || self.is_down {
            return;
        }
        let at = Instant::now();
        for worker in &self.workers {
            for process in &mut self.processes {
                let report = WorkerReport {
                    at,
                    entry_revision: worker.revision,
                    is_up: worker.is_up(),
                    answer: None,
                };
                process.add(worker.id(), report);
            }
        }
    }

    /// Records what an answer is about to tell about workers that are not up: that counts from its first byte on.
    pub(crate) fn tell_not_up(&mut self, connection: &NodeConnection, answer: &Answer) {
        let not_up = answer.told.iter().filter(|entry| !entry.is_up);
        self.tell(connection, answer, not_up);
    }

    /// Records that an answer tells these entries now. Does nothing if lists are pushed.
    pub(crate) fn tell<'a>(
        &mut self,
        connection: &NodeConnection,
        answer: &Answer,
        entries: impl Iterator<Item = &'a ToldEntry>,
    ) {
        if self.pushes_lists {
            return;
        }
        let at = Instant::now();
        let process = &mut self.processes[connection.process];
        for entry in entries {
            let report = WorkerReport {
                at,
                entry_revision: entry.revision,
                is_up: entry.is_up,
                answer: Some(AnswerId {
                    revision: answer.revision,
                    connection: connection.number,
                }),
            };
            process.add(&entry.id, report);
        }
    }

    pub(crate) fn whole_list(&self) -> Answer {
        // A removed worker is missing in a whole list, which also reports that it is not up.
        let is_present = |worker: &&ListedWorker| worker.member["phase"] != "removed";
        let present = self.workers.iter().filter(is_present);
        let missing = self.workers.iter().filter(|worker| !is_present(worker));
        self.answer(true, present, missing)
    }

    pub(crate) fn changes_after(&self, after: u64) -> Answer {
        let newer = |worker: &&ListedWorker| worker.revision > after;
        let changed = self.workers.iter().filter(newer);
        self.answer(false, changed, std::iter::empty())
    }

    /// An answer with these entries. `complete` marks a whole list, and `missing` are the workers that it reports as
    /// removed by leaving them out.
    pub(crate) fn answer<'a>(
        &self,
        complete: bool,
        listed: impl Iterator<Item = &'a ListedWorker> + Clone,
        missing: impl Iterator<Item = &'a ListedWorker>,
    ) -> Answer {
        let members: Vec<&Value> = listed.clone().map(|worker| &worker.member).collect();
        Answer {
            body: json!({"revision": self.revision, "complete": complete, "members": members}),
            revision: self.revision,
            told: listed.chain(missing).map(ToldEntry::from).collect(),
        }
    }
}
