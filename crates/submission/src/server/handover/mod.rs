//! Exchange of jobs between two processes of the node while one process replaces the other.
//!
//! The predecessor stops reading clients, sends its sessions, arrays and jobs, and ends with [`Transfer::End`]. The
//! successor confirms with [`Transfer::Taken`]; from then on it reads clients and owns all jobs that were not passed to
//! the predecessor's scheduler. Each process sends the other every change of a job that both know. A job is therefore
//! ended once, by its owner, and if one process is lost, the other one knows the state of its jobs.
//!
//! Until `Taken` arrives, the predecessor owns all jobs. If the successor is lost after that, the predecessor takes
//! over the jobs that only waited there, and the jobs that the successor had passed to its scheduler fail as lost.
//!
//! A process can be successor and predecessor at the same time if one upgrade begins before the previous one is over.

mod export;
mod import;

use super::arrays::{Growth, JobArray};
use super::Server;
use crate::error::{ErrorId, Problem};
use crate::ids::{ArrayKey, JobKey};
use crate::jobs::{Job, JobLocation, JobOutcome};
use crate::partner::Partner;
use crate::state::{Change, JobState, SubState};
use crate::transfer::{Transfer, TransferCounts};
use marbledeck_dispatcher::Micros;
use std::collections::BTreeSet;

/// How long a successor waits for the predecessor's state before it reads clients. It bounds the outage if the
/// predecessor hangs.
const RECEIVE_TIMEOUT: Micros = Micros(3_000_000);

/// The progress of a predecessor that sends its state.
#[derive(Debug)]
enum SendProgress {
    /// Sending sessions: the number that were sent.
    Sessions(usize),
    /// Sending arrays: the last one that was sent.
    Arrays(Option<ArrayKey>),
    /// Sending jobs: the last one that was sent.
    Jobs(Option<JobKey>),
    /// Everything was sent; the successor has not confirmed it yet.
    Sent,
    /// The successor has confirmed it.
    Confirmed,
}

/// The state of the exchange with both partners.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// When to stop waiting for the predecessor's state; `None` once it has arrived.
    receive_deadline: Option<Micros>,
    /// Whether there is a predecessor to send changes to.
    has_predecessor: bool,
    /// Whether a confirmation of the predecessor's state must still be sent.
    must_confirm: bool,
    /// The progress of sending the state to a successor; `None` if there is no successor.
    progress: Option<SendProgress>,
    /// Jobs that are with the scheduler of the predecessor.
    jobs_at_predecessor: BTreeSet<JobKey>,
    /// Jobs whose changes must be sent to the predecessor.
    changed_for_predecessor: BTreeSet<JobKey>,
    /// Jobs whose changes must be sent to the successor.
    changed_for_successor: BTreeSet<JobKey>,
    /// What was sent to the successor.
    sent: TransferCounts,
    /// What was taken over from the predecessor.
    taken_over: TransferCounts,
    /// The partner whose message is being applied, to which the resulting changes must not be sent back.
    source: Option<Partner>,
}

impl Handover {
    /// Whether the exchange keeps the server from handling lines of clients.
    pub(super) fn pauses_clients(&self) -> bool {
        self.receive_deadline.is_some() || self.progress.is_some()
    }

    /// When to stop waiting for the predecessor's state.
    pub(super) fn receive_deadline(&self) -> Option<Micros> {
        self.receive_deadline
    }

    /// Stops waiting for the predecessor's state after the timeout; messages that arrive later are still applied.
    pub(super) fn expire(&mut self, now: Micros) {
        if self.receive_deadline.is_some_and(|time| time <= now) {
            self.receive_deadline = None;
        }
    }

    /// Records that a job is no longer with the scheduler of the predecessor.
    pub(super) fn forget_job_of_predecessor(&mut self, job: JobKey) {
        self.jobs_at_predecessor.remove(&job);
    }

    /// Queues a job's change for the partners that know the job.
    pub(super) fn queue_change(&mut self, job: Option<&Job>) {
        let Some(job) = job.filter(|job| job.is_shared) else {
            return;
        };
        if self.has_predecessor && self.source != Some(Partner::Predecessor) {
            self.changed_for_predecessor.insert(job.key);
        }
        if self.progress.is_some() && self.source != Some(Partner::Successor) {
            self.changed_for_successor.insert(job.key);
        }
    }

    fn changed_for(&mut self, partner: Partner) -> &mut BTreeSet<JobKey> {
        match partner {
            Partner::Predecessor => &mut self.changed_for_predecessor,
            Partner::Successor => &mut self.changed_for_successor,
        }
    }
}

impl Server {
    /// Starts the handover in a process that replaces another one: no line of a client is handled until the predecessor
    /// has sent its state.
    pub fn expect_predecessor(&mut self, now: Micros) {
        self.handover.receive_deadline = Some(now + RECEIVE_TIMEOUT);
        self.handover.has_predecessor = true;
    }

    /// Starts the handover to a process that replaces this one: no further line is handled, and the state is sent to
    /// the successor. Requests that were not begun are dropped; clients repeat them at the successor.
    pub fn begin_handover(&mut self) {
        if self.handover.progress.is_none() {
            self.handover.progress = Some(SendProgress::Sessions(0));
            self.handover.sent = TransferCounts::default();
        }
    }

    /// Whether this process sends, or has sent, its state to a successor.
    pub fn is_sending_handover(&self) -> bool {
        self.handover.progress.is_some()
    }

    /// How much of its state this process has sent to the successor.
    pub fn sent_counts(&self) -> TransferCounts {
        self.handover.sent
    }

    /// How much of the predecessor's state this process has taken over.
    pub fn taken_over_counts(&self) -> TransferCounts {
        self.handover.taken_over
    }

    /// Whether the successor, if there is one, has confirmed the state and received all changes, and no more changes
    /// will come from the predecessor, which has no link to the successor.
    pub fn is_handover_complete(&self) -> bool {
        match self.handover.progress {
            None => true,
            Some(SendProgress::Confirmed) => {
                self.handover.changed_for_successor.is_empty() && !self.is_relaying()
            }
            Some(_) => false,
        }
    }

    /// Whether the successor learns of jobs of the predecessor through this process only.
    pub fn is_relaying(&self) -> bool {
        self.handover.progress.is_some() && !self.handover.jobs_at_predecessor.is_empty()
    }

    /// The next message for a partner, if there is one.
    pub fn next_transfer(&mut self, partner: Partner) -> Option<Transfer> {
        let is_predecessor = partner == Partner::Predecessor;
        if is_predecessor && std::mem::take(&mut self.handover.must_confirm) {
            return Some(Transfer::Taken);
        }
        while let Some(key) = self.handover.changed_for(partner).pop_first() {
            // A job that has been removed since then has no change to send.
            if let Some(job) = self.jobs.get_any(key) {
                return Some(Transfer::Job(Box::new(self.job_record(job))));
            }
        }
        if is_predecessor {
            return None;
        }
        self.next_export()
    }

    /// Handles the loss of a partner. This process takes over the jobs that only waited there; the jobs that the
    /// partner had passed to its scheduler fail as lost, because they may have run. A process that shuts down rejects
    /// the jobs that it takes over from a successor: it starts no jobs, and the successor may have handed them on.
    pub fn handle_partner_lost(&mut self, now: Micros, partner: Partner) {
        let was_sending = self.is_sending_handover();
        match partner {
            Partner::Predecessor => {
                self.handover.receive_deadline = None;
                self.handover.has_predecessor = false;
                self.handover.must_confirm = false;
                self.handover.jobs_at_predecessor.clear();
                self.complete_imported_arrays();
            }
            Partner::Successor => self.handover.progress = None,
        }
        self.handover.changed_for(partner).clear();
        self.take_over_waiting_jobs(partner);
        if partner == Partner::Successor && was_sending && self.is_shutting_down {
            self.reject_waiting(now);
        }
        let lost = JobLocation::AtPartner {
            owner: partner,
            scheduled: true,
        };
        for key in self.jobs.keys_at(lost) {
            let message = "the process that had scheduled the job was lost: it may have run";
            let outcome = JobOutcome {
                problem: Some(Problem::new(ErrorId::DrmCommunication, message)),
                result: None,
                last_sent: Some(now),
            };
            self.end_job(now, key, Change::Fail, Some(SubState::Lost), outcome);
        }
    }

    /// Takes over the jobs that only wait at a partner.
    fn take_over_waiting_jobs(&mut self, partner: Partner) {
        let waiting_there = JobLocation::AtPartner {
            owner: partner,
            scheduled: false,
        };
        for key in self.jobs.keys_at(waiting_there) {
            self.take_over_job(key);
        }
        self.ready_arrays.extend(self.arrays.keys());
    }

    /// Records that the predecessor sends no further members of its arrays, and removes those arrays of which it has
    /// sent none.
    fn complete_imported_arrays(&mut self) {
        let is_importing = |array: &JobArray| array.growth == Growth::Importing;
        let arrays = self.arrays.iter().filter(|(_, array)| is_importing(array));
        for key in arrays.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.finish_growing(key);
        }
    }

    fn take_over_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.location = JobLocation::Waiting;
        let (state, array) = (job.state, job.array);
        self.schedule_waiting_job(key);
        if state != JobState::Queued {
            return;
        }
        if let Some((array_key, array)) = self.array_mut(array) {
            array.waiting.push_back(key);
            self.ready_arrays.insert(array_key);
        } else {
            // A released job that no scheduler has yet: due immediately.
            self.jobs.set_due(key, Some(Micros(0)));
        }
    }
}
