//! Decides whether a job runs at this site or at another one, by its manifest and the sites' catalogs, and holds the
//! jobs that are forwarded to other sites.
//!
//! `marbledeck-federation` has the rules. The catalogs are records that the nodes have agreed on.

use crate::records::AgreedRecords;
use marbledeck_consensus::{Record, RecordBody, RecordValidity};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_federation::{check, Catalog, MatchResult, Placement};
use marbledeck_submission::message::{ErrorId, Problem};
use marbledeck_submission::{JobRequest, Template};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The most jobs that may be forwarded at a time. Each member of a job array counts as one.
const MAX_JOBS: usize = 16 * 1024;
/// The most memory that the templates of these jobs may use in total, in bytes.
const MAX_TEMPLATE_BYTES: usize = 32 * 1024 * 1024;
/// The first id of a forwarded job. The core's own ids are lower.
const FIRST_ID: u64 = 1 << 63;
/// When a submitter is told to retry a job that cannot be placed now, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// A site whose record is active.
pub struct Site<'a> {
    /// Its name.
    pub name: &'a str,
    /// The address on which it accepts batch submissions.
    pub address: SocketAddr,
    /// What it offers.
    pub catalog: &'a Catalog,
}

/// All sites in the records.
#[derive(Default)]
pub struct Sites<'a> {
    /// The sites whose record is active.
    pub known: Vec<Site<'a>>,
    /// The names of the sites whose record may have changed since this node read it.
    pub unknown: Vec<&'a str>,
}

impl<'a> Sites<'a> {
    /// Reads the sites from the records as this node knows them now.
    pub fn read(records: &'a AgreedRecords, now: Micros) -> Self {
        let mut sites = Sites::default();
        let Some(reader) = &records.reader else {
            return sites;
        };
        for record in reader.record_names() {
            let Some(name) = record.strip_prefix("sites/") else {
                continue;
            };
            match reader.validity(now, record) {
                RecordValidity::Active(Record {
                    body: Some(RecordBody::Site(site)),
                    ..
                }) => sites.known.push(Site {
                    name,
                    address: site.address,
                    catalog: &site.catalog,
                }),
                RecordValidity::Active(_) | RecordValidity::Unknown => {}
                RecordValidity::Pending | RecordValidity::Unconfirmed { .. } => {
                    sites.unknown.push(name);
                }
            }
        }
        sites
    }

    /// The site of this name, if its record is active.
    pub fn find(&self, name: &str) -> Option<&Site<'a>> {
        self.known.iter().find(|site| site.name == name)
    }
}

/// A job that is forwarded to another site.
pub struct ForwardedJob {
    /// The state of forwarding it.
    pub placement: Placement,
    /// The template that is submitted to the other site.
    pub template: Template,
    /// When the submitter no longer needs an answer.
    pub deadline: Micros,
    /// Its id at the site that has accepted it.
    pub remote_id: Option<String>,
    /// When its next step is due, by which the jobs are ordered.
    due: Micros,
    /// The number of the query about it that was not answered yet.
    pub pending_query: Option<u64>,
    /// Whether nobody waits for its answer any more.
    pub is_abandoned: bool,
}

/// The jobs that are forwarded to other sites.
#[derive(Default)]
pub struct ForwardedJobs {
    /// This site's name.
    own_site: String,
    jobs: BTreeMap<RequestId, ForwardedJob>,
    due: BTreeSet<(Micros, RequestId)>,
    /// The memory that the jobs' templates use, in bytes.
    template_bytes: usize,
    /// Number of jobs forwarded so far, from which ids are assigned.
    forwarded_count: u64,
}

/// Where a job may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// At this site.
    Local,
    /// At another site.
    Remote,
}

impl ForwardedJobs {
    /// No jobs, at the site of this name.
    pub fn new(own_site: String) -> Self {
        ForwardedJobs {
            own_site,
            ..ForwardedJobs::default()
        }
    }

    /// This site's name.
    pub fn own_site(&self) -> &str {
        &self.own_site
    }

    /// Decides where a job may run, by its manifest and the catalogs that are known now. A job without a manifest runs here.
    ///
    /// # Errors
    /// No site can run the job, with every reason; or another site may, but no more jobs can be forwarded or the catalogs
    /// are not known now.
    pub fn place(
        &self,
        now: Micros,
        template: &Template,
        records: &AgreedRecords,
    ) -> Result<Destination, Problem> {
        let Some(manifest) = &template.manifest else {
            return Ok(Destination::Local);
        };
        let sites = Sites::read(records, now);
        let own = sites.find(&self.own_site);
        let local_result = check(manifest, own.map(|site| site.catalog));
        if let Some(forwarded) = &template.forwarded {
            let own_version = own.map(|site| site.catalog.version);
            return place_forwarded(forwarded.catalog, own_version, &local_result);
        }
        if local_result == MatchResult::Matches {
            return Ok(Destination::Local);
        }
        let others: Vec<(&str, MatchResult)> = sites
            .known
            .iter()
            .filter(|site| site.name != self.own_site)
            .map(|site| (site.name, check(manifest, Some(site.catalog))))
            .collect();
        if others
            .iter()
            .any(|(_, result)| *result == MatchResult::Matches)
        {
            if self.has_room(template) {
                return Ok(Destination::Remote);
            }
            let problem = Problem::try_later("too many jobs are at other sites", RETRY_AFTER_MS);
            return Err(problem);
        }
        let reader = records.reader.as_ref();
        let is_reading_valid = reader.is_some_and(|reader| reader.has_lease(now));
        if !sites.unknown.is_empty() || !is_reading_valid {
            let problem =
                Problem::try_later("what sites offer cannot be known now", RETRY_AFTER_MS);
            return Err(problem);
        }
        let own = (self.own_site.as_str(), local_result);
        let all = [own].into_iter().chain(others);
        let reasons: Vec<String> = all
            .map(|(name, result)| format!("{name}: {result}"))
            .collect();
        Err(Problem::new(
            ErrorId::DeniedByDrms,
            format!("no site fits: {}", reasons.join("; ")),
        ))
    }

    fn has_room(&self, template: &Template) -> bool {
        self.jobs.len() < MAX_JOBS
            && self.template_bytes + template.memory_bytes() <= MAX_TEMPLATE_BYTES
    }

    /// Adds a job to be forwarded. It gets exactly one final answer.
    pub fn forward(&mut self, now: Micros, request: &JobRequest) -> RequestId {
        let id = RequestId(FIRST_ID + self.forwarded_count);
        self.forwarded_count += 1;
        let index = request.index;
        // Only the job of this index, under a submission key by which the site recognises a repeated submission.
        let mut template = Template {
            remote_command: request.target.clone(),
            job_category: request.class.to_owned(),
            queue_name: None,
            args: None,
            input: None,
            input_base64: None,
            job_name: request.template.name_at(index),
            submission_key: request
                .key
                .clone()
                .or_else(|| Some(format!("{}/{}", self.own_site, request.job_id))),
            deadline_ms: Some(request.time_left.0 / 1000),
            deadline_time: None,
            start_time: None,
            submit_as_hold: false,
            forwarded: None,
            ..request.template.clone()
        };
        template.set_input(request.body.clone());
        self.template_bytes += template.memory_bytes();
        let job = ForwardedJob {
            placement: Placement::default(),
            template,
            deadline: now + request.time_left,
            remote_id: None,
            due: now,
            pending_query: None,
            is_abandoned: false,
        };
        self.jobs.insert(id, job);
        self.due.insert((now, id));
        id
    }

    /// When the next step of any job is due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.due.first().map(|(due, _)| *due)
    }

    /// The first job whose next step is due.
    pub fn first_due(&self, now: Micros) -> Option<RequestId> {
        let (due, id) = self.due.first()?;
        (*due <= now).then_some(*id)
    }

    /// The forwarded job of this id.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut ForwardedJob> {
        self.jobs.get_mut(&id)
    }

    /// Schedules the next step of a job for this time, but no later than its deadline.
    pub fn schedule(&mut self, id: RequestId, due: Micros) {
        if let Some(job) = self.jobs.get_mut(&id) {
            self.due.remove(&(job.due, id));
            job.due = due.min(job.deadline);
            self.due.insert((job.due, id));
        }
    }

    /// Removes a job that has ended.
    pub fn remove(&mut self, id: RequestId) -> Option<ForwardedJob> {
        let job = self.jobs.remove(&id)?;
        self.due.remove(&(job.due, id));
        self.template_bytes -= job.template.memory_bytes();
        Some(job)
    }

    /// Whether this is the id of a forwarded job.
    pub fn contains(&self, id: RequestId) -> bool {
        id.0 >= FIRST_ID
    }

    /// Removes a job, unless a site may have it. Returns whether it was removed.
    pub fn recall(&mut self, id: RequestId) -> bool {
        let is_unplaced = self
            .jobs
            .get(&id)
            .is_some_and(|job| !job.placement.may_be_placed());
        if is_unplaced {
            self.remove(id);
        }
        is_unplaced
    }

    /// Marks a job as abandoned: nobody waits for it any more. A site that has accepted it still runs it to its end.
    pub fn abandon(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_abandoned = true;
        }
    }
}

/// Whether a job that another site has forwarded may run here, by the current catalog. It is never forwarded again, or two
/// sites could pass it back and forth.
fn place_forwarded(
    checked_version: u64,
    own_version: Option<u64>,
    local_result: &MatchResult,
) -> Result<Destination, Problem> {
    match (own_version, local_result) {
        (Some(version), _) if version != checked_version => Err(Problem {
            catalog_version: Some(version),
            ..Problem::new(
                ErrorId::DeniedByDrms,
                format!("the catalog has version {version}"),
            )
        }),
        (_, MatchResult::Matches) => Ok(Destination::Local),
        (_, MatchResult::Unknown) => Err(Problem::try_later(
            "this site's catalog cannot be known now",
            RETRY_AFTER_MS,
        )),
        (_, reasons) => Err(Problem::new(ErrorId::DeniedByDrms, reasons.to_string())),
    }
}
