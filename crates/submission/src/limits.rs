//! The server's resource limits and its current resource usage.

use marbledeck_dispatcher::Micros;

/// The server's limits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of jobs, whether they wait, run or have ended.
    pub max_jobs: usize,
    /// The maximum approximate memory of all jobs with their templates and results, in bytes.
    pub max_bytes: usize,
    /// The maximum number of jobs of one `runBulkJobs`.
    pub max_bulk: usize,
    /// The maximum number of job sessions.
    pub max_sessions: usize,
    /// The number of events that each session keeps.
    pub max_session_events: usize,
    /// How long an ended job stays visible.
    pub retention: Micros,
    /// How long a job may wait before it is passed to the scheduler.
    pub max_hold: Micros,
    /// How long a session without jobs and readers is kept.
    pub session_idle_timeout: Micros,
}

/// The server's current resource usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of jobs, including reaped jobs whose submission key is still in use.
    pub jobs: usize,
    /// The approximate memory of the jobs, in bytes.
    pub bytes: usize,
    /// The number of sessions.
    pub sessions: usize,
    /// The number of arrays, including those of which only reaped jobs are kept.
    pub arrays: usize,
    /// The number of open waits.
    pub waits: usize,
}
