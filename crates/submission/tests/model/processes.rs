//! Connections of the client, and the start, end and loss of processes.

use crate::common::{limits, Harness};
use crate::simulation::Simulation;
use marbledeck_dispatcher::Micros;
use marbledeck_submission::{Change, Partner};
use serde_json::json;

impl Simulation {
    /// Reconnects the client, which continues after the last event that it has received.
    pub fn reconnect(&mut self) {
        let (old, since) = (self.client, self.last_event);
        self.client += 1;
        let (new, now) = (self.client, self.now());
        let harness = self.serving();
        harness.server.handle_disconnect(now, old);
        harness.connect(new);
        harness.send_request(
            new,
            json!({"op": "openSession", "name": "s", "since": since}),
        );
    }

    /// Replaces the serving process with another one.
    pub fn upgrade(&mut self) {
        let (client, now) = (self.client, self.now());
        let old = self.serving();
        old.server.begin_handover();
        old.server.handle_disconnect(now, client);
        let mut new = Harness::with_prefix(limits(), &format!("n0-{}", self.started));
        self.started += 1;
        new.now = now;
        new.server.expect_predecessor(now);
        self.client += 1;
        new.connect(self.client);
        self.processes.push(new);
        self.settle();
        let (client, since) = (self.client, self.last_event);
        let line = json!({"op": "openSession", "name": "s", "since": since});
        self.serving().send_request(client, line);
    }

    /// Ends the oldest process if it has been replaced and has no jobs left.
    pub fn end_oldest(&mut self) {
        let oldest = &self.processes[0];
        if self.processes.len() == 1 || !oldest.scheduler.open_jobs.is_empty() {
            return;
        }
        assert!(oldest.server.is_handover_complete());
        self.remove_oldest();
    }

    /// Loses the oldest process if it has been replaced. The jobs that are with its scheduler may have run.
    pub fn lose_oldest(&mut self, now: Micros) {
        if self.processes.len() == 1 {
            return;
        }
        for index in 0..self.jobs.len() {
            if self
                .find_scheduled(index)
                .is_some_and(|job| job.process == 0)
            {
                let model_job = &mut self.jobs[index];
                model_job.sent = Some(now);
                model_job.end(now, Change::Fail, true);
            }
        }
        self.remove_oldest();
    }

    pub fn remove_oldest(&mut self) {
        self.processes.remove(0);
        let now = self.now();
        let server = &mut self.processes[0].server;
        server.handle_partner_lost(now, Partner::Predecessor);
    }
}
