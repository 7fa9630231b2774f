//! Decides the next step for a forwarded job: which site to ask, and the request to send.

use super::answers::Query;
use crate::placement::{ForwardedJob, Sites};
use marbledeck_federation::{check, CandidateSite, MatchResult, PlacementStep};
use marbledeck_submission::message::Operation;
use marbledeck_submission::template::Forwarded;
use marbledeck_submission::Template;
use std::net::SocketAddr;

/// How long a site is asked to wait for a job's end, in milliseconds. A site that stops answering is asked again after
/// that and the answer timeout.
pub(super) const WAIT_MS: u64 = 2000;

/// The next step for a job.
pub(super) enum NextStep {
    /// Send this request to a site. `address` is `None` while the site's address is not known.
    Ask {
        address: Option<SocketAddr>,
        op: Box<Operation>,
        query: Query,
    },
    /// Wait: no site can be asked now.
    Wait,
    /// Reject the job, since no site accepts it.
    Reject(String),
}

/// The job's next step, given what is known of the sites now.
pub(super) fn next_step(job: &mut ForwardedJob, sites: &Sites, own_site: &str) -> NextStep {
    let step = job.placement.next_step(&candidates(job, sites, own_site));
    let site = match &step {
        PlacementStep::Forward { site, .. } => Some(site.as_str()),
        _ => job.placement.accepted_by(),
    };
    // The address may be unknown by now. The site is then asked again once its record is active.
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
        (PlacementStep::Wait, None) => NextStep::Wait,
        (PlacementStep::Rejected(reason), _) => NextStep::Reject(reason),
    }
}

/// All other sites, with the result of matching the job against their catalogs.
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

/// The request that submits a job to a site. `catalog` is the version of the site's catalog that the job was checked
/// against.
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
