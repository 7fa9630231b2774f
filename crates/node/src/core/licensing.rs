//! Licence seats of requests and attempts. A request is not accepted when its licences have no free seat, and an
//! attempt without a seat is reported to the dispatcher as not sent. Selecting workers, retrying and rejecting are left
//! to the dispatcher.

use super::{Core, NameRegistry, RequestError};
use crate::licensing_config::LicensingConfig;
use marbledeck_dispatcher::{ClassId, Micros, Outcome, RequestId, TenantId};
use marbledeck_licensing::{LicenceId, SeatAllocator};
use std::rc::Rc;

/// The operator file names a class that the platform's settings do not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("seats: classes.{0}: the settings have no such class")]
pub struct UnknownClassError(String);

/// This node's licence seats.
pub struct Licensing {
    /// Allocates this node's share of the seats.
    pub allocator: SeatAllocator,
    /// The licences that each class needs, in addition to those that a request names.
    pub class_licences: Vec<Vec<LicenceId>>,
}

/// The licences that each attempt of a request needs.
#[derive(Clone, Debug, Default)]
pub struct LicenceNeeds {
    /// The licences, sorted and without duplicates.
    pub licences: Rc<[LicenceId]>,
    /// The index of the request's tenant.
    pub tenant: usize,
}

impl Licensing {
    /// Creates the seats that the operator file configures.
    ///
    /// # Errors
    /// The file names a class that the platform's settings do not have.
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
        let class_licences = names.class_names().map(licences_of).collect();
        Ok(Licensing {
            allocator,
            class_licences,
        })
    }

    /// The licences of a request's class and those that it names, sorted and without duplicates.
    fn needs(
        &self,
        class: ClassId,
        tenant: TenantId,
        named: &[&str],
    ) -> Result<LicenceNeeds, RequestError> {
        let of_class = self.class_licences.get(class.0 as usize);
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
    /// Checks that a request's licences are known and have free seats. Returns what its attempts need.
    ///
    /// No seat is reserved yet: while the request waits for a worker, a reserved seat would be withheld from another
    /// request that already has a worker.
    ///
    /// # Errors
    /// A licence is unknown or has no free seat now.
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

    /// Acquires the seats for an attempt that is about to start. Returns whether all were free.
    pub(super) fn acquire_seats(&mut self, now: Micros, needs: &LicenceNeeds) -> bool {
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
            log::debug!("no licence seats for an attempt, not sending it: {error}");
        }
        taken.is_ok()
    }

    /// Releases the seats of an attempt that has ended. Only some outcomes show that the worker has ended it, too: a
    /// cancelled attempt, for example, may still be running there.
    pub(super) fn release_seats(&mut self, sent: Micros, needs: &LicenceNeeds, outcome: Outcome) {
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

    /// When this node's lease on its seats expires, and with it the right to start attempts that need one; none where
    /// no seats are configured.
    pub fn seats_valid_until(&self) -> Option<Micros> {
        let licensing = self.licensing.as_ref();
        licensing.map(|licensing| licensing.allocator.lease_expiry())
    }
}
