//! Records the lines of a server and its clients as text, in virtual time.

use super::ScriptedScheduler;
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::server::ClientId;
use marbledeck_submission::{Limits, Partner, Server, Transfer, Verdict};
use std::fmt::Write;

/// The maximum number of turns of one step, after which the test fails.
const MAX_TURNS: usize = 10_000;

/// A server whose lines are recorded: `>` marks a line from a client, `<` a line to a client, and `#` any other event.
pub struct Transcript {
    pub now: Micros,
    pub server: Server,
    pub scheduler: ScriptedScheduler,
    text: String,
}

impl Transcript {
    pub fn new(limits: Limits, prefix: &str) -> Self {
        Transcript {
            now: Micros(1_000_000_000),
            server: Server::new(limits, prefix.to_owned()),
            scheduler: ScriptedScheduler::default(),
            text: String::new(),
        }
    }

    /// Takes the recorded text, so that the transcript is empty again.
    pub fn take_text(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.text, "# {text}");
    }

    pub fn connect(&mut self, client: ClientId) {
        self.note(&format!("{client} connects"));
        self.server.handle_connect(client);
    }

    pub fn disconnect(&mut self, client: ClientId) {
        self.note(&format!("{client} disconnects"));
        self.server.handle_disconnect(self.now, client);
        self.settle();
    }

    /// Passes a client's line to the server without running a turn.
    pub fn handle_line(&mut self, client: ClientId, line: &[u8]) {
        assert!(
            self.server.accepts_line(client),
            "the server does not accept a line of the client"
        );
        let shown = match std::str::from_utf8(line) {
            Ok(text) => text.to_owned(),
            Err(_) => line.escape_ascii().to_string(),
        };
        let _ = writeln!(self.text, "{client}> {shown}");
        self.server
            .handle_line(self.now, client, line, &mut self.scheduler);
    }

    /// Passes a client's line to the server and runs turns until nothing is left to do.
    pub fn send_line(&mut self, client: ClientId, line: &str) {
        self.handle_line(client, line.as_bytes());
        self.settle();
    }

    /// Runs turns and reads all output until nothing is left to do.
    pub fn settle(&mut self) {
        for _ in 0..MAX_TURNS {
            self.server.wake(self.now, &mut self.scheduler);
            self.server.answer_submissions(self.now);
            let readable = self.server.take_readable_clients();
            for client in &readable {
                self.read_output(*client);
            }
            let due = self.server.next_wake().is_some_and(|at| at <= self.now);
            if !due && readable.is_empty() {
                return;
            }
        }
        panic!("the server still has work to do after {MAX_TURNS} turns");
    }

    fn read_output(&mut self, client: ClientId) {
        while let Some(line) = self.server.next_line(client) {
            let text = String::from_utf8(line).expect("lines are UTF-8");
            let line = text
                .strip_suffix('\n')
                .expect("a line ends with a line feed");
            assert!(!line.contains('\n'), "one line at a time: {line}");
            let _ = writeln!(self.text, "{client}< {line}");
        }
    }

    /// Advances the clock and wakes the server at each time that it asks for.
    pub fn advance_ms(&mut self, ms: u64) {
        self.note(&format!("{ms} ms pass"));
        let end = self.now + Micros(1000 * ms);
        while let Some(at) = self.server.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.settle();
        }
        self.now = end;
        self.settle();
    }

    /// The scheduler's id of a job.
    pub fn request_id(&self, job: &str) -> RequestId {
        let mut open_jobs = self.scheduler.open_jobs.iter();
        let found = open_jobs.find(|(_, accepted)| accepted.job_id == job);
        *found.expect("the job is with the scheduler").0
    }

    /// Sends a job to a worker, which reports its start.
    pub fn start_job(&mut self, job: &str) {
        self.note(&format!("{job} runs"));
        let id = self.request_id(job);
        if let Some(accepted) = self.scheduler.open_jobs.get_mut(&id) {
            accepted.sent = Some(self.now);
        }
        self.server.handle_started(self.now, id, Some("w1".into()));
        self.settle();
    }

    /// Reports that a worker has returned a running job, which will be retried.
    pub fn requeue(&mut self, job: &str) {
        self.note(&format!("{job} is requeued"));
        let id = self.request_id(job);
        self.server.handle_requeued(self.now, id);
        self.settle();
    }

    /// Ends a job with the scheduler's verdict; the transcript describes it with `how`.
    pub fn end_job(&mut self, job: &str, how: &str, verdict: Verdict) {
        self.note(&format!("{job} {how}"));
        let id = self.request_id(job);
        let accepted = self
            .scheduler
            .open_jobs
            .remove(&id)
            .expect("the job is with the scheduler");
        let is_rejected = matches!(verdict, Verdict::Rejected { .. });
        let sent = accepted.sent.filter(|_| !is_rejected);
        assert!(self.server.handle_verdict(self.now, id, verdict, sent));
        self.settle();
    }

    /// Takes the messages for a partner process, one per line.
    pub fn messages_for_partner(&mut self, partner: Partner) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(message) = self.server.next_transfer(partner) {
            lines.push(serde_json::to_string(&message).expect("messages are serializable"));
        }
        lines
    }

    /// Passes a partner's message to the server.
    pub fn receive_from_partner(&mut self, partner: Partner, line: &str) {
        let message: Transfer = serde_json::from_str(line).expect("the line is a message");
        let (now, scheduler) = (self.now, &mut self.scheduler);
        self.server
            .handle_transfer(now, partner, message, scheduler);
        self.settle();
    }
}
