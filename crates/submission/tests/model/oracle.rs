//! Compares the processes with the model.

use crate::common::{served, DEDUP_WINDOW};
use crate::simulation::Simulation;
use crate::{MAX_HOLD, RETENTION};
use marbledeck_dispatcher::Micros;
use marbledeck_submission::{Change, JobState};
use serde_json::json;

impl Simulation {
    /// Compares the state of every job with the model.
    pub fn compare(&mut self) {
        let (now, client) = (self.now(), self.client);
        for index in 0..self.jobs.len() {
            let id = self.jobs[index].id.clone();
            let info = self
                .serving()
                .send_request(client, json!({"op": "getJobInfo", "jobId": id}));
            let model_job = &self.jobs[index];
            if !model_job.is_visible(now) {
                assert_eq!(info["error"], "INVALID_ARGUMENT", "{info}");
                continue;
            }
            let state: JobState = serde_json::from_value(info["jobInfo"]["jobState"].clone())
                .unwrap_or_else(|_| panic!("{info}"));
            assert_eq!(state, model_job.state, "{info}");
            let is_limited = model_job
                .array
                .is_some_and(|array| self.arrays[array].max_parallel.is_some());
            let is_scheduled = self.find_scheduled(index).is_some();
            assert!(
                is_scheduled == model_job.is_runnable() || is_limited && !is_scheduled,
                "a job must be with a scheduler exactly while it may run, but is {state}"
            );
            self.compare_scheduler(index);
        }
        (0..self.arrays.len()).for_each(|array| self.compare_array(now, array));
    }

    /// Checks that a job is passed to the scheduler of the serving process only, and stays with it.
    fn compare_scheduler(&mut self, index: usize) {
        let first_number = self.started - self.processes.len();
        let scheduled = self.find_scheduled(index);
        let scheduler = scheduled.map(|job| first_number + job.process);
        let before = std::mem::replace(&mut self.jobs[index].scheduler, scheduler);
        let expected = before.unwrap_or(self.started - 1);
        assert!(
            scheduler.is_none_or(|number| number == expected),
            "process {scheduler:?} has a job that belongs to process {expected}"
        );
    }

    /// Checks that as many members of an array are with the schedulers as `maxParallel` and its pause allow.
    pub fn compare_array(&mut self, now: Micros, array: usize) {
        let members = (0..self.jobs.len()).filter(|index| self.jobs[*index].array == Some(array));
        let runnable = members.filter(|index| self.jobs[*index].is_runnable());
        let runnable: Vec<usize> = runnable.collect();
        let scheduled = runnable
            .iter()
            .filter(|index| self.find_scheduled(**index).is_some());
        let scheduled = scheduled.count();
        let model_array = &mut self.arrays[array];
        let before = std::mem::replace(&mut model_array.scheduled, scheduled);
        let Some(max_parallel) = model_array.max_parallel else {
            return;
        };
        assert!(
            scheduled <= max_parallel,
            "{scheduled} of {max_parallel} at a time"
        );
        if now < model_array.paused_until {
            assert!(scheduled <= before, "a member was started during the pause");
        } else {
            let startable = runnable.len().min(max_parallel);
            assert_eq!(scheduled, startable, "members wait although they may run");
        }
    }

    /// Ends all jobs, and checks that nothing of them is left once nobody can ask for them or join them.
    pub fn finish(&mut self) {
        while self.jobs.iter().any(|job| !job.state.is_final()) {
            for index in 0..self.jobs.len() {
                if let Some(job) = self.find_scheduled(index) {
                    let now = self.now();
                    self.jobs[index].end(now, Change::Serve, true);
                    self.processes[job.process].end_request(job.request, served());
                }
            }
            self.settle();
            self.advance(MAX_HOLD.0 / 1_000_000);
            self.settle();
        }
        self.advance((RETENTION + DEDUP_WINDOW).0 / 1_000_000);
        let usage = self.serving().server.usage();
        assert_eq!((usage.jobs, usage.arrays, usage.bytes), (0, 0, 0));
    }
}
