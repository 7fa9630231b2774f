//! The dispatcher: its state, and which part of the policy handles which event. Nothing is decided
//! here.

use crate::estimates::ServiceTimes;
use crate::fleet::Fleet;
use crate::request::Request;
use crate::token_bucket::TokenBucket;
use crate::{Action, Event, Micros, RequestId, Settings, SettingsError, WorkerId, WorkerListKind};
use std::collections::HashMap;

/// Decides for one dispatcher.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    /// How many dispatchers share the workers; a process of an upgrade counts as a part of one.
    pub(crate) dispatchers: f64,
    pub(crate) random: oorandom::Rand64,
    /// The global bucket, then one for each tenant.
    pub(crate) buckets: Vec<TokenBucket>,
    pub(crate) fleet: Fleet,
    /// The position of the worker that was probed last.
    pub(crate) probe_cursor: usize,
    pub(crate) requests: HashMap<RequestId, Request>,
    /// Requests that wait for the answers of probes, oldest first.
    pub(crate) probing: Vec<RequestId>,
    pub(crate) service_times: ServiceTimes,
    /// When this dispatcher started.
    pub(crate) started_at: Micros,
    /// When the list is next polled, if no watch is on.
    pub(crate) poll_at: Option<Micros>,
}

impl Dispatcher {
    /// A dispatcher that knows its settings only. All its random numbers come from the seed.
    ///
    /// # Errors
    /// A setting that it cannot work with.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let dispatchers = f64::from(settings.dispatchers);
        Ok(Dispatcher {
            dispatchers,
            random: oorandom::Rand64::new(u128::from(seed)),
            buckets: new_buckets(&settings, dispatchers, now),
            fleet: Fleet::default(),
            probe_cursor: seed as usize,
            requests: HashMap::new(),
            probing: Vec::new(),
            service_times: ServiceTimes::new(&settings.classes),
            started_at: now,
            poll_at: settings.polls_worker_list.then_some(now),
            settings,
        })
    }

    /// Takes what has happened and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.poll_at.is_some_and(|at| now >= at) {
            self.poll_at = None;
            out.push(Action::WatchWorkers);
        }
        match event {
            Event::JobReceived(job) => self.handle_job(now, job, out),
            Event::WorkerList { kind, workers } => {
                if kind == WorkerListKind::Failed {
                    self.schedule_poll(now, out);
                } else {
                    self.fleet.apply_list(kind, workers);
                }
            }
            Event::AttemptStarted { request, attempt }
            | Event::ResponseStarted { request, attempt } => {
                self.record_start(now, request, attempt);
            }
            Event::AttemptEnded(ended) => self.handle_attempt_ended(now, ended, out),
            Event::ClientLeft(id) => {
                if let Some(request) = self.requests.remove(&id) {
                    self.retain(request, true);
                }
            }
            Event::ProbeEnded {
                worker,
                outcome,
                report,
            } => {
                if let Some(w) = self.fleet.position(worker) {
                    self.fleet[w].probe_in_flight = false;
                    self.learn(now, w, outcome, report);
                    self.handle_probe_ended(now, w, out);
                }
            }
            Event::TimerExpired(timer) => self.handle_timer(now, RequestId(timer.0), out),
        }
    }

    /// Notes that an attempt runs.
    pub(crate) fn record_start(&mut self, now: Micros, id: RequestId, attempt: u32) {
        let request = self.requests.get_mut(&id);
        let attempt = request.and_then(|r| r.attempts.get_mut(attempt as usize));
        let Some(attempt) = attempt.filter(|a| a.started_at.is_none()) else {
            return;
        };
        attempt.started_at = Some(now);
        if let Some(w) = self.fleet.position(attempt.worker.worker) {
            let worker = &mut self.fleet[w];
            worker.queue_delay.delay = now - attempt.sent_at;
            worker.queue_delay.measured_at = now;
            worker.dequeue(attempt.sent_at);
        }
    }

    /// Keeps a request until it is over and all its attempts have ended.
    pub(crate) fn retain(&mut self, mut request: Request, finished: bool) {
        request.finished |= finished;
        if !request.finished || request.has_attempt_in_flight() {
            self.requests.insert(request.job.id, request);
        }
    }

    /// From now on so many processes stand in for this dispatcher, each with its part of the rates
    /// and of what cold workers bear.
    pub fn set_processes(&mut self, now: Micros, processes: u32) {
        let dispatchers = f64::from(self.settings.dispatchers) * f64::from(processes.max(1));
        let part = std::mem::replace(&mut self.dispatchers, dispatchers) / dispatchers;
        for bucket in &mut self.buckets {
            bucket.refill(now);
            bucket.even_rate *= part;
            bucket.rate *= part;
            // A part of the tokens goes with the rate; it is not given back, since it may have been
            // used.
            bucket.tokens *= part.min(1.0);
        }
    }

    /// How many jobs a second each tenant may ask for, over all dispatchers.
    pub fn quotas(&self) -> Vec<Option<f64>> {
        self.settings.tenants.iter().map(|t| t.quota).collect()
    }

    /// From now on the tenants may ask for so many jobs a second, over all dispatchers: none where
    /// no figure is given. The tokens of a bucket stay, within its new burst.
    pub fn set_quotas(&mut self, now: Micros, quotas: &[Option<f64>]) {
        for (tenant, quota) in self.settings.tenants.iter_mut().zip(quotas) {
            tenant.quota = *quota;
        }
        let tenants = &self.settings.tenants;
        let total: f64 = tenants.iter().filter_map(|t| t.quota).sum();
        let own = tenants.iter().map(|t| t.quota.unwrap_or(t.share * total));
        let rates = [total].into_iter().chain(own);
        let dispatchers = self.dispatchers;
        for (bucket, rate) in self.buckets.iter_mut().zip(rates.map(|r| r / dispatchers)) {
            bucket.refill(now);
            bucket.even_rate = rate;
            bucket.rate = rate;
        }
    }

    /// Whether this worker is ejected now because it failed lately.
    pub fn is_ejected(&self, now: Micros, worker: WorkerId) -> bool {
        let known = self.fleet.position(worker);
        known.is_some_and(|w| now < self.fleet[w].ejected_until)
    }
}

/// The global bucket, then one for each tenant, full.
fn new_buckets(settings: &Settings, dispatchers: f64, now: Micros) -> Vec<TokenBucket> {
    let tenants = &settings.tenants;
    let quotas: f64 = tenants.iter().filter_map(|t| t.quota).sum();
    let shares = [1.0].into_iter().chain(tenants.iter().map(|t| t.share));
    let bucket = |share: f64| TokenBucket::new(now, share * quotas / dispatchers);
    shares.map(bucket).collect()
}
