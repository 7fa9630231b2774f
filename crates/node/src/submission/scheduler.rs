//! The interface of the submission server to the node's core and workers.

use crate::context::Context;
use crate::core::{NewRequest, Payload, RequestError};
use crate::placement::Destination;
use marbledeck_dispatcher::{Idempotency, Micros, RequestId, WorkerState};
use marbledeck_platform_settings::worker_id;
use marbledeck_submission::message::{ErrorId, Machine, Problem, Queue};
use marbledeck_submission::{ClassProperties, JobRequest, Placement, Scheduler, Template};

/// The delay in milliseconds after which a submitter may retry a job that was rejected for lack of capacity.
const RETRY_AFTER_MS: u64 = 1000;

/// Gives the server access to the node for the duration of one call.
pub struct NodeScheduler<'a>(pub &'a mut Context);

/// The error that a submitter receives for a request that the core rejects.
fn problem(error: RequestError) -> Problem {
    match error {
        RequestError::TooMany | RequestError::NoSeat(_) => {
            Problem::try_later(error.to_string(), RETRY_AFTER_MS)
        }
        _ => Problem::invalid_argument(error.to_string()),
    }
}

impl Scheduler for NodeScheduler<'_> {
    fn class_properties(&self, name: &str) -> Option<ClassProperties> {
        let (_, class) = self.0.core.names().class(name)?;
        let window = match class.idempotency {
            Idempotency::Keyed { window, .. } => window,
            _ => Micros(0),
        };
        Some(ClassProperties {
            deadline: class.deadline,
            dedup_window: window,
            allows_retries: class.idempotency != Idempotency::NotIdempotent,
        })
    }

    fn check(&self, class: &str, tenant: Option<&str>, has_key: bool) -> Result<(), Problem> {
        let names = self.0.core.names();
        names
            .resolve(class, tenant, has_key)
            .map(drop)
            .map_err(problem)
    }

    fn place(&self, template: &Template) -> Result<Placement, Problem> {
        let Context {
            forwarded_jobs,
            records,
            now,
            ..
        } = &*self.0;
        match forwarded_jobs {
            None if template.manifest.is_some() || template.forwarded.is_some() => {
                let message = "`manifest` is not supported: this node has no part [sites]";
                Err(Problem::new(ErrorId::UnsupportedAttribute, message))
            }
            None => Ok(Placement::Local),
            Some(jobs) => match jobs.place(*now, template, records)? {
                Destination::Local => Ok(Placement::Local),
                Destination::Remote => Ok(Placement::Remote),
            },
        }
    }

    fn submit(&mut self, now: Micros, job: JobRequest) -> Result<RequestId, Problem> {
        if let (Placement::Remote, Some(jobs)) = (job.placement, &mut self.0.forwarded_jobs) {
            return Ok(jobs.forward(now, &job));
        }
        let manifest = job.template.manifest.as_ref();
        let licences = manifest.into_iter().flat_map(|manifest| &manifest.licences);
        let licences = licences.map(String::as_str).collect();
        let payload = Payload {
            transaction_id: job.job_id,
            key: job.key,
            method: "POST".to_owned(),
            target: job.target,
            body: job.body,
        };
        let request = NewRequest {
            class: job.class,
            tenant: job.tenant,
            time_left: job.time_left,
            cost_hint: None,
            slots: job.slots,
            memory: 0.0,
            licences,
            // The id is the job's own, under which it may go on at another process.
            has_client_id: false,
            payload,
        };
        self.0.core.accept_request(now, request).map_err(problem)
    }

    fn recall(&mut self, now: Micros, id: RequestId) -> bool {
        if let Some(jobs) = self
            .0
            .forwarded_jobs
            .as_mut()
            .filter(|jobs| jobs.contains(id))
        {
            return jobs.recall(id);
        }
        self.0.core.cancel_if_unsent(now, id)
    }

    fn abandon(&mut self, now: Micros, id: RequestId) -> Option<Micros> {
        if let Some(jobs) = self
            .0
            .forwarded_jobs
            .as_mut()
            .filter(|jobs| jobs.contains(id))
        {
            jobs.abandon(id);
            return Some(now);
        }
        self.0.core.handle_client_left(now, id)
    }

    fn count_duplicate(&mut self) {
        self.0.core.count_duplicate();
    }

    fn queues(&self) -> Vec<Queue> {
        let names = self.0.core.names();
        let queue = |name: &str| {
            let (_, class) = names.class(name)?;
            let window = match class.idempotency {
                Idempotency::Keyed { window, .. } => Some(window),
                _ => None,
            };
            Some(Queue {
                name: name.to_owned(),
                deadline_ms: class.deadline.0 / 1000,
                dedup_window_ms: window.map_or(0, |window| window.0 / 1000),
                keyed: window.is_some(),
            })
        };
        names.class_names().filter_map(queue).collect()
    }

    fn machines(&self, now: Micros) -> Vec<Machine> {
        let Context {
            core,
            workers,
            fleet,
            ..
        } = &*self.0;
        let in_flight = workers.attempts_in_flight();
        let views = fleet.members.views(now).into_iter();
        let machine = |view: marbledeck_membership::WorkerView| {
            let worker = worker_id(&view.id);
            let load = workers.load_report(worker);
            let out_of_service = fleet.members.out_of_service().contains(&view.id);
            let report = fleet.members.report(&view.id);
            let state = match (out_of_service, view.state, core.is_ejected(now, worker)) {
                (true, ..) => "out".to_owned(),
                (_, WorkerState::Ready, true) => "resting".to_owned(),
                (_, WorkerState::Ready, false) => "up".to_owned(),
                _ => report.map_or("gone".to_owned(), |report| report.status.to_string()),
            };
            Machine {
                available: state == "up",
                state,
                zone: report.map_or(String::new(), |report| report.zone.clone()),
                kind: report.map_or(String::new(), |report| report.kind.clone()),
                address: view.address.map_or(String::new(), |addr| addr.to_string()),
                calls: in_flight.get(&worker).copied().unwrap_or_default(),
                free_slots: load.and_then(|load| load.report.free_slots),
                report_age_ms: load.map(|load| (now - load.received).0 / 1000),
                name: view.id,
            }
        };
        views
            .filter(|view| view.state != WorkerState::Removed)
            .map(machine)
            .collect()
    }
}
