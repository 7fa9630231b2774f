//! The states of a job and the transitions between them (GFD.231, sections 8.1 and 8.4).

use serde::{Deserialize, Serialize};
use std::fmt;

/// A job's state in DRMAA's terms (GFD.231, section 8.1).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum JobState {
    /// Not known. The node never sends it; a client may use it.
    Undetermined,
    /// Waits until the scheduler finds a worker.
    #[default]
    Queued,
    /// Held until it is released or its start time has come.
    QueuedHeld,
    /// A worker runs it.
    Running,
    /// Paused by a worker. Never entered because workers cannot suspend jobs.
    Suspended,
    /// It ran, was returned by its worker, and waits for a retry.
    Requeued,
    /// Like `Requeued`, but held. Never entered because a job that was sent to a worker cannot be held.
    RequeuedHeld,
    /// Finished with a result: final.
    Done,
    /// Rejected, failed or terminated: final.
    Failed,
}

impl JobState {
    /// All states, in the specification's order.
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

    /// Whether no transition leaves this state.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Failed)
    }

    /// Whether a wait for the start is satisfied: the job runs or has ended (GFD.231, section 8.4).
    pub fn has_started(self) -> bool {
        self.is_final() || matches!(self, JobState::Running | JobState::Suspended)
    }

    /// The state after a change; `None` if the transition is illegal. This is the only place that defines the
    /// transitions.
    pub fn after(self, change: Change) -> Option<JobState> {
        use Change::*;
        use JobState::*;
        match (self, change) {
            (Queued, Hold) => Some(QueuedHeld),
            (QueuedHeld, Release) => Some(Queued),
            (Queued | Requeued, Start) => Some(Running),
            // A hedged attempt has started.
            (Running, Start) => Some(Running),
            (Running, Return) => Some(Requeued),
            (Queued | QueuedHeld | Running | Requeued, Terminate) => Some(Failed),
            // A held job can fail without a release: its deadline has passed, or the node shuts down.
            (Queued | QueuedHeld | Running | Requeued, Fail) => Some(Failed),
            // A job can be done without having been RUNNING: workers need not report its start.
            (Queued | Running | Requeued, Serve) => Some(Done),
            _ => None,
        }
    }

    /// The state's name on the wire.
    pub fn as_str(self) -> &'static str {
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
        f.write_str(self.as_str())
    }
}

/// An event that changes the state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Its client holds it.
    Hold,
    /// Its client releases it, or its start time has come.
    Release,
    /// A worker runs it.
    Start,
    /// A worker returned it, and it waits for another.
    Return,
    /// Its client terminates it.
    Terminate,
    /// It is rejected, has failed, or its deadline has passed.
    Fail,
    /// A worker has sent its result.
    Serve,
}

impl Change {
    /// All changes.
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

/// Details of a state: how a job has ended, or why it is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubState {
    /// The scheduler rejected it: a retry is harmless.
    Rejected,
    /// There is no result, although it may have run.
    Failed,
    /// Its deadline has passed.
    Overdue,
    /// A client terminated it.
    Terminated,
    /// It was held for too long.
    Expired,
    /// The process that had passed it to its scheduler was lost.
    Lost,
    /// It is held until its start time.
    Scheduled,
}

impl SubState {
    const ALL: [SubState; 7] = [
        SubState::Rejected,
        SubState::Failed,
        SubState::Overdue,
        SubState::Terminated,
        SubState::Expired,
        SubState::Lost,
        SubState::Scheduled,
    ];

    /// The name on the wire.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SubState::Rejected => "refused",
            SubState::Failed => "failed",
            SubState::Overdue => "overdue",
            SubState::Terminated => "terminated",
            SubState::Expired => "expired",
            SubState::Lost => "lost",
            SubState::Scheduled => "scheduled",
        }
    }

    /// The sub-state of a name on the wire.
    pub(crate) fn parse(name: &str) -> Option<SubState> {
        SubState::ALL
            .into_iter()
            .find(|sub_state| sub_state.as_str() == name)
    }
}
