//! A session with the server as text: every line in and out, in virtual time.

use super::Script;
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::server::Peer;
use marbledeck_submission::{Limits, Server, Side, Transfer, Verdict};
use std::fmt::Write;

/// More turns than any step of a test needs.
const MOST_TURNS: usize = 10_000;

/// A server whose lines are written down: `>` marks a line from a submitter, `<` one to it, `#` what happens besides.
pub struct Transcript {
    pub now: Micros,
    pub server: Server,
    pub desk: Script,
    text: String,
}

impl Transcript {
    pub fn new(limits: Limits, prefix: &str) -> Self {
        Transcript {
            now: Micros(1_000_000_000),
            server: Server::new(limits, prefix.to_owned()),
            desk: Script::default(),
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

    pub fn connect(&mut self, peer: Peer) {
        self.note(&format!("{peer} connects"));
        self.server.connect(peer);
    }

    pub fn disconnect(&mut self, peer: Peer) {
        self.note(&format!("{peer} disconnects"));
        self.server.disconnect(self.now, peer);
        self.settle();
    }

    /// Hands in a line, and nothing that follows from it happens yet.
    pub fn hand_in(&mut self, peer: Peer, line: &[u8]) {
        assert!(self.server.wants_line(peer), "not read from");
        let shown = match std::str::from_utf8(line) {
            Ok(text) => text.to_owned(),
            Err(_) => line.escape_ascii().to_string(),
        };
        let _ = writeln!(self.text, "{peer}> {shown}");
        self.server.line(self.now, peer, line, &mut self.desk);
    }

    /// Hands in a line and lets all that follows from it happen.
    pub fn say(&mut self, peer: Peer, line: &str) {
        self.hand_in(peer, line.as_bytes());
        self.settle();
    }

    /// Everything that is due by now, and the reading of it.
    pub fn settle(&mut self) {
        for _ in 0..MOST_TURNS {
            self.server.wake(self.now, &mut self.desk);
            self.server.admitted(self.now);
            let talkative = self.server.take_talkative();
            for peer in &talkative {
                self.read_all(*peer);
            }
            let due = self.server.next_wake().is_some_and(|at| at <= self.now);
            if !due && talkative.is_empty() {
                return;
            }
        }
        panic!("the server does not come to rest");
    }

    fn read_all(&mut self, peer: Peer) {
        while let Some(line) = self.server.pull(peer) {
            let text = String::from_utf8(line).expect("lines are UTF-8");
            let line = text.strip_suffix('\n').expect("a line has its end");
            assert!(!line.contains('\n'), "one line at a time: {line}");
            let _ = writeln!(self.text, "{peer}< {line}");
        }
    }

    /// Lets time pass, waking the server whenever it wants to be.
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

    /// The order of a job that is with the decisions.
    pub fn order(&self, job: &str) -> RequestId {
        let mut orders = self.desk.open.iter();
        let found = orders.find(|(_, order)| order.txn == job);
        *found.expect("with the decisions").0
    }

    /// A worker is sent a job and begins to run it.
    pub fn run(&mut self, job: &str) {
        self.note(&format!("{job} runs"));
        let id = self.order(job);
        if let Some(order) = self.desk.open.get_mut(&id) {
            order.sent = Some(self.now);
        }
        self.server.running(self.now, id, Some("w1".into()));
        self.settle();
    }

    /// A job that ran has come back and is to run once more.
    pub fn requeue(&mut self, job: &str) {
        self.note(&format!("{job} comes back"));
        let id = self.order(job);
        self.server.requeued(self.now, id);
        self.settle();
    }

    /// The decisions end a job; `how` says it in the transcript.
    pub fn end(&mut self, job: &str, how: &str, verdict: Verdict) {
        self.note(&format!("{job} {how}"));
        let id = self.order(job);
        let order = self.desk.open.remove(&id).expect("with the decisions");
        let refused = matches!(verdict, Verdict::Rejected(_));
        let sent = order.sent.filter(|_| !refused);
        assert!(self.server.answer(self.now, id, verdict, sent));
        self.settle();
    }

    /// What this process tells its partner now, a line each.
    pub fn tell_partner(&mut self, side: Side) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(message) = self.server.pull_transfer(side) {
            lines.push(serde_json::to_string(&message).expect("messages are written"));
        }
        lines
    }

    /// A partner tells this process a line.
    pub fn hear_partner(&mut self, side: Side, line: &str) {
        let message: Transfer = serde_json::from_str(line).expect("messages are read");
        let (now, desk) = (self.now, &mut self.desk);
        self.server.take_transfer(now, side, message, desk);
        self.settle();
    }
}
