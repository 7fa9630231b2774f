//! Estimates from reports and outcomes: free slots, service times, slack.

use crate::policy::MAX_GATE_REPORT_SECONDS;
use crate::worker::SlotsSeen;
use crate::{Class, ClassId, Dispatcher, Job, LoadReport, Micros, Outcome};

/// A report counts for so many mean service times: by then 95% of what it saw has ended.
const STALE_SERVICE_TIMES: f64 = 3.0;
/// Weight of the newest value in the running means; about the last twenty values count.
const NEWEST_WEIGHT: f64 = 0.1;

/// Mean seconds that an attempt runs.
pub(crate) struct ServiceTimes {
    by_class: Vec<f64>,
    pub(crate) overall: f64,
}

impl ServiceTimes {
    /// Before the first attempt has ended, the latency objectives stand in for the means.
    pub(crate) fn new(classes: &[Class]) -> Self {
        let objective = |class: &Class| class.latency_objective.as_secs_f64();
        ServiceTimes {
            by_class: classes.iter().map(objective).collect(),
            overall: objective(&classes[0]).max(0.001),
        }
    }

    pub(crate) fn of_class(&self, class: ClassId) -> f64 {
        self.by_class[class.0 as usize]
    }

    pub(crate) fn record(&mut self, class: ClassId, seconds: f64) {
        for mean in [&mut self.by_class[class.0 as usize], &mut self.overall] {
            *mean += NEWEST_WEIGHT * (seconds - *mean);
        }
    }
}

impl Dispatcher {
    pub(crate) fn class(&self, job: &Job) -> &Class {
        &self.settings.classes[job.class.0 as usize]
    }

    /// Seconds that a job is expected to run: as given, else the mean of its class.
    pub(crate) fn expected_seconds(&self, job: &Job) -> f64 {
        let mean = self.service_times.of_class(job.class);
        job.expected_work.map_or(mean, Micros::as_secs_f64)
    }

    /// How late a job can start and still end in time on a worker of speed 1.
    pub(crate) fn slack(&self, job: &Job) -> Micros {
        let class = self.class(job);
        let stretched = (class.objective_stretch - 1.0) * self.expected_seconds(job);
        class.latency_objective + Micros::from_secs_f64(stretched)
    }

    /// A part of a job's slack, from 0 to 1.
    pub(crate) fn part_of_slack(&self, job: &Job, part: f64) -> Micros {
        Micros::from_secs_f64(self.slack(job).as_secs_f64() * part)
    }

    /// Free slots: what others leave, less own attempts in flight. What was reported of that fades,
    /// as their jobs come and go, to the mean. Where own attempts are queued there is no room,
    /// whatever a report says.
    pub(crate) fn free_slots(&self, now: Micros, w: usize) -> f64 {
        let worker = &self.fleet[w];
        if !worker.queued_since.is_empty() {
            return 0.0;
        }
        let kind = &self.fleet.kinds[&worker.entry.kind];
        let slots = kind.slots.max(1.0);
        let at = Micros(0);
        let seen = worker.left_by_others.unwrap_or(SlotsSeen { slots, at });
        let pace = (1.0 - 1.0 / self.dispatchers) / self.service_times.overall;
        let keep = (-pace * (now - seen.at).as_secs_f64()).exp();
        let faded = (1.0 - keep) * (1.0 - kind.foreign_load) * slots;
        (keep * seen.slots + faded - worker.slots_in_flight).max(0.0)
    }

    /// Learns from an outcome and its report.
    pub(crate) fn learn(
        &mut self,
        now: Micros,
        w: usize,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.learn_report(now, w, report.unwrap_or_default());
        match outcome {
            Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut | Outcome::Failed => {
                self.eject(now, w);
            }
            // A rejection is the freshest report there is: no slot is free, whatever was reported
            // before.
            Outcome::Rejected => {
                let slots = 0.0;
                self.fleet[w].left_by_others = Some(SlotsSeen { slots, at: now });
            }
            Outcome::Served | Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.fleet.mark_reporting(w);
    }

    fn learn_report(&mut self, now: Micros, w: usize, report: LoadReport) {
        let worker = &mut self.fleet.workers[w];
        let is_sound = |figure: &f64| *figure >= 0.0;
        let memory = report.free_memory.filter(is_sound).unwrap_or(0.0);
        worker.max_memory = worker.max_memory.max(memory);
        let kind = self.fleet.kinds.entry(worker.entry.kind).or_default();
        let free = report.free_slots.filter(is_sound);
        let Some(free) = free.filter(|free| free.is_finite()) else {
            return;
        };
        // Slots are whole, reports a little noisy.
        let free = free.round();
        kind.slots = kind.slots.max(free);
        let slots = kind.slots.max(1.0);
        // What dispatchers count together is of this moment; a report is up to seconds old.
        worker.counted_at = report.in_flight.map(|_| now);
        let free = report
            .in_flight
            .map_or(free, |used| (slots - used).max(0.0));
        let left = slots.min(free + worker.slots_in_flight);
        worker.left_by_others = Some(SlotsSeen {
            slots: left,
            at: now,
        });
        kind.reports += 1.0;
        let weight = NEWEST_WEIGHT.max(1.0 / kind.reports);
        kind.foreign_load += weight * (1.0 - left / slots - kind.foreign_load);
    }

    /// Forgets the workers whose last report says nothing any more and that have no own attempt in
    /// flight.
    pub(crate) fn forget_stale_reports(&mut self, now: Micros) {
        let seconds = STALE_SERVICE_TIMES * self.service_times.overall;
        let max_age = Micros::from_secs_f64(seconds.max(MAX_GATE_REPORT_SECONDS));
        self.fleet.forget_reports(|worker| {
            let seen = worker.left_by_others;
            let reported = seen.is_some_and(|seen| now - seen.at < max_age);
            let idle = worker.slots_in_flight <= 0.0;
            !reported && idle && !worker.queue_delay.is_current(now)
        });
    }
}
