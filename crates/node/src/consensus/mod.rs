//! The link of this node to the voters, or between them: a service that carries the frames of `marbledeck-consensus`, hands
//! what is to be durable to the disk's thread, and tells the node what the fleet has agreed on.

mod apply;
mod voting;

use crate::admin;
use crate::clock::millis;
use crate::config::AgreementConfig;
use crate::net::{Net, Peer, Ready, Token};
use crate::service::{Context, Service};
use marbledeck_consensus::wire::{
    self, Frame, NodeMessage, ReadResponse, MAX_COMMANDS_PER_REQUEST,
};
use marbledeck_consensus::{Change, Command, LeasedReader, Operation, Outcome, ReadTicket};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::SeatUsage;
use std::collections::{HashMap, VecDeque};
use std::fmt::Write as _;
use std::io;
use voting::{Asker, NoVote, Voting};

/// What a connection between voters may hold each way, or from a voter: a frame, and the beginning of the next; and one
/// that a node has made.
const HELD: usize = wire::MAX_FRAME_BYTES + 64 * 1024;
const HELD_OF_NODE: usize = wire::MAX_REQUEST_BYTES + 64 * 1024;
/// Connections taken in one turn, and frames of one connection handled in one turn.
const ACCEPTS: usize = 16;
const FRAMES: usize = 64;
/// How long the listener rests when no descriptor is free.
const REST: Micros = millis(50);
/// How long a voter that takes no connection is left alone, and how often another one is tried.
const AGAIN: Micros = millis(250);
/// How often a store is tried again that another process has.
const OPENING: Micros = millis(500);
/// Changes of operators that may wait for their outcome.
const MOST_CHANGES: usize = 8;

/// A connection that somebody else has made.
struct Guest {
    /// Its number as a node, once it has said it.
    node: Option<u32>,
    /// Its number as a voter, once that was noted.
    voter: Option<u64>,
}

/// A connection to a voter.
struct Host {
    voter: u64,
}

/// The question that is out.
struct Question {
    until: Micros,
    /// The voter that was asked; none for this node itself.
    of: Option<u64>,
}

pub struct Agreement {
    config: AgreementConfig,
    peer: Peer,
    /// This start: later ones have greater numbers.
    boot: u64,
    listener: Option<Token>,
    /// When the store is tried again.
    opening: Option<Micros>,
    resting: Option<Micros>,
    guests: HashMap<Token, Guest>,
    hosts: HashMap<Token, Host>,
    /// When each voter may be connected to again.
    again: HashMap<u64, Micros>,
    voting: Option<Voting>,
    /// Frames that have come and were not handled in their turn.
    waiting: Vec<Token>,
    /// The voter that this node asks, by its place in the file, and when it asks next.
    turn: usize,
    next_ask: Micros,
    question: Option<Question>,
    /// Changes of operators, the first of them under way.
    changes: VecDeque<(Token, Command)>,
    numbered: u64,
    replies: VecDeque<(Token, String)>,
    applied: apply::Applied,
    /// The time of this turn.
    now: Micros,
}

impl Agreement {
    /// Takes part as the file says.
    ///
    /// # Errors
    /// The address that voters connect to cannot be had. A store that cannot be used keeps this node from voting only.
    pub fn new(
        config: AgreementConfig,
        peer: Peer,
        now: Micros,
        net: &mut Net,
    ) -> io::Result<Self> {
        let mut agreement = Agreement {
            turn: config.node as usize % config.voters.len(),
            config,
            peer,
            boot: now.0,
            listener: None,
            opening: None,
            resting: None,
            guests: HashMap::new(),
            hosts: HashMap::new(),
            again: HashMap::new(),
            voting: None,
            waiting: Vec::new(),
            next_ask: now,
            question: None,
            changes: VecDeque::new(),
            numbered: 0,
            replies: VecDeque::new(),
            applied: apply::Applied::default(),
            now,
        };
        agreement.open(now, net)?;
        Ok(agreement)
    }

    /// Begins to vote, where this node is to. A store that another process has is tried again: one that this one
    /// replaces may be about to end. Others connect once it is open.
    fn open(&mut self, now: Micros, net: &mut Net) -> io::Result<()> {
        let number = u64::from(self.config.node);
        let own = self.config.voters.iter().find(|v| v.number == number);
        let Some(own) = own.map(|voter| voter.address) else {
            return Ok(());
        };
        self.opening = None;
        match Voting::open(&self.config, now, self.peer, net) {
            Ok(voting) => {
                self.voting = Some(voting);
                // Those that it is connected to took it for one that does not vote.
                for token in self.hosts.keys().copied().collect::<Vec<_>>() {
                    self.let_go(now, token, net);
                }
            }
            Err(NoVote {
                again: true, what, ..
            }) => {
                log::warn!("agreement: {what}; tried again until it can be had");
                self.opening = Some(now + OPENING);
                return Ok(());
            }
            Err(NoVote { what, advice, .. }) => {
                log::error!("agreement: {what}; this node does not vote: {advice}");
            }
        }
        let (token, addr) = net.listen(own, None, self.peer)?;
        log::info!("agreement: voter {number} takes connections at {addr}");
        self.listener = Some(token);
        Ok(())
    }

    /// What this node may act on, to begin with nothing.
    pub fn reader(&self) -> LeasedReader {
        LeasedReader::new(self.config.terms)
    }

    fn say(&mut self, token: Token, frame: &Frame, net: &mut Net) {
        if !net.write(token, &wire::encode(frame)) {
            // Whoever does not read is not waited for.
            self.let_go(self.now, token, net);
        }
    }

    fn let_go(&mut self, now: Micros, token: Token, net: &mut Net) {
        net.close(token);
        self.guests.remove(&token);
        if let Some(host) = self.hosts.remove(&token) {
            self.again.insert(host.voter, now + AGAIN);
            if self
                .question
                .as_ref()
                .is_some_and(|q| q.of == Some(host.voter))
            {
                self.question = None;
                self.next_ask = now;
                self.turn += 1;
            }
        }
    }

    fn accept(&mut self, now: Micros, net: &mut Net) {
        let Some(listener) = self.listener else {
            return;
        };
        for _ in 0..ACCEPTS {
            match net.accept(listener) {
                Ok(None) => return,
                Ok(Some(token)) => {
                    let ip = net.peer_addr(token).map(|addr| addr.ip());
                    let known = ip.is_some_and(|ip| self.config.from.contains(&ip));
                    if known && self.guests.len() >= self.config.guests() {
                        // One that has not said who it is makes room for one that may.
                        let silent = |(_, guest): &(&Token, &Guest)| guest.node.is_none();
                        let oldest = self.guests.iter().filter(silent).map(|(t, _)| *t).min();
                        if let Some(token) = oldest {
                            self.let_go(now, token, net);
                        }
                    }
                    if !known || self.guests.len() >= self.config.guests() {
                        log::warn!("agreement: a connection from {ip:?} is not heeded");
                        net.close(token);
                        continue;
                    }
                    self.guests.insert(
                        token,
                        Guest {
                            node: None,
                            voter: None,
                        },
                    );
                }
                Err(e) => {
                    log::warn!("agreement: accept: {e}");
                    net.listening(listener, false);
                    self.resting = Some(now + REST);
                    return;
                }
            }
        }
    }

    /// The connection to a voter; made where there is none.
    fn host(&mut self, now: Micros, voter: u64, net: &mut Net) -> Option<Token> {
        if let Some((token, _)) = self.hosts.iter().find(|(_, host)| host.voter == voter) {
            return Some(*token);
        }
        if self.again.get(&voter).is_some_and(|at| now < *at) {
            return None;
        }
        self.again.insert(voter, now + AGAIN);
        let addr = self
            .config
            .voters
            .iter()
            .find(|known| known.number == voter)?
            .address;
        let token = net.connect(addr, self.peer).ok()?;
        net.widen(token, HELD);
        // What a machine that has vanished never acknowledges: the connection ends, and another is tried.
        net.give_up_after(token, self.config.terms.duration);
        self.hosts.insert(token, Host { voter });
        let own = self
            .voting
            .as_ref()
            .map(|voting| (u64::from(self.config.node), voting.store));
        let hello = NodeMessage::Hello {
            fleet: self.config.fleet.clone(),
            node: self.config.node,
            voter: own,
        };
        self.say(token, &Frame::Node(Box::new(hello)), net);
        Some(token)
    }

    /// Handles the frames that have come on a connection.
    fn read(&mut self, now: Micros, token: Token, context: &mut Context) {
        for _ in 0..FRAMES {
            let Some(conn) = context.net.get(token) else {
                self.guests.remove(&token);
                return;
            };
            let frame = match wire::decode(conn.input.all()) {
                Ok(Some((frame, used))) => {
                    conn.input.consume(used);
                    frame
                }
                Ok(None) => {
                    if conn.eof || conn.broken || conn.input.is_full() {
                        self.let_go(now, token, &mut context.net);
                    }
                    return;
                }
                Err(e) => {
                    log::warn!("agreement: {e}: {}", e.advice());
                    return self.let_go(now, token, &mut context.net);
                }
            };
            context.net.touch(token);
            if !self.take(now, token, frame, context) {
                return self.let_go(now, token, &mut context.net);
            }
        }
        self.waiting.push(token);
    }

    /// Handles a frame; tells false where the connection is to end.
    fn take(&mut self, now: Micros, token: Token, frame: Frame, context: &mut Context) -> bool {
        if let Some(host) = self.hosts.get(&token) {
            let of = host.voter;
            return match frame {
                Frame::Node(said) => match *said {
                    NodeMessage::Welcome { voter } if voter == of => {
                        if let Some(voting) = &mut self.voting {
                            voting.welcomed(voter);
                        }
                        true
                    }
                    NodeMessage::Denied { voter } if voter == of => {
                        if let Some(voting) = &mut self.voting {
                            voting.denied(voter);
                        }
                        true
                    }
                    NodeMessage::ReadResponse(answer) => {
                        self.answered(now, *answer, context);
                        true
                    }
                    _ => false,
                },
                Frame::Raft(_) => false,
            };
        }
        let Some(guest) = self.guests.get_mut(&token) else {
            return false;
        };
        match (frame, guest.node) {
            (Frame::Node(said), None) => match *said {
                NodeMessage::Hello { fleet, node, voter } => {
                    let fits =
                        fleet == self.config.fleet && (1..=self.config.nodes).contains(&node);
                    let voter = voter.filter(|(number, _)| {
                        *number == u64::from(node)
                            && self.config.voters.iter().any(|v| v.number == *number)
                    });
                    if !fits {
                        log::warn!("agreement: node {node} of fleet '{fleet}' is not heeded");
                        return false;
                    }
                    guest.node = Some(node);
                    let held = if voter.is_some() { HELD } else { HELD_OF_NODE };
                    context.net.widen(token, held);
                    // An earlier connection of the same node is one that it has given up: it may never end by itself.
                    let earlier = |(t, g): &(&Token, &Guest)| **t != token && g.node == Some(node);
                    let earlier = self.guests.iter().filter(earlier).map(|(t, _)| *t);
                    for old in earlier.collect::<Vec<_>>() {
                        context.net.close(old);
                        self.guests.remove(&old);
                    }
                    if let (Some((number, store)), Some(voting)) = (voter, &mut self.voting) {
                        voting.hello(token, number, store);
                    }
                    true
                }
                _ => false,
            },
            (Frame::Raft(_), None) => false,
            (Frame::Raft(bytes), Some(_)) => {
                let (Some(from), Some(voting)) = (guest.voter, &mut self.voting) else {
                    // Not noted yet, or this one does not vote: what is lost is sent again.
                    return true;
                };
                match voting.receive(from, &bytes) {
                    Ok(()) => true,
                    Err(e) => {
                        log::warn!("agreement: {e}: {}", e.advice());
                        false
                    }
                }
            }
            (Frame::Node(said), Some(node)) => match (*said, &mut self.voting) {
                (
                    NodeMessage::ReadRequest {
                        request_id,
                        known_revision,
                        incarnation,
                        commands,
                    },
                    Some(voting),
                ) => {
                    let asker = Asker {
                        of: Some(token),
                        node,
                        question: request_id,
                        known: known_revision,
                        boot: incarnation,
                    };
                    voting.ask(asker, commands.into_iter().take(MAX_COMMANDS_PER_REQUEST));
                    true
                }
                (NodeMessage::ReadRequest { .. }, None) => false,
                (NodeMessage::ContactReport { nodes }, Some(voting)) if guest.voter.is_some() => {
                    voting.heard(now, &nodes);
                    true
                }
                (NodeMessage::ContactReport { .. }, _) => true,
                _ => false,
            },
        }
    }

    /// Asks for a reading, if it is time.
    fn ask(&mut self, now: Micros, context: &mut Context) {
        if self.question.as_ref().is_some_and(|q| now >= q.until) {
            // It is silent: another one is asked.
            if let Some(of) = self.question.take().and_then(|q| q.of) {
                let silent = self
                    .hosts
                    .iter()
                    .find(|(_, host)| host.voter == of)
                    .map(|(t, _)| *t);
                if let Some(token) = silent {
                    self.let_go(now, token, &mut context.net);
                }
                self.turn += 1;
            }
            self.next_ask = now;
        }
        if self.question.is_some() || now < self.next_ask {
            return;
        }
        self.next_ask = now + self.config.ask_every();
        let votes = self.voting.as_ref().is_some_and(Voting::takes_part);
        let to = match votes {
            true => None,
            false => {
                let voter = self.config.voters[self.turn % self.config.voters.len()].number;
                let own = voter == u64::from(self.config.node);
                let token = if own {
                    None
                } else {
                    self.host(now, voter, &mut context.net)
                };
                let Some(token) = token else {
                    self.turn += 1;
                    self.next_ask = now + AGAIN;
                    return;
                };
                Some((token, voter))
            }
        };
        let moves = context
            .core
            .licensing
            .as_mut()
            .and_then(|licensing| licensing.desk.poll_command(now));
        let moves =
            moves.map(|numbered| self.command(numbered.number, Operation::Seats(numbered.command)));
        let change = self.changes.front().map(|(_, command)| command.clone());
        let commands: Vec<Command> = moves.into_iter().chain(change).collect();
        let Some(reader) = &mut context.agreed.reader else {
            return;
        };
        let ReadTicket {
            request_id: question,
            known_revision: known,
        } = reader.begin_read(now);
        let until = now + self.config.patience();
        self.question = Some(Question {
            until,
            of: to.map(|(_, voter)| voter),
        });
        match to {
            Some((token, _)) => {
                let ask = NodeMessage::ReadRequest {
                    request_id: question,
                    known_revision: known,
                    incarnation: self.boot,
                    commands,
                };
                self.say(token, &Frame::Node(Box::new(ask)), &mut context.net);
            }
            None => {
                let asker = Asker {
                    of: None,
                    node: self.config.node,
                    question,
                    known,
                    boot: self.boot,
                };
                if let Some(voting) = &mut self.voting {
                    voting.ask(asker, commands.into_iter());
                }
            }
        }
    }

    fn command(&self, number: u64, what: Operation) -> Command {
        Command {
            node: self.config.node,
            incarnation: self.boot,
            number,
            operation: what,
        }
    }

    fn answered(&mut self, now: Micros, answer: ReadResponse, context: &mut Context) {
        let Some(reader) = &mut context.agreed.reader else {
            return;
        };
        if !reader.apply_response(now, &answer) {
            return;
        }
        self.question = None;
        if answer.stale {
            log::error!(
                "agreement: a later start of node {} is known: this one acts on nothing",
                self.config.node
            );
        }
        if let (Some((number, outcome)), Some((caller, command))) =
            (&answer.last_change, self.changes.front())
        {
            if *number == command.number {
                let word = match outcome {
                    Outcome::Done => format!("ACK done; revision {}\n", answer.revision),
                    Outcome::Rejected(why) => format!("NAK {why}: {}\n", why.advice()),
                };
                self.replies.push_back((*caller, word));
                self.changes.pop_front();
                // The next one at once.
                self.next_ask = now;
            }
        }
        context.agreed.readings += 1;
        context.agreed.answer = answer;
    }

    /// Lets the voter work, and sends what it wants sent.
    fn drive(&mut self, now: Micros, context: &mut Context) {
        let Some(voting) = &mut self.voting else {
            return;
        };
        let work = voting.work(now);
        for (token, number, known) in work.noted {
            if let Some(guest) = self.guests.get_mut(&token) {
                let voter = u64::from(self.config.node);
                let said = match known {
                    true => NodeMessage::Welcome { voter },
                    false => NodeMessage::Denied { voter },
                };
                guest.voter = Some(number).filter(|_| known);
                self.say(token, &Frame::Node(Box::new(said)), &mut context.net);
            }
        }
        for (to, frame) in work.send {
            if let Some(token) = self.host(now, to, &mut context.net) {
                self.say(token, &frame, &mut context.net);
            }
        }
        for (asker, answer) in work.answers {
            match asker {
                Some(token) => self.say(
                    token,
                    &Frame::Node(Box::new(NodeMessage::ReadResponse(Box::new(answer)))),
                    &mut context.net,
                ),
                None => self.answered(now, answer, context),
            }
        }
    }

    /// What an operator is shown.
    fn records(&self, now: Micros, context: &Context) -> String {
        let mut text = String::new();
        let Some(reader) = &context.agreed.reader else {
            return text;
        };
        for name in reader.record_names() {
            use marbledeck_consensus::RecordValidity;
            let (state, record) = match reader.validity(now, name) {
                RecordValidity::Active(record) => ("in force", Some(record)),
                RecordValidity::Pending => ("not yet in force", None),
                RecordValidity::Unconfirmed { latest: record, .. } => {
                    ("as last known", Some(record))
                }
                RecordValidity::Unknown => ("unknown", None),
            };
            let version = record.map_or(0, |record| record.version);
            let body = record.map(|record| serde_json::to_string(&record.body).unwrap_or_default());
            let _ = writeln!(
                text,
                "{name} {version} {state} {}",
                body.unwrap_or_default()
            );
        }
        if let Some(licensing) = &context.core.licensing {
            for SeatUsage {
                pool,
                tenant,
                held: seats,
                in_use,
            } in licensing.desk.usage()
            {
                let _ = writeln!(
                    text,
                    "seats {pool} {tenant:?}: {in_use} of {seats} in use here"
                );
            }
        }
        let left = (reader.lease_expiry() - now).0 / 1000;
        let voter = self
            .voting
            .as_ref()
            .map_or("no voter".to_owned(), Voting::state);
        let _ = writeln!(
            text,
            "-- revision {}, reading for {left} ms more; {voter}",
            reader.revision()
        );
        text
    }

    fn change(&mut self, caller: Token, text: &str) {
        let mut json = serde_json::Deserializer::from_str(text);
        let read: Result<Change, _> = serde_path_to_error::deserialize(&mut json);
        let refused = match read {
            Err(e) => Some(format!("{}: {}", e.path(), e.inner())),
            Ok(_) if self.changes.len() >= MOST_CHANGES => {
                Some("too many changes wait; come back in a second".to_owned())
            }
            Ok(change) => match change.check() {
                Err(why) => Some(format!("{why}: {}", why.advice())),
                Ok(()) => {
                    self.numbered += 1;
                    let command = self.command(self.numbered, Operation::Change(change));
                    self.changes.push_back((caller, command));
                    None
                }
            },
        };
        if let Some(why) = refused {
            self.replies.push_back((caller, format!("NAK {why}\n")));
        }
    }
}

impl Service for Agreement {
    fn name(&self) -> &'static str {
        "agreement"
    }

    fn ready(&mut self, now: Micros, event: Ready, context: &mut Context) {
        self.now = now;
        if event.listener {
            return self.accept(now, &mut context.net);
        }
        if let Some(voting) = self
            .voting
            .as_mut()
            .filter(|voting| voting.pipe == event.token)
        {
            return voting.stored(now);
        }
        self.read(now, event.token, context);
    }

    fn next_wake(&self) -> Option<Micros> {
        let more = (!self.waiting.is_empty()).then_some(Micros(0));
        let asks = self.question.as_ref().map_or(self.next_ask, |q| q.until);
        let tick = self.voting.as_ref().map(Voting::next_tick);
        let own = [
            Some(asks),
            more,
            tick,
            self.resting,
            self.applied.next_wake(),
        ];
        own.into_iter().flatten().min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        self.now = now;
        if self.resting.is_some_and(|until| until <= now) {
            self.resting = None;
            if let Some(listener) = self.listener {
                context.net.listening(listener, true);
            }
        }
        for token in std::mem::take(&mut self.waiting) {
            self.read(now, token, context);
        }
        if self.opening.is_some_and(|at| at <= now) {
            if let Err(e) = self.open(now, &mut context.net) {
                log::error!("agreement: {e}; tried again");
                self.voting = None;
                self.opening = Some(now + OPENING);
            }
        }
        if let Some(voting) = &mut self.voting {
            voting.tick(now);
        }
        if let Some(voting) = &self.voting {
            for voter in voting.unmet() {
                self.host(now, voter, &mut context.net);
            }
        }
        self.ask(now, context);
    }

    fn settled(&mut self, now: Micros, context: &mut Context) {
        self.now = now;
        // What is answered may free the next question, and that one ask the voter again.
        for _ in 0..2 {
            self.drive(now, context);
            self.ask(now, context);
        }
        self.applied.renew(now, context);
    }

    fn operate(
        &mut self,
        now: Micros,
        caller: Token,
        call: &admin::Call,
        context: &mut Context,
    ) -> bool {
        match call {
            admin::Call::Records => self.replies.push_back((caller, self.records(now, context))),
            admin::Call::Change(text) => {
                self.change(caller, text);
                self.next_ask = now;
            }
            _ => return false,
        }
        true
    }

    fn reply(&mut self) -> Option<(Token, String)> {
        self.replies.pop_front()
    }
}
