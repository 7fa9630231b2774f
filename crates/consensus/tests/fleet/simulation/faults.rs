//! Random faults, and recoveries from them.

use super::{Simulation, TERMS};
use marbledeck_consensus::{LeasedReader, Voter};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::SeatAllocator;

/// No faults; killed voters are restarted.
pub fn no_faults() -> Faults {
    Faults {
        cut_connection: 0.0,
        kill_voter: 0.0,
        pause_node: 0.0,
        fill_disk: 0.0,
        restart_voter: 0.5,
    }
}

/// The probability of each kind of fault, per second.
#[derive(Clone, Copy)]
pub struct Faults {
    pub cut_connection: f64,
    pub kill_voter: f64,
    pub pause_node: f64,
    pub fill_disk: f64,
    /// The probability that a killed voter is restarted.
    pub restart_voter: f64,
}

pub const ALL_FAULTS: Faults = Faults {
    cut_connection: 0.4,
    kill_voter: 0.4,
    pause_node: 0.6,
    fill_disk: 0.15,
    restart_voter: 0.5,
};

impl Simulation {
    /// Injects random faults, and lets voters and disks recover from earlier ones.
    pub fn inject_faults(&mut self, faults: Faults) {
        let voters = self.slots.len() as u64;
        if self.rng.chance(faults.cut_connection) {
            self.cut_connection(voters);
        }
        if self.rng.chance(faults.kill_voter) {
            self.kill_voter(voters);
        }
        if self.rng.chance(faults.pause_node) {
            let n = self.rng.below(self.nodes.len() as u64) as usize;
            let duration = self.rng.below(4_000_000);
            self.nodes[n].paused_until = self.time + duration;
        }
        if self.rng.chance(faults.pause_node / 2.0) {
            self.restart_node();
        }
        if self.rng.chance(faults.fill_disk) {
            let v = self.rng.below(voters) as usize;
            self.slots[v].disk.full = true;
        }
        for v in 0..self.slots.len() {
            self.recover(v, voters, faults);
        }
    }

    /// Cuts a connection for up to 5 seconds.
    fn cut_connection(&mut self, voters: u64) {
        let time = self.time;
        // In one or both directions, between two voters or between a node and a voter.
        let node = 1000 + self.rng.below(self.nodes.len() as u64);
        let (a, b) = (1 + self.rng.below(voters), 1 + self.rng.below(voters));
        let (a, b) = if self.rng.chance(0.3) {
            (node, b)
        } else {
            (a, b)
        };
        let until = time + self.rng.below(5_000_000);
        self.cuts.push((a, b, until));
        if self.rng.chance(0.5) {
            self.cuts.push((b, a, until));
        }
    }

    /// Kills a voter; the requests that its disk had not written are lost.
    fn kill_voter(&mut self, voters: u64) {
        let v = self.rng.below(voters) as usize;
        let slot = &mut self.slots[v];
        (slot.voter, slot.reclaimer) = (None, None);
        slot.reads.clear();
        slot.disk.blocked.clear();
        slot.disk.queued.clear();
        slot.disk.busy_until = 0;
        // The new incarnation makes the completion of the current write be ignored.
        slot.incarnation += 1;
    }

    /// A node is killed and restarted.
    fn restart_node(&mut self) {
        // The attempts that it had begun continue at their workers.
        let n = self.rng.below(self.nodes.len() as u64) as usize;
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        node.reader = LeasedReader::new(TERMS);
        node.allocator = SeatAllocator::new(vec!["codec".into()], Vec::new(), Micros(2_000_000));
        node.attempts.clear();
        node.pending_change = None;
        node.last_versions.clear();
    }

    /// A full disk may get free space, and a killed voter may be restarted.
    fn recover(&mut self, v: usize, voters: u64, faults: Faults) {
        if self.rng.chance(0.4) && self.slots[v].disk.busy_until <= self.time {
            let slot = &mut self.slots[v];
            slot.disk.full = false;
            let blocked = std::mem::take(&mut slot.disk.blocked);
            if let Some(voter) = &mut slot.voter {
                for request in blocked {
                    slot.disk.write(&request);
                    voter.handle_persisted(request.ticket);
                }
            }
        }
        if self.slots[v].voter.is_none() && self.rng.chance(faults.restart_voter) {
            let ids: Vec<u64> = (1..=voters).collect();
            let slot = &mut self.slots[v];
            slot.incarnation += 1;
            let voter = Voter::new(v as u64 + 1, &ids, slot.incarnation, &slot.disk.persisted);
            slot.voter = Some(voter.expect("valid persisted state"));
        }
    }
}
