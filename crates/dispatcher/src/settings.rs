//! Settings of a dispatcher.

use crate::{KindId, Micros, ZoneId};
use thiserror::Error;

/// Which workers discard repeats of a keyed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Whether a job may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Yes: a repeat is harmless.
    #[default]
    Idempotent,
    /// Workers recognise a repeat by its idempotency key and discard it.
    Keyed {
        /// The workers that share the key.
        scope: DeduplicationScope,
        /// How long workers remember the key after the first send that may have run.
        window: Micros,
    },
    /// No: a repeat is never allowed.
    NotIdempotent,
}

/// A class of jobs.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Whether its jobs may be repeated.
    pub idempotency: Idempotency,
    /// The only kind of machine that runs its jobs; none if all do.
    pub kind: Option<KindId>,
    /// Latency objective of its jobs, to which `objective_stretch` times the run time of a job is
    /// added.
    pub latency_objective: Micros,
    /// Multiple of a job's own run time that is added to the latency objective.
    pub objective_stretch: f64,
    /// The longest time that a client waits for an answer.
    pub deadline: Micros,
}

/// A tenant and its quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Quota in jobs per second, over all dispatchers; none if the tenant has no quota.
    pub quota: Option<f64>,
    /// Its share of the total service, from 0 to 1.
    pub share: f64,
}

/// How load reports reach a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// There are no load reports.
    #[default]
    Never,
    /// With the answer of each attempt and probe.
    Piggybacked,
    /// With the answers of probes only.
    Probed,
}

/// Features and limits of a deployment.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts for one request; at least 1.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Whether workers may be probed.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// The longest retry time that clients honour; none if rejections carry no retry time.
    pub max_retry_after: Option<Micros>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 3,
            hedging: false,
            probes: false,
            cancellation: false,
            max_retry_after: Some(Micros(2_000_000)),
        }
    }
}

/// Parameters of slow start and of the worker list.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Fraction of its capacity, from 0 to 1, that a worker has at its start at least.
    pub initial_capacity: f64,
    /// Time after its start at which a worker has its full capacity.
    pub warm_up: Micros,
    /// A cold worker fails if it is sent more than this multiple of its present capacity within
    /// `overload_window`.
    pub overload_factor: f64,
    /// Window over which the work sent to a cold worker is summed up.
    pub overload_window: Micros,
    /// The longest time between two polls of a dispatcher that polls the worker list and has no
    /// watch.
    pub poll_interval: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            initial_capacity: 0.1,
            warm_up: Micros(30_000_000),
            overload_factor: 2.0,
            overload_window: Micros(1_000_000),
            poll_interval: Micros(10_000_000),
        }
    }
}

/// Settings of a dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of dispatchers that share the workers; at least 1.
    pub dispatchers: u32,
    /// Index of this dispatcher among them, from 0.
    pub index: u32,
    /// Zone of this dispatcher.
    pub zone: ZoneId,
    /// The classes of jobs; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// How load reports arrive.
    pub load_reporting: LoadReporting,
    /// Whether workers report that a job has started.
    pub reports_starts: bool,
    /// Whether the worker list must be polled.
    pub polls_worker_list: bool,
    /// Features and limits of the deployment.
    pub limits: Limits,
    /// Parameters of slow start and of the worker list.
    pub rules: Rules,
}

/// A setting is out of range. The message names the value to correct.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The number of dispatchers is zero.
    #[error("settings: there must be at least one dispatcher")]
    NoDispatchers,
    /// The list of classes is empty.
    #[error("settings: there must be at least one class")]
    NoClasses,
    /// The stretch of a class is negative or not finite.
    #[error("settings: a class has a negative or non-finite aim-stretch or class-stretch")]
    InvalidStretch,
    /// The share or the quota of a tenant is negative or not finite.
    #[error("settings: a tenant has a negative or non-finite share or quota")]
    InvalidTenant,
    /// The slow-start parameters are out of range.
    #[error("settings: rules: cold-from must be between 0 and 1, and overload-factor finite and not negative")]
    InvalidSlowStart,
    /// The maximum number of attempts is zero.
    #[error("settings: at least one attempt must be allowed")]
    NoAttempts,
}

impl Settings {
    /// Checks that all settings are in range.
    ///
    /// # Errors
    /// The first setting that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.dispatchers == 0 {
            return Err(SettingsError::NoDispatchers);
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.classes.iter().any(|c| is_invalid(c.objective_stretch)) {
            return Err(SettingsError::InvalidStretch);
        }
        if self.tenants.iter().any(Tenant::is_invalid) {
            return Err(SettingsError::InvalidTenant);
        }
        if self.rules.has_invalid_slow_start() {
            return Err(SettingsError::InvalidSlowStart);
        }
        if self.limits.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        Ok(())
    }
}

impl Tenant {
    fn is_invalid(&self) -> bool {
        is_invalid(self.share) || self.quota.is_some_and(is_invalid)
    }
}

impl Rules {
    fn has_invalid_slow_start(&self) -> bool {
        is_invalid(self.initial_capacity)
            || self.initial_capacity > 1.0
            || is_invalid(self.overload_factor)
    }
}

fn is_invalid(value: f64) -> bool {
    !value.is_finite() || value < 0.0
}
