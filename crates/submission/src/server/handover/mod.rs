//! Exchange of jobs with another process of the node while one process replaces the other.
//!
//! The predecessor stops reading clients, sends its sessions, arrays and jobs, and ends with [`Transfer::End`]. The
//! successor answers [`Transfer::Taken`]; from then on it owns all jobs that were not passed to the predecessor's
//! scheduler, and reads clients. Both send each other every change of a job that both know, so that a job is ended
//! once, by its owner, and the survivor of the two knows what the other has done. Before `Taken` the predecessor still
//! owns all jobs. After it, if the successor is lost, a job that only waits goes back to the predecessor, and a job
//! that the successor has passed to its scheduler fails as lost.
//!
//! A process may be successor and predecessor at once if upgrades follow each other closely.

mod export;
mod import;

use super::Server;
use crate::error::{ErrorId, Problem};
use crate::ids::{ArrayKey, JobKey};
use crate::jobs::{Job, JobLocation, JobOutcome};
use crate::partner::Partner;
use crate::state::{Change, JobState, SubState};
use crate::transfer::Transfer;
use marbledeck_dispatcher::Micros;
use std::collections::BTreeSet;

/// How long a successor lets clients wait for the predecessor's state. It bounds what a partner that hangs costs.
const RECEIVE_TIMEOUT: Micros = Micros(3_000_000);

/// How far a predecessor is with sending its state.
#[derive(Debug)]
enum SendProgress {
    /// The number of sessions that were sent.
    Sessions(usize),
    /// The last array that was sent.
    Arrays(Option<ArrayKey>),
    /// The last job that was sent.
    Jobs(Option<JobKey>),
    /// Everything was sent; the successor has not confirmed it.
    Sent,
    /// The successor has confirmed it.
    Confirmed,
}

/// The exchange with both partners.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// Until when the predecessor's state is awaited; `None` once it has arrived.
    receive_deadline: Option<Micros>,
    /// Whether there is a predecessor to send changes to.
    has_predecessor: bool,
    /// Whether the predecessor's state must still be confirmed.
    owes_confirmation: bool,
    /// How much of the state was sent to a successor.
    progress: Option<SendProgress>,
    /// Jobs whose changes must be sent to the predecessor.
    changed_for_predecessor: BTreeSet<JobKey>,
    /// Jobs whose changes must be sent to the successor.
    changed_for_successor: BTreeSet<JobKey>,
    /// The partner whose message is being applied: changes are not sent back to it.
    source: Option<Partner>,
}

impl Handover {
    /// Whether no line of a client may be handled.
    pub(super) fn pauses_clients(&self) -> bool {
        self.receive_deadline.is_some() || self.progress.is_some()
    }

    /// When the predecessor's state is no longer awaited.
    pub(super) fn receive_deadline(&self) -> Option<Micros> {
        self.receive_deadline
    }

    /// Stops awaiting the predecessor's state after the timeout; messages that arrive later are still applied.
    pub(super) fn expire(&mut self, now: Micros) {
        if self.receive_deadline.is_some_and(|time| time <= now) {
            self.receive_deadline = None;
        }
    }

    /// Schedules a job's change for the partners that know the job.
    pub(super) fn note_change(&mut self, job: Option<&Job>) {
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
    /// This process replaces another one: clients wait until that has sent its state.
    pub fn expect_predecessor(&mut self, now: Micros) {
        self.handover.receive_deadline = Some(now + RECEIVE_TIMEOUT);
        self.handover.has_predecessor = true;
    }

    /// Another process replaces this one: no line is handled any more, and the state is sent to the successor.
    /// Requests that were not begun are dropped; clients repeat them there.
    pub fn begin_handover(&mut self) {
        if self.handover.progress.is_none() {
            self.handover.progress = Some(SendProgress::Sessions(0));
        }
    }

    /// Whether this process sends, or has sent, its state to a successor.
    pub fn is_sending_handover(&self) -> bool {
        self.handover.progress.is_some()
    }

    /// Whether the successor, if there is one, knows everything.
    pub fn is_handover_complete(&self) -> bool {
        match self.handover.progress {
            None => true,
            Some(SendProgress::Confirmed) => self.handover.changed_for_successor.is_empty(),
            Some(_) => false,
        }
    }

    /// The next message for a partner, if there is one.
    pub fn next_transfer(&mut self, partner: Partner) -> Option<Transfer> {
        let is_predecessor = partner == Partner::Predecessor;
        if is_predecessor && std::mem::take(&mut self.handover.owes_confirmation) {
            return Some(Transfer::Taken);
        }
        while let Some(key) = self.handover.changed_for(partner).pop_first() {
            // A job that was removed meanwhile has no change to send.
            if let Some(job) = self.jobs.get_any(key) {
                return Some(Transfer::Job(Box::new(self.job_record(job))));
            }
        }
        if is_predecessor {
            return None;
        }
        self.next_export()
    }

    /// A partner is gone. Jobs that only waited there are this process's; jobs that were passed to its scheduler may
    /// have run.
    pub fn handle_partner_lost(&mut self, now: Micros, partner: Partner) {
        match partner {
            Partner::Predecessor => {
                self.handover.receive_deadline = None;
                self.handover.has_predecessor = false;
                self.handover.owes_confirmation = false;
            }
            Partner::Successor => self.handover.progress = None,
        }
        self.handover.changed_for(partner).clear();
        self.take_over_waiting(partner);
        let lost = JobLocation::AtPartner {
            owner: partner,
            scheduled: true,
        };
        for key in self.jobs.keys_at(lost) {
            let message = "the process that had it is gone: it may have run";
            let outcome = JobOutcome {
                problem: Some(Problem::new(ErrorId::DrmCommunication, message)),
                result: None,
                last_sent: Some(now),
            };
            self.end_job(now, key, Change::Fail, Some(SubState::Lost), outcome);
        }
    }

    /// Takes over the jobs that only wait at a partner.
    fn take_over_waiting(&mut self, partner: Partner) {
        let waiting_there = JobLocation::AtPartner {
            owner: partner,
            scheduled: false,
        };
        for key in self.jobs.keys_at(waiting_there) {
            self.take_over_job(key);
        }
        for array in self.arrays.values_mut() {
            array.is_growing = false;
        }
        let arrays: Vec<ArrayKey> = self.arrays.keys().copied().collect();
        self.ready_arrays.extend(arrays);
        self.arrays.retain(|_, array| !array.members.is_empty());
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
            // Released and not yet passed to a scheduler: due at once.
            self.jobs.set_due(key, Some(Micros(0)));
        }
    }
}
