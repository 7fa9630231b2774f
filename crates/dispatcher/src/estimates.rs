//! Estimates of free slots, service times and slack, made from reports and outcomes.

use crate::policy::MAX_GATE_REPORT_AGE_SECONDS;
use crate::worker::SlotObservation;
use crate::{Class, ClassId, Dispatcher, Job, LoadReport, Micros, Outcome};

/// How long a report stays of use, as a multiple of the mean service time. After three of them, 95%
/// of the jobs that ran at the time of the report have ended.
const REPORT_LIFETIME_IN_SERVICE_TIMES: f64 = 3.0;
/// Weight of the newest sample in the exponential running means, which mostly reflect the last
/// twenty samples.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.1;

/// Running means of the run time of attempts, in seconds.
pub(crate) struct ServiceTimes {
    by_class: Vec<f64>,
    pub(crate) overall: f64,
}

impl ServiceTimes {
    /// Starts with the latency objectives as means, until attempts have ended.
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
            *mean += NEWEST_SAMPLE_WEIGHT * (seconds - *mean);
        }
    }
}

impl Dispatcher {
    pub(crate) fn class(&self, job: &Job) -> &Class {
        &self.settings.classes[job.class.0 as usize]
    }

    /// Expected run time of a job in seconds: as given with the job, else the mean of its class.
    pub(crate) fn expected_seconds(&self, job: &Job) -> f64 {
        let mean = self.service_times.of_class(job.class);
        job.expected_work.map_or(mean, Micros::as_secs_f64)
    }

    /// How long a job can wait before it starts and still meet its latency objective on a worker of
    /// speed 1.
    pub(crate) fn slack(&self, job: &Job) -> Micros {
        let class = self.class(job);
        let added = (class.objective_stretch - 1.0) * self.expected_seconds(job);
        class.latency_objective + Micros::from_secs_f64(added)
    }

    /// The given fraction, from 0 to 1, of a job's slack.
    pub(crate) fn fraction_of_slack(&self, job: &Job, fraction: f64) -> Micros {
        Micros::from_secs_f64(self.slack(job).as_secs_f64() * fraction)
    }

    /// Estimated free slots of a worker: the slots that other dispatchers leave, less the attempts of
    /// this dispatcher in flight. The reported figure decays exponentially towards the mean, since
    /// the jobs of others start and end in the meantime. If attempts of this dispatcher are queued at
    /// the worker, no slot is free, whatever a report says.
    pub(crate) fn free_slots(&self, now: Micros, position: usize) -> f64 {
        let worker = &self.fleet[position];
        if !worker.queued_since.is_empty() {
            return 0.0;
        }
        let kind = &self.fleet.kinds[&worker.entry.kind];
        let slots = kind.slots.max(1.0);
        let at = Micros(0);
        let observed = worker
            .slots_left_by_others
            .unwrap_or(SlotObservation { slots, at });
        let decay_rate = (1.0 - 1.0 / self.dispatchers) / self.service_times.overall;
        let retained = (-decay_rate * (now - observed.at).as_secs_f64()).exp();
        let mean_part = (1.0 - retained) * (1.0 - kind.load_of_others) * slots;
        (retained * observed.slots + mean_part - worker.slots_in_flight).max(0.0)
    }

    /// Updates the estimates for a worker after an attempt or a probe has ended.
    pub(crate) fn record_outcome(
        &mut self,
        now: Micros,
        position: usize,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.record_report(now, position, report.unwrap_or_default());
        match outcome {
            Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut | Outcome::Failed => {
                self.eject(now, position);
            }
            // A rejection shows that no slot is free now, whatever was reported before.
            Outcome::Rejected => {
                let slots = 0.0;
                self.fleet[position].slots_left_by_others =
                    Some(SlotObservation { slots, at: now });
            }
            Outcome::Served | Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.fleet.mark_active(position);
    }

    fn record_report(&mut self, now: Micros, position: usize, report: LoadReport) {
        let worker = &mut self.fleet.workers[position];
        let is_valid = |value: &f64| *value >= 0.0;
        let memory = report.free_memory.filter(is_valid).unwrap_or(0.0);
        worker.max_memory = worker.max_memory.max(memory);
        let kind = self.fleet.kinds.entry(worker.entry.kind).or_default();
        let free = report.free_slots.filter(is_valid);
        let Some(free) = free.filter(|free| free.is_finite()) else {
            return;
        };
        // Slots are whole numbers, but reported values are noisy.
        let free = free.round();
        kind.slots = kind.slots.max(free);
        let slots = kind.slots.max(1.0);
        // The count that dispatchers keep together is current; a report may be seconds old.
        worker.counted_at = report.in_flight.map(|_| now);
        let free = report
            .in_flight
            .map_or(free, |in_flight| (slots - in_flight).max(0.0));
        let slots_left = slots.min(free + worker.slots_in_flight);
        worker.slots_left_by_others = Some(SlotObservation {
            slots: slots_left,
            at: now,
        });
        kind.reports += 1.0;
        let weight = NEWEST_SAMPLE_WEIGHT.max(1.0 / kind.reports);
        kind.load_of_others += weight * (1.0 - slots_left / slots - kind.load_of_others);
    }

    /// Removes workers from the recently active ones if their last report is stale and they have no
    /// attempt of this dispatcher in flight.
    pub(crate) fn deactivate_stale_workers(&mut self, now: Micros) {
        let seconds = REPORT_LIFETIME_IN_SERVICE_TIMES * self.service_times.overall;
        let max_age = Micros::from_secs_f64(seconds.max(MAX_GATE_REPORT_AGE_SECONDS));
        self.fleet.deactivate_workers(|worker| {
            let observed = worker.slots_left_by_others;
            let has_recent_report = observed.is_some_and(|observed| now - observed.at < max_age);
            let is_idle = worker.slots_in_flight <= 0.0;
            !has_recent_report && is_idle && !worker.queue_delay.is_current(now)
        });
    }
}
