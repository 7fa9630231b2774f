//! What is done with the frames that come over the connections.

use super::connections::{NODE_BUFFER, VOTER_BUFFER};
use super::voting::Query;
use super::Consensus;
use crate::context::Context;
use crate::net::{Net, Token};
use marbledeck_consensus::wire::{self, Frame, NodeMessage, MAX_COMMANDS_PER_REQUEST};
use marbledeck_dispatcher::Micros;

/// Frames of one connection that are handled in one turn.
const FRAMES_PER_TURN: usize = 64;

/// What becomes of a connection after a frame.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionFate {
    /// It stays.
    Keep,
    /// The frame has no place here: the connection ends.
    Drop,
}

impl Consensus {
    /// Handles the frames that have come on a connection.
    pub(super) fn read(&mut self, now: Micros, token: Token, context: &mut Context) {
        for _ in 0..FRAMES_PER_TURN {
            let Some(conn) = context.net.get(token) else {
                self.accepted.remove(&token);
                return;
            };
            let frame = match wire::decode(conn.input.all()) {
                Ok(Some((frame, length))) => {
                    conn.input.consume(length);
                    frame
                }
                Ok(None) => {
                    if conn.eof || conn.broken || conn.input.is_full() {
                        self.drop_connection(now, token, &mut context.net);
                    }
                    return;
                }
                Err(e) => {
                    log::warn!("agreement: {e}: {}", e.advice());
                    return self.drop_connection(now, token, &mut context.net);
                }
            };
            context.net.touch(token);
            if self.handle_frame(now, token, frame, context) == ConnectionFate::Drop {
                return self.drop_connection(now, token, &mut context.net);
            }
        }
        self.unread.push(token);
    }

    fn handle_frame(
        &mut self,
        now: Micros,
        token: Token,
        frame: Frame,
        context: &mut Context,
    ) -> ConnectionFate {
        if let Some(voter) = self.outgoing.get(&token) {
            return match frame {
                Frame::Node(message) => self.handle_voter_message(now, *voter, *message, context),
                Frame::Raft(_) => ConnectionFate::Drop,
            };
        }
        let Some(connection) = self.accepted.get(&token) else {
            return ConnectionFate::Drop;
        };
        match (frame, connection.node) {
            (Frame::Node(message), None) => {
                self.handle_first_message(token, *message, &mut context.net)
            }
            (Frame::Raft(_), None) => ConnectionFate::Drop,
            (Frame::Raft(bytes), Some(_)) => self.handle_raft_message(connection.voter, &bytes),
            (Frame::Node(message), Some(node)) => {
                let is_voter = connection.voter.is_some();
                self.handle_node_message(now, token, node, is_voter, *message)
            }
        }
    }

    /// A voter that this node has connected to has sent a message.
    fn handle_voter_message(
        &mut self,
        now: Micros,
        voter: u64,
        message: NodeMessage,
        context: &mut Context,
    ) -> ConnectionFate {
        match message {
            NodeMessage::Welcome { voter: sender } if sender == voter => {
                if let Some(voting) = &mut self.voting {
                    voting.handle_welcome(voter);
                }
            }
            NodeMessage::Denied { voter: sender } if sender == voter => {
                if let Some(voting) = &mut self.voting {
                    voting.handle_denial(voter);
                }
            }
            NodeMessage::ReadResponse(answer) => self.handle_answer(now, *answer, context),
            _ => return ConnectionFate::Drop,
        }
        ConnectionFate::Keep
    }

    /// The first message on an accepted connection states who has made it.
    fn handle_first_message(
        &mut self,
        token: Token,
        message: NodeMessage,
        net: &mut Net,
    ) -> ConnectionFate {
        let NodeMessage::Hello { fleet, node, voter } = message else {
            return ConnectionFate::Drop;
        };
        if fleet != self.config.fleet || !(1..=self.config.nodes).contains(&node) {
            log::warn!("agreement: node {node} of fleet '{fleet}' is not heeded");
            return ConnectionFate::Drop;
        }
        let voter = voter.filter(|(number, _)| {
            let mut voters = self.config.voters.iter();
            *number == u64::from(node) && voters.any(|known| known.number == *number)
        });
        if let Some(connection) = self.accepted.get_mut(&token) {
            connection.node = Some(node);
        }
        let buffer = if voter.is_some() {
            VOTER_BUFFER
        } else {
            NODE_BUFFER
        };
        net.raise_buffer_limit(token, buffer);
        self.drop_earlier_connections(token, node, net);
        if let (Some((number, store)), Some(voting)) = (voter, &mut self.voting) {
            voting.handle_hello(token, number, store);
        }
        ConnectionFate::Keep
    }

    /// An earlier connection of the same node is one that it has given up: it may never end by itself.
    fn drop_earlier_connections(&mut self, latest: Token, node: u32, net: &mut Net) {
        let accepted = self.accepted.iter();
        let earlier: Vec<Token> = accepted
            .filter(|(token, connection)| **token != latest && connection.node == Some(node))
            .map(|(token, _)| *token)
            .collect();
        for token in earlier {
            net.close(token);
            self.accepted.remove(&token);
        }
    }

    fn handle_raft_message(&mut self, sender: Option<u64>, bytes: &[u8]) -> ConnectionFate {
        let (Some(sender), Some(voting)) = (sender, &mut self.voting) else {
            // Not noted yet, or this one does not vote: what is lost is sent again.
            return ConnectionFate::Keep;
        };
        match voting.receive(sender, bytes) {
            Ok(()) => ConnectionFate::Keep,
            Err(e) => {
                log::warn!("agreement: {e}: {}", e.advice());
                ConnectionFate::Drop
            }
        }
    }

    /// A node whose number is known has sent a message.
    fn handle_node_message(
        &mut self,
        now: Micros,
        token: Token,
        node: u32,
        is_voter: bool,
        message: NodeMessage,
    ) -> ConnectionFate {
        match (message, &mut self.voting) {
            (
                NodeMessage::ReadRequest {
                    request_id,
                    known_revision,
                    incarnation,
                    commands,
                },
                Some(voting),
            ) => {
                let query = Query {
                    connection: Some(token),
                    node,
                    number: request_id,
                    known_revision,
                    incarnation,
                };
                voting.take_query(query, commands.into_iter().take(MAX_COMMANDS_PER_REQUEST));
                ConnectionFate::Keep
            }
            (NodeMessage::ContactReport { nodes }, voting) => {
                if let Some(voting) = voting.as_mut().filter(|_| is_voter) {
                    voting.note_live_nodes(now, &nodes);
                }
                ConnectionFate::Keep
            }
            _ => ConnectionFate::Drop,
        }
    }

    /// Lets the voter work, and sends what it wants sent.
    pub(super) fn drive_voter(&mut self, now: Micros, context: &mut Context) {
        let Some(voting) = &mut self.voting else {
            return;
        };
        let output = voting.work(now);
        for reply in output.hello_replies {
            if let Some(connection) = self.accepted.get_mut(&reply.connection) {
                let voter = u64::from(self.config.node);
                let message = if reply.is_known {
                    NodeMessage::Welcome { voter }
                } else {
                    NodeMessage::Denied { voter }
                };
                connection.voter = reply.is_known.then_some(reply.voter);
                let frame = Frame::Node(Box::new(message));
                self.send(reply.connection, &frame, &mut context.net);
            }
        }
        for (voter, frame) in output.frames {
            if let Some(token) = self.connect(now, voter, &mut context.net) {
                self.send(token, &frame, &mut context.net);
            }
        }
        for (connection, answer) in output.answers {
            match connection {
                Some(token) => {
                    let frame = Frame::Node(Box::new(NodeMessage::ReadResponse(Box::new(answer))));
                    self.send(token, &frame, &mut context.net);
                }
                None => self.handle_answer(now, answer, context),
            }
        }
    }
}
