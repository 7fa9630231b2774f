//! The state of a dispatcher, and the mapping of events to the functions of the policy that handle
//! them. Holds no policy of its own.

use crate::estimates::ServiceTimes;
use crate::fleet::Fleet;
use crate::request::Request;
use crate::token_bucket::TokenBucket;
use crate::{Action, Event, Micros, RequestId, Settings, SettingsError, WorkerId, WorkerListKind};
use std::collections::HashMap;

/// The decisions and the state of one dispatcher.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    /// Number of dispatchers that share the workers. During an upgrade each process of a dispatcher
    /// counts as one.
    pub(crate) dispatchers: f64,
    pub(crate) random: oorandom::Rand64,
    /// The global token bucket, then one for each tenant.
    pub(crate) buckets: Vec<TokenBucket>,
    pub(crate) fleet: Fleet,
    /// Position of the worker that was probed last.
    pub(crate) probe_cursor: usize,
    pub(crate) requests: HashMap<RequestId, Request>,
    /// Requests that wait for answers to probes, oldest first.
    pub(crate) probing: Vec<RequestId>,
    pub(crate) service_times: ServiceTimes,
    /// When this dispatcher started.
    pub(crate) started_at: Micros,
    /// When to poll the worker list next; none while it is being watched.
    pub(crate) poll_at: Option<Micros>,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no workers yet. All its random numbers come from the seed.
    ///
    /// # Errors
    /// If a setting is out of range; see [`Settings::check`].
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

    /// Handles an event and appends the resulting actions to `out`.
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
                    self.probing.retain(|probing| *probing != id);
                    self.retain(request, true);
                }
            }
            Event::ProbeEnded {
                worker,
                outcome,
                report,
            } => {
                if let Some(position) = self.fleet.position(worker) {
                    self.fleet[position].probe_in_flight = false;
                    self.record_outcome(now, position, outcome, report);
                    self.handle_probe_ended(now, position, out);
                }
            }
            Event::TimerExpired(timer) => self.handle_timer(now, RequestId(timer.0), out),
        }
    }

    /// Records that an attempt has started, and how long it was queued.
    pub(crate) fn record_start(&mut self, now: Micros, id: RequestId, attempt: u32) {
        let request = self.requests.get_mut(&id);
        let attempt = request.and_then(|r| r.attempts.get_mut(attempt as usize));
        let Some(attempt) = attempt.filter(|a| a.started_at.is_none()) else {
            return;
        };
        attempt.started_at = Some(now);
        if let Some(position) = self.fleet.position(attempt.worker.worker) {
            let worker = &mut self.fleet[position];
            worker.queue_delay.delay = now - attempt.sent_at;
            worker.queue_delay.measured_at = now;
            worker.dequeue(attempt.sent_at);
        }
    }

    /// Stores a request again, unless it is finished and all its attempts have ended.
    pub(crate) fn retain(&mut self, mut request: Request, finished: bool) {
        request.finished |= finished;
        if !request.finished || request.has_attempt_in_flight() {
            self.requests.insert(request.job.id, request);
        }
    }

    /// Sets the number of processes that share the work of this dispatcher, such as during an
    /// upgrade. Each uses an equal share of the rates and of the slow-start budget.
    pub fn set_processes(&mut self, now: Micros, processes: u32) {
        let dispatchers = f64::from(self.settings.dispatchers) * f64::from(processes.max(1));
        let scale = std::mem::replace(&mut self.dispatchers, dispatchers) / dispatchers;
        for bucket in &mut self.buckets {
            bucket.refill(now);
            bucket.even_rate *= scale;
            bucket.rate *= scale;
            // The tokens shrink with the rate, but do not grow again with it: the other processes
            // may have used them.
            bucket.tokens *= scale.min(1.0);
        }
    }

    /// The quota of each tenant in jobs per second, over all dispatchers.
    pub fn quotas(&self) -> Vec<Option<f64>> {
        self.settings.tenants.iter().map(|t| t.quota).collect()
    }

    /// Sets the quota of each tenant in jobs per second, over all dispatchers. A tenant without a
    /// quota gets its share of the sum. A bucket keeps its tokens, up to its new burst size.
    pub fn set_quotas(&mut self, now: Micros, quotas: &[Option<f64>]) {
        for (tenant, quota) in self.settings.tenants.iter_mut().zip(quotas) {
            tenant.quota = *quota;
        }
        let tenants = &self.settings.tenants;
        let total: f64 = tenants.iter().filter_map(|t| t.quota).sum();
        let tenant_rates = tenants.iter().map(|t| t.quota.unwrap_or(t.share * total));
        let rates = [total].into_iter().chain(tenant_rates);
        let dispatchers = self.dispatchers;
        for (bucket, rate) in self.buckets.iter_mut().zip(rates.map(|r| r / dispatchers)) {
            bucket.refill(now);
            bucket.even_rate = rate;
            bucket.rate = rate;
        }
    }

    /// Whether this worker is ejected at this time because of recent failures.
    pub fn is_ejected(&self, now: Micros, worker: WorkerId) -> bool {
        let position = self.fleet.position(worker);
        position.is_some_and(|position| now < self.fleet[position].ejected_until)
    }
}

/// Creates the global token bucket, then one for each tenant, all full.
fn new_buckets(settings: &Settings, dispatchers: f64, now: Micros) -> Vec<TokenBucket> {
    let tenants = &settings.tenants;
    let quotas: f64 = tenants.iter().filter_map(|t| t.quota).sum();
    let shares = [1.0].into_iter().chain(tenants.iter().map(|t| t.share));
    let bucket = |share: f64| TokenBucket::new(now, share * quotas / dispatchers);
    shares.map(bucket).collect()
}
