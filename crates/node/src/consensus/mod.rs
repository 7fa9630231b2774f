//! The consensus service: carries the frames of `marbledeck-consensus` between this node and the voters, has the disk
//! thread persist a voter's state, and applies the records that the fleet has agreed on.
//!
//! This module is the service. `connections` manages its sockets, `frames` handles what is received on them, `polling`
//! reads the records from a voter, `operators` answers operators' calls, `applied` puts the records into effect at this
//! node, and `voting` runs the voter.

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
use polling::PendingQuery;
use std::collections::{HashMap, VecDeque};
use std::io;
use voting::Voting;

/// How often this node tries to open a store that another process uses.
const STORE_RETRY_INTERVAL: Micros = millis(500);
/// How often per turn the voter is run and polled: an answer may allow the next query, which this node's own voter may
/// answer in the same turn.
const ROUNDS_PER_TURN: usize = 2;

/// The consensus service.
pub struct Consensus {
    config: ConsensusConfig,
    /// The tag of the service's sockets, by which their events are routed to the service.
    peer: Peer,
    /// The incarnation of this process. Later processes of the node have greater numbers.
    incarnation: u64,
    listener: Option<Token>,
    /// When to try again to open the store.
    open_store_at: Option<Micros>,
    /// When to accept connections again, after no file descriptor was free.
    accept_paused_until: Option<Micros>,
    /// Connections that other nodes and voters have made.
    accepted: HashMap<Token, AcceptedConnection>,
    /// Connections to voters, with the numbers of the voters.
    outgoing: HashMap<Token, u64>,
    /// When each voter may be connected to again.
    connect_after: HashMap<u64, Micros>,
    /// The voter of this node; `None` where it does not vote.
    voting: Option<Voting>,
    /// Connections with buffered frames beyond the limit of a turn.
    unread_connections: Vec<Token>,
    /// The voter to query, by its position in the settings.
    voter_position: usize,
    next_query: Micros,
    pending_query: Option<PendingQuery>,
    /// Operators' changes of records. The first one is in progress.
    pending_changes: VecDeque<PendingChange>,
    /// The number of the latest change of an operator.
    latest_change: u64,
    /// Answers to operators that were not sent yet.
    replies: VecDeque<(Token, String)>,
    applied: AppliedRecords,
    /// The time of the current turn.
    now: Micros,
}

impl Consensus {
    /// Starts the service with these settings.
    ///
    /// # Errors
    /// The node cannot listen on its address as a voter. A store that cannot be used is no error here: the node runs, but
    /// does not vote.
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
            unread_connections: Vec::new(),
            next_query: now,
            pending_query: None,
            pending_changes: VecDeque::new(),
            latest_change: 0,
            replies: VecDeque::new(),
            applied: AppliedRecords::default(),
            now,
        };
        consensus.start_voting(now, net)?;
        Ok(consensus)
    }

    /// A new reader, which knows no records and has no lease.
    pub fn reader(&self) -> LeasedReader {
        LeasedReader::new(self.config.terms)
    }

    /// Opens the store and listens for connections, if this node is a voter. A store that another process uses is tried
    /// again later, since a process that this one replaces may be about to exit. Until then nobody can connect.
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
                // The hello on these connections did not say that this node votes.
                for token in self.outgoing.keys().copied().collect::<Vec<_>>() {
                    self.drop_connection(now, token, net);
                }
            }
            Err(error) if error.is_temporary() => {
                log::warn!("consensus: voter {number} cannot open its store: {error}; tried again until it can be had");
                self.open_store_at = Some(now + STORE_RETRY_INTERVAL);
                return Ok(());
            }
            Err(error) => {
                let advice = error.advice();
                log::error!("consensus: voter {number} cannot start: {error}; this node does not vote: {advice}");
            }
        }
        let (token, address) = net.listen(address, None, self.peer)?;
        log::info!("consensus: voter {number} takes connections at {address}");
        self.listener = Some(token);
        Ok(())
    }

    /// The number of this node as a voter, if it is one.
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
            log::error!("consensus: cannot listen for other nodes and voters: {e}; trying again");
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
        let unread_connections = (!self.unread_connections.is_empty()).then_some(Micros(0));
        let pending_query = self.pending_query.as_ref();
        let query = pending_query.map_or(self.next_query, |pending| pending.deadline);
        let tick = self.voting.as_ref().map(Voting::next_tick);
        [
            Some(query),
            unread_connections,
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
        for token in std::mem::take(&mut self.unread_connections) {
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
            self.run_voter(now, context);
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
                self.handle_change(caller, text);
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
