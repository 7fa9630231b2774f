//! Delivery of messages.

use super::{Message, Simulation};
use marbledeck_consensus::wire::{ReadResponse, MAX_COMMANDS_PER_REQUEST};
use marbledeck_consensus::{Command, Outcome, PersistRequest, Record, RecordBody, RecordValidity};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::ConfirmedSeats;

impl Simulation {
    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Raft { sender, to, bytes } => {
                if let Some(voter) = &mut self.slots[to as usize - 1].voter {
                    voter
                        .handle_message(sender, &bytes)
                        .expect("a voter's message");
                }
            }
            Message::ReadRequest {
                node,
                to,
                request_id,
                known_revision,
                incarnation,
                commands,
            } => self.deliver_request(
                to,
                (node, request_id, known_revision, incarnation),
                &commands,
            ),
            Message::ReadResponse {
                node,
                incarnation,
                response,
            } => self.deliver_response(node, incarnation, &response),
            Message::Persisted {
                voter,
                incarnation,
                requests,
            } => self.deliver_persisted(voter, incarnation, &requests),
            Message::ContactReport { to, nodes } => {
                let time = self.time;
                if let Some(reclaimer) = &mut self.slots[to as usize - 1].reclaimer {
                    for (node, incarnation) in nodes {
                        reclaimer.record_contact(Micros(time), node, incarnation);
                    }
                }
            }
        }
    }

    fn deliver_request(&mut self, to: u64, request: (usize, u64, u64, u64), commands: &[Command]) {
        let (node, _, _, incarnation) = request;
        let slot = &mut self.slots[to as usize - 1];
        if let Some(voter) = &mut slot.voter {
            slot.last_read += 1;
            slot.reads.insert(slot.last_read, request);
            slot.contacts.insert(node as u32, incarnation);
            voter.request_read(slot.last_read);
            for command in commands.iter().take(MAX_COMMANDS_PER_REQUEST) {
                voter.propose(command);
            }
        }
    }

    fn deliver_response(&mut self, node: usize, incarnation: u64, response: &ReadResponse) {
        let time = self.time;
        let node = &mut self.nodes[node];
        if !node.up || node.incarnation != incarnation || node.paused_until > time {
            return;
        }
        let now = node.local_time(time);
        if !node.reader.apply_response(now, response) {
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
            free_seats: response.free_seats.clone(),
            lease_expiry: node.reader.lease_expiry(),
            last_applied_command: response.last_seat_operation,
            allocations: response.held_seats(),
            pools,
        });
        if let (Some(change), Some((number, outcome))) =
            (&node.pending_change, &response.last_change)
        {
            if change.number == *number {
                self.changes_applied += u64::from(*outcome == Outcome::Done);
                node.pending_change = None;
            }
        }
    }

    fn deliver_persisted(&mut self, voter: u64, incarnation: u64, requests: &[PersistRequest]) {
        let slot = &mut self.slots[voter as usize - 1];
        for request in requests.iter().filter(|_| slot.incarnation == incarnation) {
            slot.disk.write(request);
            if let Some(voter) = &mut slot.voter {
                voter.handle_persisted(request.ticket);
            }
        }
    }
}
