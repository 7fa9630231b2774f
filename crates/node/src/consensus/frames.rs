//! Handles the frames received from nodes and voters, and sends the frames that the local voter produces.

use super::connections::{NODE_BUFFER, VOTER_BUFFER};
use super::voting::Query;
use super::Consensus;
use crate::context::Context;
use crate::net::{Net, Token};
use marbledeck_consensus::wire::{self, Frame, NodeMessage, MAX_COMMANDS_PER_REQUEST};
use marbledeck_dispatcher::Micros;

/// Frames of one connection that are handled per turn of the event loop.
const FRAMES_PER_TURN: usize = 64;

/// Whether a connection stays open after a frame.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionAction {
    /// The connection stays open.
    Keep,
    /// The frame violates the protocol, so the connection is closed.
    Drop,
}

impl Consensus {
    /// Handles the frames received on a connection. Those beyond the limit of a turn wait for the next turn.
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
                    log::warn!(
                        "consensus: closing a connection after an invalid frame: {e}: {}",
                        e.advice()
                    );
                    return self.drop_connection(now, token, &mut context.net);
                }
            };
            context.net.touch(token);
            if self.handle_frame(now, token, frame, context) == ConnectionAction::Drop {
                return self.drop_connection(now, token, &mut context.net);
            }
        }
        self.unread_connections.push(token);
    }

    fn handle_frame(
        &mut self,
        now: Micros,
        token: Token,
        frame: Frame,
        context: &mut Context,
    ) -> ConnectionAction {
        if let Some(voter) = self.outgoing.get(&token) {
            return match frame {
                Frame::Node(message) => self.handle_voter_message(now, *voter, *message, context),
                Frame::Raft(_) => ConnectionAction::Drop,
            };
        }
        let Some(connection) = self.accepted.get(&token) else {
            return ConnectionAction::Drop;
        };
        match (frame, connection.node) {
            (Frame::Node(message), None) => {
                self.handle_first_message(token, *message, &mut context.net)
            }
            (Frame::Raft(_), None) => ConnectionAction::Drop,
            (Frame::Raft(bytes), Some(_)) => self.handle_raft_message(connection.voter, &bytes),
            (Frame::Node(message), Some(node)) => {
                let is_voter = connection.voter.is_some();
                self.handle_node_message(now, token, node, is_voter, *message)
            }
        }
    }

    /// Handles a message from a voter that this node has connected to.
    fn handle_voter_message(
        &mut self,
        now: Micros,
        voter: u64,
        message: NodeMessage,
        context: &mut Context,
    ) -> ConnectionAction {
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
            NodeMessage::ReadResponse(response) => self.handle_response(now, *response, context),
            _ => return ConnectionAction::Drop,
        }
        ConnectionAction::Keep
    }

    /// Handles the first message on an accepted connection, which identifies the connecting node.
    fn handle_first_message(
        &mut self,
        token: Token,
        message: NodeMessage,
        net: &mut Net,
    ) -> ConnectionAction {
        let NodeMessage::Hello { fleet, node, voter } = message else {
            return ConnectionAction::Drop;
        };
        if fleet != self.config.fleet || !(1..=self.config.nodes).contains(&node) {
            log::warn!(
                "consensus: closing a connection of node {node} of fleet '{fleet}': \
                 the node or the fleet is not in this node's settings"
            );
            return ConnectionAction::Drop;
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
        self.close_earlier_connections(token, node, net);
        if let (Some((number, store)), Some(voting)) = (voter, &mut self.voting) {
            voting.handle_hello(token, number, store);
        }
        ConnectionAction::Keep
    }

    /// Closes earlier connections of the same node. The node has abandoned them, and they may never end by themselves.
    fn close_earlier_connections(&mut self, latest: Token, node: u32, net: &mut Net) {
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

    fn handle_raft_message(&mut self, sender: Option<u64>, bytes: &[u8]) -> ConnectionAction {
        let (Some(sender), Some(voting)) = (sender, &mut self.voting) else {
            // The sender is not yet recorded as a voter, or this node does not vote. Raft retransmits lost messages.
            return ConnectionAction::Keep;
        };
        match voting.receive(sender, bytes) {
            Ok(()) => ConnectionAction::Keep,
            Err(e) => {
                log::warn!(
                    "consensus: closing the connection of voter {sender} after an invalid message: {e}: {}",
                    e.advice()
                );
                ConnectionAction::Drop
            }
        }
    }

    /// Handles a message from a node that has identified itself.
    fn handle_node_message(
        &mut self,
        now: Micros,
        token: Token,
        node: u32,
        is_voter: bool,
        message: NodeMessage,
    ) -> ConnectionAction {
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
                voting.handle_query(query, commands.into_iter().take(MAX_COMMANDS_PER_REQUEST));
                ConnectionAction::Keep
            }
            (NodeMessage::ContactReport { nodes }, voting) => {
                if let Some(voting) = voting.as_mut().filter(|_| is_voter) {
                    voting.record_live_nodes(now, &nodes);
                }
                ConnectionAction::Keep
            }
            _ => ConnectionAction::Drop,
        }
    }

    /// Runs the local voter, and sends the frames and answers that it produces.
    pub(super) fn run_voter(&mut self, now: Micros, context: &mut Context) {
        let Some(voting) = &mut self.voting else {
            return;
        };
        let output = voting.poll_output(now);
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
        for (connection, response) in output.answers {
            match connection {
                Some(token) => {
                    let frame =
                        Frame::Node(Box::new(NodeMessage::ReadResponse(Box::new(response))));
                    self.send(token, &frame, &mut context.net);
                }
                None => self.handle_response(now, response, context),
            }
        }
    }
}
