//! Licence seats, as an input to the invocations: a job whose licences have no seat is not taken in, and a call for which
//! there is none is one that could not be made. Which worker, whether to repeat and what to refuse stays with the
//! decision module.

use super::{Catalogue, Core, Malformed};
use crate::config::SeatsConfig;
use marbledeck_dispatcher::{ClassId, Micros, Outcome, RequestId};
use marbledeck_licensing::{LicenceId, SeatAllocator};
use std::rc::Rc;

/// The seats of this node.
pub struct Licensing {
    pub desk: SeatAllocator,
    /// The licences that each class needs, whatever its jobs say.
    pub by_class: Vec<Vec<LicenceId>>,
}

/// What an invocation needs for each of its calls.
#[derive(Clone, Debug, Default)]
pub struct Needs {
    pub licences: Rc<[LicenceId]>,
    /// The place of its tenant.
    pub tenant: usize,
}

impl Licensing {
    /// The seats as the operator file has them.
    ///
    /// # Errors
    /// It names a class that the platform's settings do not.
    pub fn new(config: SeatsConfig, catalogue: &Catalogue) -> Result<Self, String> {
        let SeatsConfig {
            licences,
            classes,
            idle,
        } = config;
        let unknown = classes
            .keys()
            .find(|class| catalogue.class(class).is_none());
        if let Some(class) = unknown {
            return Err(format!(
                "seats: classes.{class}: the settings have no such class"
            ));
        }
        let desk = SeatAllocator::new(licences, catalogue.tenants().to_vec(), idle);
        let of = |class: &str| -> Vec<LicenceId> {
            let names = classes.get(class).into_iter().flatten();
            names.filter_map(|name| desk.find_licence(name)).collect()
        };
        let by_class = catalogue.names().map(of).collect();
        Ok(Licensing { desk, by_class })
    }

    /// The licences of a job: those of its class, and those that it names. Each once and in one order.
    fn needs(&self, class: ClassId, tenant: usize, named: &[&str]) -> Result<Needs, Malformed> {
        let of_class = self.by_class.get(class.0 as usize);
        let mut licences = of_class.cloned().unwrap_or_default();
        for name in named {
            let known = self.desk.find_licence(name);
            licences.push(known.ok_or_else(|| Malformed::UnknownLicence((*name).to_owned()))?);
        }
        licences.sort_unstable();
        licences.dedup();
        Ok(Needs {
            licences: licences.into(),
            tenant,
        })
    }
}

impl Core {
    /// Whether a job may be taken in as far as its licences go, and what its calls need.
    ///
    /// # Errors
    /// A licence that nobody knows, or one that has no seat now: nothing is held for it, since it would wait for a worker
    /// and keep a seat from another that has one.
    pub(super) fn needs(
        &mut self,
        now: Micros,
        class: ClassId,
        tenant: usize,
        named: &[&str],
    ) -> Result<Needs, Malformed> {
        let Some(licensing) = &mut self.licensing else {
            return match named.first() {
                Some(name) => Err(Malformed::UnknownLicence((*name).to_owned())),
                None => Ok(Needs::default()),
            };
        };
        let needs = licensing.needs(class, tenant, named)?;
        match licensing.desk.check(now, &needs.licences, needs.tenant) {
            Ok(()) => Ok(needs),
            Err(why) => Err(Malformed::NoSeat(why)),
        }
    }

    /// Takes the seats of a call that is about to go out; tells whether it may.
    pub(super) fn seat(&mut self, now: Micros, needs: &Needs) -> bool {
        if needs.licences.is_empty() {
            return true;
        }
        let Some(licensing) = &mut self.licensing else {
            return false;
        };
        let taken = licensing.desk.acquire(now, &needs.licences, needs.tenant);
        if let Err(why) = &taken {
            log::debug!("seats: {why}");
        }
        taken.is_ok()
    }

    /// A call is back. Only some ends show that its worker has ended it, too: one that was given up may still run.
    pub(super) fn unseat(&mut self, sent: Micros, needs: &Needs, outcome: Outcome) {
        if let Some(licensing) = self
            .licensing
            .as_mut()
            .filter(|_| !needs.licences.is_empty())
        {
            let known = match outcome {
                Outcome::Served | Outcome::Failed | Outcome::Rejected => true,
                Outcome::ConnectFailed | Outcome::NotSent => true,
                Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => false,
            };
            let Needs { licences, tenant } = needs;
            licensing.desk.release(sent, licences, *tenant, known);
        }
    }

    /// Whether the calls of this invocation need seats.
    pub fn is_seated(&mut self, id: RequestId) -> bool {
        let invocation = self.table.get(id);
        invocation.is_some_and(|i| !i.needs.licences.is_empty())
    }

    /// Until when calls that need seats may begin.
    pub fn seated_until(&self) -> Option<Micros> {
        self.licensing
            .as_ref()
            .map(|licensing| licensing.desk.lease_expiry())
    }
}
