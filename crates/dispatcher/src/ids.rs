//! Identifiers: of workers, requests and timers, and positions in the settings.

/// A worker, the same at every restart of its process and at every dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// One try of a client; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A timer of [`Action::SetTimer`](crate::Action::SetTimer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

impl TimerId {
    /// The timer on which a new poll of the worker list is due. No request has this number.
    pub(crate) const POLL: TimerId = TimerId(u64::MAX);
}

/// The timer on which the dispatcher looks at a request again.
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

/// A zone of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// A kind of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u32);

/// A small group of workers that share which idempotency keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u32);
