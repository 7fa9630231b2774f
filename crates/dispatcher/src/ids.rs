//! Identifiers of workers, requests and timers, and positions in the settings.

/// Id of a worker: the same at every dispatcher, and unchanged when the worker restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// Id of one request of a client; never reused, not even for a client's retry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of a timer of [`Action::SetTimer`](crate::Action::SetTimer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

impl TimerId {
    /// The timer for the next poll of the worker list. No request has this id.
    pub(crate) const POLL: TimerId = TimerId(u64::MAX);
}

/// The timer at which the dispatcher checks a request again.
impl From<RequestId> for TimerId {
    fn from(request: RequestId) -> Self {
        TimerId(request.0)
    }
}

/// Position of a class in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u32);

/// Position of a tenant in [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantId(pub u32);

/// Id of a zone of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// Id of a kind of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u32);

/// Id of a cell: a small group of workers that share the idempotency keys that they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u32);
