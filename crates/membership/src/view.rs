//! The view of the workers that is shown to operators.

use crate::precedence::MergedReport;
use crate::{Membership, Status};
use marbledeck_dispatcher::{Micros, WorkerState};
use marbledeck_platform_settings::worker_id;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The status of a worker as one source reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceStatus {
    /// The source's name.
    pub source: String,
    /// The reported status.
    pub status: Status,
    /// How old the report is.
    pub age: Micros,
}

/// A worker as it is shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// The worker's id.
    pub id: String,
    /// The state that is published to the decision module.
    pub state: WorkerState,
    /// Why it gets new requests or not, as text.
    pub reason: String,
    /// The address at which it listens, if a source gives one.
    pub address: Option<SocketAddr>,
    /// The status that each source reports.
    pub reports: Vec<SourceStatus>,
}

impl Membership {
    /// The views of all workers, in the order of their ids.
    pub fn views(&self, now: Micros) -> Vec<WorkerView> {
        let ids = self.viewed_ids();
        ids.into_iter().map(|id| self.view(now, id)).collect()
    }

    /// The ids of all workers that are published or out of service, in order.
    pub fn viewed_ids(&self) -> BTreeSet<&str> {
        let published = self.published.values().map(|worker| worker.id.as_str());
        let out_of_service = self.out_of_service.iter().map(String::as_str);
        published.chain(out_of_service).collect()
    }

    /// The view of one worker.
    pub fn view(&self, now: Micros, id: &str) -> WorkerView {
        let merged = self.merge_reports(worker_id(id), id);
        let reports = self
            .records(worker_id(id))
            .map(|(source, record)| SourceStatus {
                source: self.sources[source.0].name.clone(),
                status: record.report.status,
                age: now - record.reported_at,
            });
        let in_service_reason = || {
            self.suspicion_text(now, id)
                .unwrap_or_else(|| "in".to_owned())
        };
        let (state, reason) = match &merged {
            None => (WorkerState::Removed, "no source names it".to_owned()),
            Some(MergedReport {
                out_reason: Some(reason),
                ..
            }) => (WorkerState::Draining, reason.to_string()),
            Some(_) => (WorkerState::Ready, in_service_reason()),
        };
        WorkerView {
            id: id.to_owned(),
            state,
            reason,
            address: merged.as_ref().and_then(|merged| merged.address),
            reports: reports.collect(),
        }
    }

    fn suspicion_text(&self, now: Micros, id: &str) -> Option<String> {
        self.records(worker_id(id)).find_map(|(source, record)| {
            let suspicion = record.suspicion.as_ref()?;
            let name = &self.sources[source.0].name;
            let seconds = (now - suspicion.since).0 / 1_000_000;
            Some(if suspicion.is_missing {
                format!("{name} has not named it for {seconds} s; kept while it answers")
            } else {
                format!("no contact with {name} for {seconds} s")
            })
        })
    }
}
