//! The settings object and its conversion to the settings of a dispatcher.

use crate::ReportFields;
use marbledeck_dispatcher::{
    Class, DeduplicationScope, Idempotency, KindId, Limits, LoadReporting, Micros, Rules, Settings,
    SettingsError, Tenant, ZoneId,
};
use serde::Deserialize;
use thiserror::Error;

/// Value of `report-x0` if `x0` of a load report is the number of free slots.
const FREE_SLOTS: &str = "free slots";
/// Value of `report-x1` if `x1` of a load report is the free memory.
const FREE_MEMORY: &str = "free memory";
/// Value of `registry-mode` if the dispatcher must poll the worker list.
const SUBSCRIBE: &str = "subscribe";

/// The settings as the platform writes them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformSettings {
    /// Number of dispatchers that share the workers.
    #[serde(rename = "balancers")]
    pub dispatchers: u32,
    /// The classes of requests.
    #[serde(rename = "profiles")]
    pub classes: Vec<ClassSettings>,
    /// Features and limits of the deployment.
    #[serde(default, rename = "bounds")]
    pub limits: DeploymentLimits,
    /// Properties of this family of workers.
    #[serde(default, rename = "family-info")]
    pub worker_family: WorkerFamily,
    /// How workers are discovered; `subscribe` if the dispatcher must poll the worker list.
    #[serde(default, rename = "registry-mode")]
    pub discovery_mode: String,
    /// Parameters of slow start, the worker list and draining.
    #[serde(default)]
    pub rules: RuleParameters,
    /// How load reports reach the dispatcher.
    #[serde(default, rename = "stats")]
    pub load_reports: LoadReportSettings,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    /// The names of the zones.
    #[serde(default, rename = "localities")]
    pub zones: Vec<String>,
    /// The names of the kinds of machines.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Zone of this dispatcher, as a position in `zones`.
    #[serde(default)]
    pub zone: u32,
    /// Index of this dispatcher among all dispatchers, from 0.
    #[serde(default, rename = "self-index")]
    pub index: u32,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct ClassSettings {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// `safe`, `keyed` or `unsafe`.
    #[serde(default, rename = "effect")]
    pub idempotency: String,
    /// Which workers discard repeats of a job of a keyed class: `all`, those of a `zone`, or of a
    /// `cell`.
    #[serde(default, rename = "dedup-scope")]
    pub deduplication_scope: String,
    /// How long workers remember an idempotency key, in microseconds.
    #[serde(default, rename = "dedup-window-us")]
    pub deduplication_window_us: u64,
    /// The latency objective, in microseconds.
    #[serde(default, rename = "promise-us")]
    pub latency_objective_us: u64,
    /// The longest time that a client waits, in microseconds.
    #[serde(default)]
    pub deadline_us: u64,
    /// Multiple of a job's own run time that is added to the latency objective.
    #[serde(default, rename = "aim-stretch")]
    pub objective_stretch: f64,
}

/// Features and limits of the deployment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct DeploymentLimits {
    /// Maximum number of attempts for one request.
    #[serde(rename = "try-limit")]
    pub max_attempts: Option<u32>,
    /// Whether two attempts of one request may be in flight at once.
    #[serde(rename = "second-copies")]
    pub hedging: bool,
    /// Whether workers may be probed.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    #[serde(rename = "may-cancel")]
    pub cancellation: bool,
    /// Whether nodes may send datagrams to one another.
    #[serde(rename = "may-tell")]
    pub gossip: bool,
    /// Whether rejections may carry a retry time.
    pub retry_after: bool,
    /// The longest retry time that clients honour, in microseconds.
    pub max_retry_after_us: Option<u64>,
    /// Idle time after which a worker closes a connection, in microseconds.
    #[serde(rename = "conn-idle-us")]
    pub connection_idle_us: Option<u64>,
    /// Timeout for opening a connection, in microseconds.
    pub connect_timeout_us: Option<u64>,
    /// Maximum number of open requests at a node.
    #[serde(rename = "max-open")]
    pub max_open_requests: Option<u32>,
}

/// Properties of a family of workers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct WorkerFamily {
    /// For each class, the only kind of machine that runs it, or -1 if all do.
    pub class_kind: Vec<i64>,
    /// For each class, the stretch of its latency objective; takes precedence over `aim-stretch`.
    pub class_stretch: Vec<f64>,
    /// Meaning of the value `x0` of a load report.
    #[serde(rename = "report-x0")]
    pub report_x0: String,
    /// Meaning of the value `x1` of a load report.
    #[serde(rename = "report-x1")]
    pub report_x1: String,
    /// Whether workers report that a job has started.
    #[serde(rename = "tells-start")]
    pub reports_starts: bool,
    /// Interval between the progress reports of a running job, in microseconds.
    #[serde(rename = "progress-us")]
    pub progress_interval_us: u64,
}

/// Parameters of slow start, the worker list and draining.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct RuleParameters {
    /// Fraction of its capacity that a worker has at its start.
    #[serde(rename = "cold-from")]
    pub initial_capacity: Option<f64>,
    /// Time after its start at which a worker has its full capacity, in microseconds.
    pub warm_up_us: Option<u64>,
    /// A cold worker fails if it is sent more than this multiple of its present capacity within the
    /// overload window.
    pub overload_factor: Option<f64>,
    /// The overload window, in microseconds.
    #[serde(rename = "tip-after-us")]
    pub overload_window_us: Option<u64>,
    /// The longest time between two polls of the worker list without a watch, in microseconds.
    #[serde(rename = "must-ask-in-us")]
    pub poll_interval_us: Option<u64>,
    /// How long new work may still be sent to a worker after notice of its drain, in microseconds.
    pub drain_grace_us: Option<u64>,
}

/// How load reports reach the dispatcher.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct LoadReportSettings {
    /// `piggyback` for reports in all answers, `pull` for reports in answers to probes only, any
    /// other value for none.
    #[serde(rename = "how")]
    pub mode: String,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct TenantSettings {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Quota in requests per second, over all dispatchers.
    #[serde(rename = "quota-per-s")]
    pub quota_per_second: Option<f64>,
    /// Its share of the total service, from 0 to 1.
    #[serde(default)]
    pub share: f64,
}

/// A setting has an unknown value or is out of range. The message names the value to correct.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformSettingsError {
    /// The `effect` or the `dedup-scope` of a class is unknown.
    #[error("settings: class {class}: unknown effect '{effect}' or dedup-scope '{scope}'")]
    UnknownEffect {
        /// Position of the class in the settings.
        class: usize,
        /// The value of `effect`.
        effect: String,
        /// The value of `dedup-scope`.
        scope: String,
    },
    /// A setting of the dispatcher is out of range.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
}

impl PlatformSettings {
    /// The meaning of the values of load reports in this deployment.
    pub fn report_fields(&self) -> ReportFields {
        ReportFields {
            free_slots: self.worker_family.report_x0 == FREE_SLOTS,
            free_memory: self.worker_family.report_x1 == FREE_MEMORY,
        }
    }

    /// Converts to the settings of a dispatcher.
    ///
    /// # Errors
    /// If the `effect` or the `dedup-scope` of a class is unknown, or a setting of the dispatcher is
    /// out of range.
    pub fn dispatcher_settings(&self) -> Result<Settings, PlatformSettingsError> {
        let classes = (0..self.classes.len()).map(|class| self.class(class));
        let tenants = self.tenants.iter().map(|tenant| Tenant {
            quota: tenant.quota_per_second,
            share: tenant.share,
        });
        let settings = Settings {
            dispatchers: self.dispatchers,
            index: self.index,
            zone: ZoneId(self.zone),
            classes: classes.collect::<Result<_, _>>()?,
            tenants: tenants.collect(),
            load_reporting: self.load_reports.reporting(),
            reports_starts: self.worker_family.reports_starts,
            polls_worker_list: self.discovery_mode == SUBSCRIBE,
            limits: self.limits.dispatcher_limits(),
            rules: self.rules.dispatcher_rules(),
        };
        settings.check()?;
        Ok(settings)
    }

    fn class(&self, position: usize) -> Result<Class, PlatformSettingsError> {
        let class = &self.classes[position];
        let family = &self.worker_family;
        let kind = family.class_kind.get(position);
        let kind = kind.and_then(|&kind| u32::try_from(kind).ok());
        let stretch = family.class_stretch.get(position).copied();
        Ok(Class {
            idempotency: class.idempotency(position)?,
            kind: kind.map(KindId),
            latency_objective: Micros(class.latency_objective_us),
            objective_stretch: stretch.unwrap_or(class.objective_stretch),
            deadline: Micros(class.deadline_us),
        })
    }
}

impl ClassSettings {
    fn idempotency(&self, position: usize) -> Result<Idempotency, PlatformSettingsError> {
        let keyed = |scope| Idempotency::Keyed {
            scope,
            window: Micros(self.deduplication_window_us),
        };
        let effect = self.idempotency.as_str();
        Ok(match (effect, self.deduplication_scope.as_str()) {
            ("safe", _) => Idempotency::Idempotent,
            ("unsafe", _) => Idempotency::NotIdempotent,
            ("keyed", "all") => keyed(DeduplicationScope::All),
            ("keyed", "zone") => keyed(DeduplicationScope::Zone),
            ("keyed", "cell") => keyed(DeduplicationScope::Cell),
            (effect, scope) => {
                return Err(PlatformSettingsError::UnknownEffect {
                    class: position,
                    effect: effect.to_owned(),
                    scope: scope.to_owned(),
                })
            }
        })
    }
}

impl LoadReportSettings {
    fn reporting(&self) -> LoadReporting {
        match self.mode.as_str() {
            "piggyback" => LoadReporting::Piggybacked,
            "pull" => LoadReporting::Probed,
            _ => LoadReporting::Never,
        }
    }
}

impl DeploymentLimits {
    fn dispatcher_limits(&self) -> Limits {
        let max_retry_after = self.max_retry_after_us.filter(|_| self.retry_after);
        Limits {
            max_attempts: self.max_attempts.unwrap_or(Limits::default().max_attempts),
            hedging: self.hedging,
            probes: self.probes,
            cancellation: self.cancellation,
            max_retry_after: max_retry_after.map(Micros),
        }
    }
}

impl RuleParameters {
    fn dispatcher_rules(&self) -> Rules {
        let default = Rules::default();
        let micros = |value: Option<u64>, default| value.map_or(default, Micros);
        Rules {
            initial_capacity: self.initial_capacity.unwrap_or(default.initial_capacity),
            warm_up: micros(self.warm_up_us, default.warm_up),
            overload_factor: self.overload_factor.unwrap_or(default.overload_factor),
            overload_window: micros(self.overload_window_us, default.overload_window),
            poll_interval: micros(self.poll_interval_us, default.poll_interval),
        }
    }
}
