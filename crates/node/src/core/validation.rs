//! Stage 1, validation: checks a new request against the settings and adds it to the request table.

use super::licensing::LicenceNeeds;
use super::timers::Timer;
use super::{Core, Payload};
use crate::clock::millis;
use marbledeck_dispatcher::{ClassId, Event, Job, Micros, RequestId, TenantId};
use marbledeck_licensing::SeatError;

/// How long after its deadline a request without an answer is failed. Later than the attempts' timeouts, and still
/// within the tolerance for late answers.
const OVERDUE_AFTER: Micros = millis(2);

/// A request as a front end received it.
#[derive(Debug, Default)]
pub struct NewRequest<'a> {
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant.
    pub tenant: Option<&'a str>,
    /// How long the client will wait.
    pub time_left: Micros,
    /// The client's estimate of the run time.
    pub cost_hint: Option<Micros>,
    /// The slots that it needs on a worker.
    pub slots: f64,
    /// The memory that it needs on a worker.
    pub memory: f64,
    /// Licences that it needs besides those of its class.
    pub licences: Vec<&'a str>,
    /// Whether its transaction id is the client's, so that it must not run twice under this id if it may not be repeated.
    pub has_client_id: bool,
    /// The content that workers get.
    pub payload: Payload,
}

/// Why a request was not accepted. It has not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The settings have no class with this name.
    #[error("unknown class '{0}'")]
    UnknownClass(String),
    /// The settings have no tenant with this name.
    #[error("unknown tenant '{0}'")]
    UnknownTenant(String),
    /// The class requires an idempotency key.
    #[error("this class needs a key")]
    MissingKey,
    /// The client's deadline has passed.
    #[error("no time is left")]
    NoTimeLeft,
    /// Another request with this transaction id is open.
    #[error("this id is open")]
    IdOpen,
    /// Another request with this transaction id may have run, and must not run twice.
    #[error("this id may have run")]
    IdSent,
    /// The limit of open requests is reached.
    #[error("too many invocations are open")]
    TooMany,
    /// No seat pool is configured for this licence.
    #[error("unknown licence '{0}'")]
    UnknownLicence(String),
    /// A licence has no free seat now.
    #[error(transparent)]
    NoSeat(SeatError),
}

impl Core {
    /// Accepts a request, which then gets exactly one final answer unless its client disconnects.
    ///
    /// # Errors
    /// The request does not match the settings, its transaction id is open, or there is no capacity for it now.
    pub fn accept_request(
        &mut self,
        now: Micros,
        request: NewRequest,
    ) -> Result<RequestId, RequestError> {
        let has_key = request.payload.key.is_some();
        let (class, tenant) = self.names.resolve(request.class, request.tenant, has_key)?;
        if request.time_left == Micros(0) {
            return Err(RequestError::NoTimeLeft);
        }
        // Workers identify a request by its transaction id, and would take a second one for a duplicate of the first.
        if self.table.has_transaction(&request.payload.transaction_id) {
            return Err(RequestError::IdOpen);
        }
        let has_unique_id = request.has_client_id && self.names.must_run_once(class);
        if has_unique_id && self.is_sent_id(now, &request.payload.transaction_id) {
            return Err(RequestError::IdSent);
        }
        let needs = self.check_capacity(now, class, tenant, &request.licences)?;
        let deadline = now + request.time_left;
        let transaction_id = request.payload.transaction_id.clone();
        let id = self.table.insert(class, request.payload, deadline, needs);
        // Expires after the attempts' timeouts, which let the dispatcher answer first.
        let timer = self
            .timers
            .add(deadline + OVERDUE_AFTER, Timer::Deadline(id));
        if let Some(request) = self.table.get(id) {
            request.timer = Some(timer);
            request.has_unique_id = has_unique_id;
        }
        self.counts.accepted += 1;
        let (ClassId(c), TenantId(t), left) = (class, tenant, request.time_left.0);
        log::trace!(
            "job {} accepted: transaction {transaction_id:?} class {c} tenant {t}, {left} us left",
            id.0
        );
        self.pending.push_back(Event::JobReceived(Job {
            id,
            class,
            tenant,
            time_left: request.time_left,
            expected_work: request.cost_hint,
            slots: request.slots,
            memory: request.memory,
        }));
        self.decide(now);
        Ok(id)
    }

    /// Checks the limit of open requests and the licence seats. Lack of capacity is counted as a rejection, since that
    /// is what the client gets.
    fn check_capacity(
        &mut self,
        now: Micros,
        class: ClassId,
        tenant: TenantId,
        licences: &[&str],
    ) -> Result<LicenceNeeds, RequestError> {
        if self.table.unanswered() >= self.names.max_open_requests {
            self.count_rejected(class);
            return Err(RequestError::TooMany);
        }
        let needs = self.check_seats(now, class, tenant, licences);
        if matches!(needs, Err(RequestError::NoSeat(_))) {
            self.count_rejected(class);
        }
        needs
    }

    fn count_rejected(&mut self, class: ClassId) {
        if let Some(counts) = self.counts.class_mut(class) {
            counts.rejected += 1;
        }
    }
}
