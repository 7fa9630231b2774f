//! The settings object, and its conversion to the settings of a dispatcher.

use crate::ReportFields;
use marbledeck_dispatcher::{
    Class, DeduplicationScope, Idempotency, KindId, Limits, LoadReporting, Micros, Rules, Settings,
    SettingsError, Tenant, ZoneId,
};
use serde::Deserialize;
use thiserror::Error;

/// The value of `report-x0` and `report-x1` for free slots and free memory.
const FREE_SLOTS: &str = "free slots";
const FREE_MEMORY: &str = "free memory";
/// The value of `registry-mode` where the worker list must be polled.
const SUBSCRIBE: &str = "subscribe";

/// The settings as the platform writes them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformSettings {
    /// How many dispatchers share the workers.
    #[serde(rename = "balancers")]
    pub dispatchers: u32,
    /// The classes of requests.
    #[serde(rename = "profiles")]
    pub classes: Vec<ClassSettings>,
    /// What the deployment permits.
    #[serde(default, rename = "bounds")]
    pub limits: DeploymentLimits,
    /// What is particular to this family of workers.
    #[serde(default, rename = "family-info")]
    pub worker_family: WorkerFamily,
    /// How workers are discovered; `subscribe` where the list must be polled.
    #[serde(default, rename = "registry-mode")]
    pub discovery_mode: String,
    /// The parameters of the rules.
    #[serde(default)]
    pub rules: RuleParameters,
    /// How load reports arrive.
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
    /// The zone of this dispatcher, a position in `zones`.
    #[serde(default)]
    pub zone: u32,
    /// The place of this dispatcher among all, from 0.
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
    /// Where repeats of a keyed class are dropped: `all`, `zone` or `cell`.
    #[serde(default, rename = "dedup-scope")]
    pub deduplication_scope: String,
    /// How long an idempotency key is known, in microseconds.
    #[serde(default, rename = "dedup-window-us")]
    pub deduplication_window_us: u64,
    /// The latency objective, in microseconds.
    #[serde(default, rename = "promise-us")]
    pub latency_objective_us: u64,
    /// The longest that a client waits, in microseconds.
    #[serde(default)]
    pub deadline_us: u64,
    /// Multiple of a job's own work that is added to the objective.
    #[serde(default, rename = "aim-stretch")]
    pub objective_stretch: f64,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct DeploymentLimits {
    /// Attempts for one request.
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
    /// Whether rejections may carry a time to come back after.
    pub retry_after: bool,
    /// The longest such time that clients honour, in microseconds.
    pub max_retry_after_us: Option<u64>,
    /// After how long a worker closes an idle connection, in microseconds.
    #[serde(rename = "conn-idle-us")]
    pub connection_idle_us: Option<u64>,
    /// How long a connect may take, in microseconds.
    pub connect_timeout_us: Option<u64>,
    /// How many requests a node may hold.
    #[serde(rename = "max-open")]
    pub max_open_requests: Option<u32>,
}

/// What is particular to this family of workers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct WorkerFamily {
    /// For each class the kind of machine that alone runs it, or -1.
    pub class_kind: Vec<i64>,
    /// For each class the stretch of its latency objective.
    pub class_stretch: Vec<f64>,
    /// What the value `x0` of a load report means.
    #[serde(rename = "report-x0")]
    pub report_x0: String,
    /// What the value `x1` of a load report means.
    #[serde(rename = "report-x1")]
    pub report_x1: String,
    /// Whether workers tell that a job has started.
    #[serde(rename = "tells-start")]
    pub reports_starts: bool,
    /// How often a running job tells its progress, in microseconds.
    #[serde(rename = "progress-us")]
    pub progress_interval_us: u64,
}

/// The parameters of the rules about slow start, the worker list and draining.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct RuleParameters {
    /// The part of its capacity that a worker starts with.
    #[serde(rename = "cold-from")]
    pub initial_capacity: Option<f64>,
    /// When it has all of it, in microseconds after its start.
    pub warm_up_us: Option<u64>,
    /// The multiple of its capacity that makes a cold worker fall over.
    pub overload_factor: Option<f64>,
    /// The window in which that is counted, in microseconds.
    #[serde(rename = "tip-after-us")]
    pub overload_window_us: Option<u64>,
    /// How often the list must be polled without a watch, in microseconds.
    #[serde(rename = "must-ask-in-us")]
    pub poll_interval_us: Option<u64>,
    /// How long after notice of a drain new work may still be sent, in microseconds.
    pub drain_grace_us: Option<u64>,
}

/// How load reports arrive.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct LoadReportSettings {
    /// `piggyback`, `pull`, or anything else for none.
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
    /// Requests a second that it may ask for, over all dispatchers.
    #[serde(rename = "quota-per-s")]
    pub quota_per_second: Option<f64>,
    /// Its part of the service.
    #[serde(default)]
    pub share: f64,
}

/// Settings whose meaning is not known. The message names the class to correct.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformSettingsError {
    /// A class has an unknown effect, or an unknown deduplication scope.
    #[error("settings: class {class}: unknown effect '{effect}' or dedup-scope '{scope}'")]
    UnknownEffect {
        /// Position of the class in the settings.
        class: usize,
        /// The value of `effect`.
        effect: String,
        /// The value of `dedup-scope`.
        scope: String,
    },
    /// The dispatcher cannot work with a value.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
}

impl PlatformSettings {
    /// What the values of load reports mean here.
    pub fn report_fields(&self) -> ReportFields {
        ReportFields {
            free_slots: self.worker_family.report_x0 == FREE_SLOTS,
            free_memory: self.worker_family.report_x1 == FREE_MEMORY,
        }
    }

    /// The settings of a dispatcher.
    ///
    /// # Errors
    /// A class whose `effect` or `dedup-scope` is not known, or a value that a dispatcher cannot
    /// work with.
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
        let micros = |given: Option<u64>, default| given.map_or(default, Micros);
        Rules {
            initial_capacity: self.initial_capacity.unwrap_or(default.initial_capacity),
            warm_up: micros(self.warm_up_us, default.warm_up),
            overload_factor: self.overload_factor.unwrap_or(default.overload_factor),
            overload_window: micros(self.overload_window_us, default.overload_window),
            poll_interval: micros(self.poll_interval_us, default.poll_interval),
        }
    }
}
