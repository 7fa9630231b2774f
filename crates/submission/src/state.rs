//! The states of a job and the transitions between them (GFD.231, sections 8.1 and 8.4).

use serde::{Deserialize, Serialize};
use std::fmt;

/// A job's state in DRMAA's terms (GFD.231, section 8.1).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum JobState {
    /// Nobody can tell. The node always can; a client may not.
    Undetermined,
    /// To be run as soon as the decisions find a worker.
    #[default]
    Queued,
    /// Not to be run before it is released, or its start time has come.
    QueuedHeld,
    /// A worker runs it.
    Running,
    /// A worker has stopped it for a while. No worker here can.
    Suspended,
    /// It ran, came back, and is to be run once more.
    Requeued,
    /// The same, but held. Never entered here: what has been sent is not held.
    RequeuedHeld,
    /// Served: final.
    Done,
    /// Refused, failed or terminated: final.
    Failed,
}

impl JobState {
    /// All of them, in the specification's order.
    pub const ALL: [JobState; 9] = [
        JobState::Undetermined,
        JobState::Queued,
        JobState::QueuedHeld,
        JobState::Running,
        JobState::Suspended,
        JobState::Requeued,
        JobState::RequeuedHeld,
        JobState::Done,
        JobState::Failed,
    ];

    /// Whether it is never left.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Failed)
    }

    /// Whether a wait for the start is over: the job runs or has ended (GFD.231, section 8.4).
    pub fn has_started(self) -> bool {
        self.is_final() || matches!(self, JobState::Running | JobState::Suspended)
    }

    /// The state that a change leads to; none where it is not legal. This is the whole table: nothing else changes a
    /// job's state.
    pub fn after(self, change: Change) -> Option<JobState> {
        use Change::*;
        use JobState::*;
        match (self, change) {
            (Queued, Hold) => Some(QueuedHeld),
            (QueuedHeld, Release) => Some(Queued),
            (Queued | Requeued, Start) => Some(Running),
            // A second copy has started: no news.
            (Running, Start) => Some(Running),
            (Running, Return) => Some(Requeued),
            (Queued | QueuedHeld | Running | Requeued, Terminate) => Some(Failed),
            // A held job may end without having been released: its time is up, or the node ends.
            (Queued | QueuedHeld | Running | Requeued, Fail) => Some(Failed),
            // Workers need not tell of a start.
            (Queued | Running | Requeued, Serve) => Some(Done),
            _ => None,
        }
    }

    /// The word on the wire.
    pub fn word(self) -> &'static str {
        match self {
            JobState::Undetermined => "UNDETERMINED",
            JobState::Queued => "QUEUED",
            JobState::QueuedHeld => "QUEUED_HELD",
            JobState::Running => "RUNNING",
            JobState::Suspended => "SUSPENDED",
            JobState::Requeued => "REQUEUED",
            JobState::RequeuedHeld => "REQUEUED_HELD",
            JobState::Done => "DONE",
            JobState::Failed => "FAILED",
        }
    }
}

impl fmt::Display for JobState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// What happens to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Its submitter holds it.
    Hold,
    /// Its submitter releases it, or its start time has come.
    Release,
    /// A worker runs it.
    Start,
    /// It came back from a worker and waits for another.
    Return,
    /// Its submitter ends it.
    Terminate,
    /// It is refused, has failed, or its time is up.
    Fail,
    /// A worker has made its result.
    Serve,
}

impl Change {
    /// All of them.
    pub const ALL: [Change; 7] = [
        Change::Hold,
        Change::Release,
        Change::Start,
        Change::Return,
        Change::Terminate,
        Change::Fail,
        Change::Serve,
    ];
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A final state is never left, by whatever change; and every state that is entered can still end.
    #[test]
    fn final_is_final() {
        for state in JobState::ALL {
            for change in Change::ALL {
                let next = state.after(change);
                assert!(!state.is_final() || next.is_none(), "{state} {change:?}");
                if let Some(next) = next.filter(|next| !next.is_final()) {
                    assert_eq!(next.after(Change::Fail), Some(JobState::Failed));
                }
            }
        }
    }

    /// The operators' table is this one.
    #[test]
    fn the_documented_table() {
        let page = include_str!("../../../docs/submission.md");
        for state in JobState::ALL {
            for change in Change::ALL {
                let Some(next) = state.after(change) else {
                    continue;
                };
                let row = format!(
                    "| `{state}` | {} | `{next}` |",
                    format!("{change:?}").to_lowercase()
                );
                assert!(page.contains(&row), "docs/submission.md lacks: {row}");
            }
        }
    }
}
