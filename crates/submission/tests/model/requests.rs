//! The client's requests, and what they do to the model.

use crate::job::{ModelArray, ModelJob};
use crate::simulation::Simulation;
use crate::Bulk;
use marbledeck_dispatcher::Micros;
use marbledeck_submission::Change;
use serde_json::{json, Value};

/// The keys of array members begin here; those of single jobs are lower.
const FIRST_BULK_KEY: u8 = 100;

impl Simulation {
    pub fn control(&mut self, operation: &str, index: usize) -> Value {
        let (client, id) = (self.client, self.jobs[index].id.clone());
        self.serving()
            .send_request(client, json!({"op": operation, "jobId": id}))
    }

    /// Submits a job, which must join the job that uses its key, if there is one.
    pub fn submit(&mut self, now: Micros, key: Option<u8>, held: bool) {
        let mut template =
            json!({"remoteCommand": "/x", "jobCategory": "preview", "submitAsHold": held});
        if let Some(key) = key {
            template["jobCategory"] = "sheet".into();
            template["submissionKey"] = key.to_string().into();
            // All submissions with a key need the same template, which includes `submitAsHold`.
            template["submitAsHold"] = (key % 2 == 0).into();
        }
        let held = key.map_or(held, |key| key % 2 == 0);
        let client = self.client;
        let line = json!({"op": "runJob", "session": "s", "template": template});
        let answer = self.serving().send_request(client, line);
        if !self.check_joined(now, key, &answer) {
            let job = ModelJob::new(answer["jobId"].clone(), key, held, now);
            self.jobs.push(job);
        }
    }

    /// Checks that the answer to a submission names the job that uses its key, if there is one. Returns whether it
    /// does.
    pub fn check_joined(&self, now: Micros, key: Option<u8>, answer: &Value) -> bool {
        let uses_key = |job: &&ModelJob| key.is_some() && job.key == key && job.uses_key(now);
        let first = self.jobs.iter().find(uses_key);
        assert_eq!(answer["duplicate"], first.is_some(), "{answer}");
        if let Some(first) = first {
            assert_eq!(answer["jobId"], first.id);
        }
        first.is_some()
    }

    /// Submits an array. Each member must join the job that uses its key, if there is one.
    pub fn submit_bulk(&mut self, now: Micros, bulk: Bulk) {
        let template = if bulk.has_keys {
            json!({"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": "b${PARAMETRIC_INDEX}"})
        } else {
            json!({"remoteCommand": "/x", "jobCategory": "preview"})
        };
        let line = json!({"op": "runBulkJobs", "session": "s", "template": template, "beginIndex": bulk.first_index,
            "endIndex": bulk.first_index + bulk.members - 1, "maxParallel": bulk.max_parallel});
        let client = self.client;
        let answer = self.serving().send_request(client, line);
        let jobs = answer["jobs"].as_array().expect("the jobs of an array");
        assert_eq!(jobs.len(), usize::from(bulk.members));
        for (index, member) in (bulk.first_index..).zip(jobs) {
            let key = bulk.has_keys.then_some(FIRST_BULK_KEY + index);
            if !self.check_joined(now, key, member) {
                let mut job = ModelJob::new(member["jobId"].clone(), key, false, now);
                job.array = Some(self.arrays.len());
                self.jobs.push(job);
            }
        }
        self.arrays.push(ModelArray {
            id: answer["jobArrayId"].clone(),
            max_parallel: bulk.max_parallel,
            paused_until: Micros(0),
            scheduled: 0,
        });
    }

    /// Terminates or reaps all members of an array.
    pub fn control_array(&mut self, now: Micros, operation: &str, array: usize) {
        if self.arrays.is_empty() {
            return;
        }
        let array = array % self.arrays.len();
        let is_member = |job: &ModelJob| job.array == Some(array) && job.is_visible(now);
        let members = (0..self.jobs.len()).filter(|index| is_member(&self.jobs[*index]));
        let members: Vec<usize> = members.collect();
        let mut changed = 0;
        for index in &members {
            let is_changed = match operation {
                "reap" => {
                    let job = &mut self.jobs[*index];
                    job.reaped = job.state.is_final();
                    job.reaped
                }
                _ => self.terminate_in_model(now, *index),
            };
            changed += usize::from(is_changed);
        }
        let (client, id) = (self.client, self.arrays[array].id.clone());
        let line = json!({"op": operation, "jobArrayId": id});
        let answer = self.serving().send_request(client, line);
        if members.is_empty() {
            assert_eq!(answer["error"], "INVALID_ARGUMENT", "{answer}");
        } else if changed == 0 {
            assert_eq!(answer["error"], "INVALID_STATE", "{answer}");
        } else {
            assert_eq!(answer["changed"], changed, "{answer}");
            assert_eq!(answer["refused"], members.len() - changed, "{answer}");
        }
    }

    /// Holds a job.
    pub fn hold(&mut self, now: Micros, index: usize) {
        // A job that another process has passed to its scheduler cannot be recalled.
        let is_elsewhere = self.is_scheduled_elsewhere(index);
        let answer = self.control("hold", index);
        let model_job = &mut self.jobs[index];
        let can_hold = model_job.is_visible(now) && model_job.sent.is_none() && !is_elsewhere;
        let held = can_hold && model_job.change(Change::Hold);
        if held {
            model_job.waiting_since = now;
        }
        assert_eq!(answer["error"].is_null(), held, "{answer}");
    }

    /// Releases a job.
    pub fn release(&mut self, now: Micros, index: usize) {
        let answer = self.control("release", index);
        let model_job = &mut self.jobs[index];
        let released = model_job.is_visible(now) && model_job.change(Change::Release);
        assert_eq!(answer["error"].is_null(), released, "{answer}");
    }

    /// Terminates a job.
    pub fn terminate(&mut self, now: Micros, index: usize) {
        let ended = self.terminate_in_model(now, index);
        let answer = self.control("terminate", index);
        assert_eq!(answer["error"].is_null(), ended, "{answer}");
    }

    pub fn terminate_in_model(&mut self, now: Micros, index: usize) -> bool {
        // The serving process cannot know whether another process has sent the job, and must assume it.
        let is_elsewhere = self.is_scheduled_elsewhere(index);
        let model_job = &mut self.jobs[index];
        if model_job.state.is_final() || !model_job.is_visible(now) {
            return false;
        }
        if is_elsewhere {
            model_job.sent = Some(now);
        }
        model_job.end(now, Change::Terminate, true)
    }

    /// Whether a process that no longer serves has passed a job to its scheduler.
    pub fn is_scheduled_elsewhere(&self, index: usize) -> bool {
        let scheduled = self.find_scheduled(index);
        scheduled.is_some_and(|job| job.process + 1 < self.processes.len())
    }

    /// Reaps a job.
    pub fn reap(&mut self, now: Micros, index: usize) {
        let answer = self.control("reap", index);
        let model_job = &mut self.jobs[index];
        let reaped = model_job.is_visible(now) && model_job.state.is_final();
        assert_eq!(answer["error"].is_null(), reaped, "{answer}");
        model_job.reaped |= reaped;
    }
}
