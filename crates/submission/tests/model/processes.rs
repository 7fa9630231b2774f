//! Connections of the client, and the start, end and loss of processes.

use crate::common::{limits, served, Harness};
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
        let replaced = self.processes.len() - 2;
        self.processes[replaced].server.begin_shutdown();
        let (client, since) = (self.client, self.last_event);
        let line = json!({"op": "openSession", "name": "s", "since": since});
        self.serving().send_request(client, line);
    }

    /// Ends a process that has been replaced if it has nothing left to do.
    pub fn end_replaced(&mut self, process: usize) {
        let Some(process) = self.pick_replaced(process) else {
            return;
        };
        let replaced = &self.processes[process];
        let is_idle = replaced.scheduler.open_jobs.is_empty();
        if is_idle && replaced.server.is_handover_complete() {
            self.remove_through(process);
        }
    }

    /// Loses a process that has been replaced. The jobs that are with its scheduler, or with that of a process which
    /// the serving one knows through it only, may have run.
    pub fn lose_replaced(&mut self, now: Micros, process: usize) {
        let Some(process) = self.pick_replaced(process) else {
            return;
        };
        for index in 0..self.jobs.len() {
            let scheduled = self.find_scheduled(index);
            if scheduled.is_some_and(|job| job.process <= process) {
                let model_job = &mut self.jobs[index];
                model_job.sent = Some(now);
                model_job.end(now, Change::Fail, true);
            }
        }
        self.remove_through(process);
    }

    fn pick_replaced(&self, process: usize) -> Option<usize> {
        process.checked_rem(self.processes.len() - 1)
    }

    /// Removes a process and those before it. One before it goes on until its own jobs have ended, and starts no others.
    fn remove_through(&mut self, process: usize) {
        let mut removed: Vec<Harness> = self.processes.drain(..=process).collect();
        let now = self.now();
        removed.pop();
        if let Some(mut before) = removed.pop() {
            before.server.handle_partner_lost(now, Partner::Successor);
            let requests: Vec<_> = before.scheduler.open_jobs.keys().copied().collect();
            let submitted = before.scheduler.submitted;
            for request in requests {
                before.end_request(request, served());
                before.advance(Micros(0));
            }
            assert_eq!(before.scheduler.submitted, submitted);
        }
        let server = &mut self.processes[0].server;
        server.handle_partner_lost(now, Partner::Predecessor);
    }
}
