//! All decisions of a dispatcher. A job is charged to token buckets, admitted, sent to a selected
//! worker and, if need be, retried or hedged, in that order.

mod admission;
mod polling;
mod probing;
mod rate_limit;
mod retry;
mod selection;
mod slow_start;

pub(crate) use admission::MAX_GATE_REPORT_AGE_SECONDS;
