//! What every node does at each step: it acts on records, runs attempts and renews its lease.

use super::{Msg, World, LONGEST};
use marbledeck_consensus::{Command, Operation, ReadTicket, RecordValidity};
use marbledeck_licensing::LicenceId;

impl World {
    /// Every node that runs acts, takes seats and requests reads.
    pub fn step_nodes(&mut self) {
        let at = self.at;
        for n in 0..self.nodes.len() {
            if !self.nodes[n].up || self.nodes[n].stopped_until > at {
                continue;
            }
            self.act_on_records(n);
            self.end_attempts(n);
            self.begin_attempt(n);
            if self.nodes[n].ask_at <= at {
                self.request_read(n);
            }
        }
        self.running.retain(|end| *end > at);
        self.most = self.most.max(self.running.len());
        self.in_use += self.running.len() as u64;
        assert!(
            self.running.len() <= self.pool as usize,
            "{} seats in use of {}",
            self.running.len(),
            self.pool
        );
    }

    /// Notes which versions the node would act on now.
    fn act_on_records(&mut self, n: usize) {
        let at = self.at;
        let node = &mut self.nodes[n];
        let now = node.now(at);
        let names: Vec<String> = node.reader.record_names().map(str::to_owned).collect();
        for name in names {
            if let RecordValidity::Active(record) = node.reader.validity(now, &name) {
                let last = node.seen.entry(name.clone()).or_default();
                assert!(record.version >= *last, "{name} went back");
                *last = record.version;
                self.acts.note(at, &name, record.version);
            }
        }
    }

    fn end_attempts(&mut self, n: usize) {
        let at = self.at;
        let node = &mut self.nodes[n];
        while let Some(index) = node.calls.iter().position(|(end, ..)| *end <= at) {
            let (_, sent, known) = node.calls.swap_remove(index);
            node.allocator.release(sent, &[LicenceId(0)], 0, known);
        }
    }

    fn begin_attempt(&mut self, n: usize) {
        let at = self.at;
        let node = &mut self.nodes[n];
        let now = node.now(at);
        // Where demand moves, a quarter of the nodes has it at a time.
        let wants = !self.greedy || (n as u64 + at / 10_000_000).is_multiple_of(4);
        if !wants || !self.rng.chance(if self.greedy { 0.5 } else { 0.05 }) {
            return;
        }
        if node.allocator.acquire(now, &[LicenceId(0)], 0).is_err() {
            self.refused += 1;
            return;
        }
        self.grants += 1;
        // It runs at its worker whatever becomes of the node.
        let ends = at + 10_000 + self.rng.below(LONGEST - 10_000);
        let known = self.rng.chance(0.8);
        let observed_end = if known {
            ends
        } else {
            at + self.rng.below(ends - at)
        };
        self.running.push(ends);
        node.calls.push((observed_end, now, known));
    }

    fn request_read(&mut self, n: usize) {
        let at = self.at;
        let node = &mut self.nodes[n];
        let now = node.now(at);
        node.ask_at = at + 200_000 + self.rng.below(60_000);
        if self.rng.chance(0.2) || !node.reader.has_lease(now) {
            node.voter = 1 + self.rng.below(self.seats.len() as u64);
        }
        let ReadTicket {
            request_id,
            known_revision,
        } = node.reader.begin_read(now);
        let seat_command = node.allocator.poll_command(now).map(|numbered| Command {
            node: n as u32,
            incarnation: node.boot,
            number: numbered.number,
            operation: Operation::Seats(numbered.command),
        });
        let commands = seat_command.into_iter().chain(node.change.clone());
        let message = Msg::Ask {
            node: n,
            to: node.voter,
            question: request_id,
            known: known_revision,
            boot: node.boot,
            commands: commands.collect(),
        };
        let to = node.voter;
        self.asked += 1;
        self.send(1000 + n as u64, to, message);
    }
}
