//! What the records mean to this node: rate limits, workers out of service, licence seats.

use crate::context::Context;
use marbledeck_consensus::{LeasedReader, Record, RecordBody, RecordValidity};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::ConfirmedSeats;
use marbledeck_membership::{MembershipChange, SourceId, SourceReport, Status};
use std::collections::{BTreeMap, BTreeSet};

/// The record of the workers that are out of service.
const OUT_OF_SERVICE_RECORD: &str = "workers/out";
/// The record of the tenants' rates.
const RATES_RECORD: &str = "settings/rates";
/// What the names of the records of licence pools begin with.
const POOL_PREFIX: &str = "seats/";
/// The name of the membership source that stands for the records.
const SOURCE_NAME: &str = "agreement";

/// Requests a second, by tenant.
type Rates = BTreeMap<String, f64>;

/// What of the records this node acts on already.
#[derive(Default)]
pub struct AppliedRecords {
    /// How many readings there were when the records were last looked at.
    readings: u64,
    /// Whether there was a valid reading then.
    was_valid: bool,
    /// When what is in force may change by itself.
    next_change: Option<Micros>,
    source: Option<SourceId>,
    out_of_service: BTreeSet<String>,
    /// The tenants' rates as the platform's settings have them.
    default_rates: Option<Vec<Option<f64>>>,
    /// The tenants' rates as they were set last.
    applied_rates: Option<Vec<Option<f64>>>,
}

impl AppliedRecords {
    /// When what is in force may change by itself: a reading runs out, or an exclusive record comes into force.
    pub fn next_wake(&self) -> Option<Micros> {
        self.next_change
    }

    /// Brings the node in line with what it may act on now.
    pub fn apply(&mut self, now: Micros, context: &mut Context) {
        let Some(reader) = &context.records.reader else {
            return;
        };
        let is_valid = reader.has_lease(now);
        let is_due = self.next_change.is_some_and(|due| now >= due);
        let is_new = context.records.readings != self.readings;
        if !is_new && is_valid == self.was_valid && !is_due {
            return;
        }
        self.log_validity(is_valid, reader);
        self.readings = context.records.readings;
        self.was_valid = is_valid;
        let valid_until = Some(reader.lease_expiry()).filter(|expiry| *expiry > now);
        self.next_change = valid_until
            .into_iter()
            .chain(reader.next_activation(now))
            .min();
        let out_of_service = self.out_of_service_by_records(now, reader);
        let rates = rates_by_records(now, reader);
        if is_new || is_due {
            pass_on_seats(now, context);
        }
        if let Some(rates) = rates {
            self.apply_rates(now, &rates, context);
        }
        self.apply_out_of_service(now, out_of_service, context);
    }

    fn log_validity(&self, is_valid: bool, reader: &LeasedReader) {
        if self.was_valid && !is_valid {
            log::warn!("agreement: no voter has confirmed this node's reading; the records' fallbacks hold");
        } else if is_valid && !self.was_valid {
            log::info!("agreement: revision {} confirmed", reader.revision());
        }
    }

    /// The workers that are out of service. Where the list may have changed, nobody goes back in before the new one is
    /// in force.
    fn out_of_service_by_records(&self, now: Micros, reader: &LeasedReader) -> BTreeSet<String> {
        match reader.validity(now, OUT_OF_SERVICE_RECORD) {
            RecordValidity::Active(record) => {
                out_of_service_in(record).cloned().unwrap_or_default()
            }
            RecordValidity::Unconfirmed { latest, previous } => {
                let both = [Some(latest), previous];
                let lists = both.into_iter().flatten().filter_map(out_of_service_in);
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
        // Whom the record does not name, or no more, has what the settings give.
        let quotas: Vec<Option<f64>> = tenants
            .zip(&*default_rates)
            .map(|(tenant, default_rate)| rates.get(tenant).copied().or(*default_rate))
            .collect();
        if self.applied_rates.as_ref().unwrap_or(default_rates) != &quotas {
            context.core.set_quotas(now, &quotas);
            self.applied_rates = Some(quotas);
        }
    }

    fn apply_out_of_service(&mut self, now: Micros, out: BTreeSet<String>, context: &mut Context) {
        if out == self.out_of_service {
            return;
        }
        let members = &mut context.fleet.members;
        let source = *self
            .source
            .get_or_insert_with(|| members.add_source(SOURCE_NAME, None));
        let mut change = MembershipChange::default();
        for id in out.difference(&self.out_of_service) {
            let report = SourceReport {
                id: id.clone(),
                status: Status::OutOfService,
                ..SourceReport::default()
            };
            change.append(members.apply_report(now, source, report));
        }
        for id in self.out_of_service.difference(&out) {
            change.append(members.remove_worker(now, source, id, true));
        }
        self.out_of_service = out;
        context.fleet.apply_change(now, change, &mut context.core);
    }
}

fn out_of_service_in(record: &Record) -> Option<&BTreeSet<String>> {
    match &record.body {
        Some(RecordBody::OutOfService(out)) => Some(out),
        _ => None,
    }
}

/// The rates to act on; none where those of before stay.
fn rates_by_records(now: Micros, reader: &LeasedReader) -> Option<Rates> {
    match reader.validity(now, RATES_RECORD) {
        RecordValidity::Active(record)
        | RecordValidity::Unconfirmed {
            latest: record,
            previous: None,
        } => Some(rates_in(record)),
        RecordValidity::Unconfirmed {
            latest,
            previous: Some(previous),
        } => Some(stricter(rates_in(latest), &rates_in(previous))),
        RecordValidity::Pending | RecordValidity::Unknown => None,
    }
}

fn rates_in(record: &Record) -> Rates {
    match &record.body {
        Some(RecordBody::Rates(rates)) => rates.per_s.clone(),
        _ => Rates::new(),
    }
}

/// The stricter of two: what either names, at the lower rate.
fn stricter(mut rates: Rates, others: &Rates) -> Rates {
    for (tenant, other) in others {
        let rate = rates.entry(tenant.clone()).or_insert(*other);
        *rate = rate.min(*other);
    }
    rates
}

/// Passes on to licensing which seats this node has, and for how long.
fn pass_on_seats(now: Micros, context: &mut Context) {
    let (Some(reader), Some(licensing)) =
        (&context.records.reader, context.core.licensing.as_mut())
    else {
        return;
    };
    let answer = &context.records.answer;
    licensing.allocator.apply_confirmed(&ConfirmedSeats {
        free_seats: answer.free_seats.clone(),
        lease_expiry: reader.lease_expiry(),
        last_applied_command: answer.last_seat_operation,
        allocations: answer.held_seats(),
        pools: pools_in_force(now, reader),
    });
}

/// The licence pools, and how long an attempt under each may run.
fn pools_in_force(now: Micros, reader: &LeasedReader) -> Vec<(String, Micros)> {
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
