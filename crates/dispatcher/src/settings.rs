//! What a dispatcher is given at its start.

use crate::{KindId, Micros, ZoneId};
use thiserror::Error;

/// The workers that discard repeats of a keyed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What a repeated execution of a job does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It is harmless.
    #[default]
    Idempotent,
    /// It is discarded by its idempotency key.
    Keyed {
        /// The workers that know the key.
        scope: DeduplicationScope,
        /// How long the key is known after the first send that may have run.
        window: Micros,
    },
    /// It is never allowed.
    NotIdempotent,
}

/// A class of jobs.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// What repeating does.
    pub idempotency: Idempotency,
    /// The kind of machine that alone runs it, if any.
    pub kind: Option<KindId>,
    /// An answer within this (plus `objective_stretch` times the job's own work) has its full
    /// value.
    pub latency_objective: Micros,
    /// Multiple of the job's own work that is added to the latency objective.
    pub objective_stretch: f64,
    /// The longest that a client waits.
    pub deadline: Micros,
}

/// A tenant and what it may ask for.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Jobs a second within its share, over all dispatchers; none where not given.
    pub quota: Option<f64>,
    /// Its part of the service, from 0 to 1.
    pub share: f64,
}

/// How load reports reach a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Not at all.
    #[default]
    Never,
    /// With each outcome and probe result.
    Piggybacked,
    /// With probe results only.
    Probed,
}

/// What a deployment permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts for one request; at least 1.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Whether workers may be probed.
    pub probes: bool,
    /// Whether an attempt may be cancelled.
    pub cancellation: bool,
    /// The longest wait that clients honour; none where rejections carry no time.
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

/// The parameters of the rules about slow start and the worker list.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A worker starts with no less than this part of its capacity, from 0 to 1 ...
    pub initial_capacity: f64,
    /// ... and has all of it after this.
    pub warm_up: Micros,
    /// A cold worker falls over when sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... within this window.
    pub overload_window: Micros,
    /// Where the list must be polled: a dispatcher without a watch polls at least this often.
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

/// What a dispatcher is given at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many dispatchers share the workers; at least 1.
    pub dispatchers: u32,
    /// The place of this dispatcher among them, from 0.
    pub index: u32,
    /// The zone of this dispatcher.
    pub zone: ZoneId,
    /// The classes of jobs; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// How load reports arrive.
    pub load_reporting: LoadReporting,
    /// Whether workers tell that a job has started.
    pub reports_starts: bool,
    /// Whether the worker list must be polled.
    pub polls_worker_list: bool,
    /// What the deployment permits.
    pub limits: Limits,
    /// The parameters of the rules.
    pub rules: Rules,
}

/// Settings that no dispatcher can work with. The message names the value to correct.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The number of dispatchers is zero.
    #[error("settings: there must be at least one dispatcher")]
    NoDispatchers,
    /// The list of classes is empty.
    #[error("settings: there must be at least one class")]
    NoClasses,
    /// A class's stretch is no sensible multiple.
    #[error("settings: a class has a negative or non-finite stretch")]
    InvalidStretch,
    /// A tenant's share or quota is no sensible figure.
    #[error("settings: a tenant has a negative or non-finite share or quota")]
    InvalidTenant,
    /// The slow-start parameters are out of range.
    #[error("settings: cold_from must be between 0 and 1 and overload_factor not negative")]
    InvalidSlowStart,
    /// No attempt is allowed.
    #[error("settings: at least one attempt must be allowed")]
    NoAttempts,
}

impl Settings {
    /// Checks that a dispatcher can work with these settings.
    ///
    /// # Errors
    /// The first value that is out of range.
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

fn is_invalid(figure: f64) -> bool {
    !figure.is_finite() || figure < 0.0
}
