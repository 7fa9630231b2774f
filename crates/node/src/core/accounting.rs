//! Stage 6, book: the final answer, given once, and the counts.

use super::{Command, Core, FinalAnswer};
use marbledeck_dispatcher::{ClassId, Outcome, RequestId};
use std::fmt;

/// Totals of one class since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Calls whose last byte has left for the worker.
    pub written: u64,
}

/// Totals since the start: what operators are shown and what is logged are the same counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// By class, each from the start on.
    pub classes: Vec<ClassCounts>,
    pub taken: u64,
    pub gone: u64,
    /// Calls made, whether or not they were ever written.
    pub calls: u64,
    pub full: u64,
    pub unconnected: u64,
    pub resets: u64,
    pub timeouts: u64,
    pub errors: u64,
    /// Resubmissions that joined an earlier job.
    pub duplicates: u64,
}

impl Counts {
    pub(super) fn class(&mut self, class: ClassId) -> Option<&mut ClassCounts> {
        self.classes.get_mut(class.0 as usize)
    }

    pub(super) fn end(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Rejected => self.full += 1,
            Outcome::ConnectFailed => self.unconnected += 1,
            Outcome::Reset => self.resets += 1,
            Outcome::TimedOut => self.timeouts += 1,
            Outcome::Failed => self.errors += 1,
            Outcome::Served | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let sum = |of: fn(&ClassCounts) -> u64| self.classes.iter().map(of).sum::<u64>();
        write!(
            f,
            "taken {} served {} rejected {} failed {} gone {} duplicates {}; calls {}: full {} unconnected {} \
             reset {} timed out {} error {}",
            self.taken,
            sum(|c| c.served),
            sum(|c| c.rejected),
            sum(|c| c.failed),
            self.gone,
            self.duplicates,
            self.calls,
            self.full,
            self.unconnected,
            self.resets,
            self.timeouts,
            self.errors
        )
    }
}

impl Core {
    /// Gives the final answer unless there has been one; tells whether it was given.
    pub(super) fn finish(&mut self, id: RequestId, verdict: FinalAnswer) -> bool {
        if !self.table.answer(id) {
            return false;
        }
        let invocation = self.table.get(id);
        let class = invocation.as_ref().map(|i| i.class);
        log::trace!("job {} {verdict}", id.0);
        let sent = invocation.and_then(|i| i.last_sent());
        if let Some(class) = class.and_then(|class| self.counts.class(class)) {
            match verdict {
                FinalAnswer::Served(_) => class.served += 1,
                FinalAnswer::Rejected(_) => class.rejected += 1,
                FinalAnswer::Failed => class.failed += 1,
            }
        }
        self.commands.push_back(Command::Answer {
            request: id,
            answer: verdict,
            last_sent: sent,
        });
        self.table.forget(id);
        true
    }

    /// The last byte of a call has been written to its worker: only then is it one that the worker can have.
    pub fn handle_attempt_written(&mut self, id: RequestId) {
        let class = self.table.get(id).map(|i| i.class);
        if let Some(class) = class.and_then(|class| self.counts.class(class)) {
            class.written += 1;
        }
    }

    /// The totals of each class, in a line for the log.
    pub fn class_summary(&self) -> String {
        let named = self.catalogue.class_names().zip(&self.counts.classes);
        let words = named.map(|(name, c)| {
            let (served, rejected) = (c.served, c.rejected);
            let (failed, written) = (c.failed, c.written);
            format!("{name}: served {served} rejected {rejected} failed {failed} written {written}")
        });
        words.collect::<Vec<_>>().join("; ")
    }

    /// A front has joined a resubmission to an earlier job.
    pub fn count_duplicate(&mut self) {
        self.counts.duplicates += 1;
    }
}
