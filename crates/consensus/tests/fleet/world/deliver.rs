//! Delivery of messages.

use super::{Msg, World};
use marbledeck_consensus::wire::{ReadResponse, MAX_COMMANDS_PER_REQUEST};
use marbledeck_consensus::{Command, Outcome, PersistRequest, Record, RecordBody, RecordValidity};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::ConfirmedSeats;

impl World {
    pub fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::Raft { from, to, bytes } => {
                if let Some(voter) = &mut self.seats[to as usize - 1].voter {
                    voter
                        .handle_message(from, &bytes)
                        .expect("a voter's message");
                }
            }
            Msg::Ask {
                node,
                to,
                question,
                known,
                boot,
                commands,
            } => self.deliver_request(to, (node, question, known, boot), &commands),
            Msg::ReadResponse { node, boot, answer } => self.deliver_response(node, boot, &answer),
            Msg::Saved { voter, boot, saves } => self.deliver_persisted(voter, boot, &saves),
            Msg::ContactReport { to, nodes } => {
                let at = self.at;
                if let Some(reclaimer) = &mut self.seats[to as usize - 1].reclaimer {
                    for (node, boot) in nodes {
                        reclaimer.record_contact(Micros(at), node, boot);
                    }
                }
            }
        }
    }

    fn deliver_request(&mut self, to: u64, request: (usize, u64, u64, u64), commands: &[Command]) {
        let (node, _, _, boot) = request;
        let seat = &mut self.seats[to as usize - 1];
        if let Some(voter) = &mut seat.voter {
            seat.next += 1;
            seat.asks.insert(seat.next, request);
            seat.contacts.insert(node as u32, boot);
            voter.request_read(seat.next);
            for command in commands.iter().take(MAX_COMMANDS_PER_REQUEST) {
                voter.propose(command);
            }
        }
    }

    fn deliver_response(&mut self, node: usize, boot: u64, answer: &ReadResponse) {
        let at = self.at;
        let node = &mut self.nodes[node];
        if !node.up || node.boot != boot || node.stopped_until > at {
            return;
        }
        let now = node.now(at);
        if !node.reader.apply_response(now, answer) {
            return;
        }
        let pools = match node.reader.validity(now, "seats/codec") {
            RecordValidity::Active(Record {
                body: Some(RecordBody::Pool(pool)),
                ..
            }) => {
                vec![("codec".to_owned(), Micros(pool.longest_run_ms * 1000))]
            }
            _ => Vec::new(),
        };
        node.allocator.apply_confirmed(&ConfirmedSeats {
            free_seats: answer.free_seats.clone(),
            lease_expiry: node.reader.lease_expiry(),
            last_applied_command: answer.last_seat_operation,
            allocations: answer.held_seats(),
            pools,
        });
        if let (Some(change), Some((number, outcome))) = (&node.change, &answer.last_change) {
            if change.number == *number {
                self.done += u64::from(*outcome == Outcome::Done);
                node.change = None;
            }
        }
    }

    fn deliver_persisted(&mut self, voter: u64, boot: u64, saves: &[PersistRequest]) {
        let seat = &mut self.seats[voter as usize - 1];
        for save in saves.iter().filter(|_| seat.boot == boot) {
            seat.disk.write(save);
            if let Some(voter) = &mut seat.voter {
                voter.handle_persisted(save.ticket);
            }
        }
    }
}
