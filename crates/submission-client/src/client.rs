//! The client: what to ask, what to do when the answer is lost, and when to ask again.

use crate::link::{locked, Link, OnEvent};
use crate::{Backoff, Error};
use marbledeck_submission::message::*;
use marbledeck_submission::template::PARAMETRIC_INDEX;
use marbledeck_submission::Template;
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a client is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the node's front listens: a name or an address, and a port.
    pub contact: String,
    /// How long to go on trying where no connection comes up or each one is lost.
    pub patience: Duration,
    /// How long to go on handing in a job that the node refuses for now.
    pub resubmit: Duration,
    /// How long an answer may take that is no wait.
    pub answer: Duration,
}

impl Settings {
    /// The usual ones, for a node at this address.
    pub fn at(contact: impl Into<String>) -> Self {
        Settings {
            contact: contact.into(),
            patience: Duration::from_secs(15),
            resubmit: Duration::from_secs(60),
            answer: Duration::from_secs(30),
        }
    }
}

/// Jobs that were handed in together.
#[derive(Clone, Debug, Default)]
pub struct Bulk {
    /// The arrays that they are members of: one, or more where some had to be handed in again.
    pub arrays: Vec<String>,
    /// What became of each index, in order.
    pub jobs: Vec<(i64, Result<Accepted, Problem>)>,
}

/// A session that this client has open, and the last event of it that came.
struct OpenSession {
    name: String,
    seen: Arc<AtomicU64>,
}

/// A client. It can be used from many threads at once.
pub struct Client {
    settings: Settings,
    link: Mutex<Option<Arc<Link>>>,
    session: Mutex<Option<OpenSession>>,
    on_event: Option<Arc<dyn Fn(Event) + Send + Sync>>,
    /// Nothing more is tried.
    closed: AtomicBool,
}

#[derive(Deserialize)]
struct Opened {
    #[serde(rename = "lastEvent")]
    last_event: u64,
}

impl Client {
    /// A client that connects when it is first asked for something.
    pub fn new(settings: Settings) -> Self {
        Client {
            settings,
            link: Mutex::new(None),
            session: Mutex::new(None),
            on_event: None,
            closed: AtomicBool::new(false),
        }
    }

    /// The same, and `on_event` takes the events of the open session. It is called on a thread of the connection's
    /// and must not ask this client for anything.
    pub fn with_events(settings: Settings, on_event: OnEvent) -> Self {
        Client {
            on_event: Some(Arc::from(on_event)),
            ..Client::new(settings)
        }
    }

    /// Where the node is.
    pub fn contact(&self) -> &str {
        &self.settings.contact
    }

    /// Ends the connection and whatever is being waited for.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(link) = locked(&self.link).take() {
            link.close();
        }
    }

    fn link(&self) -> io::Result<Arc<Link>> {
        let mut held = locked(&self.link);
        if self.closed.load(Ordering::SeqCst) {
            return Err(io::Error::new(io::ErrorKind::NotConnected, "closed"));
        }
        if let Some(link) = held.as_ref().filter(|link| !link.is_lost()) {
            return Ok(link.clone());
        }
        *held = None;
        let session = locked(&self.session)
            .as_ref()
            .map(|s| (s.name.clone(), s.seen.clone()));
        let seen = session.as_ref().map(|(_, seen)| seen.clone());
        let tell = self.on_event.clone();
        let on_event: OnEvent = Box::new(move |event: Event| {
            let number = match &event {
                Event::NewState { number, .. } => *number,
                Event::Gap { to, .. } => Some(*to),
            };
            match (number, &seen) {
                (Some(number), Some(seen)) => drop(seen.fetch_max(number, Ordering::SeqCst)),
                // Of the connection over which the session was opened: the one that takes its place tells it anew.
                (Some(_), None) => return,
                (None, _) => {}
            }
            if let Some(tell) = &tell {
                tell(event);
            }
        });
        let patience = self.settings.patience.min(Duration::from_secs(5));
        let link = Arc::new(Link::connect(
            &self.settings.contact,
            patience,
            Some(on_event),
        )?);
        if let Some((name, seen)) = session {
            // On the new connection the events go on where those of the old one ended.
            let since = Some(seen.load(Ordering::SeqCst));
            let reopened = self.ask_over::<Opened>(
                &link,
                Operation::OpenSession {
                    name: name.clone(),
                    since,
                },
            );
            if let Err(Error::Problem(_)) = &reopened {
                // Another life of the node: the session is made anew, and its events are counted anew.
                seen.store(0, Ordering::SeqCst);
                let op = Operation::CreateSession { name: name.clone() };
                if self.ask_over::<Value>(&link, op).is_err() {
                    let _ = self.ask_over::<Value>(
                        &link,
                        Operation::OpenSession {
                            name,
                            since: Some(0),
                        },
                    );
                }
            }
        }
        *held = Some(link.clone());
        Ok(link)
    }

    fn ask_over<T: DeserializeOwned>(&self, link: &Link, op: Operation) -> Result<T, Error> {
        let answer = link.send(op).map_err(Error::Lost)?;
        match answer.recv_timeout(self.settings.answer) {
            Ok(value) => read(value),
            Err(RecvTimeoutError::Disconnected) => Err(lost()),
            Err(RecvTimeoutError::Timeout) => {
                // A node that says nothing for so long is as good as lost.
                link.close();
                Err(Error::Lost(io::ErrorKind::TimedOut.into()))
            }
        }
    }

    /// Asks until there is an answer, over as many connections as it takes. What is asked twice must come to the
    /// same as if it were asked once.
    fn ask<T: DeserializeOwned>(&self, op: Operation) -> Result<T, Error> {
        self.lines(op, None)
            .and_then(|mut lines| match lines.pop() {
                Some(line) if lines.is_empty() => read(line),
                _ => Err(Error::Garbled("more than one line".to_owned())),
            })
    }

    /// All lines of an answer. A wait may take until then; anything else as long as the settings say.
    fn lines(&self, op: Operation, until: Option<Option<Instant>>) -> Result<Vec<Value>, Error> {
        let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(2));
        let mut since = Instant::now();
        loop {
            let before = Instant::now();
            let failed = match self.link() {
                Ok(link) => match self.lines_over(&link, op.clone(), until) {
                    Ok(lines) => return Ok(lines),
                    Err(Error::Lost(e)) => e,
                    Err(e) => return Err(e),
                },
                Err(e) => e,
            };
            if self.closed.load(Ordering::SeqCst) {
                return Err(Error::Lost(failed));
            }
            // A connection that held for a while starts the patience anew.
            if before.elapsed() > self.settings.patience {
                since = Instant::now();
                backoff.reset();
            }
            let wait = backoff.next(None);
            if since.elapsed() + wait > self.settings.patience {
                return Err(Error::Lost(failed));
            }
            std::thread::sleep(wait);
        }
    }

    fn lines_over(
        &self,
        link: &Link,
        op: Operation,
        until: Option<Option<Instant>>,
    ) -> Result<Vec<Value>, Error> {
        let answer = link.send(op).map_err(Error::Lost)?;
        let mut lines = Vec::new();
        loop {
            let next = match until {
                Some(None) => answer.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(Some(until)) => {
                    // The node says when the time is up; a little more is for its answer to come.
                    let left = until.saturating_duration_since(Instant::now());
                    answer.recv_timeout(left + self.settings.answer)
                }
                None => answer.recv_timeout(self.settings.answer),
            };
            let line = match next {
                Ok(line) => line,
                Err(RecvTimeoutError::Disconnected) => return Err(lost()),
                Err(RecvTimeoutError::Timeout) => {
                    link.close();
                    return Err(Error::Lost(io::ErrorKind::TimedOut.into()));
                }
            };
            let more = line.get("more").and_then(Value::as_bool) == Some(true);
            lines.push(line);
            if !more {
                return Ok(lines);
            }
        }
    }

    /// Hands in a job. Where the template has no submission key, it gets one, so that it runs once however often it
    /// has to be said.
    ///
    /// # Errors
    /// A refusal that lasted for longer than the settings are patient, or one that another try does not change.
    pub fn run(&self, template: Template, session: Option<&str>) -> Result<Accepted, Error> {
        let op = Operation::RunJob {
            template: keyed(template, false),
            notify: false,
            session: session.map(str::to_owned),
        };
        let until = Instant::now() + self.settings.resubmit;
        let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));
        loop {
            match self.ask(op.clone()) {
                Err(Error::Problem(problem)) if problem.error == ErrorId::TryLater => {
                    let asked = problem.retry_after_ms.map(Duration::from_millis);
                    let wait = backoff.next(asked);
                    if Instant::now() + wait > until {
                        return Err(Error::Problem(problem));
                    }
                    std::thread::sleep(wait);
                }
                told => return told,
            }
        }
    }

    /// Hands in a job for each index from `begin` to `end`. `${PARAMETRIC_INDEX}` in the template stands for the index.
    /// Indices that the node refuses for now are handed in again for as long as the settings say; what then is still
    /// refused is told with each index.
    ///
    /// # Errors
    /// The node could not be asked, or the template or the indices make no sense.
    pub fn run_bulk(
        &self,
        template: Template,
        (begin, end, step): (i64, i64, i64),
        max_parallel: Option<u32>,
        session: Option<&str>,
    ) -> Result<Bulk, Error> {
        let template = keyed(template, true);
        let until = Instant::now() + self.settings.resubmit;
        let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));
        let mut bulk = Bulk::default();
        let mut left = vec![(begin, end)];
        while !left.is_empty() {
            let (mut again, mut asked) = (Vec::new(), Duration::ZERO);
            for (begin, end) in std::mem::take(&mut left) {
                let op = Operation::RunBulkJobs {
                    template: template.clone(),
                    begin_index: begin,
                    end_index: end,
                    step,
                    max_parallel,
                    notify: false,
                    session: session.map(str::to_owned),
                };
                for line in self.lines(op, None)? {
                    let answer: BulkAnswer = read(line)?;
                    if bulk.arrays.last() != Some(&answer.job_array_id) {
                        bulk.arrays.push(answer.job_array_id);
                    }
                    for BulkJobAnswer { index, submitted } in answer.jobs {
                        match submitted {
                            Submitted::Rejected(p) if p.error == ErrorId::TryLater => {
                                asked =
                                    asked.max(Duration::from_millis(p.retry_after_ms.unwrap_or(0)));
                                again.push((index, p));
                            }
                            Submitted::Rejected(p) => bulk.jobs.push((index, Err(p))),
                            Submitted::Accepted(job) => bulk.jobs.push((index, Ok(job))),
                        }
                    }
                }
            }
            if again.is_empty() {
                break;
            }
            let wait = backoff.next(Some(asked));
            if Instant::now() + wait > until {
                bulk.jobs
                    .extend(again.into_iter().map(|(index, p)| (index, Err(p))));
                break;
            }
            std::thread::sleep(wait);
            left = ranges(again.iter().map(|(index, _)| *index), step);
        }
        bulk.jobs.sort_by_key(|(index, _)| *index);
        if step < 0 {
            bulk.jobs.reverse();
        }
        Ok(bulk)
    }

    /// What is known of a job.
    ///
    /// # Errors
    /// `INVALID_ARGUMENT` where it is not known.
    pub fn info(&self, job: &str) -> Result<JobInfo, Error> {
        let job_id = job.to_owned();
        self.ask(Operation::GetJobInfo { job_id })
            .map(|one: JobInfoAnswer| one.job_info)
    }

    /// What is known of an array.
    ///
    /// # Errors
    /// `INVALID_ARGUMENT` where it is not known.
    pub fn array(&self, id: &str) -> Result<ArrayInfo, Error> {
        #[derive(Deserialize)]
        #[serde(rename_all = "camelCase")]
        struct One {
            job_array: ArrayInfo,
        }
        let job_array_id = id.to_owned();
        self.ask(Operation::GetJobArray { job_array_id })
            .map(|one: One| one.job_array)
    }

    fn wait(
        &self,
        timeout: Option<Duration>,
        op: impl Fn(Option<u64>) -> Operation,
    ) -> Result<JobInfo, Error> {
        let until = timeout.map(|timeout| Instant::now() + timeout);
        let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(2));
        let mut since = Instant::now();
        loop {
            // Over a new connection the wait goes on with the time that is left.
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            let before = Instant::now();
            let ms = left.map(|left| left.as_millis() as u64);
            let failed = match self.link() {
                Ok(link) => match self.lines_over(&link, op(ms), Some(until)) {
                    Ok(mut lines) => {
                        let line = lines.pop().unwrap_or_default();
                        match read::<JobInfoAnswer>(line) {
                            // Too many waits at once: asked again.
                            Err(e) if e.is(ErrorId::TryLater) => io::ErrorKind::WouldBlock.into(),
                            told => return told.map(|one| one.job_info),
                        }
                    }
                    Err(Error::Lost(e)) => e,
                    Err(e) => return Err(e),
                },
                Err(e) => e,
            };
            if self.closed.load(Ordering::SeqCst) {
                return Err(Error::Lost(failed));
            }
            if before.elapsed() > self.settings.patience {
                since = Instant::now();
                backoff.reset();
            }
            let pause = backoff.next(None);
            if until.is_some_and(|until| Instant::now() >= until) {
                return Err(Error::Problem(Problem::new(
                    ErrorId::Timeout,
                    "the job goes on",
                )));
            }
            if since.elapsed() + pause > self.settings.patience {
                return Err(Error::Lost(failed));
            }
            std::thread::sleep(pause);
        }
    }

    /// Waits until a job has ended.
    ///
    /// # Errors
    /// `TIMEOUT` where that took longer; the job goes on.
    pub fn wait_terminated(&self, job: &str, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        self.wait(timeout, |timeout_ms| Operation::WaitTerminated {
            job_id: job.to_owned(),
            timeout_ms,
        })
    }

    /// Waits until a job runs or has ended.
    ///
    /// # Errors
    /// `TIMEOUT` where that took longer; the job goes on.
    pub fn wait_started(&self, job: &str, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        self.wait(timeout, |timeout_ms| Operation::WaitStarted {
            job_id: job.to_owned(),
            timeout_ms,
        })
    }

    /// Waits until any of these has ended, or with `started` runs.
    ///
    /// # Errors
    /// `TIMEOUT` where that took longer; the jobs go on.
    pub fn wait_any(
        &self,
        of: &Targets,
        started: bool,
        timeout: Option<Duration>,
    ) -> Result<JobInfo, Error> {
        self.wait(timeout, |timeout_ms| {
            let of = of.clone();
            match started {
                true => Operation::WaitAnyStarted {
                    targets: of,
                    timeout_ms,
                },
                false => Operation::WaitAnyTerminated {
                    targets: of,
                    timeout_ms,
                },
            }
        })
    }

    /// Terminates, holds, releases or reaps: `op` says which. Tells how many jobs have changed, and how many would not.
    ///
    /// # Errors
    /// What the node says where none of them would.
    pub fn control(&self, op: Operation) -> Result<(usize, usize), Error> {
        #[derive(Deserialize)]
        struct Many {
            changed: Option<usize>,
            refused: Option<usize>,
        }
        let many: Many = self.ask(op)?;
        Ok((many.changed.unwrap_or(1), many.refused.unwrap_or(0)))
    }

    /// All jobs that a filter names, page by page; `each` is told of every one.
    ///
    /// # Errors
    /// The node could not be asked, or the session is not known.
    pub fn list(
        &self,
        session: Option<&str>,
        filter: &Filter,
        mut each: impl FnMut(JobInfo),
    ) -> Result<(), Error> {
        let mut after = None;
        loop {
            let op = Operation::ListJobs {
                session: session.map(str::to_owned),
                filter: filter.clone(),
                limit: Some(256),
                after,
            };
            let page: JobPage = self.ask(op)?;
            page.jobs.into_iter().for_each(&mut each);
            after = page.next;
            if after.is_none() {
                return Ok(());
            }
        }
    }

    /// Creates a session, or opens it where it exists, and keeps it open over lost connections. Events come from
    /// after `since` on, or from now on. Tells the number of the last event.
    ///
    /// # Errors
    /// `INVALID_ARGUMENT` where `since` is beyond the last event.
    pub fn open_session(&self, name: &str, create: bool, since: Option<u64>) -> Result<u64, Error> {
        let name = name.to_owned();
        let opened = match create {
            true => match self.ask::<Opened>(Operation::CreateSession { name: name.clone() }) {
                // It is there, perhaps because the answer to an earlier try was lost.
                Err(e) if e.is(ErrorId::InvalidArgument) => self.ask(Operation::OpenSession {
                    name: name.clone(),
                    since,
                }),
                told => told,
            },
            false => self.ask(Operation::OpenSession {
                name: name.clone(),
                since,
            }),
        }?;
        let seen = Arc::new(AtomicU64::new(since.unwrap_or(opened.last_event)));
        *locked(&self.session) = Some(OpenSession {
            name: name.clone(),
            seen,
        });
        if self.on_event.is_some() {
            // The connection that has it open now does not know whom to tell how far it has come: a new one does.
            if let Some(link) = locked(&self.link).take() {
                link.close();
            }
            self.ask::<Value>(Operation::ListSessions)?;
        }
        Ok(opened.last_event)
    }

    /// Closes the session that is open.
    ///
    /// # Errors
    /// The node could not be asked.
    pub fn close_session(&self) -> Result<(), Error> {
        let open = locked(&self.session).take();
        match open {
            Some(open) => self
                .ask::<Value>(Operation::CloseSession { name: open.name })
                .map(drop),
            None => Ok(()),
        }
    }

    /// Forgets a session. Its jobs go on.
    ///
    /// # Errors
    /// `INVALID_SESSION` where there is none of this name.
    pub fn destroy_session(&self, name: &str) -> Result<(), Error> {
        let mut open = locked(&self.session);
        if open.as_ref().is_some_and(|open| open.name == name) {
            *open = None;
        }
        drop(open);
        let name = name.to_owned();
        self.ask::<Value>(Operation::DestroySession { name })
            .map(drop)
    }

    /// The names of all sessions.
    ///
    /// # Errors
    /// The node could not be asked.
    pub fn sessions(&self) -> Result<Vec<String>, Error> {
        #[derive(Deserialize)]
        struct Names {
            sessions: Vec<String>,
        }
        self.ask(Operation::ListSessions)
            .map(|names: Names| names.sessions)
    }

    /// The queues.
    ///
    /// # Errors
    /// The node could not be asked.
    pub fn queues(&self) -> Result<Vec<Queue>, Error> {
        #[derive(Deserialize)]
        struct Queues {
            queues: Vec<Queue>,
        }
        self.ask(Operation::GetAllQueues { names: None })
            .map(|all: Queues| all.queues)
    }

    /// The machines.
    ///
    /// # Errors
    /// The node could not be asked.
    pub fn machines(&self) -> Result<Vec<Machine>, Error> {
        #[derive(Deserialize)]
        struct Machines {
            machines: Vec<Machine>,
        }
        let mut all = Vec::new();
        for line in self.lines(Operation::GetAllMachines { names: None }, None)? {
            all.extend(read::<Machines>(line)?.machines);
        }
        Ok(all)
    }

    /// Any other request, as the node answers it.
    ///
    /// # Errors
    /// What the node says.
    pub fn raw(&self, op: Operation) -> Result<Value, Error> {
        self.ask(op)
    }
}

fn lost() -> Error {
    Error::Lost(io::Error::new(
        io::ErrorKind::ConnectionReset,
        "the connection broke",
    ))
}

/// An answer, or the node's word on why there is none.
fn read<T: DeserializeOwned>(value: Value) -> Result<T, Error> {
    // A jobInfo has its own `error` within; at the top it is the answer's.
    if value.get("error").is_some() {
        return match serde_json::from_value(value) {
            Ok(problem) => Err(Error::Problem(problem)),
            Err(e) => Err(Error::Garbled(e.to_string())),
        };
    }
    serde_json::from_value(value).map_err(|e| Error::Garbled(e.to_string()))
}

/// The template with a submission key of its own, where it has none.
fn keyed(mut template: Template, bulk: bool) -> Template {
    let index = if bulk {
        format!("-{PARAMETRIC_INDEX}")
    } else {
        String::new()
    };
    let fresh = || format!("{:032x}{index}", rand::rng().random::<u128>());
    template.submission_key.get_or_insert_with(fresh);
    template
}

/// Indices in order, as few ranges of this step.
fn ranges(indices: impl Iterator<Item = i64>, step: i64) -> Vec<(i64, i64)> {
    let mut ranges: Vec<(i64, i64)> = Vec::new();
    for index in indices {
        match ranges.last_mut() {
            Some((_, end)) if end.checked_add(step) == Some(index) => *end = index,
            _ => ranges.push((index, index)),
        }
    }
    ranges
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn as_few_ranges() {
        let of = |list: &[i64], step| ranges(list.iter().copied(), step);
        assert_eq!(of(&[1, 2, 3, 7, 8], 1), [(1, 3), (7, 8)]);
        assert_eq!(of(&[9, 7, 3], -2), [(9, 7), (3, 3)]);
        assert_eq!(of(&[], 1), []);
    }

    #[test]
    fn a_key_of_its_own() {
        let first = keyed(Template::default(), true).submission_key.unwrap();
        assert!(first.ends_with(PARAMETRIC_INDEX));
        assert_ne!(
            Some(first.clone()),
            keyed(Template::default(), true).submission_key
        );
        let own = Template {
            submission_key: Some("mine".to_owned()),
            ..Template::default()
        };
        assert_eq!(keyed(own, false).submission_key.as_deref(), Some("mine"));
    }
}
