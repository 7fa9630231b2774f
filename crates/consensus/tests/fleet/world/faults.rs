//! Random faults.

use super::{World, TERMS};
use marbledeck_consensus::{LeasedReader, Voter};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::SeatAllocator;

/// The probability of each kind of fault, for each second.
pub fn no_faults() -> Faults {
    Faults {
        cuts: 0.0,
        kills: 0.0,
        stops: 0.0,
        full: 0.0,
        restarts: 0.5,
    }
}

#[derive(Clone, Copy)]
pub struct Faults {
    pub cuts: f64,
    pub kills: f64,
    pub stops: f64,
    pub full: f64,
    /// That a killed voter starts again.
    pub restarts: f64,
}

pub const ALL_FAULTS: Faults = Faults {
    cuts: 0.4,
    kills: 0.4,
    stops: 0.6,
    full: 0.15,
    restarts: 0.5,
};

impl World {
    /// Plays one round of faults, and of recoveries.
    pub fn fault(&mut self, faults: Faults) {
        let voters = self.seats.len() as u64;
        if self.rng.chance(faults.cuts) {
            self.cut_connection(voters);
        }
        if self.rng.chance(faults.kills) {
            self.kill_voter(voters);
        }
        if self.rng.chance(faults.stops) {
            let n = self.rng.below(self.nodes.len() as u64) as usize;
            let span = self.rng.below(4_000_000);
            self.nodes[n].stopped_until = self.at + span;
        }
        if self.rng.chance(faults.stops / 2.0) {
            self.restart_node();
        }
        if self.rng.chance(faults.full) {
            let v = self.rng.below(voters) as usize;
            self.seats[v].disk.full = true;
        }
        for v in 0..self.seats.len() {
            self.recover(v, voters, faults);
        }
    }

    /// Nothing passes between two for a while.
    fn cut_connection(&mut self, voters: u64) {
        let at = self.at;
        // One way or both, between voters or between a node and a voter.
        let node = 1000 + self.rng.below(self.nodes.len() as u64);
        let (a, b) = (1 + self.rng.below(voters), 1 + self.rng.below(voters));
        let (a, b) = if self.rng.chance(0.3) {
            (node, b)
        } else {
            (a, b)
        };
        let until = at + self.rng.below(5_000_000);
        self.cuts.push((a, b, until));
        if self.rng.chance(0.5) {
            self.cuts.push((b, a, until));
        }
    }

    /// A voter ends, and what it was writing is lost.
    fn kill_voter(&mut self, voters: u64) {
        let v = self.rng.below(voters) as usize;
        let seat = &mut self.seats[v];
        (seat.voter, seat.reclaimer) = (None, None);
        seat.asks.clear();
        seat.disk.waiting.clear();
        seat.disk.queued.clear();
        seat.disk.busy = 0;
        // What was under way is lost: it was not known to be durable.
        seat.boot += 1;
    }

    /// A node is killed and restarted.
    fn restart_node(&mut self) {
        // Killed, and started again soon: its calls go on at their workers.
        let n = self.rng.below(self.nodes.len() as u64) as usize;
        let node = &mut self.nodes[n];
        node.boot += 1;
        node.reader = LeasedReader::new(TERMS);
        node.allocator = SeatAllocator::new(vec!["codec".into()], Vec::new(), Micros(2_000_000));
        node.calls.clear();
        node.change = None;
        node.seen.clear();
    }

    /// A full disk may get room, and a killed voter may start again.
    fn recover(&mut self, v: usize, voters: u64, faults: Faults) {
        if self.rng.chance(0.4) && self.seats[v].disk.busy <= self.at {
            let seat = &mut self.seats[v];
            seat.disk.full = false;
            let waiting = std::mem::take(&mut seat.disk.waiting);
            if let Some(voter) = &mut seat.voter {
                for save in waiting {
                    seat.disk.write(&save);
                    voter.handle_persisted(save.ticket);
                }
            }
        }
        if self.seats[v].voter.is_none() && self.rng.chance(faults.restarts) {
            let ids: Vec<u64> = (1..=voters).collect();
            let seat = &mut self.seats[v];
            seat.boot += 1;
            let voter = Voter::new(v as u64 + 1, &ids, seat.boot, &seat.disk.durable);
            seat.voter = Some(voter.expect("what was stored is sound"));
        }
    }
}
