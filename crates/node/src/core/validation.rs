//! Stage 1, take in: what a front hands over is checked against the settings' names and entered in the table.

use super::timers::Due;
use super::{Core, Payload};
use crate::clock::millis;
use marbledeck_dispatcher::{
    Class, ClassId, Event, Idempotency, Job, Micros, RequestId, Settings, TenantId,
};
use marbledeck_licensing::NoSeat;
use marbledeck_platform_settings::PlatformSettings;
use std::fmt;

/// How long after its deadline an invocation without an answer is failed: well within the time still accepted.
const BACKSTOP: Micros = millis(2);

/// What a front hands over.
#[derive(Debug, Default)]
pub struct NewRequest<'a> {
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    /// How long the consumer waits.
    pub time_left: Micros,
    pub cost_hint: Option<Micros>,
    pub slots: f64,
    pub memory: f64,
    /// Licences that it needs besides those of its class.
    pub licences: Vec<&'a str>,
    pub payload: Payload,
}

/// Why an order was not taken. Nothing of it has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
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
    NoSeat(NoSeat),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RequestError::UnknownClass(name) => write!(f, "unknown class '{name}'"),
            RequestError::UnknownTenant(name) => write!(f, "unknown tenant '{name}'"),
            RequestError::MissingKey => f.write_str("this class needs a key"),
            RequestError::NoTimeLeft => f.write_str("no time is left"),
            RequestError::IdOpen => f.write_str("this id is open"),
            RequestError::TooMany => f.write_str("too many invocations are open"),
            RequestError::UnknownLicence(name) => write!(f, "unknown licence '{name}'"),
            RequestError::NoSeat(why) => write!(f, "{why}"),
        }
    }
}

/// The classes and tenants by their names.
#[derive(Clone, Debug, Default)]
pub struct NameRegistry {
    classes: Vec<(String, Class)>,
    tenants: Vec<String>,
    max_open: usize,
}

impl NameRegistry {
    pub fn new(facts: &PlatformSettings, settings: &Settings) -> Self {
        let names = facts.classes.iter().map(|p| p.name.clone());
        let classes = settings.classes.iter().cloned();
        NameRegistry {
            classes: names.zip(classes).collect(),
            tenants: facts.tenants.iter().map(|t| t.name.clone()).collect(),
            max_open: facts
                .limits
                .max_open_requests
                .map_or(usize::MAX, |n| n as usize),
        }
    }

    /// The classes' names, in order.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
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
    ) -> Result<(ClassId, TenantId), RequestError> {
        let found = self.class(class);
        let (id, figures) = found.ok_or_else(|| RequestError::UnknownClass(class.into()))?;
        let unknown = || RequestError::UnknownTenant(tenant.unwrap_or_default().into());
        let tenant = self.tenant(tenant).ok_or_else(unknown)?;
        if matches!(figures.idempotency, Idempotency::Keyed { .. }) && !keyed {
            return Err(RequestError::MissingKey);
        }
        Ok((id, tenant))
    }

    /// The tenants' names, in order.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// The longest deadline of any class.
    pub fn max_deadline(&self) -> Micros {
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
    pub fn accept_request(
        &mut self,
        now: Micros,
        order: NewRequest,
    ) -> Result<RequestId, RequestError> {
        let keyed = order.payload.key.is_some();
        let (class, tenant) = self.catalogue.check(order.class, order.tenant, keyed)?;
        if order.time_left == Micros(0) {
            return Err(RequestError::NoTimeLeft);
        }
        // Workers and the rules know an invocation by its id: a second one would be taken for a copy of the first.
        if self.table.has(&order.payload.transaction_id) {
            return Err(RequestError::IdOpen);
        }
        if self.table.unanswered() >= self.catalogue.max_open {
            // Answered as a rejection, and so counted as one.
            if let Some(class) = self.counts.class(class) {
                class.rejected += 1;
            }
            return Err(RequestError::TooMany);
        }
        let needs = self.needs(now, class, tenant.0 as usize, &order.licences);
        let needs = needs.inspect_err(|why| {
            let class = self.counts.class(class);
            if let Some(class) = class.filter(|_| matches!(why, RequestError::NoSeat(_))) {
                class.rejected += 1;
            }
        })?;
        let deadline = now + order.time_left;
        let id = self.table.enter(class, order.payload, deadline, needs);
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
