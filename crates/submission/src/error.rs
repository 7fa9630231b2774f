//! The errors of the protocol: DRMAA's error identifiers, with a message and a retry hint.

use serde::{Deserialize, Serialize};

/// DRMAA's error identifiers (GFD.231, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum ErrorId {
    /// The scheduler rejected the job for good.
    DeniedByDrms,
    /// The connection to the worker or process that ran the job was lost.
    DrmCommunication,
    /// Rejected for now: a retry is harmless.
    TryLater,
    /// A session could not be managed.
    SessionManagement,
    /// A deadline or a wait's timeout has passed.
    Timeout,
    /// A fault inside the node.
    Internal,
    /// A message, template or name is malformed.
    InvalidArgument,
    /// There is no such session, or it is not open.
    InvalidSession,
    /// The job's state does not allow the operation.
    InvalidState,
    /// Memory or another resource is exhausted.
    OutOfResource,
    /// The job template sets an attribute that is not supported.
    UnsupportedAttribute,
    /// The operation is not supported.
    UnsupportedOperation,
    /// An error that DRMAA has no identifier for.
    ImplementationSpecific,
}

/// An error as it is sent to a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Problem {
    /// The error's identifier.
    pub error: ErrorId,
    /// A human-readable explanation; may be empty.
    #[serde(default)]
    pub message: String,
    /// How long a client should wait before a retry, in milliseconds; set with [`ErrorId::TryLater`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The version of this site's catalog, set if the forwarding site checked the job against another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalog_version: Option<u64>,
}

impl Problem {
    /// Creates a problem of any kind, without a retry hint.
    pub fn new(error: ErrorId, message: impl Into<String>) -> Self {
        Problem {
            error,
            message: message.into(),
            retry_after_ms: None,
            catalog_version: None,
        }
    }

    /// [`ErrorId::InvalidArgument`]: a message, template or name is malformed.
    pub fn invalid_argument(message: impl Into<String>) -> Self {
        Problem::new(ErrorId::InvalidArgument, message)
    }

    /// [`ErrorId::InvalidState`]: the job's state does not allow the operation.
    pub fn invalid_state(message: impl Into<String>) -> Self {
        Problem::new(ErrorId::InvalidState, message)
    }

    /// [`ErrorId::TryLater`] with a retry hint in milliseconds.
    pub fn try_later(message: impl Into<String>, retry_after_ms: u64) -> Self {
        Problem {
            retry_after_ms: Some(retry_after_ms),
            ..Problem::new(ErrorId::TryLater, message)
        }
    }

    /// The problem of a job id that does not identify a visible job.
    pub(crate) fn unknown_job() -> Self {
        Problem::invalid_argument("no such job")
    }
}
