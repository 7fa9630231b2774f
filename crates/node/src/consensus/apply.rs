//! What the records mean to this node: rates, workers out of service, seats.

use crate::service::Context;
use marbledeck_consensus::{Record, RecordBody, RecordValidity};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::ConfirmedSeats;
use marbledeck_membership::{SourceId, SourceReport, Status};
use std::collections::{BTreeMap, BTreeSet};

/// What was done of them last.
#[derive(Default)]
pub struct Applied {
    readings: u64,
    /// Whether the last look found a reading.
    held: bool,
    next: Option<Micros>,
    source: Option<SourceId>,
    out: BTreeSet<String>,
    /// The tenants' rates as the platform's settings have them, and as they were set last.
    usual: Option<Vec<Option<f64>>>,
    rates: Option<Vec<Option<f64>>>,
}

fn out_of(record: &Record) -> Option<&BTreeSet<String>> {
    match &record.body {
        Some(RecordBody::OutOfService(out)) => Some(out),
        _ => None,
    }
}

fn rates_of(record: &Record) -> BTreeMap<String, f64> {
    match &record.body {
        Some(RecordBody::Rates(rates)) => rates.per_s.clone(),
        _ => BTreeMap::new(),
    }
}

/// The stricter of two: what either names, at the lower figure.
fn stricter(
    mut one: BTreeMap<String, f64>,
    other: &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    for (tenant, rate) in other {
        let entry = one.entry(tenant.clone()).or_insert(*rate);
        *entry = entry.min(*rate);
    }
    one
}

impl Applied {
    /// When what holds may change by itself: a reading runs out, or an exclusive record comes into force.
    pub fn next_wake(&self) -> Option<Micros> {
        self.next
    }

    /// Brings the node in line with what it may act on now.
    pub fn renew(&mut self, now: Micros, context: &mut Context) {
        let Some(reader) = &context.agreed.reader else {
            return;
        };
        let (held, due) = (reader.has_lease(now), self.next.is_some_and(|at| now >= at));
        if context.agreed.readings == self.readings && held == self.held && !due {
            return;
        }
        if self.held && !held {
            log::warn!("agreement: no voter has confirmed this node's reading; the records' fallbacks hold");
        } else if held && !self.held {
            log::info!("agreement: revision {} confirmed", reader.revision());
        }
        let fresh = context.agreed.readings != self.readings;
        (self.readings, self.held) = (context.agreed.readings, held);
        let until = Some(reader.lease_expiry()).filter(|until| *until > now);
        self.next = until.into_iter().chain(reader.next_activation(now)).min();

        // A list that may have changed: nobody goes back in before the new one is in force.
        let out: BTreeSet<String> = match reader.validity(now, "workers/out") {
            RecordValidity::Active(record) => out_of(record).cloned().unwrap_or_default(),
            RecordValidity::Unconfirmed {
                latest: record,
                previous: before,
            } => {
                let both = [Some(record), before];
                both.into_iter()
                    .flatten()
                    .filter_map(out_of)
                    .flatten()
                    .cloned()
                    .collect()
            }
            RecordValidity::Pending => self.out.clone(),
            RecordValidity::Unknown => BTreeSet::new(),
        };
        let rates = match reader.validity(now, "settings/rates") {
            RecordValidity::Active(record) => Some(rates_of(record)),
            RecordValidity::Unconfirmed {
                latest: record,
                previous: Some(before),
            } => Some(stricter(rates_of(record), &rates_of(before))),
            RecordValidity::Unconfirmed {
                latest: record,
                previous: None,
            } => Some(rates_of(record)),
            RecordValidity::Pending | RecordValidity::Unknown => None,
        };
        let pools: Vec<(String, Micros)> = reader
            .record_names()
            .filter_map(|name| match reader.validity(now, name) {
                RecordValidity::Active(Record {
                    body: Some(RecordBody::Pool(pool)),
                    ..
                }) => {
                    let name = name.strip_prefix("seats/")?.to_owned();
                    Some((name, Micros(pool.longest_run_ms * 1000)))
                }
                _ => None,
            })
            .collect();
        if let Some(licensing) = context.core.licensing.as_mut().filter(|_| fresh || due) {
            let (until, parts) = (reader.lease_expiry(), context.agreed.answer.held_seats());
            licensing.desk.apply_confirmed(&ConfirmedSeats {
                free_seats: context.agreed.answer.free_seats.clone(),
                lease_expiry: until,
                last_applied_command: context.agreed.answer.last_seat_operation,
                allocations: parts,
                pools,
            });
        }
        if let Some(rates) = rates {
            let usual = self.usual.get_or_insert_with(|| context.core.rates());
            let names = context.core.catalogue().tenants().iter().zip(&*usual);
            // Whom the record does not name, or no more, has what the settings give.
            let quotas: Vec<Option<f64>> = names
                .map(|(name, usual)| rates.get(name).copied().or(*usual))
                .collect();
            if self.rates.as_ref().unwrap_or(usual) != &quotas {
                context.core.set_rates(now, &quotas);
                self.rates = Some(quotas);
            }
        }
        self.take_out(now, out, context);
    }

    fn take_out(&mut self, now: Micros, out: BTreeSet<String>, context: &mut Context) {
        if out == self.out {
            return;
        }
        let members = &mut context.fleet.members;
        let source = *self
            .source
            .get_or_insert_with(|| members.add_source("agreement", None));
        let mut told = marbledeck_membership::MembershipChange::default();
        for id in out.difference(&self.out) {
            let word = SourceReport {
                id: id.clone(),
                status: Status::OutOfService,
                ..SourceReport::default()
            };
            told.append(members.apply_report(now, source, word));
        }
        for id in self.out.difference(&out) {
            told.append(members.remove_worker(now, source, id, true));
        }
        self.out = out;
        context.fleet.changed(now, told, &mut context.core);
    }
}
