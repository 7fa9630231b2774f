//! The control operations of `drmaa_control`.

use crate::errno::Errno;
use marbledeck_submission_client::{Operation, Targets};

/// A control operation on jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Suspends a running job.
    Suspend,
    /// Resumes a suspended job.
    Resume,
    /// Holds a queued job.
    Hold,
    /// Releases a held job.
    Release,
    /// Terminates a job.
    Terminate,
}

impl Action {
    /// The operation of the submission protocol that performs this action.
    pub(super) fn operation(self, targets: Targets) -> Operation {
        match self {
            Action::Suspend => Operation::Suspend { targets },
            Action::Resume => Operation::Resume { targets },
            Action::Hold => Operation::Hold { targets },
            Action::Release => Operation::Release { targets },
            Action::Terminate => Operation::Terminate { targets },
        }
    }

    /// The error code for a job whose state does not allow this action.
    pub(super) fn inconsistent_state(self) -> Errno {
        match self {
            Action::Suspend => Errno::SuspendInconsistentState,
            Action::Resume => Errno::ResumeInconsistentState,
            Action::Hold => Errno::HoldInconsistentState,
            Action::Release => Errno::ReleaseInconsistentState,
            Action::Terminate => Errno::InvalidJob,
        }
    }
}
