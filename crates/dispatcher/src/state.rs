//! What a dispatcher remembers of workers and requests: data and look-ups. Nothing is decided here.

use crate::api::*;
use crate::decide::Dispatcher;
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// A token bucket.
#[derive(Default)]
pub struct Bucket {
    pub tokens: f64,
    pub rate: f64,
    /// The rate when traffic reaches all dispatchers evenly, and what was asked for lately.
    pub even_rate: f64,
    pub asked: f64,
    pub at: Micros,
    /// When a job last passed uncharged.
    pub passed_at: Micros,
}

impl Bucket {
    /// Full: the first refill cuts it to the burst.
    pub fn new(at: Micros, even_rate: f64) -> Self {
        Bucket {
            tokens: f64::INFINITY,
            rate: even_rate,
            even_rate,
            at,
            ..Bucket::default()
        }
    }
}

/// What is known of the workers of one kind: what one dispatcher sees of one worker is too thin.
#[derive(Default)]
pub struct Kind {
    /// How many are ready.
    pub ready: f64,
    /// The most free slots that any has ever reported.
    pub slots: f64,
    /// The part of all slots that other dispatchers hold, and how many reports that comes from.
    pub typical: f64,
    pub reports: f64,
}

/// What is known of a worker.
#[derive(Default)]
pub struct Worker {
    pub entry: Entry,
    /// Whether it is among those lately heard of or sent to.
    pub heard: bool,
    /// Slots that others left when it was last heard of, free or with own attempts, and when that was. Not the slots
    /// that they held: how many there are is learned from later reports.
    pub left: Option<(f64, Micros)>,
    /// When that was what all dispatchers together had counted, not what the worker told.
    pub counted: Option<Micros>,
    /// Slots of own attempts that are out.
    pub open: f64,
    /// When own attempts were sent that have not started yet, oldest first.
    pub waiting: Vec<Micros>,
    /// How long the last own attempt to start had waited, and when it started.
    pub lag: (Micros, Micros),
    /// The most memory that it has ever reported.
    pub memory: f64,
    /// How long it was last left alone for a failure, and until when.
    pub rest: Micros,
    pub avoid_until: Micros,
    pub probing: bool,
    /// What was lately sent there: when, and how many slot-seconds.
    pub sent: Vec<(Micros, f64)>,
}

impl Worker {
    /// Notes a send of so many slots and slot-seconds, and drops what was sent before the window.
    pub fn take(&mut self, now: Micros, slots: f64, cost: f64, window: Micros, tells_start: bool) {
        self.open += slots;
        if tells_start {
            self.waiting.push(now);
        }
        self.sent.retain(|(at, _)| now - *at <= window);
        self.sent.push((now, cost));
    }

    /// Notes the end of an attempt that took so many slots.
    pub fn give_back(&mut self, slots: f64, attempt: &Attempt) {
        self.open -= slots;
        if attempt.outcome == Some(Outcome::Ok) {
            self.rest = Micros(0);
        }
        if attempt.started.is_none() {
            self.no_longer_waits(attempt.sent);
        }
    }

    pub fn no_longer_waits(&mut self, sent: Micros) {
        let place = self.waiting.iter().position(|at| *at == sent);
        place.map(|i| self.waiting.remove(i));
    }
}

#[derive(Default)]
pub struct Attempt {
    /// Its worker, as it was then.
    pub entry: Entry,
    pub sent: Micros,
    pub started: Option<Micros>,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn new(entry: Entry, sent: Micros) -> Self {
        Attempt {
            entry,
            sent,
            ..Attempt::default()
        }
    }

    pub fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }

    pub fn waits(&self) -> bool {
        self.outcome.is_none() && self.started.is_none()
    }

    pub fn runs(&self) -> bool {
        self.outcome.is_none() && self.started.is_some()
    }
}

/// A request that is not over, or whose attempts are not all back.
pub struct Request {
    pub job: Job,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub ended: bool,
    /// Seconds until its buckets have a token; it is charged if none.
    pub wait: f64,
    /// The workers asked for it that have not answered yet.
    pub awaited: Vec<WorkerId>,
}

impl Request {
    pub fn new(now: Micros, job: Job, wait: f64) -> Self {
        Request {
            deadline: now + job.time_left,
            job,
            attempts: Vec::new(),
            ended: false,
            wait,
            awaited: Vec::new(),
        }
    }

    /// How long ago it came.
    pub fn waited(&self, now: Micros) -> Micros {
        now - Micros(self.deadline.0 - self.job.time_left.0)
    }

    /// Whether it was sent to this worker.
    pub fn tried(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|a| a.entry.worker == worker)
    }

    /// Whether none of its attempts is running, and it is not over.
    pub fn idle(&self) -> bool {
        !self.ended && !self.attempts.iter().any(Attempt::runs)
    }
}

/// The workers, by position.
#[derive(Default)]
pub struct Fleet {
    /// In order of id, so that nothing depends on a hash.
    pub workers: Vec<Worker>,
    pub kinds: BTreeMap<KindId, Kind>,
    /// Positions of the workers lately heard of or sent to: as many as the jobs brought, not the fleet.
    pub heard: Vec<usize>,
}

impl Fleet {
    pub fn find(&self, worker: WorkerId) -> Option<usize> {
        let id = |w: &Worker| w.entry.worker;
        self.workers.binary_search_by_key(&worker, id).ok()
    }

    /// The worker of this id, new where it is not known.
    pub fn enter(&mut self, id: WorkerId) -> &mut Worker {
        let at = self.workers.partition_point(|w| w.entry.worker < id);
        if self.workers.get(at).is_none_or(|w| w.entry.worker != id) {
            self.workers.insert(at, Worker::default());
        }
        &mut self.workers[at]
    }

    /// Drops the workers that are gone and hold nothing, and counts the others.
    pub fn tidy(&mut self) {
        self.workers
            .retain(|w| w.entry.state != State::Gone || w.open > 0.0);
        for kind in self.kinds.values_mut() {
            kind.ready = 0.0;
        }
        self.heard.clear();
        for (w, worker) in self.workers.iter().enumerate() {
            let kind = self.kinds.entry(worker.entry.kind).or_default();
            if worker.entry.state == State::Ready {
                kind.ready += 1.0;
            }
            if worker.heard {
                self.heard.push(w);
            }
        }
    }

    /// How many workers are ready, of this kind or of any, and how many slots they have.
    pub fn ready(&self, only: Option<KindId>) -> (f64, f64) {
        let of_kind = |(kind, _): &(&KindId, &Kind)| only.is_none_or(|only| only == **kind);
        let add = |(ready, slots), (_, k): (_, &Kind)| (ready + k.ready, slots + k.ready * k.slots);
        self.kinds.iter().filter(of_kind).fold((0.0, 0.0), add)
    }

    /// The most slots of any kind, and at least one.
    pub fn most_slots(&self) -> f64 {
        self.kinds.values().map(|k| k.slots).fold(1.0, f64::max)
    }

    /// The slots of workers of this kind, as far as reports have shown; 0 where none has.
    pub fn slots(&self, w: usize) -> f64 {
        self.kinds[&self[w].entry.kind].slots
    }

    pub fn hear(&mut self, w: usize) {
        if !std::mem::replace(&mut self[w].heard, true) {
            self.heard.push(w);
        }
    }

    /// Takes those that `stale` tells off the list of those heard of.
    pub fn forget(&mut self, stale: impl Fn(&Worker) -> bool) {
        let workers = &mut self.workers;
        self.heard.retain(|&w| {
            workers[w].heard = !stale(&workers[w]);
            workers[w].heard
        });
    }
}

impl Dispatcher {
    /// From now on so many dispatchers stand in for this one, each with its part of the rates and of what cold workers
    /// bear.
    pub fn share(&mut self, now: Micros, parts: u32) {
        let dispatchers = f64::from(self.settings.dispatchers) * f64::from(parts.max(1));
        let part = std::mem::replace(&mut self.dispatchers, dispatchers) / dispatchers;
        for bucket in &mut self.buckets {
            bucket.wait(now);
            bucket.even_rate *= part;
            bucket.rate *= part;
            // A part of what is held goes with the rate; it is not given back, since it may have been used.
            bucket.tokens *= part.min(1.0);
        }
    }

    /// How many jobs a second each tenant may ask for, over all dispatchers.
    pub fn quotas(&self) -> Vec<Option<f64>> {
        self.settings.tenants.iter().map(|t| t.quota).collect()
    }

    /// From now on the tenants may ask for so many jobs a second, over all dispatchers: none where no figure is told.
    /// What a bucket holds stays, within its new burst.
    pub fn set_quotas(&mut self, now: Micros, quotas: &[Option<f64>]) {
        for (tenant, quota) in self.settings.tenants.iter_mut().zip(quotas) {
            tenant.quota = *quota;
        }
        let tenants = &self.settings.tenants;
        let all: f64 = tenants.iter().filter_map(|t| t.quota).sum();
        let own = tenants.iter().map(|t| t.quota.unwrap_or(t.share * all));
        let rates = [all].into_iter().chain(own);
        let dispatchers = self.dispatchers;
        for (bucket, rate) in self.buckets.iter_mut().zip(rates.map(|r| r / dispatchers)) {
            bucket.wait(now);
            (bucket.even_rate, bucket.rate) = (rate, rate);
        }
    }

    /// Whether this worker is left alone now because it failed lately.
    pub fn rests(&self, now: Micros, worker: WorkerId) -> bool {
        let known = self.fleet.find(worker);
        known.is_some_and(|w| now < self.fleet[w].avoid_until)
    }
}

impl Index<usize> for Fleet {
    type Output = Worker;
    fn index(&self, w: usize) -> &Worker {
        &self.workers[w]
    }
}

impl IndexMut<usize> for Fleet {
    fn index_mut(&mut self, w: usize) -> &mut Worker {
        &mut self.workers[w]
    }
}
