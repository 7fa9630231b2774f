//! Reads the records: a node queries one voter at a time, and sends its commands with the query. It moves on to the next
//! voter where one does not answer. A node that votes queries its own voter.

use super::connections::RECONNECT_INTERVAL;
use super::voting::{Query, Voting};
use super::Consensus;
use crate::context::Context;
use crate::net::{Net, Token};
use marbledeck_consensus::wire::{Frame, NodeMessage, ReadResponse};
use marbledeck_consensus::{Command, Operation, Outcome};
use marbledeck_dispatcher::Micros;

/// A query that was not answered yet.
pub(super) struct PendingQuery {
    /// When the query times out.
    pub(super) deadline: Micros,
    /// The voter that was queried; `None` for this node's own.
    pub(super) voter: Option<u64>,
}

/// Where a query is sent.
#[derive(Clone, Copy)]
enum QueryTarget {
    /// To the voter of this node.
    Own,
    /// To another voter, over this connection.
    Voter { number: u64, connection: Token },
}

impl Consensus {
    /// Sends the next query, if it is due and none is pending.
    pub(super) fn poll(&mut self, now: Micros, context: &mut Context) {
        self.expire_pending_query(now, &mut context.net);
        if self.pending_query.is_some() || now < self.next_query {
            return;
        }
        self.next_query = now + self.config.query_interval();
        let Some(query_target) = self.query_target(now, &mut context.net) else {
            self.voter_position += 1;
            self.next_query = now + RECONNECT_INTERVAL;
            return;
        };
        let commands = self.next_commands(now, context);
        let Some(reader) = &mut context.records.reader else {
            return;
        };
        let ticket = reader.begin_read(now);
        self.pending_query = Some(PendingQuery {
            deadline: now + self.config.query_timeout(),
            voter: match query_target {
                QueryTarget::Own => None,
                QueryTarget::Voter { number, .. } => Some(number),
            },
        });
        let query = Query {
            connection: None,
            node: self.config.node,
            number: ticket.request_id,
            known_revision: ticket.known_revision,
            incarnation: self.incarnation,
        };
        self.send_query(query_target, query, commands, &mut context.net);
    }

    /// Drops a query that has timed out, and moves on to the next voter.
    fn expire_pending_query(&mut self, now: Micros, net: &mut Net) {
        let pending_query = self.pending_query.as_ref();
        if pending_query.is_none_or(|pending| now < pending.deadline) {
            return;
        }
        let voter = self.pending_query.take().and_then(|pending| pending.voter);
        if let Some(voter) = voter {
            if let Some(token) = self.connection_to(voter) {
                self.drop_connection(now, token, net);
            }
            self.voter_position += 1;
        }
        self.next_query = now;
    }

    /// Where to send a query now; `None` where the next voter cannot be connected to.
    fn query_target(&mut self, now: Micros, net: &mut Net) -> Option<QueryTarget> {
        if self.voting.as_ref().is_some_and(Voting::is_active) {
            return Some(QueryTarget::Own);
        }
        let position = self.voter_position % self.config.voters.len();
        let number = self.config.voters[position].number;
        if number == self.own_voter() {
            return None;
        }
        let connection = self.connect(now, number, net)?;
        Some(QueryTarget::Voter { number, connection })
    }

    /// The commands to send with the next query: a request for or return of seats, and the first change of an operator.
    fn next_commands(&self, now: Micros, context: &mut Context) -> Vec<Command> {
        let licensing = context.core.licensing.as_mut();
        let seats = licensing.and_then(|licensing| licensing.allocator.poll_command(now));
        let seats =
            seats.map(|numbered| self.command(numbered.number, Operation::Seats(numbered.command)));
        let change = self.pending_changes.front();
        let change = change.map(|change| change.command.clone());
        seats.into_iter().chain(change).collect()
    }

    /// A command of this incarnation of the node.
    pub(super) fn command(&self, number: u64, operation: Operation) -> Command {
        Command {
            node: self.config.node,
            incarnation: self.incarnation,
            number,
            operation,
        }
    }

    fn send_query(
        &mut self,
        query_target: QueryTarget,
        query: Query,
        commands: Vec<Command>,
        net: &mut Net,
    ) {
        match query_target {
            QueryTarget::Own => {
                if let Some(voting) = &mut self.voting {
                    voting.handle_query(query, commands.into_iter());
                }
            }
            QueryTarget::Voter { connection, .. } => {
                let message = NodeMessage::ReadRequest {
                    request_id: query.number,
                    known_revision: query.known_revision,
                    incarnation: query.incarnation,
                    commands,
                };
                self.send(connection, &Frame::Node(Box::new(message)), net);
            }
        }
    }

    /// Applies an answer, from another voter or from this node's own.
    pub(super) fn handle_response(
        &mut self,
        now: Micros,
        response: ReadResponse,
        context: &mut Context,
    ) {
        let Some(reader) = &mut context.records.reader else {
            return;
        };
        if !reader.apply_response(now, &response) {
            return;
        }
        self.pending_query = None;
        if response.stale {
            log::error!(
                "consensus: a later process of node {} has joined the fleet: this one no longer acts on the records",
                self.config.node
            );
        }
        self.finish_change(now, &response);
        context.records.read_count += 1;
        context.records.response = response;
    }

    /// Answers the operator whose change is in progress, if the answer has its outcome.
    fn finish_change(&mut self, now: Micros, response: &ReadResponse) {
        let Some((number, outcome)) = &response.last_change else {
            return;
        };
        let is_in_progress = |change: &mut super::PendingChange| change.command.number == *number;
        let Some(change) = self.pending_changes.pop_front_if(is_in_progress) else {
            return;
        };
        let reply = match outcome {
            Outcome::Done => format!("ACK done; revision {}\n", response.revision),
            Outcome::Rejected(reason) => format!("NAK {reason}: {}\n", reason.advice()),
        };
        self.replies.push_back((change.caller, reply));
        // The next change is sent at once.
        self.next_query = now;
    }
}
