//! Stage 1, take in: what a front hands over is checked against the settings' names and entered in the table.

use super::timers::Due;
use super::{Core, Work};
use crate::clock::millis;
use marbledeck_dispatcher::{
    Class, ClassId, Event, Idempotency, Job, Micros, RequestId, Settings, TenantId,
};
use marbledeck_licensing::SeatError;
use marbledeck_platform_settings::PlatformSettings;
use std::fmt;

/// How long after its deadline an invocation without an answer is failed: well within the time still accepted.
const BACKSTOP: Micros = millis(2);

/// What a front hands over.
#[derive(Debug, Default)]
pub struct Order<'a> {
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    /// How long the consumer waits.
    pub time_left: Micros,
    pub cost_hint: Option<Micros>,
    pub slots: f64,
    pub memory: f64,
    /// Licences that it needs besides those of its class.
    pub licences: Vec<&'a str>,
    pub work: Work,
}

/// Why an order was not taken. Nothing of it has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    UnknownClass(String),
    UnknownTenant(String),
    MissingKey,
    NoTimeLeft,
    /// Another invocation of this id is open.
    IdOpen,
    TooMany,
    /// No pool of seats has this name.
    UnknownLicence(String),
    /// A licence has no seat now.
    NoSeat(SeatError),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Malformed::UnknownClass(name) => write!(f, "unknown class '{name}'"),
            Malformed::UnknownTenant(name) => write!(f, "unknown tenant '{name}'"),
            Malformed::MissingKey => f.write_str("this class needs a key"),
            Malformed::NoTimeLeft => f.write_str("no time is left"),
            Malformed::IdOpen => f.write_str("this id is open"),
            Malformed::TooMany => f.write_str("too many invocations are open"),
            Malformed::UnknownLicence(name) => write!(f, "unknown licence '{name}'"),
            Malformed::NoSeat(why) => write!(f, "{why}"),
        }
    }
}

/// The classes and tenants by their names.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    classes: Vec<(String, Class)>,
    tenants: Vec<String>,
    max_open: usize,
}

impl Catalogue {
    pub fn new(facts: &PlatformSettings, settings: &Settings) -> Self {
        let names = facts.classes.iter().map(|p| p.name.clone());
        let classes = settings.classes.iter().cloned();
        Catalogue {
            classes: names.zip(classes).collect(),
            tenants: facts.tenants.iter().map(|t| t.name.clone()).collect(),
            max_open: facts
                .limits
                .max_open_requests
                .map_or(usize::MAX, |n| n as usize),
        }
    }

    /// The classes' names, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|(name, _)| name.as_str())
    }

    /// The position of a class, and what it is.
    pub fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        let at = self.classes.iter().position(|(known, _)| known == name)?;
        Some((ClassId(at as u32), &self.classes[at].1))
    }

    /// The positions of an order's class and tenant.
    ///
    /// # Errors
    /// What makes no sense with these settings, whatever the load.
    pub fn check(
        &self,
        class: &str,
        tenant: Option<&str>,
        keyed: bool,
    ) -> Result<(ClassId, TenantId), Malformed> {
        let found = self.class(class);
        let (id, figures) = found.ok_or_else(|| Malformed::UnknownClass(class.into()))?;
        let unknown = || Malformed::UnknownTenant(tenant.unwrap_or_default().into());
        let tenant = self.tenant(tenant).ok_or_else(unknown)?;
        if matches!(figures.idempotency, Idempotency::Keyed { .. }) && !keyed {
            return Err(Malformed::MissingKey);
        }
        Ok((id, tenant))
    }

    /// The tenants' names, in order.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// The longest deadline of any class.
    pub fn longest(&self) -> Micros {
        let all = self.classes.iter().map(|(_, figures)| figures.deadline);
        all.max().unwrap_or_default()
    }

    /// The position of a tenant; sites without tenants take any name.
    pub fn tenant(&self, name: Option<&str>) -> Option<TenantId> {
        if self.tenants.is_empty() {
            return Some(TenantId(0));
        }
        let at = self
            .tenants
            .iter()
            .position(|known| Some(&**known) == name)?;
        Some(TenantId(at as u32))
    }
}

impl Core {
    /// Takes an order in. From here on it gets exactly one final answer.
    pub fn take_in(&mut self, now: Micros, order: Order) -> Result<RequestId, Malformed> {
        let keyed = order.work.key.is_some();
        let (class, tenant) = self.catalogue.check(order.class, order.tenant, keyed)?;
        if order.time_left == Micros(0) {
            return Err(Malformed::NoTimeLeft);
        }
        // Workers and the rules know an invocation by its id: a second one would be taken for a copy of the first.
        if self.table.has(&order.work.txn) {
            return Err(Malformed::IdOpen);
        }
        if self.table.unanswered() >= self.catalogue.max_open {
            // Answered as a rejection, and so counted as one.
            if let Some(class) = self.counts.class(class) {
                class.rejected += 1;
            }
            return Err(Malformed::TooMany);
        }
        let needs = self.needs(now, class, tenant.0 as usize, &order.licences);
        let needs = needs.inspect_err(|why| {
            let class = self.counts.class(class);
            if let Some(class) = class.filter(|_| matches!(why, Malformed::NoSeat(_))) {
                class.rejected += 1;
            }
        })?;
        let deadline = now + order.time_left;
        let id = self.table.enter(class, order.work, deadline, needs);
        // After the attempts' time-outs, which let the dispatcher answer.
        self.timers.add(deadline + BACKSTOP, Due::Deadline(id));
        self.counts.taken += 1;
        let (ClassId(c), TenantId(t), left) = (class, tenant, order.time_left.0);
        log::trace!("job {} class {c} tenant {t}: {left} us left", id.0);
        self.pending.push_back(Event::JobReceived(Job {
            id,
            class,
            tenant,
            time_left: order.time_left,
            expected_work: order.cost_hint,
            slots: order.slots,
            memory: order.memory,
        }));
        self.decide(now);
        Ok(id)
    }
}
