//! The settings a dispatcher is told, as the platform writes them, and their meaning to the module. The
//! adapter and the node read the same object through this one place.
#![forbid(unsafe_code)]

use marbledeck_dispatcher::*;
use serde::Deserialize;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

/// A worker's id: a hash of its word, so that it is the same at every dispatcher and every restart.
pub fn worker_id(word: &str) -> WorkerId {
    WorkerId(BuildHasherDefault::<DefaultHasher>::default().hash_one(word))
}

/// A load report.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Feedback {
    pub x0: Option<f64>,
    pub x1: Option<f64>,
}

/// Which report values carry a meaning that the library knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reads {
    /// The value `x0` is free slots.
    pub slots: bool,
    /// The value `x1` is free memory.
    pub memory: bool,
}

impl Reads {
    /// The values of a load report that the library knows.
    pub fn report(self, f: Feedback) -> Report {
        Report {
            free_slots: f.x0.filter(|_| self.slots),
            free_memory: f.x1.filter(|_| self.memory),
            held: None,
        }
    }
}

/// The settings as the wire has them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Facts {
    pub balancers: u32,
    pub profiles: Vec<Profile>,
    #[serde(default)]
    pub bounds: Bounds,
    #[serde(default)]
    pub family_info: FamilyInfo,
    #[serde(default)]
    pub registry_mode: String,
    #[serde(default)]
    pub rules: RuleFigures,
    #[serde(default)]
    pub stats: Stats,
    #[serde(default)]
    pub tenants: Vec<Party>,
    #[serde(default)]
    pub localities: Vec<String>,
    #[serde(default)]
    pub kinds: Vec<String>,
    #[serde(default)]
    pub zone: u32,
    #[serde(default)]
    pub self_index: u32,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Profile {
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    pub effect: String,
    #[serde(default)]
    pub dedup_scope: String,
    #[serde(default)]
    pub dedup_window_us: u64,
    #[serde(default)]
    pub promise_us: u64,
    #[serde(default)]
    pub deadline_us: u64,
    #[serde(default)]
    pub aim_stretch: f64,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Bounds {
    pub try_limit: Option<u32>,
    pub second_copies: bool,
    pub probes: bool,
    pub may_cancel: bool,
    pub may_tell: bool,
    pub retry_after: bool,
    pub max_retry_after_us: Option<u64>,
    pub conn_idle_us: Option<u64>,
    pub connect_timeout_us: Option<u64>,
    pub max_open: Option<u32>,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct FamilyInfo {
    pub class_kind: Vec<i64>,
    pub class_stretch: Vec<f64>,
    #[serde(rename = "report-x0")]
    pub report_x0: String,
    #[serde(rename = "report-x1")]
    pub report_x1: String,
    pub tells_start: bool,
    pub progress_us: u64,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct RuleFigures {
    pub cold_from: Option<f64>,
    pub warm_up_us: Option<u64>,
    pub overload_factor: Option<f64>,
    pub tip_after_us: Option<u64>,
    pub must_ask_in_us: Option<u64>,
    pub drain_grace_us: Option<u64>,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct Stats {
    pub how: String,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Party {
    #[serde(default)]
    pub name: String,
    pub quota_per_s: Option<f64>,
    #[serde(default)]
    pub share: f64,
}

impl Facts {
    /// What the values of load reports mean here.
    pub fn reads(&self) -> Reads {
        Reads {
            slots: self.family_info.report_x0 == "free slots",
            memory: self.family_info.report_x1 == "free memory",
        }
    }

    /// The settings of the library.
    pub fn settings(&self) -> Result<Settings, SettingsError> {
        let mut classes = Vec::new();
        for (i, p) in self.profiles.iter().enumerate() {
            let effect = match (p.effect.as_str(), p.dedup_scope.as_str()) {
                ("safe", _) => Effect::Safe,
                ("unsafe", _) => Effect::Unsafe,
                ("keyed", "all") => Effect::Keyed(Group::All, Micros(p.dedup_window_us)),
                ("keyed", "zone") => Effect::Keyed(Group::Zone, Micros(p.dedup_window_us)),
                ("keyed", "cell") => Effect::Keyed(Group::Cell, Micros(p.dedup_window_us)),
                (e, g) => {
                    return Err(SettingsError(format!(
                        "class {i}: unknown effect '{e}' of group '{g}'"
                    )))
                }
            };
            let info = &self.family_info;
            let kind = info.class_kind.get(i).and_then(|&k| u32::try_from(k).ok());
            classes.push(Class {
                effect,
                kind: kind.map(KindId),
                aim: Micros(p.promise_us),
                stretch: info.class_stretch.get(i).copied().unwrap_or(p.aim_stretch),
                deadline: Micros(p.deadline_us),
            });
        }
        let tenants = self.tenants.iter().map(|t| Tenant {
            quota: t.quota_per_s,
            share: t.share,
        });
        let default = Rules::default();
        let (b, r) = (&self.bounds, &self.rules);
        Ok(Settings {
            dispatchers: self.balancers,
            index: self.self_index,
            zone: ZoneId(self.zone),
            classes,
            tenants: tenants.collect(),
            reporting: match self.stats.how.as_str() {
                "piggyback" => Reporting::Carried,
                "pull" => Reporting::Probed,
                _ => Reporting::Never,
            },
            tells_start: self.family_info.tells_start,
            ask_list: self.registry_mode == "subscribe",
            limits: Limits {
                attempts: b.try_limit.unwrap_or(Limits::default().attempts),
                second_copies: b.second_copies,
                probes: b.probes,
                cancel: b.may_cancel,
                max_retry_after: b.max_retry_after_us.filter(|_| b.retry_after).map(Micros),
            },
            rules: Rules {
                cold_from: r.cold_from.unwrap_or(default.cold_from),
                warm_up: r.warm_up_us.map_or(default.warm_up, Micros),
                overload_factor: r.overload_factor.unwrap_or(default.overload_factor),
                tip_after: r.tip_after_us.map_or(default.tip_after, Micros),
                ask_within: r.must_ask_in_us.map_or(default.ask_within, Micros),
            },
        })
    }
}
