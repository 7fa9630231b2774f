//! Every decision of a dispatcher. A job is charged, passes admission, is sent to a selected worker
//! and followed up, in that order.

mod admission;
mod polling;
mod probing;
mod rate_limit;
mod retry;
mod selection;
mod slow_start;

pub(crate) use admission::MAX_GATE_REPORT_SECONDS;
