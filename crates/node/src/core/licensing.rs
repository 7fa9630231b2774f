//! Licence seats on the way of a request: one whose licences have no seat is not accepted, and an attempt for which
//! there is none is one that could not be made. Which worker, whether to retry and what to reject stays with the
//! dispatcher.

use super::{Core, NameRegistry, RequestError};
use crate::licensing_config::LicensingConfig;
use marbledeck_dispatcher::{ClassId, Micros, Outcome, RequestId, TenantId};
use marbledeck_licensing::{LicenceId, SeatAllocator};
use std::rc::Rc;

/// The operator file names a class that the platform's settings do not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("seats: classes.{0}: the settings have no such class")]
pub struct UnknownClassError(String);

/// The seats of this node.
pub struct Licensing {
    /// Grants this node's part of the seats.
    pub allocator: SeatAllocator,
    /// The licences that each class needs, whatever its requests name.
    pub by_class: Vec<Vec<LicenceId>>,
}

/// What each attempt of a request needs.
#[derive(Clone, Debug, Default)]
pub struct LicenceNeeds {
    /// The licences, each once and in one order.
    pub licences: Rc<[LicenceId]>,
    /// The index of the request's tenant.
    pub tenant: usize,
}

impl Licensing {
    /// The seats as the operator file has them.
    ///
    /// # Errors
    /// It names a class that the platform's settings do not have.
    pub fn new(config: LicensingConfig, names: &NameRegistry) -> Result<Self, UnknownClassError> {
        let LicensingConfig {
            licences,
            classes,
            idle,
        } = config;
        let unknown = classes.keys().find(|class| names.class(class).is_none());
        if let Some(class) = unknown {
            return Err(UnknownClassError(class.clone()));
        }
        let allocator = SeatAllocator::new(licences, names.tenants().to_vec(), idle);
        let licences_of = |class: &str| -> Vec<LicenceId> {
            let licences = classes.get(class).into_iter().flatten();
            licences
                .filter_map(|name| allocator.find_licence(name))
                .collect()
        };
        let by_class = names.class_names().map(licences_of).collect();
        Ok(Licensing {
            allocator,
            by_class,
        })
    }

    /// The licences of a request: those of its class, and those that it names. Each once and in one order.
    fn needs(
        &self,
        class: ClassId,
        tenant: TenantId,
        named: &[&str],
    ) -> Result<LicenceNeeds, RequestError> {
        let of_class = self.by_class.get(class.0 as usize);
        let mut licences = of_class.cloned().unwrap_or_default();
        for name in named {
            let licence = self.allocator.find_licence(name);
            licences.push(licence.ok_or_else(|| RequestError::UnknownLicence((*name).to_owned()))?);
        }
        licences.sort_unstable();
        licences.dedup();
        Ok(LicenceNeeds {
            licences: licences.into(),
            tenant: tenant.0 as usize,
        })
    }
}

impl Core {
    /// Checks whether a request may be accepted as far as its licences go. Returns what its attempts need.
    ///
    /// # Errors
    /// A licence that is unknown, or one that has no seat now: nothing is held for it, since it would wait for a
    /// worker and keep a seat from another request that has one.
    pub(super) fn check_seats(
        &mut self,
        now: Micros,
        class: ClassId,
        tenant: TenantId,
        named: &[&str],
    ) -> Result<LicenceNeeds, RequestError> {
        let Some(licensing) = &mut self.licensing else {
            return match named.first() {
                Some(name) => Err(RequestError::UnknownLicence((*name).to_owned())),
                None => Ok(LicenceNeeds::default()),
            };
        };
        let needs = licensing.needs(class, tenant, named)?;
        let free = licensing
            .allocator
            .check(now, &needs.licences, needs.tenant);
        free.map_err(RequestError::NoSeat)?;
        Ok(needs)
    }

    /// Takes the seats of an attempt that is about to start. Returns whether it may.
    pub(super) fn take_seats(&mut self, now: Micros, needs: &LicenceNeeds) -> bool {
        if needs.licences.is_empty() {
            return true;
        }
        let Some(licensing) = &mut self.licensing else {
            return false;
        };
        let taken = licensing
            .allocator
            .acquire(now, &needs.licences, needs.tenant);
        if let Err(error) = &taken {
            log::debug!("seats: {error}");
        }
        taken.is_ok()
    }

    /// Returns the seats of an attempt that has ended. Only some ends show that its worker has ended it, too: one that
    /// was cancelled may still run.
    pub(super) fn return_seats(&mut self, sent: Micros, needs: &LicenceNeeds, outcome: Outcome) {
        if needs.licences.is_empty() {
            return;
        }
        let Some(licensing) = &mut self.licensing else {
            return;
        };
        let ended_at_worker = match outcome {
            Outcome::Served | Outcome::Failed | Outcome::Rejected => true,
            Outcome::ConnectFailed | Outcome::NotSent => true,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => false,
        };
        let LicenceNeeds { licences, tenant } = needs;
        licensing
            .allocator
            .release(sent, licences, *tenant, ended_at_worker);
    }

    /// Whether the attempts of this request need seats.
    pub fn needs_seats(&mut self, id: RequestId) -> bool {
        let request = self.table.get(id);
        request.is_some_and(|request| !request.needs.licences.is_empty())
    }

    /// Until when attempts that need seats may start; none where the site has no seats.
    pub fn seats_valid_until(&self) -> Option<Micros> {
        let licensing = self.licensing.as_ref();
        licensing.map(|licensing| licensing.allocator.lease_expiry())
    }
}
