//! A session with the server as text: every line in and out, in virtual time.

use super::Script;
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::server::ClientId;
use marbledeck_submission::{Limits, Partner, Server, Transfer, Verdict};
use std::fmt::Write;

/// More turns than any step of a test needs.
const MAX_TURNS: usize = 10_000;

/// A server whose lines are written down: `>` marks a line from a client, `<` one to it, `#` what happens besides.
pub struct Transcript {
    pub now: Micros,
    pub server: Server,
    pub scheduler: Script,
    text: String,
}

impl Transcript {
    pub fn new(limits: Limits, prefix: &str) -> Self {
        Transcript {
            now: Micros(1_000_000_000),
            server: Server::new(limits, prefix.to_owned()),
            scheduler: Script::default(),
            text: String::new(),
        }
    }

    /// The text so far; what follows begins anew.
    pub fn take_text(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.text, "# {text}");
    }

    pub fn connect(&mut self, peer: ClientId) {
        self.note(&format!("{peer} connects"));
        self.server.handle_connect(peer);
    }

    pub fn disconnect(&mut self, peer: ClientId) {
        self.note(&format!("{peer} disconnects"));
        self.server.handle_disconnect(self.now, peer);
        self.settle();
    }

    /// Passes in a line; nothing that follows from it happens yet.
    pub fn pass_in(&mut self, peer: ClientId, line: &[u8]) {
        assert!(self.server.accepts_line(peer), "not read from");
        let shown = match std::str::from_utf8(line) {
            Ok(text) => text.to_owned(),
            Err(_) => line.escape_ascii().to_string(),
        };
        let _ = writeln!(self.text, "{peer}> {shown}");
        self.server
            .handle_line(self.now, peer, line, &mut self.scheduler);
    }

    /// Passes in a line and lets everything happen that follows from it.
    pub fn say(&mut self, peer: ClientId, line: &str) {
        self.pass_in(peer, line.as_bytes());
        self.settle();
    }

    /// Does everything that is due and reads all output.
    pub fn settle(&mut self) {
        for _ in 0..MAX_TURNS {
            self.server.wake(self.now, &mut self.scheduler);
            self.server.answer_submissions(self.now);
            let readable = self.server.take_readable_clients();
            for peer in &readable {
                self.read_all(*peer);
            }
            let due = self.server.next_wake().is_some_and(|at| at <= self.now);
            if !due && readable.is_empty() {
                return;
            }
        }
        panic!("the server does not come to rest");
    }

    fn read_all(&mut self, peer: ClientId) {
        while let Some(line) = self.server.next_line(peer) {
            let text = String::from_utf8(line).expect("lines are UTF-8");
            let line = text.strip_suffix('\n').expect("a line has its end");
            assert!(!line.contains('\n'), "one line at a time: {line}");
            let _ = writeln!(self.text, "{peer}< {line}");
        }
    }

    /// Lets time pass and wakes the server whenever it asks for it.
    pub fn pass_ms(&mut self, ms: u64) {
        self.note(&format!("{ms} ms pass"));
        let end = self.now + Micros(1000 * ms);
        while let Some(at) = self.server.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.settle();
        }
        self.now = end;
        self.settle();
    }

    /// The request as which a job is with the scheduler.
    pub fn request(&self, job: &str) -> RequestId {
        let mut accepted = self.scheduler.open.iter();
        let found = accepted.find(|(_, job_with_scheduler)| job_with_scheduler.job_id == job);
        *found.expect("with the scheduler").0
    }

    /// A worker is sent a job and begins to run it.
    pub fn run(&mut self, job: &str) {
        self.note(&format!("{job} runs"));
        let id = self.request(job);
        if let Some(accepted) = self.scheduler.open.get_mut(&id) {
            accepted.sent = Some(self.now);
        }
        self.server.handle_started(self.now, id, Some("w1".into()));
        self.settle();
    }

    /// A job that ran was returned and is to be retried.
    pub fn requeue(&mut self, job: &str) {
        self.note(&format!("{job} comes back"));
        let id = self.request(job);
        self.server.handle_requeued(self.now, id);
        self.settle();
    }

    /// The scheduler ends a job; `how` says it in the transcript.
    pub fn end(&mut self, job: &str, how: &str, verdict: Verdict) {
        self.note(&format!("{job} {how}"));
        let id = self.request(job);
        let accepted = self.scheduler.open.remove(&id).expect("with the scheduler");
        let is_rejected = matches!(verdict, Verdict::Rejected { .. });
        let sent = accepted.sent.filter(|_| !is_rejected);
        assert!(self.server.handle_verdict(self.now, id, verdict, sent));
        self.settle();
    }

    /// The messages of this process for its partner, one per line.
    pub fn lines_for_partner(&mut self, partner: Partner) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(message) = self.server.next_transfer(partner) {
            lines.push(serde_json::to_string(&message).expect("messages are written"));
        }
        lines
    }

    /// This process receives a message of its partner.
    pub fn receive_from_partner(&mut self, partner: Partner, line: &str) {
        let message: Transfer = serde_json::from_str(line).expect("messages are read");
        let (now, scheduler) = (self.now, &mut self.scheduler);
        self.server
            .handle_transfer(now, partner, message, scheduler);
        self.settle();
    }
}
