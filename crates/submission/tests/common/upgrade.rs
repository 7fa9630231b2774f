//! Upgrades of a server: the messages between two processes, and a chain of processes that replace each other.

use super::{limits, Harness};
use marbledeck_submission::server::ClientId;
use marbledeck_submission::Partner;
use serde_json::Value;

/// Exchanges at most `max_messages` messages between predecessor and successor.
pub fn exchange(old: &mut Harness, new: &mut Harness, max_messages: usize) -> usize {
    let mut exchanged = 0;
    loop {
        let before = exchanged;
        exchanged += send_messages(old, new, Partner::Successor, max_messages - exchanged);
        exchanged += send_messages(new, old, Partner::Predecessor, max_messages - exchanged);
        if exchanged == before {
            return exchanged;
        }
    }
}

/// Sends at most `max_messages` messages to a process, which has the role `receiver` for the sender.
fn send_messages(
    from: &mut Harness,
    to: &mut Harness,
    receiver: Partner,
    max_messages: usize,
) -> usize {
    let sender = match receiver {
        Partner::Predecessor => Partner::Successor,
        Partner::Successor => Partner::Predecessor,
    };
    for sent in 0..max_messages {
        let Some(message) = from.server.next_transfer(receiver) else {
            return sent;
        };
        let message = serde_json::from_value(serde_json::to_value(message).unwrap()).unwrap();
        to.server
            .handle_transfer(to.now, sender, message, &mut to.scheduler);
    }
    max_messages
}

/// A process with a client, which can be replaced by a successor.
pub struct Upgrade {
    pub serving: Harness,
    pub client: ClientId,
    /// The number of processes so far.
    processes: u64,
}

impl Upgrade {
    /// The first process.
    pub fn new() -> Self {
        let mut serving = Harness::with_prefix(limits(), "n0-0");
        serving.connect(0);
        Upgrade {
            serving,
            client: 0,
            processes: 1,
        }
    }

    /// Sends a request of the client, and returns the answer.
    pub fn request(&mut self, line: Value) -> Value {
        self.serving.send_request(self.client, line)
    }

    /// Starts a successor, and returns the process that is to be replaced. Nothing has been sent between them yet.
    pub fn start_successor(&mut self) -> Harness {
        let mut successor = Harness::with_prefix(limits(), &format!("n0-{}", self.processes));
        successor.now = self.serving.now;
        successor.server.expect_predecessor(successor.now);
        let mut old = std::mem::replace(&mut self.serving, successor);
        old.server.begin_handover();
        old.server.handle_disconnect(old.now, self.client);
        self.processes += 1;
        self.client += 1;
        self.serving.connect(self.client);
        old
    }

    /// Sends the state of the old process, which ends then.
    pub fn finish(&mut self, mut old: Harness) {
        exchange(&mut old, &mut self.serving, usize::MAX);
        assert!(old.server.is_handover_complete());
        let now = self.serving.now;
        let server = &mut self.serving.server;
        server.handle_partner_lost(now, Partner::Predecessor);
        self.serving.run_turn();
    }

    /// Replaces the process by a successor.
    pub fn upgrade(&mut self) {
        let old = self.start_successor();
        self.finish(old);
    }
}
