//! Stage 6, accounting: gives each request its one final answer and counts outcomes since the process started.

use super::{Command, Core, FinalAnswer};
use marbledeck_dispatcher::{ClassId, Outcome, RequestId};
use std::fmt;

/// Totals of one class since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests answered with a worker's result.
    pub served: u64,
    /// Requests rejected before they ran: the client can safely retry.
    pub rejected: u64,
    /// Requests that ended without a result or a guarantee that they did not run: a retry may run them twice.
    pub failed: u64,
    /// Attempts whose last byte was written to the worker's connection.
    pub written: u64,
}

/// Totals since the process started, for both the operators' `vars` and the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// The totals of each class, in the order of the settings.
    pub classes: Vec<ClassCounts>,
    /// Requests accepted for processing.
    pub accepted: u64,
    /// Requests whose client disconnected before the answer.
    pub clients_left: u64,
    /// Attempts started, including those withdrawn before they were written.
    pub attempts: u64,
    /// Attempts that their worker rejected.
    pub rejected_attempts: u64,
    /// Attempts that could not connect to their worker, or were cut off before the request was written.
    pub connect_failures: u64,
    /// Attempts whose connection broke after the request was written.
    pub resets: u64,
    /// Attempts that reached their deadline without a result.
    pub timeouts: u64,
    /// Attempts that their worker reported as failed.
    pub errors: u64,
    /// Resubmissions that were merged with an earlier job.
    pub duplicates: u64,
}

impl Counts {
    pub(super) fn class_mut(&mut self, class: ClassId) -> Option<&mut ClassCounts> {
        self.classes.get_mut(class.0 as usize)
    }

    /// Counts the end of an attempt.
    pub(super) fn record_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Rejected => self.rejected_attempts += 1,
            Outcome::ConnectFailed => self.connect_failures += 1,
            Outcome::Reset => self.resets += 1,
            Outcome::TimedOut => self.timeouts += 1,
            Outcome::Failed => self.errors += 1,
            Outcome::Served | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let sum = |count: fn(&ClassCounts) -> u64| self.classes.iter().map(count).sum::<u64>();
        write!(
            f,
            "accepted {} served {} rejected {} failed {} disconnected {} duplicates {}; \
             attempts {}: rejected {} connect failed {} reset {} timed out {} failed {}",
            self.accepted,
            sum(|class| class.served),
            sum(|class| class.rejected),
            sum(|class| class.failed),
            self.clients_left,
            self.duplicates,
            self.attempts,
            self.rejected_attempts,
            self.connect_failures,
            self.resets,
            self.timeouts,
            self.errors
        )
    }
}

impl Core {
    /// Gives the final answer, unless the request already has one or its client has disconnected. Returns whether it
    /// was given.
    pub(super) fn finish(&mut self, id: RequestId, answer: FinalAnswer) -> bool {
        if !self.close(id) {
            return false;
        }
        let request = self.table.get(id);
        let class = request.as_ref().map(|request| request.class);
        log::trace!("job {} {answer}", id.0);
        let last_attempt_sent_at = request.and_then(|request| request.last_attempt_sent_at());
        if let Some(counts) = class.and_then(|class| self.counts.class_mut(class)) {
            match answer {
                FinalAnswer::Served(_) => counts.served += 1,
                FinalAnswer::Rejected(_) => counts.rejected += 1,
                FinalAnswer::Failed => counts.failed += 1,
            }
        }
        self.commands.push_back(Command::Answer {
            request: id,
            answer,
            last_attempt_sent_at,
        });
        self.remove_if_done(id);
        true
    }

    /// Marks a request as closed and removes the timer of its deadline. Returns false if it is unknown or already closed.
    pub(super) fn close(&mut self, id: RequestId) -> bool {
        let is_closed = self.table.close(id);
        let request = self.table.get(id).filter(|_| is_closed);
        if let Some(timer) = request.and_then(|request| request.timer.take()) {
            self.timers.remove(timer);
        }
        is_closed
    }

    /// Records an attempt whose last byte was written to its worker; before that, the worker can't have run it.
    pub fn handle_attempt_written(&mut self, id: RequestId, number: u32) {
        if let Some(attempt) = self.table.in_flight(id, number) {
            attempt.is_written = true;
        }
        let class = self.table.get(id).map(|request| request.class);
        if let Some(counts) = class.and_then(|class| self.counts.class_mut(class)) {
            counts.written += 1;
        }
    }

    /// Formats the totals of each class as one log line.
    pub fn class_summary(&self) -> String {
        let classes = self.names.class_names().zip(&self.counts.classes);
        let parts = classes.map(|(name, counts)| {
            let (served, rejected) = (counts.served, counts.rejected);
            let (failed, written) = (counts.failed, counts.written);
            format!("{name}: served {served} rejected {rejected} failed {failed} written {written}")
        });
        parts.collect::<Vec<_>>().join("; ")
    }

    /// Counts a resubmission that a front end merged with an earlier job.
    pub fn count_duplicate(&mut self) {
        self.counts.duplicates += 1;
    }
}
