//! Puts the agreed records into effect at this node: rate limits, workers out of service, and licence seats.

use crate::context::Context;
use marbledeck_consensus::{LeasedReader, Record, RecordBody, RecordValidity};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::ConfirmedSeats;
use marbledeck_membership::{MembershipChange, SourceId, SourceReport, Status};
use std::collections::{BTreeMap, BTreeSet};

/// The record that lists the workers out of service.
const OUT_OF_SERVICE_RECORD: &str = "workers/out";
/// The record with the tenants' rate limits.
const RATES_RECORD: &str = "settings/rates";
/// Prefix of the records of licence pools.
const POOL_PREFIX: &str = "seats/";
/// The membership source that reports workers out of service by the records.
const SOURCE_NAME: &str = "agreement";

/// Requests per second, by tenant.
type Rates = BTreeMap<String, f64>;

/// What this node last applied of the records.
#[derive(Default)]
pub struct AppliedRecords {
    /// The read count when the records were last applied.
    read_count: u64,
    /// Whether the node had a valid lease then.
    had_lease: bool,
    /// When the lease expires or an exclusive record becomes active, whichever is first.
    next_change: Option<Micros>,
    source: Option<SourceId>,
    out_of_service: BTreeSet<String>,
    /// The tenants' rate limits from the platform settings, in the order of the tenants.
    default_rates: Option<Vec<Option<f64>>>,
    /// The tenants' rate limits that were set last.
    applied_rates: Option<Vec<Option<f64>>>,
}

impl AppliedRecords {
    /// When the records must be applied again without a new read: the lease expires, or an exclusive record becomes
    /// active.
    pub fn next_wake(&self) -> Option<Micros> {
        self.next_change
    }

    /// Applies the records, if a read, the lease or the time has changed what the node may act on.
    pub fn apply(&mut self, now: Micros, context: &mut Context) {
        let Some(reader) = &context.records.reader else {
            return;
        };
        let has_lease = reader.has_lease(now);
        let change_is_due = self.next_change.is_some_and(|due| now >= due);
        let has_new_read = context.records.read_count != self.read_count;
        if !has_new_read && has_lease == self.had_lease && !change_is_due {
            return;
        }
        self.log_lease_change(has_lease, reader);
        self.read_count = context.records.read_count;
        self.had_lease = has_lease;
        let lease_expiry = Some(reader.lease_expiry()).filter(|expiry| *expiry > now);
        self.next_change = lease_expiry
            .into_iter()
            .chain(reader.next_activation(now))
            .min();
        let out_of_service = self.out_of_service_by_records(now, reader);
        let rates = rates_by_records(now, reader);
        if has_new_read || change_is_due {
            update_seat_allocator(now, context);
        }
        if let Some(rates) = rates {
            self.apply_rates(now, &rates, context);
        }
        self.apply_out_of_service(now, out_of_service, context);
    }

    fn log_lease_change(&self, has_lease: bool, reader: &LeasedReader) {
        if self.had_lease && !has_lease {
            log::warn!("consensus: this node has no valid lease on the records any more; applying their fallbacks until a voter confirms one");
        } else if has_lease && !self.had_lease {
            log::info!(
                "consensus: a voter has confirmed the records up to revision {}",
                reader.revision()
            );
        }
    }

    /// The workers that are out of service. Where the list may have changed, no worker returns to service before the new
    /// list is active.
    fn out_of_service_by_records(&self, now: Micros, reader: &LeasedReader) -> BTreeSet<String> {
        match reader.validity(now, OUT_OF_SERVICE_RECORD) {
            RecordValidity::Active(record) => {
                out_of_service_list(record).cloned().unwrap_or_default()
            }
            RecordValidity::Unconfirmed { latest, previous } => {
                let both = [Some(latest), previous];
                let lists = both.into_iter().flatten().filter_map(out_of_service_list);
                lists.flatten().cloned().collect()
            }
            RecordValidity::Pending => self.out_of_service.clone(),
            RecordValidity::Unknown => BTreeSet::new(),
        }
    }

    fn apply_rates(&mut self, now: Micros, rates: &Rates, context: &mut Context) {
        let default_rates = self
            .default_rates
            .get_or_insert_with(|| context.core.quotas());
        let tenants = context.core.names().tenants().iter();
        // The rate of the settings applies to a tenant that the record does not name.
        let quotas: Vec<Option<f64>> = tenants
            .zip(&*default_rates)
            .map(|(tenant, default_rate)| rates.get(tenant).copied().or(*default_rate))
            .collect();
        if self.applied_rates.as_ref().unwrap_or(default_rates) != &quotas {
            context.core.set_quotas(now, &quotas);
            self.applied_rates = Some(quotas);
        }
    }

    fn apply_out_of_service(
        &mut self,
        now: Micros,
        listed: BTreeSet<String>,
        context: &mut Context,
    ) {
        if listed == self.out_of_service {
            return;
        }
        let members = &mut context.fleet.members;
        let source = *self
            .source
            .get_or_insert_with(|| members.add_source(SOURCE_NAME, None));
        let mut change = MembershipChange::default();
        for id in listed.difference(&self.out_of_service) {
            let report = SourceReport {
                id: id.clone(),
                status: Status::OutOfService,
                ..SourceReport::default()
            };
            change.append(members.apply_report(now, source, report));
        }
        for id in self.out_of_service.difference(&listed) {
            change.append(members.withdraw_report(now, source, id));
        }
        self.out_of_service = listed;
        context.fleet.apply_change(now, change, &mut context.core);
    }
}

fn out_of_service_list(record: &Record) -> Option<&BTreeSet<String>> {
    match &record.body {
        Some(RecordBody::OutOfService(listed)) => Some(listed),
        _ => None,
    }
}

/// The rates to apply; `None` to keep the applied ones.
fn rates_by_records(now: Micros, reader: &LeasedReader) -> Option<Rates> {
    match reader.validity(now, RATES_RECORD) {
        RecordValidity::Active(record)
        | RecordValidity::Unconfirmed {
            latest: record,
            previous: None,
        } => Some(rates_of(record)),
        RecordValidity::Unconfirmed {
            latest,
            previous: Some(previous),
        } => Some(lower_rates(rates_of(latest), &rates_of(previous))),
        RecordValidity::Pending | RecordValidity::Unknown => None,
    }
}

fn rates_of(record: &Record) -> Rates {
    match &record.body {
        Some(RecordBody::Rates(rates)) => rates.per_s.clone(),
        _ => Rates::new(),
    }
}

/// The tenants that either names, at the lower rate.
fn lower_rates(mut rates: Rates, other_rates: &Rates) -> Rates {
    for (tenant, other) in other_rates {
        let rate = rates.entry(tenant.clone()).or_insert(*other);
        *rate = rate.min(*other);
    }
    rates
}

/// Tells the seat allocator which seats this node holds, and until when.
fn update_seat_allocator(now: Micros, context: &mut Context) {
    let (Some(reader), Some(licensing)) =
        (&context.records.reader, context.core.licensing.as_mut())
    else {
        return;
    };
    let response = &context.records.response;
    licensing.allocator.apply_confirmed(&ConfirmedSeats {
        free_seats: response.free_seats.clone(),
        lease_expiry: reader.lease_expiry(),
        last_applied_command: response.last_seat_operation,
        allocations: response.held_seats(),
        pools: active_pools(now, reader),
    });
}

/// The active licence pools, with the longest run of an attempt under each.
fn active_pools(now: Micros, reader: &LeasedReader) -> Vec<(String, Micros)> {
    let pool = |record: &str| match reader.validity(now, record) {
        RecordValidity::Active(Record {
            body: Some(RecordBody::Pool(pool)),
            ..
        }) => {
            let name = record.strip_prefix(POOL_PREFIX)?.to_owned();
            Some((name, Micros(pool.longest_run_ms * 1000)))
        }
        _ => None,
    };
    reader.record_names().filter_map(pool).collect()
}
