//! Jobs that another site is to run: a service that hands them to that site's submission front, one site at a time, and asks
//! it how they end. Which site is `marbledeck-federation`'s to say; the catalogs are records that the fleet has agreed on.

use crate::clock::millis;
use crate::core::Verdict;
use crate::net::{Net, Peer, Ready, Token};
use crate::service::{Agreed, Context, Service};
use marbledeck_consensus::{Record, RecordBody, RecordValidity};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_federation::{check, Catalog, Errand, Fit, Heard, Known, Manifest, Step};
use marbledeck_submission::frame;
use marbledeck_submission::message::{ErrorId, JobInfo, Op, Problem, Request, Submitted};
use marbledeck_submission::template::Forwarded;
use marbledeck_submission::{JobState, Order, Template};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// How long a site may take to say whether it takes a job, and how much longer than its wait a wait may take.
const PATIENCE: Micros = millis(2000);
/// How long a site is waited on for a job's end, at a time: so long after a site falls silent it is asked anew.
const WAIT_MS: u64 = 2000;
/// The pause before a site is asked again that could not be asked, or all sites that had put a job off.
const AGAIN: Micros = millis(250);
/// The longest line of a site, and what is still to be sent before nothing more is written.
const MAX_LINE: usize = 1024 * 1024;
const BACKLOG: usize = 256 * 1024;
/// Jobs looked at in one turn.
const TURN: usize = 64;
/// Jobs that other sites may have at a time, and bytes of their templates: each member of an array has one of its own here.
const MOST: usize = 16 * 1024;
const MOST_BYTES: usize = 32 * 1024 * 1024;
/// Connections to other sites: one for each that is asked, as long as there are no more of them.
pub const MOST_LINKS: usize = 16;
/// The ids of these jobs: none of the core's is as great.
const FIRST: u64 = 1 << 63;

/// A site of the records.
struct Site<'a> {
    name: &'a str,
    address: SocketAddr,
    catalog: &'a Catalog,
}

/// All sites that can be known now, and whether any is named of which that is not so.
fn sites(agreed: &Agreed, now: Micros) -> (Vec<Site<'_>>, Vec<&str>) {
    let (mut known, mut unknown) = (Vec::new(), Vec::new());
    let names = agreed
        .reader
        .iter()
        .flat_map(|reader| reader.record_names().map(move |name| (reader, name)));
    for (reader, record) in names {
        let Some(name) = record.strip_prefix("sites/") else {
            continue;
        };
        match reader.validity(now, record) {
            RecordValidity::Active(Record {
                body: Some(RecordBody::Site(site)),
                ..
            }) => known.push(Site {
                name,
                address: site.address,
                catalog: &site.catalog,
            }),
            RecordValidity::Active(_) | RecordValidity::Unknown => {}
            RecordValidity::Pending | RecordValidity::Unconfirmed { .. } => unknown.push(name),
        }
    }
    (known, unknown)
}

/// A job for another site.
struct Job {
    errand: Errand,
    template: Template,
    until: Micros,
    /// Its id at the site that has it.
    there: Option<String>,
    /// When something is to be done about it: its place in the outbox's order.
    due: Micros,
    /// The question that is out.
    asked: Option<u64>,
    /// Nobody wants its answer any more.
    unwanted: bool,
}

/// What the submission front hands over.
#[derive(Default)]
pub struct Outbox {
    /// This site's name.
    pub own: String,
    jobs: BTreeMap<RequestId, Job>,
    due: BTreeSet<(Micros, RequestId)>,
    /// Bytes of their templates.
    bytes: usize,
    next: u64,
}

/// Where a job may run.
pub enum Where {
    Here,
    Elsewhere,
}

impl Outbox {
    pub fn new(own: String) -> Self {
        Outbox {
            own,
            ..Outbox::default()
        }
    }

    /// Where a job may run by its manifest, with what is known of the sites now.
    ///
    /// # Errors
    /// At no site, with every reason, or it cannot be known now.
    pub fn place(
        &self,
        now: Micros,
        template: &Template,
        agreed: &Agreed,
    ) -> Result<Where, Problem> {
        let Some(manifest) = &template.manifest else {
            return Ok(Where::Here);
        };
        let (known, unknown) = sites(agreed, now);
        let own = known.iter().find(|site| site.name == self.own);
        let here = check(manifest, own.map(|site| site.catalog));
        if let Some(forwarded) = &template.forwarded {
            // Checked against the present catalog, and never sent on: two sites would hand it to and fro.
            let version = own.map(|site| site.catalog.version);
            return match (version, here) {
                (Some(version), _) if version != forwarded.catalog => Err(Problem {
                    catalog_version: Some(version),
                    ..Problem::new(
                        ErrorId::DeniedByDrms,
                        format!("the catalog has version {version}"),
                    )
                }),
                (_, Fit::Fits) => Ok(Where::Here),
                (_, Fit::Unknown) => Err(Problem::later(
                    "this site's catalog cannot be known now",
                    1000,
                )),
                (_, misfits) => Err(Problem::new(ErrorId::DeniedByDrms, misfits.to_string())),
            };
        }
        if here == Fit::Fits {
            return Ok(Where::Here);
        }
        let others: Vec<(&str, Fit)> = known
            .iter()
            .filter(|site| site.name != self.own)
            .map(|site| (site.name, check(manifest, Some(site.catalog))))
            .collect();
        if others.iter().any(|(_, fit)| *fit == Fit::Fits) {
            let room = self.jobs.len() < MOST && self.bytes + template.size() <= MOST_BYTES;
            return match room {
                true => Ok(Where::Elsewhere),
                false => Err(Problem::later("too many jobs are at other sites", 1000)),
            };
        }
        if !unknown.is_empty()
            || agreed
                .reader
                .as_ref()
                .is_none_or(|reader| !reader.has_lease(now))
        {
            return Err(Problem::later("what sites offer cannot be known now", 1000));
        }
        let own = (self.own.as_str(), here);
        let all = [own].into_iter().chain(others);
        let why: Vec<String> = all.map(|(name, fit)| format!("{name}: {fit}")).collect();
        Err(Problem::new(
            ErrorId::DeniedByDrms,
            format!("no site fits: {}", why.join("; ")),
        ))
    }

    /// Takes a job over. It gets one final answer.
    pub fn take_in(&mut self, now: Micros, order: &Order) -> RequestId {
        let id = RequestId(FIRST + self.next);
        self.next += 1;
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
                .or_else(|| Some(format!("{}/{}", self.own, order.txn))),
            deadline_ms: Some(order.time_left.0 / 1000),
            deadline_time: None,
            start_time: None,
            submit_as_hold: false,
            forwarded: None,
            ..order.template.clone()
        };
        template.set_input(order.body.clone());
        self.bytes += template.size();
        let job = Job {
            errand: Errand::default(),
            template,
            until: now + order.time_left,
            there: None,
            due: now,
            asked: None,
            unwanted: false,
        };
        self.jobs.insert(id, job);
        self.due.insert((now, id));
        id
    }

    /// When something is next to be done.
    pub fn next_wake(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    /// From now on something is to be done about a job at this moment, or when its time is over.
    fn schedule(&mut self, id: RequestId, at: Micros) {
        if let Some(job) = self.jobs.get_mut(&id) {
            self.due.remove(&(job.due, id));
            job.due = at.min(job.until);
            self.due.insert((job.due, id));
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.due.remove(&(job.due, id));
        self.bytes -= job.template.size();
        Some(job)
    }

    /// Whether this is one of these jobs.
    pub fn has(&self, id: RequestId) -> bool {
        id.0 >= FIRST
    }

    /// Takes a job back, if no site can have it.
    pub fn recall(&mut self, id: RequestId) -> bool {
        let free = self
            .jobs
            .get(&id)
            .is_some_and(|job| !job.errand.may_be_taken());
        if free {
            self.remove(id);
        }
        free
    }

    /// Nobody waits for it any more. A site that has it runs it to its end.
    pub fn gone(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.unwanted = true;
        }
    }
}

/// What a line that was written asks.
#[derive(Clone, Copy, PartialEq)]
enum Question {
    Run,
    Wait,
}

/// A connection to a site's front.
struct Link {
    addr: SocketAddr,
    open: HashMap<u64, (RequestId, Question, Micros)>,
}

pub struct Sites {
    peer: Peer,
    links: HashMap<Token, Link>,
    /// When an address may be connected to again.
    again: HashMap<SocketAddr, Micros>,
    seq: u64,
}

impl Sites {
    pub fn new(peer: Peer) -> Self {
        Sites {
            peer,
            links: HashMap::new(),
            again: HashMap::new(),
            seq: 0,
        }
    }

    fn link(&mut self, now: Micros, addr: SocketAddr, net: &mut Net) -> Option<Token> {
        if let Some((token, _)) = self.links.iter().find(|(_, link)| link.addr == addr) {
            return Some(*token);
        }
        if self.again.get(&addr).is_some_and(|at| now < *at) {
            return None;
        }
        if self.links.len() >= MOST_LINKS {
            let idle = self.links.iter().find(|(_, link)| link.open.is_empty());
            let token = idle.map(|(token, _)| *token)?;
            net.close(token);
            self.links.remove(&token);
        }
        self.again.retain(|_, at| now < *at);
        self.again.insert(addr, now + AGAIN);
        let token = net.connect(addr, self.peer).ok()?;
        net.widen(token, MAX_LINE + 4096);
        self.links.insert(
            token,
            Link {
                addr,
                open: HashMap::new(),
            },
        );
        Some(token)
    }

    /// A connection is lost: what was asked over it has no answer.
    fn lose(&mut self, now: Micros, token: Token, context: &mut Context) {
        context.net.close(token);
        let Some(link) = self.links.remove(&token) else {
            return;
        };
        self.again.insert(link.addr, now + AGAIN);
        for (id, question, _) in link.open.into_values() {
            self.heard(now, id, question, None, context);
        }
    }

    /// What a site has said to a question, if anything.
    fn heard(
        &mut self,
        now: Micros,
        id: RequestId,
        question: Question,
        line: Option<Value>,
        context: &mut Context,
    ) {
        let Some(outbox) = &mut context.outbox else {
            return;
        };
        outbox.schedule(id, now + AGAIN);
        let Some(job) = outbox.jobs.get_mut(&id) else {
            return;
        };
        job.asked = None;
        let Some(line) = line else {
            if question == Question::Run {
                job.errand.heard(Heard::Lost);
            }
            return;
        };
        match question {
            Question::Run => {
                let said = match serde_json::from_value::<Submitted>(line) {
                    Ok(Submitted::Accepted(accepted)) => {
                        job.there = Some(accepted.job_id);
                        Heard::Accepted
                    }
                    Ok(Submitted::Not(problem)) => match (problem.error, problem.catalog_version) {
                        (ErrorId::TryLater, _) => Heard::Later,
                        (_, Some(version)) => Heard::Outdated(version),
                        _ => Heard::Denied(problem.message),
                    },
                    // What makes no sense may be the answer of one that has the job.
                    Err(_) => Heard::Lost,
                };
                // After one that put it off, all have been asked before there is a pause.
                let lost = said == Heard::Lost;
                job.errand.heard(said);
                if !lost {
                    outbox.schedule(id, now);
                }
            }
            Question::Wait => match serde_json::from_value::<JobInfo>(line["jobInfo"].clone()) {
                Ok(info) if info.job_state.is_final() => {
                    let verdict = match (info.job_state, info.result_bytes()) {
                        (JobState::Done, Some(result)) => Verdict::Served(result),
                        (JobState::Done, None) => Verdict::Served(Vec::new()),
                        _ => Verdict::Failed,
                    };
                    self.end(id, verdict, context);
                }
                Ok(_) => outbox.schedule(id, now),
                Err(_) => match serde_json::from_value::<Problem>(line) {
                    Ok(problem) if problem.error == ErrorId::Timeout => outbox.schedule(id, now),
                    Ok(problem) if problem.error == ErrorId::InvalidArgument => {
                        // It had the job and knows nothing of it: it may have run.
                        log::warn!(
                            "sites: a job that was taken is not known there: {}",
                            problem.message
                        );
                        self.end(id, Verdict::Failed, context);
                    }
                    _ => {}
                },
            },
        }
    }

    fn end(&mut self, id: RequestId, verdict: Verdict, context: &mut Context) {
        let job = context.outbox.as_mut().and_then(|outbox| outbox.remove(id));
        if job.is_some_and(|job| !job.unwanted) {
            context.core.answer_for(id, verdict);
        }
    }

    /// Goes on with a job whose time has come.
    fn go_on(&mut self, now: Micros, id: RequestId, context: &mut Context) {
        let (known, unknown) = sites(&context.agreed, now);
        let Some(outbox) = &mut context.outbox else {
            return;
        };
        let own = outbox.own.clone();
        outbox.schedule(id, now + AGAIN);
        let Some(job) = outbox.jobs.get_mut(&id) else {
            return;
        };
        if now >= job.until || job.unwanted && !job.errand.may_be_taken() {
            // What a site may have may have run.
            let verdict = match job.errand.may_be_taken() {
                true => Verdict::Failed,
                false => Verdict::Rejected(Some(AGAIN)),
            };
            return self.end(id, verdict, context);
        }
        if job.asked.is_some() {
            return;
        }
        let manifest = job.template.manifest.clone().unwrap_or_default();
        let mut others: Vec<Known> = known
            .iter()
            .filter(|site| site.name != own)
            .map(|site| Known {
                name: site.name.to_owned(),
                version: site.catalog.version,
                fit: fit(&manifest, site),
            })
            .collect();
        let cut_off = |name: &&str| Known {
            name: (*name).to_owned(),
            version: u64::MAX,
            fit: Fit::Unknown,
        };
        others.extend(unknown.iter().filter(|name| **name != own).map(cut_off));
        let step = job.errand.next(&others);
        let at = match &step {
            Step::Ask { site, .. } => Some(site.as_str()),
            _ => job.errand.taken_by(),
        };
        // Where the site was when it was asked first may be known no more; then it is asked again once it is.
        let address = at
            .and_then(|at| known.iter().find(|site| site.name == at))
            .map(|site| site.address);
        let (op, question) = match (step, &job.there) {
            (Step::Ask { version, .. }, _) => {
                let forwarded = Some(Forwarded {
                    from: own,
                    catalog: version,
                });
                let template = Template {
                    forwarded,
                    ..job.template.clone()
                };
                (
                    Op::RunJob {
                        template,
                        notify: false,
                        session: None,
                    },
                    Question::Run,
                )
            }
            (Step::Wait, Some(there)) => {
                let job_id = there.clone();
                (
                    Op::WaitTerminated {
                        job_id,
                        timeout_ms: Some(WAIT_MS),
                    },
                    Question::Wait,
                )
            }
            (Step::Wait, None) => return,
            (Step::Refused(why), _) => {
                log::info!("sites: no site takes a job: {why}");
                return self.end(id, Verdict::Rejected(Some(AGAIN)), context);
            }
        };
        let Some(address) = address else {
            return;
        };
        let Some(token) = self.link(now, address, &mut context.net) else {
            return;
        };
        if !context.net.has_room(token, BACKLOG) {
            return;
        }
        self.seq += 1;
        let request = Request {
            seq: Value::from(self.seq),
            op,
        };
        if !context.net.write(token, &frame::line(&request)) {
            return self.lose(now, token, context);
        }
        let until = match question {
            Question::Run => now + PATIENCE,
            Question::Wait => now + millis(WAIT_MS) + PATIENCE,
        };
        if let Some(link) = self.links.get_mut(&token) {
            link.open.insert(self.seq, (id, question, until));
        }
        if let Some(outbox) = &mut context.outbox {
            // Until there is an answer, or none can be any more.
            outbox.schedule(id, Micros(u64::MAX));
            if let Some(job) = outbox.jobs.get_mut(&id) {
                job.asked = Some(self.seq);
            }
        }
    }
}

fn fit(manifest: &Manifest, site: &Site) -> Fit {
    check(manifest, Some(site.catalog))
}

impl Service for Sites {
    fn name(&self) -> &'static str {
        "sites"
    }

    fn ready(&mut self, now: Micros, event: Ready, context: &mut Context) {
        loop {
            let (Some(link), Some(conn)) = (
                self.links.get_mut(&event.token),
                context.net.get(event.token),
            ) else {
                return context.net.close(event.token);
            };
            let (full, over) = (conn.input.is_full(), conn.eof || conn.broken);
            let held = conn.input.all();
            let line = match frame::next(held, MAX_LINE, full) {
                Ok(Some(length)) => {
                    let line = serde_json::from_slice::<Value>(&held[..length]);
                    conn.input.consume(length + 1);
                    line
                }
                Ok(None) if over => return self.lose(now, event.token, context),
                Ok(None) => return,
                Err(_) => return self.lose(now, event.token, context),
            };
            context.net.touch(event.token);
            let Ok(line) = line else {
                log::warn!("sites: a line that makes no sense");
                return self.lose(now, event.token, context);
            };
            let asked = line["seq"].as_u64().and_then(|seq| link.open.remove(&seq));
            if let Some((id, question, _)) = asked {
                self.heard(now, id, question, Some(line), context);
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let open = self.links.values().flat_map(|link| link.open.values());
        open.map(|(_, _, until)| *until).min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        let silent = |link: &Link| link.open.values().any(|(_, _, until)| *until <= now);
        let silent: Vec<Token> = self
            .links
            .iter()
            .filter(|(_, link)| silent(link))
            .map(|(t, _)| *t)
            .collect();
        for token in silent {
            log::warn!("sites: a site says nothing; it is asked again over another connection");
            self.lose(now, token, context);
        }
    }

    fn settled(&mut self, now: Micros, context: &mut Context) {
        for _ in 0..TURN {
            let due = context
                .outbox
                .as_ref()
                .and_then(|outbox| outbox.due.first().copied());
            let Some((_, id)) = due.filter(|(at, _)| *at <= now) else {
                return;
            };
            self.go_on(now, id, context);
        }
    }
}
