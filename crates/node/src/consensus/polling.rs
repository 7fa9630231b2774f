//! How a node learns what is agreed on: it asks one voter after another for a reading, and hands in its commands with
//! the query. A voter asks itself.

use super::connections::RECONNECT_INTERVAL;
use super::voting::{Query, Voting};
use super::Consensus;
use crate::context::Context;
use crate::net::{Net, Token};
use marbledeck_consensus::wire::{Frame, NodeMessage, ReadResponse};
use marbledeck_consensus::{Command, Operation, Outcome};
use marbledeck_dispatcher::Micros;

/// A query that is not answered yet.
pub(super) struct OpenQuery {
    /// From then on the voter counts as silent.
    pub(super) deadline: Micros,
    /// The voter that was asked; none for this node itself.
    pub(super) voter: Option<u64>,
}

/// Whom to ask.
#[derive(Clone, Copy)]
enum Respondent {
    /// This node, which votes.
    Own,
    /// A voter, over this connection.
    Voter { number: u64, connection: Token },
}

impl Consensus {
    /// Asks for a reading, if it is time.
    pub(super) fn poll(&mut self, now: Micros, context: &mut Context) {
        self.give_up_silent_voter(now, &mut context.net);
        if self.open_query.is_some() || now < self.next_query {
            return;
        }
        self.next_query = now + self.config.poll_interval();
        let Some(respondent) = self.respondent(now, &mut context.net) else {
            self.voter_position += 1;
            self.next_query = now + RECONNECT_INTERVAL;
            return;
        };
        let commands = self.next_commands(now, context);
        let Some(reader) = &mut context.records.reader else {
            return;
        };
        let ticket = reader.begin_read(now);
        self.open_query = Some(OpenQuery {
            deadline: now + self.config.answer_timeout(),
            voter: match respondent {
                Respondent::Own => None,
                Respondent::Voter { number, .. } => Some(number),
            },
        });
        let query = Query {
            connection: None,
            node: self.config.node,
            number: ticket.request_id,
            known_revision: ticket.known_revision,
            incarnation: self.incarnation,
        };
        self.send_query(respondent, query, commands, &mut context.net);
    }

    /// A voter that is silent is left: another one is asked.
    fn give_up_silent_voter(&mut self, now: Micros, net: &mut Net) {
        let open_query = self.open_query.as_ref();
        if open_query.is_none_or(|open| now < open.deadline) {
            return;
        }
        let voter = self.open_query.take().and_then(|open| open.voter);
        if let Some(voter) = voter {
            if let Some(token) = self.connection_to(voter) {
                self.drop_connection(now, token, net);
            }
            self.voter_position += 1;
        }
        self.next_query = now;
    }

    /// Whom to ask now; none where the voter whose turn it is cannot be.
    fn respondent(&mut self, now: Micros, net: &mut Net) -> Option<Respondent> {
        if self.voting.as_ref().is_some_and(Voting::takes_part) {
            return Some(Respondent::Own);
        }
        let position = self.voter_position % self.config.voters.len();
        let number = self.config.voters[position].number;
        if number == self.own_voter() {
            return None;
        }
        let connection = self.connect(now, number, net)?;
        Some(Respondent::Voter { number, connection })
    }

    /// The commands that go with the query: what licensing wants, and the first change of an operator.
    fn next_commands(&self, now: Micros, context: &mut Context) -> Vec<Command> {
        let licensing = context.core.licensing.as_mut();
        let seats = licensing.and_then(|licensing| licensing.allocator.poll_command(now));
        let seats =
            seats.map(|numbered| self.command(numbered.number, Operation::Seats(numbered.command)));
        let change = self.pending_changes.front();
        let change = change.map(|change| change.command.clone());
        seats.into_iter().chain(change).collect()
    }

    /// A command of this node's.
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
        respondent: Respondent,
        query: Query,
        commands: Vec<Command>,
        net: &mut Net,
    ) {
        match respondent {
            Respondent::Own => {
                if let Some(voting) = &mut self.voting {
                    voting.take_query(query, commands.into_iter());
                }
            }
            Respondent::Voter { connection, .. } => {
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

    /// An answer has come, from another voter or from this one.
    pub(super) fn handle_answer(
        &mut self,
        now: Micros,
        answer: ReadResponse,
        context: &mut Context,
    ) {
        let Some(reader) = &mut context.records.reader else {
            return;
        };
        if !reader.apply_response(now, &answer) {
            return;
        }
        self.open_query = None;
        if answer.stale {
            log::error!(
                "agreement: a later start of node {} is known: this one acts on nothing",
                self.config.node
            );
        }
        self.finish_change(now, &answer);
        context.records.readings += 1;
        context.records.answer = answer;
    }

    /// The change that is under way has ended, if the answer has its outcome.
    fn finish_change(&mut self, now: Micros, answer: &ReadResponse) {
        let Some((number, outcome)) = &answer.last_change else {
            return;
        };
        let is_under_way = |change: &mut super::PendingChange| change.command.number == *number;
        let Some(change) = self.pending_changes.pop_front_if(is_under_way) else {
            return;
        };
        let reply = match outcome {
            Outcome::Done => format!("ACK done; revision {}\n", answer.revision),
            Outcome::Rejected(reason) => format!("NAK {reason}: {}\n", reason.advice()),
        };
        self.replies.push_back((change.caller, reply));
        // The next one at once.
        self.next_query = now;
    }
}
