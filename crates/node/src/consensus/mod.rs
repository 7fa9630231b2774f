//! Consensus: a service that carries the frames of `marbledeck-consensus` between this node and the voters, has the
//! disk's thread write what is to be durable, and tells the node which records the fleet has agreed on.
//!
//! This module is the service. `connections` has its sockets, `frames` what is done with what comes over them,
//! `polling` how a node learns of the records, `operators` what operators call for, `applied` what the records mean
//! to the node, and `voting` the voter.

mod applied;
pub(crate) mod config;
mod connections;
mod frames;
mod operators;
mod polling;
mod voting;

use crate::admin;
use crate::clock::millis;
use crate::context::Context;
use crate::net::{Net, Peer, Ready, Token};
use crate::service::Service;
use applied::AppliedRecords;
use config::ConsensusConfig;
use connections::AcceptedConnection;
use marbledeck_consensus::LeasedReader;
use marbledeck_dispatcher::Micros;
use operators::PendingChange;
use polling::OpenQuery;
use std::collections::{HashMap, VecDeque};
use std::io;
use voting::Voting;

/// How often a store is tried again that another process has.
const STORE_RETRY_INTERVAL: Micros = millis(500);
/// An answer may free the next query, and that one ask the voter again: so often in one turn.
const ROUNDS_PER_TURN: usize = 2;

/// The service for consensus.
pub struct Consensus {
    config: ConsensusConfig,
    /// For whom events of its sockets are.
    peer: Peer,
    /// The incarnation of this process: later ones have greater numbers.
    incarnation: u64,
    listener: Option<Token>,
    /// When the store is tried again.
    open_store_at: Option<Micros>,
    /// Until then no connection is accepted, since there was no descriptor.
    accept_paused_until: Option<Micros>,
    /// Connections that others have made.
    accepted: HashMap<Token, AcceptedConnection>,
    /// Connections to voters, with the voters' numbers.
    outgoing: HashMap<Token, u64>,
    /// When each voter may be connected to again.
    connect_after: HashMap<u64, Micros>,
    /// What makes this node a voter; none where it does not vote.
    voting: Option<Voting>,
    /// Connections with frames that were not handled in their turn.
    unread: Vec<Token>,
    /// The voter that this node asks, by its place in the configuration.
    voter_position: usize,
    next_query: Micros,
    open_query: Option<OpenQuery>,
    /// Changes of operators, the first of them under way.
    pending_changes: VecDeque<PendingChange>,
    /// The number of the latest change.
    latest_change: u64,
    /// Answers to operators.
    replies: VecDeque<(Token, String)>,
    applied: AppliedRecords,
    /// The time of this turn.
    now: Micros,
}

impl Consensus {
    /// Takes part as the configuration says.
    ///
    /// # Errors
    /// The address that voters connect to cannot be had. A store that cannot be used keeps this node from voting only.
    pub fn new(
        config: ConsensusConfig,
        peer: Peer,
        now: Micros,
        net: &mut Net,
    ) -> io::Result<Self> {
        let mut consensus = Consensus {
            voter_position: config.node as usize % config.voters.len(),
            config,
            peer,
            incarnation: now.0,
            listener: None,
            open_store_at: None,
            accept_paused_until: None,
            accepted: HashMap::new(),
            outgoing: HashMap::new(),
            connect_after: HashMap::new(),
            voting: None,
            unread: Vec::new(),
            next_query: now,
            open_query: None,
            pending_changes: VecDeque::new(),
            latest_change: 0,
            replies: VecDeque::new(),
            applied: AppliedRecords::default(),
            now,
        };
        consensus.start_voting(now, net)?;
        Ok(consensus)
    }

    /// What this node may act on, to begin with nothing.
    pub fn reader(&self) -> LeasedReader {
        LeasedReader::new(self.config.terms)
    }

    /// Begins to vote, where this node is to. A store that another process has is tried again: one that this one
    /// replaces may be about to end. Others connect once it is open.
    fn start_voting(&mut self, now: Micros, net: &mut Net) -> io::Result<()> {
        let number = self.own_voter();
        let mut voters = self.config.voters.iter();
        let Some(own) = voters.find(|voter| voter.number == number) else {
            return Ok(());
        };
        let address = own.address;
        self.open_store_at = None;
        match Voting::open(&self.config, now, self.peer, net) {
            Ok(voting) => {
                self.voting = Some(voting);
                // Those that it is connected to took it for one that does not vote.
                for token in self.outgoing.keys().copied().collect::<Vec<_>>() {
                    self.drop_connection(now, token, net);
                }
            }
            Err(error) if error.is_temporary() => {
                log::warn!("agreement: {error}; tried again until it can be had");
                self.open_store_at = Some(now + STORE_RETRY_INTERVAL);
                return Ok(());
            }
            Err(error) => {
                let advice = error.advice();
                log::error!("agreement: {error}; this node does not vote: {advice}");
            }
        }
        let (token, address) = net.listen(address, None, self.peer)?;
        log::info!("agreement: voter {number} takes connections at {address}");
        self.listener = Some(token);
        Ok(())
    }

    /// The number that this node has as a voter, if it is one.
    fn own_voter(&self) -> u64 {
        u64::from(self.config.node)
    }

    fn resume_accepting(&mut self, now: Micros, net: &mut Net) {
        if self
            .accept_paused_until
            .is_some_and(|deadline| deadline <= now)
        {
            self.accept_paused_until = None;
            if let Some(listener) = self.listener {
                net.set_accepting(listener, true);
            }
        }
    }

    fn retry_store(&mut self, now: Micros, net: &mut Net) {
        if self.open_store_at.is_none_or(|due| now < due) {
            return;
        }
        if let Err(e) = self.start_voting(now, net) {
            log::error!("agreement: {e}; tried again");
            self.voting = None;
            self.open_store_at = Some(now + STORE_RETRY_INTERVAL);
        }
    }
}

impl Service for Consensus {
    fn name(&self) -> &'static str {
        "agreement"
    }

    fn handle_event(&mut self, now: Micros, event: Ready, context: &mut Context) {
        self.now = now;
        if event.listener {
            return self.accept(now, &mut context.net);
        }
        if let Some(voting) = &mut self.voting {
            if voting.disk_signal() == event.token {
                return voting.handle_disk_signal(now);
            }
        }
        self.read(now, event.token, context);
    }

    fn next_wake(&self) -> Option<Micros> {
        let unread = (!self.unread.is_empty()).then_some(Micros(0));
        let open_query = self.open_query.as_ref();
        let query = open_query.map_or(self.next_query, |open| open.deadline);
        let tick = self.voting.as_ref().map(Voting::next_tick);
        [
            Some(query),
            unread,
            tick,
            self.accept_paused_until,
            self.applied.next_wake(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        self.now = now;
        self.resume_accepting(now, &mut context.net);
        for token in std::mem::take(&mut self.unread) {
            self.read(now, token, context);
        }
        self.retry_store(now, &mut context.net);
        if let Some(voting) = &mut self.voting {
            voting.tick(now);
            for voter in voting.missing_welcomes() {
                self.connect(now, voter, &mut context.net);
            }
        }
        self.poll(now, context);
    }

    fn finish_turn(&mut self, now: Micros, context: &mut Context) {
        self.now = now;
        for _ in 0..ROUNDS_PER_TURN {
            self.drive_voter(now, context);
            self.poll(now, context);
        }
        self.applied.apply(now, context);
    }

    fn handle_operator_call(
        &mut self,
        now: Micros,
        caller: Token,
        call: &admin::Call,
        context: &mut Context,
    ) -> bool {
        match call {
            admin::Call::Records => {
                let text = self.describe_records(now, context);
                self.replies.push_back((caller, text));
            }
            admin::Call::Change(text) => {
                self.take_change(caller, text);
                self.next_query = now;
            }
            _ => return false,
        }
        true
    }

    fn next_operator_reply(&mut self) -> Option<(Token, String)> {
        self.replies.pop_front()
    }
}
