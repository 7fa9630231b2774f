//! What operators are shown of the workers.

use crate::precedence::MergedReport;
use crate::{Membership, Status};
use marbledeck_dispatcher::{Micros, WorkerState};
use marbledeck_platform_settings::worker_id;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What one source reports of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceStatus {
    /// The source's name.
    pub source: String,
    /// Its report.
    pub status: Status,
    /// How old the report is.
    pub age: Micros,
}

/// What an operator is shown of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// Its id.
    pub id: String,
    /// What was published to the decision module.
    pub state: WorkerState,
    /// Why it is in or out, in words.
    pub reason: String,
    /// Where it listens, if any source knows.
    pub address: Option<SocketAddr>,
    /// Each source's report.
    pub reports: Vec<SourceStatus>,
}

impl Membership {
    /// What operators are shown: each worker, which source reports what, and why it is in or out.
    pub fn views(&self, now: Micros) -> Vec<WorkerView> {
        let ids = self.viewed_ids();
        ids.into_iter().map(|id| self.view(now, id)).collect()
    }

    /// The ids of all workers that operators are shown, in order.
    pub fn viewed_ids(&self) -> BTreeSet<&str> {
        let published = self.published.values().map(|worker| worker.id.as_str());
        let out_of_service = self.out_of_service.iter().map(String::as_str);
        published.chain(out_of_service).collect()
    }

    /// What operators are shown of one worker.
    pub fn view(&self, now: Micros, id: &str) -> WorkerView {
        let merged = self.merged(worker_id(id), id);
        let reports = self
            .records(worker_id(id))
            .map(|(source, record)| SourceStatus {
                source: self.sources[source.0].name.clone(),
                status: record.report.status,
                age: now - record.reported_at,
            });
        let in_service = || {
            self.suspicion_text(now, id)
                .unwrap_or_else(|| "in".to_owned())
        };
        let (state, reason) = match &merged {
            None => (WorkerState::Removed, "no source names it".to_owned()),
            Some(MergedReport {
                out_reason: Some(reason),
                ..
            }) => (WorkerState::Draining, reason.to_string()),
            Some(_) => (WorkerState::Ready, in_service()),
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
                format!("{name} has said nothing for {seconds} s")
            })
        })
    }
}
