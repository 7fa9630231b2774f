//! Which site a job is offered to next, and what that site is asked.

use super::answers::Query;
use crate::placement::{ForwardedJob, Sites};
use marbledeck_federation::{check, CandidateSite, MatchResult, PlacementStep};
use marbledeck_submission::message::Operation;
use marbledeck_submission::template::Forwarded;
use marbledeck_submission::Template;
use std::net::SocketAddr;

/// How many milliseconds a site is asked to wait for a job's end: so long after it falls silent it is asked anew.
pub(super) const WAIT_MS: u64 = 2000;

/// What is to be done next about a job.
pub(super) enum NextStep {
    /// A site is to be asked; its address may not be known now.
    Ask {
        address: Option<SocketAddr>,
        op: Box<Operation>,
        query: Query,
    },
    /// Nothing.
    Nothing,
    /// No site takes it.
    Reject(String),
}

/// The job's next step, with what is known of the sites now.
pub(super) fn next_step(job: &mut ForwardedJob, sites: &Sites, own_site: &str) -> NextStep {
    let step = job.placement.next_step(&candidates(job, sites, own_site));
    let site = match &step {
        PlacementStep::Forward { site, .. } => Some(site.as_str()),
        _ => job.placement.accepted_by(),
    };
    // Where the site was when it was asked first may be known no more; then it is asked again once it is.
    let address = site
        .and_then(|site| sites.find(site))
        .map(|site| site.address);
    match (step, &job.remote_id) {
        (
            PlacementStep::Forward {
                catalog_version, ..
            },
            _,
        ) => NextStep::Ask {
            address,
            op: Box::new(submission(&job.template, own_site, catalog_version)),
            query: Query::Submit,
        },
        (PlacementStep::Wait, Some(remote_id)) => NextStep::Ask {
            address,
            op: Box::new(Operation::WaitTerminated {
                job_id: remote_id.clone(),
                timeout_ms: Some(WAIT_MS),
            }),
            query: Query::Wait,
        },
        (PlacementStep::Wait, None) => NextStep::Nothing,
        (PlacementStep::Rejected(reason), _) => NextStep::Reject(reason),
    }
}

/// All other sites, and whether the job fits there.
fn candidates(job: &ForwardedJob, sites: &Sites, own_site: &str) -> Vec<CandidateSite> {
    let manifest = job.template.manifest.clone().unwrap_or_default();
    let known = sites.known.iter().map(|site| CandidateSite {
        name: site.name.to_owned(),
        catalog_version: site.catalog.version,
        result: check(&manifest, Some(site.catalog)),
    });
    let unknown = sites.unknown.iter().map(|name| CandidateSite {
        name: (*name).to_owned(),
        catalog_version: u64::MAX,
        result: MatchResult::Unknown,
    });
    known
        .chain(unknown)
        .filter(|site| site.name != own_site)
        .collect()
}

/// The submission of a job to a site whose catalog has this version.
fn submission(template: &Template, own_site: &str, catalog: u64) -> Operation {
    let forwarded = Forwarded {
        from: own_site.to_owned(),
        catalog,
    };
    Operation::RunJob {
        template: Template {
            forwarded: Some(forwarded),
            ..template.clone()
        },
        notify: false,
        session: None,
    }
}
