//! The work of all nodes at each step: they act on records, run attempts and renew their leases.

use super::{Message, Simulation, LONGEST_RUN_US};
use marbledeck_consensus::{Command, Operation, ReadTicket, RecordValidity};
use marbledeck_licensing::LicenceId;

impl Simulation {
    /// Runs one step of every node that is neither killed nor paused.
    pub fn step_nodes(&mut self) {
        let time = self.time;
        for n in 0..self.nodes.len() {
            if !self.nodes[n].up || self.nodes[n].paused_until > time {
                continue;
            }
            self.act_on_records(n);
            self.end_attempts(n);
            self.begin_attempt(n);
            if self.nodes[n].next_read <= time {
                self.request_read(n);
            }
        }
        self.running.retain(|end| *end > time);
        self.max_running = self.max_running.max(self.running.len());
        self.used_seat_steps += self.running.len() as u64;
        assert!(
            self.running.len() <= self.pool_seats as usize,
            "{} seats in use of {}",
            self.running.len(),
            self.pool_seats
        );
    }

    /// Records the versions that the node may act on now.
    fn act_on_records(&mut self, n: usize) {
        let time = self.time;
        let node = &mut self.nodes[n];
        let now = node.local_time(time);
        let names: Vec<String> = node.reader.record_names().map(str::to_owned).collect();
        for name in names {
            if let RecordValidity::Active(record) = node.reader.validity(now, &name) {
                let last = node.last_versions.entry(name.clone()).or_default();
                assert!(
                    record.version >= *last,
                    "{name}: the node went back to an earlier version"
                );
                *last = record.version;
                self.active_periods.record(time, &name, record.version);
            }
        }
    }

    fn end_attempts(&mut self, n: usize) {
        let time = self.time;
        let node = &mut self.nodes[n];
        while let Some(index) = node.attempts.iter().position(|(end, ..)| *end <= time) {
            let (_, sent, end_is_known) = node.attempts.swap_remove(index);
            node.allocator
                .release(sent, &[LicenceId(0)], 0, end_is_known);
        }
    }

    fn begin_attempt(&mut self, n: usize) {
        let time = self.time;
        let node = &mut self.nodes[n];
        let now = node.local_time(time);
        // Shifting demand is at another quarter of the nodes every 10 seconds.
        let has_demand = !self.shifting_demand || (n as u64 + time / 10_000_000).is_multiple_of(4);
        if !has_demand
            || !self
                .rng
                .chance(if self.shifting_demand { 0.5 } else { 0.05 })
        {
            return;
        }
        if node.allocator.acquire(now, &[LicenceId(0)], 0).is_err() {
            self.denied_attempts += 1;
            return;
        }
        self.grants += 1;
        // The attempt runs to its end at the worker even if the node is killed.
        let end = time + 10_000 + self.rng.below(LONGEST_RUN_US - 10_000);
        let end_is_known = self.rng.chance(0.8);
        let observed_end = if end_is_known {
            end
        } else {
            time + self.rng.below(end - time)
        };
        self.running.push(end);
        node.attempts.push((observed_end, now, end_is_known));
    }

    fn request_read(&mut self, n: usize) {
        let time = self.time;
        let node = &mut self.nodes[n];
        let now = node.local_time(time);
        node.next_read = time + 200_000 + self.rng.below(60_000);
        if self.rng.chance(0.2) || !node.reader.has_lease(now) {
            node.voter = 1 + self.rng.below(self.slots.len() as u64);
        }
        let ReadTicket {
            request_id,
            known_revision,
        } = node.reader.begin_read(now);
        let seat_command = node.allocator.poll_command(now).map(|numbered| Command {
            node: n as u32,
            incarnation: node.incarnation,
            number: numbered.number,
            operation: Operation::Seats(numbered.command),
        });
        let commands = seat_command.into_iter().chain(node.pending_change.clone());
        let message = Message::ReadRequest {
            node: n,
            to: node.voter,
            request_id,
            known_revision,
            incarnation: node.incarnation,
            commands: commands.collect(),
        };
        let to = node.voter;
        self.reads_sent += 1;
        self.send(1000 + n as u64, to, message);
    }
}
