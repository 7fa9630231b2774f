//! Where jobs run: here, or at another site whose catalog fits their manifest; and the jobs that other sites are to
//! run.
//!
//! The rules are those of `marbledeck-federation`; the catalogs are records that the nodes have agreed on.

use crate::records::AgreedRecords;
use marbledeck_consensus::{Record, RecordBody, RecordValidity};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_federation::{check, Catalog, MatchResult, Placement};
use marbledeck_submission::message::{ErrorId, Problem};
use marbledeck_submission::{JobRequest, Template};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Jobs that other sites may have at a time. Each member of an array is one of its own here.
const MAX_JOBS: usize = 16 * 1024;
/// Bytes that the templates of these jobs may take together.
const MAX_TEMPLATE_BYTES: usize = 32 * 1024 * 1024;
/// The first id of a forwarded job: none of the core's is as great.
const FIRST_ID: u64 = 1 << 63;
/// After how many milliseconds a job may be submitted again that could not be placed for now.
const RETRY_AFTER_MS: u64 = 1000;

/// A site whose record is in force.
pub struct Site<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it takes batch submissions.
    pub address: SocketAddr,
    /// What it offers.
    pub catalog: &'a Catalog,
}

/// All sites that the records name.
#[derive(Default)]
pub struct Sites<'a> {
    /// Those whose record is in force.
    pub known: Vec<Site<'a>>,
    /// The names of those whose record may be another by now.
    pub unknown: Vec<&'a str>,
}

impl<'a> Sites<'a> {
    /// The sites by the records as they are known now.
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

    /// The site of this name, if its record is in force.
    pub fn find(&self, name: &str) -> Option<&Site<'a>> {
        self.known.iter().find(|site| site.name == name)
    }
}

/// A job for another site.
pub struct ForwardedJob {
    /// How far forwarding it has come.
    pub placement: Placement,
    /// The job as it is submitted there.
    pub template: Template,
    /// From then on its answer is of no use.
    pub deadline: Micros,
    /// Its id at the site that has it.
    pub remote_id: Option<String>,
    /// When something is to be done about it: its place in the order of the jobs.
    due: Micros,
    /// The number of the query about it that is not answered yet.
    pub open_query: Option<u64>,
    /// Nobody waits for its answer any more.
    pub is_abandoned: bool,
}

/// The jobs that other sites are to run.
#[derive(Default)]
pub struct ForwardedJobs {
    /// This site's name.
    own_site: String,
    jobs: BTreeMap<RequestId, ForwardedJob>,
    due: BTreeSet<(Micros, RequestId)>,
    /// Bytes of the jobs' templates.
    template_bytes: usize,
    /// How many jobs there were.
    forwarded: u64,
}

/// Where a job may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// At this site.
    Here,
    /// At another site.
    Elsewhere,
}

impl ForwardedJobs {
    /// None yet, at the site of this name.
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

    /// Where a job may run by its manifest, with what is known of the sites now.
    ///
    /// # Errors
    /// At no site, with every reason, or it cannot be known now.
    pub fn place(
        &self,
        now: Micros,
        template: &Template,
        records: &AgreedRecords,
    ) -> Result<Destination, Problem> {
        let Some(manifest) = &template.manifest else {
            return Ok(Destination::Here);
        };
        let sites = Sites::read(records, now);
        let own = sites.find(&self.own_site);
        let here = check(manifest, own.map(|site| site.catalog));
        if let Some(forwarded) = &template.forwarded {
            let own_version = own.map(|site| site.catalog.version);
            return place_forwarded(forwarded.catalog, own_version, &here);
        }
        if here == MatchResult::Matches {
            return Ok(Destination::Here);
        }
        let others: Vec<(&str, MatchResult)> = sites
            .known
            .iter()
            .filter(|site| site.name != self.own_site)
            .map(|site| (site.name, check(manifest, Some(site.catalog))))
            .collect();
        if others.iter().any(|(_, fit)| *fit == MatchResult::Matches) {
            if self.has_room(template) {
                return Ok(Destination::Elsewhere);
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
        let own = (self.own_site.as_str(), here);
        let all = [own].into_iter().chain(others);
        let reasons: Vec<String> = all.map(|(name, fit)| format!("{name}: {fit}")).collect();
        Err(Problem::new(
            ErrorId::DeniedByDrms,
            format!("no site fits: {}", reasons.join("; ")),
        ))
    }

    fn has_room(&self, template: &Template) -> bool {
        self.jobs.len() < MAX_JOBS
            && self.template_bytes + template.memory_bytes() <= MAX_TEMPLATE_BYTES
    }

    /// Takes over a job for another site. It gets one final answer.
    pub fn forward(&mut self, now: Micros, order: &JobRequest) -> RequestId {
        let id = RequestId(FIRST_ID + self.forwarded);
        self.forwarded += 1;
        let index = order.index;
        // The job of this index alone, under a key by which the site knows it when it is asked again.
        let mut template = Template {
            remote_command: order.target.clone(),
            job_category: order.class.to_owned(),
            queue_name: None,
            args: None,
            input: None,
            input_base64: None,
            job_name: order.template.name_at(index),
            submission_key: order
                .key
                .clone()
                .or_else(|| Some(format!("{}/{}", self.own_site, order.job_id))),
            deadline_ms: Some(order.time_left.0 / 1000),
            deadline_time: None,
            start_time: None,
            submit_as_hold: false,
            forwarded: None,
            ..order.template.clone()
        };
        template.set_input(order.body.clone());
        self.template_bytes += template.memory_bytes();
        let job = ForwardedJob {
            placement: Placement::default(),
            template,
            deadline: now + order.time_left,
            remote_id: None,
            due: now,
            open_query: None,
            is_abandoned: false,
        };
        self.jobs.insert(id, job);
        self.due.insert((now, id));
        id
    }

    /// When something is next to be done.
    pub fn next_wake(&self) -> Option<Micros> {
        self.due.first().map(|(due, _)| *due)
    }

    /// The first job about which something is to be done by now.
    pub fn first_due(&self, now: Micros) -> Option<RequestId> {
        let (due, id) = self.due.first()?;
        (*due <= now).then_some(*id)
    }

    /// A job.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut ForwardedJob> {
        self.jobs.get_mut(&id)
    }

    /// Something is next to be done about a job at this moment, or at its deadline.
    pub fn schedule(&mut self, id: RequestId, due: Micros) {
        if let Some(job) = self.jobs.get_mut(&id) {
            self.due.remove(&(job.due, id));
            job.due = due.min(job.deadline);
            self.due.insert((job.due, id));
        }
    }

    /// Takes out a job that has ended.
    pub fn remove(&mut self, id: RequestId) -> Option<ForwardedJob> {
        let job = self.jobs.remove(&id)?;
        self.due.remove(&(job.due, id));
        self.template_bytes -= job.template.memory_bytes();
        Some(job)
    }

    /// Whether this is one of these jobs.
    pub fn contains(&self, id: RequestId) -> bool {
        id.0 >= FIRST_ID
    }

    /// Takes a job back, if no site can have it; tells whether it did.
    pub fn recall(&mut self, id: RequestId) -> bool {
        let is_free = self
            .jobs
            .get(&id)
            .is_some_and(|job| !job.placement.may_be_placed());
        if is_free {
            self.remove(id);
        }
        is_free
    }

    /// Nobody waits for the job any more. A site that has it runs it to its end.
    pub fn abandon(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_abandoned = true;
        }
    }
}

/// Whether a job that another site has forwarded may run here. It is checked against the present catalog, and never
/// forwarded once more: two sites would pass it to and fro.
fn place_forwarded(
    checked_version: u64,
    own_version: Option<u64>,
    here: &MatchResult,
) -> Result<Destination, Problem> {
    match (own_version, here) {
        (Some(version), _) if version != checked_version => Err(Problem {
            catalog_version: Some(version),
            ..Problem::new(
                ErrorId::DeniedByDrms,
                format!("the catalog has version {version}"),
            )
        }),
        (_, MatchResult::Matches) => Ok(Destination::Here),
        (_, MatchResult::Unknown) => Err(Problem::try_later(
            "this site's catalog cannot be known now",
            RETRY_AFTER_MS,
        )),
        (_, reasons) => Err(Problem::new(ErrorId::DeniedByDrms, reasons.to_string())),
    }
}
