//! Every decision of a dispatcher. Its types, events and actions are in `api.rs`, its memory in `state.rs`.
//! A job is charged, passes the gate, is sent to a drawn worker and followed up, in that order.

use crate::api::*;
use crate::state::*;
use std::collections::HashMap;

/// The gate opens on reports no older than this: a load moves in seconds.
const FRESH_S: f64 = 1.0;
/// The part of all slots kept for charged jobs where a job of each dispatcher would be more.
const RESERVE: f64 = 0.25;
/// A report counts for so many mean running times: by then 95% of what it saw has ended.
const STALE: f64 = 3.0;
/// Steps of a walk, or tries of a sampled draw, before the whole list is looked through.
const TRIES: usize = 32;
/// Workers asked before a job is sent where most of the fleet is not heard of.
const ASKED: usize = 4;
/// The part of what it can spare that a job waits for their answers, or at a worker before it asks others.
const ASKING: f64 = 0.05;
/// The part of what it can spare until which a job asks for room. Later it would only wait at some worker, in
/// the way of jobs that can still be in time.
const PATIENCE: f64 = 0.3;
/// How much more a free slot of the own zone weighs than one of another: a crossing has its price.
const NEAR: f64 = 2.0;
/// A bucket holds the mean of so many seconds, or two standard deviations of the time below if more.
const BURST_S: f64 = 4.0;
/// How far back a tenant's demand is looked at.
const UNEVEN_S: f64 = 20.0;
/// Weight of the newest value in the running means; about the last twenty values count.
const NEWEST: f64 = 0.1;
/// The part of a cold worker's budget that is used: its slots and the jobs' lengths are estimates.
const SURE: f64 = 0.5;
/// An odd number that spreads whatever it is multiplied with over the upper bits.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;
/// A failing worker is first left alone for as long as a slow connect takes, twice as long each time.
const REST: Micros = Micros(500_000);

impl Bucket {
    /// Refills, and tells how many seconds are missing to a whole token.
    pub(crate) fn wait(&mut self, now: Micros) -> f64 {
        let deviation = (self.rate * UNEVEN_S).sqrt();
        let burst = f64::max(self.rate * BURST_S, 2.0 * deviation).max(1.0);
        let elapsed = (now - self.at).secs();
        self.tokens = burst.min(self.tokens + elapsed * self.rate);
        self.asked *= (-elapsed / UNEVEN_S).exp();
        self.at = now;
        (1.0 - self.tokens).max(0.0) / self.rate.max(f64::MIN_POSITIVE)
    }
}

/// Decides for one dispatcher.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) dispatchers: f64,
    rng: oorandom::Rand64,
    /// The global bucket, then one for each tenant.
    pub(crate) buckets: Vec<Bucket>,
    pub(crate) fleet: Fleet,
    /// How far the walk of the probes has come.
    cursor: usize,
    requests: HashMap<RequestId, Request>,
    /// Requests that wait for the answers of probes.
    held: Vec<RequestId>,
    /// Mean seconds of an attempt by class, and over all.
    service: Vec<f64>,
    mean_service: f64,
    /// When this dispatcher started.
    born: Micros,
    /// When the list is next asked for, if no watch is on.
    watch_at: Option<Micros>,
}

impl Dispatcher {
    /// A dispatcher that knows its settings only.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut new = Dispatcher {
            dispatchers: f64::from(settings.dispatchers),
            rng: oorandom::Rand64::new(u128::from(seed)),
            buckets: Vec::new(),
            fleet: Fleet::default(),
            cursor: seed as usize,
            requests: HashMap::new(),
            held: Vec::new(),
            service: settings.classes.iter().map(|c| c.aim.secs()).collect(),
            mean_service: settings.classes[0].aim.secs().max(0.001),
            born: now,
            watch_at: settings.ask_list.then_some(now),
            settings,
        };
        let tenants = &new.settings.tenants;
        let quotas: f64 = tenants.iter().filter_map(|t| t.quota).sum();
        let shares = [1.0].into_iter().chain(tenants.iter().map(|t| t.share));
        let bucket = |share: f64| Bucket::new(now, share * quotas / new.dispatchers);
        new.buckets = shares.map(bucket).collect();
        Ok(new)
    }

    /// Takes what has happened and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.watch_at.is_some_and(|at| now >= at) {
            self.watch_at = None;
            out.push(Action::Watch);
        }
        match event {
            Event::Job(job) => self.job(now, job, out),
            Event::List(kind, entries) => self.list(now, kind, entries, out),
            Event::Started(id, go) | Event::Streaming(id, go) => self.started(now, id, go),
            Event::Ended(e) => self.ended(now, e, out),
            Event::Gone(id) => {
                if let Some(request) = self.requests.remove(&id) {
                    self.keep(request, true);
                }
            }
            Event::Probed(worker, outcome, report) => {
                if let Some(w) = self.fleet.find(worker) {
                    self.fleet[w].probing = false;
                    self.learn(now, w, outcome, report);
                    self.settle(now, w, out);
                }
            }
            Event::Timer(id) => self.look(now, RequestId(id), out),
        }
    }

    // 1. Charge.

    fn job(&mut self, now: Micros, mut job: Job, out: &mut Vec<Action>) {
        if job.class.0 as usize >= self.settings.classes.len() {
            return out.push(Action::Fail(job.id));
        }
        job.slots = job.slots.max(1.0);
        self.forget_stale(now);
        let wait = self.charge(now, job.tenant);
        let request = Request::new(now, job, wait);
        if self.asks() {
            return self.ask(now, request, out);
        }
        let shut = request.wait > 0.0 && !self.gate(now, &request);
        if shut || self.jammed(now, &request) {
            return out.push(self.refusal(request.job.id, request.wait));
        }
        self.probe(now, None, out);
        self.place(now, request, out);
    }

    /// Takes a token from every bucket, or from none; tells the longest wait in seconds.
    fn charge(&mut self, now: Micros, tenant: TenantId) -> f64 {
        if self.buckets[0].even_rate == 0.0 {
            return 0.0; // Without quotas there is nothing to charge.
        }
        self.even_out(now);
        let (global, tenants) = self.buckets.split_at_mut(1);
        let mut chain = [global.first_mut(), tenants.get_mut(tenant.0 as usize)];
        let waits = chain.iter_mut().flatten().map(|b| b.wait(now));
        let wait = waits.fold(0.0, f64::max);
        for bucket in chain.into_iter().flatten() {
            bucket.asked += 1.0 / UNEVEN_S;
            if wait == 0.0 {
                bucket.tokens -= 1.0;
            }
        }
        wait
    }

    /// Sets the rates. Where most tenants ask for more than an even part, it is this dispatcher's place that
    /// brings it, not their excess: the median raises all rates.
    fn even_out(&mut self, now: Micros) {
        let excess = |bucket: &mut Bucket| {
            bucket.wait(now);
            bucket.asked / bucket.even_rate.max(f64::MIN_POSITIVE)
        };
        let mut all: Vec<f64> = self.buckets[1..].iter_mut().map(excess).collect();
        all.sort_by(f64::total_cmp);
        let median = all.get(all.len() / 2).map_or(1.0, |m| m.max(1.0));
        for bucket in &mut self.buckets {
            bucket.rate = bucket.even_rate * median;
        }
    }

    // 2. Gate.

    /// Whether fresh reports show ready fitting workers with room: for a job of each dispatcher, since
    /// all may be reading the same reports, and more for one that stays longer than the mean. The workers
    /// not heard of have as much as the others.
    fn gate(&mut self, now: Micros, request: &Request) -> bool {
        let (mut seen, mut room, mut age) = (0.0, 0.0, 0.0);
        for &w in &self.fleet.heard {
            let told = self.fleet[w].left.map(|(_, at)| (now - at).secs());
            let fresh = |old: &f64| *old < FRESH_S && self.may(now, request, w);
            if let Some(old) = told.filter(fresh) {
                seen += 1.0;
                age += old;
                let jobs = self.free(now, w) / request.job.slots;
                if jobs >= 1.0 {
                    room += jobs;
                }
            }
        }
        let job = &request.job;
        let size = self.service[job.class.0 as usize] / self.mean_service;
        let (fitting, slots) = self.fleet.ready(self.class(job).kind);
        let needed = self.dispatchers.min(slots * RESERVE) * size;
        seen = f64::max(seen, 1.0);
        room *= (fitting / seen).max(1.0);
        let turn = Micros::from_secs(age / seen * self.dispatchers * size / room);
        let mut open = room > 0.0 && room >= needed;
        if let Some(bucket) = self.buckets.get_mut(job.tenant.0 as usize + 1) {
            open &= now >= bucket.passed_at + turn;
            if open {
                bucket.passed_at = now;
            }
        }
        open
    }

    /// Whether a job would come too late wherever it goes: own attempts wait longer than it can spare, and
    /// no room is seen. Guards against rates that stay when workers leave or slow down.
    fn jammed(&self, now: Micros, request: &Request) -> bool {
        let (ready, _) = self.fleet.ready(self.class(&request.job).kind);
        let spare = self.spare(&request.job);
        let mut late = 0.0;
        let may = |w: &&usize| self.may(now, request, **w);
        for &w in self.fleet.heard.iter().filter(may) {
            let Worker { waiting, lag, .. } = &self.fleet[w];
            let oldest = waiting.first().map_or(Micros(0), |&at| now - at);
            if oldest > spare || lag.0 > spare && now - lag.1 < lag.0 {
                late += 1.0;
            } else if now - lag.1 < lag.0 || self.free(now, w) >= 1.0 {
                return false;
            }
        }
        late >= ready.min(ASKED as f64)
    }

    /// How late a job can start and still end in time on a worker of speed 1.
    fn spare(&self, job: &Job) -> Micros {
        let class = self.class(job);
        class.aim + Micros::from_secs((class.stretch - 1.0) * self.expected(job))
    }

    fn class(&self, job: &Job) -> &Class {
        &self.settings.classes[job.class.0 as usize]
    }

    fn refusal(&self, id: RequestId, wait: f64) -> Action {
        let whole = Micros::from_secs(wait.floor() + 1.0);
        let cap = self.settings.limits.max_retry_after;
        Action::Refuse(id, cap.map(|cap| whole.min(cap)))
    }

    // 3. Draw.

    /// Whether the request may go to this worker now: it is ready and fits, and no rule stands against it.
    fn may(&self, now: Micros, request: &Request, w: usize) -> bool {
        let (job, worker, slots) = (&request.job, &self.fleet[w], self.fleet.slots(w));
        let (entry, kind) = (&worker.entry, self.class(job).kind);
        let until = self.repeat_until(request, entry);
        entry.state == State::Ready
            && request.deadline > now
            && request.attempts.len() < self.settings.limits.attempts as usize
            && kind.is_none_or(|k| k == entry.kind)
            && (slots == 0.0 || job.slots <= slots)
            && (worker.memory == 0.0 || job.memory <= worker.memory)
            && !request.tried(entry.worker)
            && until.is_none_or(|until| now < until)
            && self.cold_room(now, w, job)
    }

    /// Whether it shows room for the request. What dispatchers counted together is asked for anew: what it
    /// fades to would be room at full workers, too, for all that remember them.
    fn roomy(&self, now: Micros, request: &Request, w: usize) -> bool {
        let old = |at| now - at > self.window(at, request);
        if self.fleet[w].counted.is_some_and(old) {
            return false;
        }
        // What was not charged leaves a slot to what is.
        let spared = f64::from(u8::from(request.wait > 0.0 && self.asks()));
        let room = self.free(now, w) >= request.job.slots + spared;
        room && now >= self.fleet[w].avoid_until && self.may(now, request, w)
    }

    /// Until when the effect allows this request an attempt at this worker, where it may have run before.
    fn repeat_until(&self, request: &Request, entry: &Entry) -> Option<Micros> {
        let first = request.attempts.iter().find(|a| !a.never_ran())?;
        match self.class(&request.job).effect {
            Effect::Safe => None,
            Effect::Keyed(group, window) if first.entry.shares(group, entry) => {
                Some(first.sent + window)
            }
            Effect::Keyed(..) | Effect::Unsafe => Some(Micros(0)),
        }
    }

    /// Free slots: what others leave, less own attempts out. What was heard of that fades, as their jobs come
    /// and go, to the mean. Where own jobs wait there is no room, whatever a report says.
    fn free(&self, now: Micros, w: usize) -> f64 {
        let worker = &self.fleet[w];
        if !worker.waiting.is_empty() {
            return 0.0;
        }
        let kind = &self.fleet.kinds[&worker.entry.kind];
        let slots = kind.slots.max(1.0);
        let (left, at) = worker.left.unwrap_or((slots, Micros(0)));
        let pace = (1.0 - 1.0 / self.dispatchers) / self.mean_service;
        let keep = (-pace * (now - at).secs()).exp();
        (keep * left + (1.0 - keep) * (1.0 - kind.typical) * slots - worker.open).max(0.0)
    }

    fn draw(&mut self, now: Micros, request: &Request) -> Option<usize> {
        let roomy = self.fleet.heard.iter().copied();
        let mut roomy: Vec<usize> = roomy.filter(|&w| self.roomy(now, request, w)).collect();
        if !roomy.is_empty() {
            self.keep_freest(now, &mut roomy);
            return self.weighted(now, roomy);
        }
        // A random worker, taken in proportion to its weight: the same draw without a walk over the fleet.
        let most = self.fleet.most_slots();
        let healthy = |d: &Self, w: usize| now >= d.fleet[w].avoid_until;
        for _ in 0..TRIES.min(self.fleet.workers.len()) {
            let w = self.rng.rand_range(0..self.fleet.workers.len() as u64) as usize;
            let taken = self.rng.rand_float() * most < self.free(now, w);
            if taken && healthy(self, w) && self.may(now, request, w) {
                return Some(w);
            }
        }
        let all = (0..self.fleet.workers.len()).filter(|&w| self.may(now, request, w));
        let (well, resting): (Vec<_>, Vec<_>) = all.partition(|&w| healthy(self, w));
        self.weighted(now, if well.is_empty() { resting } else { well })
    }

    /// Where calls were counted, keeps the freest of those workers: only the few that ask in the same
    /// milliseconds see that count, and the longest queue of all stays shortest so (Azar et al. 1994).
    fn keep_freest(&self, now: Micros, roomy: &mut Vec<usize>) {
        let counted = |w: usize| self.fleet[w].counted.is_some();
        let most = roomy.iter().filter(|&&w| counted(w));
        if let Some(most) = most.map(|&w| self.weight(now, w)).reduce(f64::max) {
            // Slots are whole; what fades meanwhile is less than half of one.
            roomy.retain(|&w| counted(w) && self.weight(now, w) > most - 0.5);
        }
    }

    /// What a worker weighs in a draw: its free slots, those of the own zone more.
    fn weight(&self, now: Micros, w: usize) -> f64 {
        match self.fleet[w].entry.zone == self.settings.zone {
            true => NEAR * self.free(now, w),
            false => self.free(now, w),
        }
    }

    /// A random one of these, the likelier the more free slots it has, and in the own zone. No sharper than
    /// that: all dispatchers that ask while a report stands read the same one, and if they were drawn to the
    /// most room rather than in proportion to it, they would fill it many times over. Nor the own zone alone
    /// while it shows any room: those of the busier zone would crowd there, beside idle workers.
    fn weighted(&mut self, now: Micros, mut drawn: Vec<usize>) -> Option<usize> {
        let mut weights: Vec<f64> = drawn.iter().map(|&w| self.weight(now, w)).collect();
        if weights.iter().sum::<f64>() <= 0.0 {
            // No room anywhere: an even draw, among the workers where the fewest own jobs wait.
            let fewest = drawn.iter().map(|&w| self.fleet[w].waiting.len()).min();
            drawn.retain(|&w| Some(self.fleet[w].waiting.len()) == fewest);
            weights = vec![1.0; drawn.len()];
        }
        let mut at = self.rng.rand_float() * weights.iter().sum::<f64>();
        let passed = |weight: &f64| {
            at -= weight;
            at < 0.0
        };
        let chosen = weights.iter().position(passed).unwrap_or(0);
        drawn.get(chosen).copied()
    }

    /// Whether jobs ask before they go, since most of the fleet has not told of itself lately. A worker that
    /// dispatchers counted has not: that is asked for anew.
    fn asks(&self) -> bool {
        let told = |w: &&usize| self.fleet[**w].counted.is_none();
        let told = self.fleet.heard.iter().filter(told).count() as f64;
        self.settings.limits.probes && 2.0 * told < self.fleet.ready(None).0
    }

    /// How long a request waits for the answers of those it asks now, and for how long they count.
    fn window(&self, now: Micros, request: &Request) -> Micros {
        let part = |part| self.part(&request.job, part);
        request.waited(now).clamp(part(ASKING), part(PATIENCE))
    }

    /// A part of what a job can spare.
    fn part(&self, job: &Job, part: f64) -> Micros {
        Micros::from_secs(self.spare(job).secs() * part)
    }

    /// Asks some workers on behalf of a job, which waits for a part of what it can spare, then as long as it
    /// has waited: where none has room, to ask is a load of its own. Guards against a blind draw, and against
    /// a gate or a sight of a jam that rests on the few workers heard of.
    fn ask(&mut self, now: Micros, mut request: Request, out: &mut Vec<Action>) {
        let asked = (0..ASKED).filter_map(|_| self.probe(now, Some(&request), out));
        request.awaited = asked.collect();
        if request.awaited.is_empty() && request.attempts.iter().all(|a| a.outcome.is_some()) {
            return self.place(now, request, out);
        }
        let (id, until) = (request.job.id, now + self.window(now, &request));
        out.push(Action::Timer(until.min(request.deadline), id.0));
        self.held.push(id);
        self.requests.insert(id, request);
    }

    /// The time to ask, or to ask no longer: a job that no worker has goes where there is room, asks others
    /// while its patience lasts, and is given up then. Never later than its deadline: it would ask without
    /// end.
    fn look(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let asked = self.held.contains(&id);
        self.held.retain(|held| *held != id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let unsent = !request.ended && request.attempts.iter().all(|a| a.outcome.is_some());
        let mut heard = self.fleet.heard.iter();
        let roomy = heard.any(|&w| self.roomy(now, &request, w));
        let patience = self.part(&request.job, PATIENCE);
        if unsent && roomy {
            self.place(now, request, out);
        } else if unsent && now < request.deadline && request.waited(now) < patience {
            self.ask(now, request, out);
        } else if unsent {
            self.give_up(request, out);
        } else if !asked && self.move_at(&request).is_some_and(|at| now >= at) {
            self.ask(now, request, out);
        } else {
            self.keep(request, false);
        }
    }

    /// A worker has told its free slots: the first of the held jobs goes that has heard all that it asked, or
    /// asked others, and can go somewhere now. The first answer with room is seldom the best.
    fn settle(&mut self, now: Micros, w: usize, out: &mut Vec<Action>) {
        let worker = self.fleet[w].entry.worker;
        let mut asked = None;
        for id in &self.held {
            if let Some(request) = self.requests.get_mut(id) {
                let before = request.awaited.len();
                request.awaited.retain(|awaited| *awaited != worker);
                asked = asked.or(Some(*id).filter(|_| before > request.awaited.len()));
            }
        }
        let goes = |id: &RequestId| {
            let request = self.requests.get(id);
            let known = request.filter(|r| r.awaited.is_empty() && r.idle());
            let takes = |r: &Request, w: usize| self.roomy(now, r, w);
            let mut heard = self.fleet.heard.iter();
            known.is_some_and(|r| takes(r, w) || Some(*id) == asked && heard.any(|&w| takes(r, w)))
        };
        let first = self.held.iter().copied().find(goes);
        if let Some(request) = first.and_then(|id| self.requests.remove(&id)) {
            self.held.retain(|id| *id != request.job.id);
            self.place(now, request, out);
        }
    }

    /// When a request whose attempts all wait looks for another worker, if it may have a copy: only where its
    /// worker has failed others meanwhile. A copy does not take back the first, which still runs one day:
    /// where all dispatchers move what waits, the copies make the next jobs wait, until little else runs.
    fn move_at(&self, request: &Request) -> Option<Micros> {
        let (limits, last) = (&self.settings.limits, request.attempts.last()?);
        let copies = limits.second_copies && self.class(&request.job).effect != Effect::Unsafe;
        let told = limits.cancel && self.settings.tells_start;
        let failed = |w: usize| self.fleet[w].avoid_until > last.sent;
        let failed = self.fleet.find(last.entry.worker).is_some_and(failed);
        let may = copies && told && failed && last.waits() && request.idle();
        may.then(|| last.sent + self.part(&request.job, ASKING))
    }

    /// Sends the request to a drawn worker, or ends it where none can take it.
    fn place(&mut self, now: Micros, mut request: Request, out: &mut Vec<Action>) {
        let Some(w) = self.draw(now, &request) else {
            return self.give_up(request, out);
        };
        self.fleet.hear(w);
        let cost = request.job.slots * self.expected(&request.job);
        let (window, tells_start) = (self.settings.rules.tip_after, self.settings.tells_start);
        self.fleet[w].take(now, request.job.slots, cost, window, tells_start);
        let entry = self.fleet[w].entry.clone();
        let latest = self.repeat_until(&request, &entry);
        out.push(Action::Send(request.job.id, entry.worker, latest));
        request.attempts.push(Attempt::new(entry, now));
        let earlier = 0..request.attempts.len() - 1;
        for i in earlier.filter(|&i| request.attempts[i].waits()) {
            out.push(Action::Cancel(request.job.id, i as u32));
        }
        if self.settings.limits.second_copies {
            out.push(Action::Timer(
                now + self.part(&request.job, ASKING),
                request.job.id.0,
            ));
        }
        self.requests.insert(request.job.id, request);
    }

    // 4. Follow up.

    /// Ends a request without an answer: refused where that is true to its effect, else failed.
    fn give_up(&mut self, request: Request, out: &mut Vec<Action>) {
        let (id, effect) = (request.job.id, self.class(&request.job).effect);
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed(Group::All, _));
        if harmless || request.attempts.iter().all(Attempt::never_ran) {
            out.push(self.refusal(id, request.wait));
        } else {
            out.push(Action::Fail(id));
        }
        self.keep(request, true);
    }

    fn ended(&mut self, now: Micros, e: Ended, out: &mut Vec<Action>) {
        if e.outcome == Outcome::Ok {
            self.started(now, e.id, e.attempt);
        }
        let Some(mut request) = self.requests.remove(&e.id) else {
            return;
        };
        let Some(a) = request.attempts.get_mut(e.attempt as usize) else {
            return self.keep(request, e.closed);
        };
        let first = a.outcome.replace(e.outcome).is_none();
        if let Some(w) = self.fleet.find(e.worker).filter(|_| first) {
            self.fleet[w].give_back(request.job.slots, a);
            self.learn(now, w, e.outcome, e.report);
        }
        if e.outcome == Outcome::Ok {
            let began = a.started.filter(|at| *at < now);
            let ran = (now - began.unwrap_or(a.sent)).secs();
            let class = &mut self.service[request.job.class.0 as usize];
            for mean in [class, &mut self.mean_service] {
                *mean += NEWEST * (ran - *mean);
            }
        }
        let out_still = request.attempts.iter().any(|a| a.outcome.is_none());
        if e.closed || request.ended || out_still {
            return self.keep(request, e.closed);
        }
        match self.asks() {
            true => self.ask(now, request, out),
            false => self.place(now, request, out),
        }
    }

    fn started(&mut self, now: Micros, id: RequestId, attempt: u32) {
        let request = self.requests.get_mut(&id);
        let attempt = request.and_then(|r| r.attempts.get_mut(attempt as usize));
        let Some(a) = attempt.filter(|a| a.started.is_none()) else {
            return;
        };
        a.started = Some(now);
        if let Some(w) = self.fleet.find(a.entry.worker) {
            self.fleet[w].lag = (now - a.sent, now);
            self.fleet[w].no_longer_waits(a.sent);
        }
    }

    /// Keeps a request until it is over and all its attempts are back.
    fn keep(&mut self, mut request: Request, ended: bool) {
        request.ended |= ended;
        if !request.ended || request.attempts.iter().any(|a| a.outcome.is_none()) {
            self.requests.insert(request.job.id, request);
        }
    }

    /// Learns from an outcome and its report; a worker that fails rests, longer each time.
    fn learn(&mut self, now: Micros, w: usize, outcome: Outcome, report: Option<Report>) {
        let worker = &mut self.fleet.workers[w];
        let (sound, report) = (|f: &f64| *f >= 0.0, report.unwrap_or_default());
        let memory = report.free_memory.filter(sound).unwrap_or(0.0);
        worker.memory = worker.memory.max(memory);
        let kind = self.fleet.kinds.entry(worker.entry.kind).or_default();
        if let Some(free) = report.free_slots.filter(sound).filter(|f| f.is_finite()) {
            // Slots are whole, reports a little noisy.
            let free = free.round();
            kind.slots = kind.slots.max(free);
            let slots = kind.slots.max(1.0);
            // What dispatchers count together is of this moment; a report is up to seconds old.
            worker.counted = report.held.map(|_| now);
            let free = report.held.map_or(free, |held| (slots - held).max(0.0));
            let left = slots.min(free + worker.open);
            worker.left = Some((left, now));
            kind.reports += 1.0;
            kind.typical += NEWEST.max(1.0 / kind.reports) * (1.0 - left / slots - kind.typical);
        }
        match outcome {
            Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut | Outcome::Error => {
                let longest = REST.max(self.settings.rules.warm_up);
                worker.rest = (worker.rest + worker.rest).clamp(REST, longest);
                worker.avoid_until = now + worker.rest;
            }
            // A rejection is the freshest report there is: no slot is free, whatever was heard before.
            Outcome::Full => worker.left = Some((0.0, now)),
            Outcome::Ok | Outcome::Cancelled | Outcome::Moot => {}
        }
        self.fleet.hear(w);
    }

    /// Forgets the workers whose last report says nothing any more and that hold no own attempt.
    fn forget_stale(&mut self, now: Micros) {
        let stale = Micros::from_secs((STALE * self.mean_service).max(FRESH_S));
        self.fleet.forget(|worker| {
            let told = worker.left.is_some_and(|(_, at)| now - at < stale);
            !told && worker.open <= 0.0 && now - worker.lag.1 >= worker.lag.0
        });
    }

    /// Seconds that a job is expected to run: its hint, else the mean of its class.
    fn expected(&self, job: &Job) -> f64 {
        let mean = self.service[job.class.0 as usize];
        job.cost_hint.map_or(mean, Micros::secs)
    }

    /// Whether a cold worker can take the job within this dispatcher's part of what it bears in a window,
    /// whatever it reports. Guards the fourth rule. Where a part would be less than a job, some dispatchers
    /// have a whole one of any length, others at each worker and in each window: were they always the same, a
    /// worker would be left to what a few of them happen to bring. One that has just started has forgotten
    /// what it sent.
    fn cold_room(&self, now: Micros, w: usize, job: &Job) -> bool {
        let (worker, rules) = (&self.fleet[w], &self.settings.rules);
        let age = worker.entry.started.map(|at| now - at);
        let Some(age) = age.filter(|age| *age < rules.warm_up) else {
            return true;
        };
        let warm = rules.cold_from + (1.0 - rules.cold_from) * age.secs() / rules.warm_up.secs();
        let (slots, window) = (self.fleet.slots(w).max(1.0), rules.tip_after);
        let bears = rules.overload_factor * warm * slots * window.secs();
        let jobs = (bears / self.mean_service).floor();
        let lately = worker.sent.iter().filter(|(at, _)| now - *at <= window);
        let sent: f64 = lately.map(|(_, cost)| cost).sum();
        if now - self.born < window {
            return false;
        }
        if jobs * SURE >= self.dispatchers {
            let part = bears * SURE / self.dispatchers;
            return sent + job.slots * self.expected(job) <= part;
        }
        // A window may lie over two turns. So many rights twice are still budget and chance: N + 2 sqrt N.
        let rights = jobs.min(jobs / 2.0 + jobs.sqrt()).max(1.0);
        let (id, dispatchers) = (worker.entry.worker.0, u64::from(self.settings.dispatchers));
        let epoch = (now.0 + id % window.0.max(1)) / window.0.max(1);
        let turn = (id ^ epoch).wrapping_mul(SPREAD) >> 32;
        let turn = (turn + u64::from(self.settings.index)) % dispatchers;
        sent == 0.0 && (turn as f64) < rights * dispatchers as f64 / self.dispatchers
    }

    fn list(&mut self, now: Micros, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            // The list may be overloaded: ask again, and not in step with the others.
            let wait = self.settings.rules.ask_within.secs() / 2.0 * self.rng.rand_float();
            let at = now + Micros::from_secs(wait);
            self.watch_at = Some(at);
            return out.push(Action::Timer(at, u64::MAX));
        }
        if kind != ListKind::Delta {
            // What a complete list omits is gone.
            for worker in &mut self.fleet.workers {
                worker.entry.state = State::Gone;
            }
        }
        for entry in entries {
            let worker = self.fleet.enter(entry.worker);
            if worker.entry.started != entry.started {
                // A restarted process is empty and healthy, but cold: what it was lately sent counts on.
                (worker.left, worker.lag, worker.avoid_until) = Default::default();
            }
            worker.entry = entry;
        }
        self.fleet.tidy();
    }

    /// Probes the next worker of the walk, or the next that may take this request, and tells which. Each job
    /// brings its probes, so that their price and work stay bounded however many workers there are.
    fn probe(
        &mut self,
        now: Micros,
        request: Option<&Request>,
        out: &mut Vec<Action>,
    ) -> Option<WorkerId> {
        for _ in 0..(4 * TRIES).min(self.fleet.workers.len()) {
            self.cursor = self.cursor.wrapping_add(1) % self.fleet.workers.len();
            let fits = request.is_none_or(|r| self.may(now, r, self.cursor));
            let Worker { entry, probing, .. } = &mut self.fleet[self.cursor];
            if fits && self.settings.limits.probes && entry.state == State::Ready && !*probing {
                *probing = true;
                out.push(Action::Probe(entry.worker));
                return Some(entry.worker);
            }
        }
        None
    }
}
