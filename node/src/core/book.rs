//! Stage 6, book: the final answer, given once, and the counts.

use super::{Command, Core, Verdict};
use marbledeck::{Outcome, RequestId};
use std::fmt;

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub gone: u64,
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
    pub(super) fn end(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Full => self.full += 1,
            Outcome::ConnectFailed => self.unconnected += 1,
            Outcome::Reset => self.resets += 1,
            Outcome::TimedOut => self.timeouts += 1,
            Outcome::Error => self.errors += 1,
            Outcome::Ok | Outcome::Cancelled | Outcome::Moot => {}
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "taken {} served {} rejected {} failed {} gone {} duplicates {}; calls {}: full {} unconnected {} \
             reset {} timed out {} error {}",
            self.taken,
            self.served,
            self.rejected,
            self.failed,
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
    pub(super) fn finish(&mut self, id: RequestId, verdict: Verdict) -> bool {
        if !self.table.answer(id) {
            return false;
        }
        match verdict {
            Verdict::Served(_) => self.counts.served += 1,
            Verdict::Rejected(_) => self.counts.rejected += 1,
            Verdict::Failed => self.counts.failed += 1,
        }
        let sent = self.table.get(id).and_then(|i| i.last_sent());
        self.commands
            .push_back(Command::Answer { id, verdict, sent });
        self.table.forget(id);
        true
    }

    /// A front has joined a resubmission to an earlier job.
    pub fn count_duplicate(&mut self) {
        self.counts.duplicates += 1;
    }
}
