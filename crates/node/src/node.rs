//! The node: the core with its fronts and links round one loop.

use crate::agreement::Agreement;
use crate::clock::{millis, Clock};
use crate::config::{Config, ConfigError, SiteConfig};
use crate::consumers::Consumers;
use crate::core::seating::Seating;
use crate::core::{Command, Core};
use crate::directory::{self, Clocks, Directory};
use crate::eureka::Eureka;
use crate::fleet::Fleet;
use crate::handover::{self, Handover, News, Side, Word};
use crate::net::{Net, Peer, Ready, Token};
use crate::ops::{self, Call, Ops};
use crate::party::{Agreed, Hub, Party};
use crate::peers::Tier;
use crate::sites::{Outbox, Sites, MOST_LINKS};
use crate::submission::Submissions;
use crate::workers::{Figures, Workers};
use marbledeck_dispatcher::Micros;
use marbledeck_membership::Membership;
use marbledeck_platform_settings::{worker_id, PlatformSettings};
use rustix::fd::OwnedFd;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;

/// For so long after SIGTERM new connections are taken: fronts notice with some delay.
const ENDING: Micros = millis(700);
/// SIGKILL comes this long after SIGTERM and the longest deadline, which counts for no more than this.
const KILLED: Micros = millis(700);
const LONGEST: Micros = millis(3000);
/// What is still open so long before that is settled: time for the answers to leave, on a busy machine too.
const SETTLING: Micros = millis(300);
/// So long before it the process ends where all is answered, though some have not closed their connections yet.
const LEAVING: Micros = millis(100);
/// How much longer a request may take that has begun to come.
const HALF_READ: Micros = millis(1000);
/// How often the counts are logged.
const COUNTS: Micros = millis(10_000);

/// The pipes that become readable at a signal.
pub struct Signals {
    /// SIGTERM.
    pub end: UnixStream,
    /// SIGHUP.
    pub reload: UnixStream,
}

/// Reads the configuration as it is now.
pub type Read = Box<dyn Fn() -> Result<Config, ConfigError>>;

pub struct Node {
    clock: Clock,
    hub: Hub,
    consumers: Consumers,
    /// The peers that have registered themselves, by their numbers.
    parties: Vec<Box<dyn Party>>,
    /// The descriptors that the parties may hold.
    spared: usize,
    ops: Option<Ops>,
    handover: Handover,
    limits: Limits,
    signals: Signals,
    read: Read,
    /// What the file said when it was last read: only a change of it is acted upon.
    directory_in_file: Option<SocketAddr>,
    facts: PlatformSettings,
    /// When the next step of the end is due, once SIGTERM has come.
    ending: Option<Micros>,
    /// No connection is taken any more.
    closed: bool,
    /// When what is still open is settled, once SIGTERM has come.
    settling: Option<Micros>,
    /// SIGKILL comes no sooner, once SIGTERM has come.
    killed: Option<Micros>,
    /// How many processes the rates are shared by.
    sharing: u32,
    /// The process that this one replaces knows that it can serve.
    announced: bool,
    /// The names of the successor's parties.
    heirs: Vec<String>,
    /// For so long the successor may take to hear what the parties hold, once this process is to end.
    patience: Option<Micros>,
    next_counts: Micros,
}

/// What the running process knows that the next one is to start from.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Bequest {
    #[serde(flatten)]
    fleet: directory::Bequest,
    /// Its parties.
    #[serde(default)]
    parties: Vec<String>,
    /// The words of its other sources.
    #[serde(default)]
    sources: BTreeMap<String, Vec<directory::Member>>,
}

/// What the processes of this node may hold together.
struct Limits {
    consumers: usize,
    workers: usize,
    bodies: usize,
}

impl Limits {
    fn of(config: &Config, spared: usize) -> Self {
        Limits {
            consumers: most_consumers(config.most_consumers, spared),
            workers: config.most_worker_connections,
            bodies: config.bodies,
        }
    }
}

/// The socket that listens at this address, of those that were handed on.
fn handed(listeners: &mut Vec<OwnedFd>, addr: SocketAddr) -> Option<OwnedFd> {
    let at_addr = |fd: &OwnedFd| {
        let bound = rustix::net::getsockname(fd).ok();
        bound.and_then(|bound| SocketAddr::try_from(bound).ok()) == Some(addr)
    };
    let found = listeners.iter().position(at_addr);
    found.map(|at| listeners.swap_remove(at))
}

/// The parties' descriptors come off the consumers'.
fn most_consumers(most: usize, spared: usize) -> usize {
    most.saturating_sub(spared).max(1)
}

/// Takes what a signal's pipe holds: several signals that have come by now are one.
fn drain(pipe: &mut UnixStream) {
    let mut bytes = [0u8; 16];
    while matches!(io::Read::read(pipe, &mut bytes), Ok(n) if n > 0) {}
}

impl Node {
    /// Listens, and starts from the list that the configuration has; SIGHUP reads it anew through `read`.
    pub fn new(config: Config, site: SiteConfig, signals: Signals, read: Read) -> io::Result<Self> {
        let clock = Clock::start();
        let now = clock.now();
        let mut net = Net::new()?;
        let submission = site.submission;
        let spared = submission.as_ref().map_or(0, |front| front.max_submitters)
            + site.agreement.as_ref().map_or(0, |part| part.descriptors())
            + site.site.as_ref().map_or(0, |_| MOST_LINKS);
        let limits = Limits::of(&config, spared);
        let core = Core::new(config.settings, config.catalogue, config.seed, now);
        let mut core = core.map_err(io::Error::other)?;
        let met = config.handover.as_deref();
        let met = met.and_then(handover::meet::<Bequest>);
        let (link, bequest, mut listeners) = match met {
            Some(met) => (Some(met.link), met.bequest, met.listeners),
            None => Default::default(),
        };
        let listener = handed(&mut listeners, config.listen);
        // One that listens elsewhere is another node's: this one starts on its own.
        let link = link.filter(|_| listener.is_some());
        let (most, pot) = (limits.consumers, limits.bodies);
        let consumers = Consumers::new(config.listen, listener, most, pot, &mut net)?;
        let spoken_to = submission.iter().flat_map(|front| &front.workers);
        let by_submission = spoken_to.map(|word| worker_id(word)).collect();
        // Ids of jobs differ between nodes and between starts.
        let prefix = format!("{}-{:x}", config.name, config.seed);
        let mut parties: Vec<Box<dyn Party>> = Vec::new();
        if let Some(front) = submission {
            let listener = handed(&mut listeners, front.listen);
            let peer = Peer::Party(parties.len() as u8);
            let front = Submissions::new(front, listener, prefix, peer, &mut net)?;
            log::info!("{} takes submissions at {}", config.name, front.addr);
            parties.push(Box::new(front));
        }
        if link.is_some() {
            let theirs =
                |party: &&mut Box<dyn Party>| bequest.parties.iter().any(|n| n == party.name());
            parties
                .iter_mut()
                .filter(theirs)
                .for_each(|party| party.met(now));
        }
        let ops = config
            .ops
            .map(|addr| Ops::new(addr, &mut net))
            .transpose()?;
        if let Some(ops) = &ops {
            log::info!("{} answers operators at {}", config.name, ops.addr);
        }
        let mut workers = Workers::new(Figures {
            reads: config.reads,
            reports: config.reports,
            idle: config.idle,
            connect_timeout: config.connect_timeout,
            progress: config.progress,
            most: config.most_worker_connections,
            by_submission,
        });
        let mut members = Membership::new(config.zones, config.kinds);
        let clocks = Clocks::new(now, config.drain_grace, config.pushed, config.seed);
        let source = members.add_source("directory", None);
        let mut directory = Directory::new(config.directory, source, clocks);
        let known = match &link {
            Some(_) => {
                log::info!("{} takes over from a process that runs", config.name);
                members.inherit(bequest.fleet.out);
                directory.inherit(now, bequest.fleet.told_in_us);
                bequest.fleet.list
            }
            None => config.known.unwrap_or_default(),
        };
        let fixed = (!site.statics.is_empty()).then(|| members.add_source("static", None));
        if let Some(eureka) = site.eureka {
            let source = members.add_source("eureka", Some(site.guard));
            let peer = Peer::Party(parties.len() as u8);
            let link = Eureka::new(eureka, source, peer, now, config.seed);
            parties.push(Box::new(link));
        }
        if let Some(peers) = config.peers.filter(|_| site.peers) {
            let peer = Peer::Party(parties.len() as u8);
            parties.push(Box::new(Tier::new(peers, peer, now, &mut net)));
        }
        if let Some(seats) = site.seats {
            core.seating = Some(Seating::new(seats, core.catalogue()).map_err(io::Error::other)?);
        }
        let mut agreed = Agreed::default();
        if let Some(agreement) = site.agreement {
            let peer = Peer::Party(parties.len() as u8);
            let part = Agreement::new(agreement, peer, now, &mut net)?;
            agreed.reader = Some(part.reader());
            parties.push(Box::new(part));
        }
        let outbox = site.site.map(Outbox::new);
        if outbox.is_some() {
            let peer = Peer::Party(parties.len() as u8);
            parties.push(Box::new(Sites::new(peer)));
        }
        workers.wants_signs = members.is_guarded();
        let mut fleet = Fleet::new(members);
        directory.known(now, known, &mut fleet, &mut core);
        if let Some(source) = fixed {
            let told = fleet.members.list(now, source, site.statics);
            fleet.changed(now, told, &mut core);
        }
        // What other sources had said to the process that this one replaces, until they say it anew.
        for (name, list) in bequest.sources {
            if let Some(source) = fleet.members.source(&name) {
                let told = fleet.members.list(now, source, directory::words(list));
                fleet.changed(now, told, &mut core);
            }
        }
        let link = link.map(|link| net.join(link.into(), Peer::Partner));
        let path = config.handover.as_deref();
        let mut handover = Handover::new(path, link.transpose()?, &mut net);
        if !bequest.parties.is_empty() {
            let names = parties.iter().map(|party| party.name().to_owned());
            handover.tell(&Word::Parties(names.collect()), &mut net);
        }
        net.signal(signals.end.try_clone()?.into(), Peer::End)?;
        net.signal(signals.reload.try_clone()?.into(), Peer::Reload)?;
        log::info!("{} serves at {}", config.name, consumers.addr);
        let mut node = Node {
            clock,
            hub: Hub {
                now,
                net,
                core,
                workers,
                directory,
                fleet,
                agreed,
                outbox,
            },
            consumers,
            parties,
            spared,
            ops,
            handover,
            limits,
            signals,
            read,
            directory_in_file: config.directory_in_file,
            facts: config.facts,
            ending: None,
            closed: false,
            settling: None,
            killed: None,
            sharing: 1,
            announced: false,
            heirs: Vec::new(),
            patience: None,
            next_counts: now + COUNTS,
        };
        node.apportion(now);
        Ok(node)
    }

    /// Serves until it is told to end and nothing is open any more.
    pub fn run(&mut self) {
        let mut happened = Vec::new();
        loop {
            let now = self.clock.now();
            self.announce();
            self.settle(now);
            if self.is_over(now) {
                log::info!("{}", self.hub.core.by_class());
                log::info!("ended: {}", self.hub.core.counts());
                return;
            }
            self.hub
                .net
                .wait(self.clock.now(), self.next_wake(), &mut happened);
            // Timers first: however much has come, they are punctual.
            self.wake(self.clock.now());
            for event in happened.drain(..) {
                if let Some(ready) = self.hub.net.pump(event) {
                    self.dispatch(ready);
                }
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let own = [
            self.hub.core.next_wake(),
            self.hub.workers.next_wake(),
            self.hub.directory.next_wake(),
            self.hub.outbox.as_ref().and_then(Outbox::next_wake),
            self.hub.fleet.members.next_wake(),
            self.consumers.next_wake(),
            self.ops.as_ref().and_then(Ops::next_wake),
            self.ending,
            self.settling,
            self.killed.map(|at| at - LEAVING),
            self.patience,
            Some(self.next_counts),
        ];
        let parties = self.parties.iter().map(|party| party.next_wake());
        own.into_iter().chain(parties).flatten().min()
    }

    fn wake(&mut self, now: Micros) {
        self.hub.now = now;
        let Hub {
            net,
            core,
            workers,
            directory,
            fleet,
            ..
        } = &mut self.hub;
        // First: by a list that is too old nothing is sent, whatever else is due.
        directory.wake(now, fleet, net, core);
        core.wake(now);
        workers.wake(now, net, core);
        fleet.wake(now, workers, net, core);
        self.consumers.wake(now, net);
        for party in &mut self.parties {
            party.wake(now, &mut self.hub);
        }
        if self.patience.is_some_and(|until| until <= now) {
            self.patience = None;
        }
        if let Some(ops) = &mut self.ops {
            ops.wake(now, &mut self.hub.net);
        }
        if self.settling.is_some_and(|due| due <= now) {
            self.settling = None;
            log::info!("settling {} that are open", self.hub.core.unanswered());
            self.hub.core.settle(now);
        }
        if now >= self.next_counts {
            self.next_counts = now + COUNTS;
            log::info!("{}", self.hub.core.counts());
            log::info!("{}", self.hub.core.by_class());
        }
    }

    fn dispatch(&mut self, event: Ready) {
        let (now, token) = (self.clock.now(), event.token);
        self.hub.now = now;
        match event.peer {
            Peer::Consumer if event.listener => self.consumers.accept(now, &mut self.hub.net),
            Peer::Consumer => {
                let Hub { net, core, .. } = &mut self.hub;
                self.consumers.ready(now, token, net, core);
            }
            Peer::Worker => {
                let Hub {
                    net, core, workers, ..
                } = &mut self.hub;
                workers.ready(now, token, net, core);
            }
            Peer::Directory => {
                let Hub {
                    net,
                    core,
                    directory,
                    fleet,
                    ..
                } = &mut self.hub;
                directory.ready(now, token, fleet, net, core);
            }
            Peer::Party(number) => {
                if let Some(party) = self.parties.get_mut(usize::from(number)) {
                    party.ready(now, event, &mut self.hub);
                }
            }
            Peer::Operator => {
                if let Some(ops) = &mut self.ops {
                    match event.listener {
                        true => ops.accept(now, &mut self.hub.net),
                        false => {
                            if let Some(call) = ops.ready(token, &mut self.hub.net) {
                                self.operate(now, token, call);
                            }
                        }
                    }
                }
            }
            Peer::Partner if event.listener => {
                let news = self.handover.accept(&mut self.hub.net);
                self.heard(now, news);
            }
            Peer::Partner => {
                while let Some(news) = self.handover.ready(token, &mut self.hub.net) {
                    self.heard(now, Some(news));
                }
            }
            Peer::End => self.end(now),
            Peer::Reload => self.reload(now),
        }
        self.carry_out(now);
    }

    /// Does what an operator asks for, and answers.
    fn operate(&mut self, now: Micros, caller: Token, call: Call) {
        let answer = match call {
            Call::Check => self.serves(),
            Call::Vars => {
                let (listed, avoided) = self.hub.fleet.count(|w| self.hub.core.rests(now, w));
                let text = ops::figures(&self.hub.core, listed, avoided);
                if let Some(ops) = &mut self.ops {
                    ops.say(caller, &text, &mut self.hub.net);
                }
                return;
            }
            Call::Members => {
                let text = ops::members(&self.hub.fleet.members.views(now));
                if let Some(ops) = &mut self.ops {
                    ops.say(caller, &text, &mut self.hub.net);
                }
                return;
            }
            Call::SetDown(id) => self.set_out(now, id, true),
            Call::SetUp(id) => self.set_out(now, id, false),
            call @ (Call::Records | Call::Change(_)) => {
                let mut parties = self.parties.iter_mut();
                if parties.any(|party| party.operate(now, caller, &call, &mut self.hub)) {
                    return;
                }
                Err("there is no part [agreement] in the operator file".into())
            }
        };
        if let Some(ops) = &mut self.ops {
            ops.answer(caller, answer, &mut self.hub.net);
        }
    }

    fn serves(&self) -> ops::Answer {
        match (self.ending, self.hub.core.has_workers()) {
            (Some(_), _) => Err("ending".into()),
            (_, false) => Err("no worker is known".into()),
            _ => Ok("serving".into()),
        }
    }

    /// An operator takes a worker out or calls it back.
    fn set_out(&mut self, now: Micros, id: String, out: bool) -> ops::Answer {
        if !self.hub.fleet.members.knows(&id) {
            return Err("unknown render worker".into());
        }
        let word = if out { "out" } else { "may serve" };
        let answer = format!("{id} {word}");
        self.mark_out(now, &id, out);
        let told = if out { Word::Out(id) } else { Word::Back(id) };
        self.handover.tell(&told, &mut self.hub.net);
        Ok(answer)
    }

    /// Whichever process was called, both keep to it.
    fn mark_out(&mut self, now: Micros, id: &str, out: bool) {
        let word = if out { "out" } else { "may serve" };
        log::info!("operators: {id} {word}");
        let Hub { core, fleet, .. } = &mut self.hub;
        fleet.set_out(now, id, out, core);
    }

    /// Another process of this node has come, has said something, or is gone.
    fn heard(&mut self, now: Micros, news: Option<News>) {
        match news {
            // What this one has closed cannot be handed on: the other starts by itself.
            Some(News::Successor(heir)) if self.closed => {
                self.handover.drop_link(heir, &mut self.hub.net);
            }
            Some(News::Successor(heir)) => {
                log::info!("another process comes to replace this one");
                let parties = self.parties.iter().flat_map(|party| party.listeners());
                let listeners: Vec<Token> = [self.consumers.listener]
                    .into_iter()
                    .chain(parties)
                    .collect();
                let bequest = Bequest {
                    fleet: self.hub.directory.bequest(now, &self.hub.fleet.members),
                    parties: self.parties.iter().map(|p| p.name().to_owned()).collect(),
                    sources: directory::others(&self.hub.fleet.members),
                };
                // What was told to one that came before is told to this one anew.
                self.heirs.clear();
                self.parties
                    .iter_mut()
                    .for_each(|p| p.lost(now, Side::Successor));
                let (handover, net) = (&mut self.handover, &mut self.hub.net);
                handover.bequeath(heir, &bequest, &listeners, net);
            }
            Some(News::Told(_, Word::Out(id))) => self.mark_out(now, &id, true),
            Some(News::Told(_, Word::Back(id))) => self.mark_out(now, &id, false),
            Some(News::Told(_, Word::Serving)) => {
                log::info!("the other process serves");
                for party in &mut self.parties {
                    if self.heirs.iter().any(|name| name == party.name()) {
                        party.hand_over(now, &mut self.hub);
                    }
                }
                if self.ending.is_some() {
                    self.hand_over(now);
                }
            }
            Some(News::Told(_, Word::Ending)) => log::info!("the other process ends"),
            Some(News::Told(Side::Successor, Word::Parties(names))) => self.heirs = names,
            Some(News::Told(_, Word::Parties(_))) => {}
            Some(News::Told(side, Word::Party(name, word))) => {
                let mut named = self.parties.iter_mut().filter(|party| party.name() == name);
                if let Some(party) = named.next() {
                    party.told(now, side, word, &mut self.hub);
                }
            }
            Some(News::Lost(side)) => {
                log::info!("the other process is gone");
                self.parties
                    .iter_mut()
                    .for_each(|party| party.lost(now, side));
            }
            None => {}
        }
        self.apportion(now);
    }

    /// Tells the process that this one replaces as soon as it need take nothing more.
    fn announce(&mut self) {
        if !self.announced && self.serves().is_ok() {
            self.announced = true;
            self.handover.tell(&Word::Serving, &mut self.hub.net);
        }
    }

    /// Shares what the node may hold and do with the other process of it, as long as there is one, and leaves new
    /// connections to one that succeeds.
    fn apportion(&mut self, now: Micros) {
        let parts = 1 + usize::from(self.handover.paired());
        self.consumers.pot = self.limits.bodies / parts;
        self.consumers
            .set_most(now, self.limits.consumers / parts, &mut self.hub.net);
        self.hub
            .workers
            .set_most(self.limits.workers / parts, &mut self.hub.net);
        if let Some(ops) = &mut self.ops {
            ops.most = ops::CALLERS / parts;
        }
        let sharing = 1 + u32::from(self.handover.shares());
        if std::mem::replace(&mut self.sharing, sharing) != sharing {
            self.hub.core.share(now, sharing);
        }
        if !self.closed {
            let succeeded = self.handover.succeeded();
            self.consumers.set_succeeded(succeeded, &mut self.hub.net);
            for party in &mut self.parties {
                party.set_succeeded(succeeded, &mut self.hub);
            }
        }
    }

    /// SIGTERM has come and the successor serves: nothing is taken any more, and what is open is finished, as far as
    /// there is time.
    fn hand_over(&mut self, now: Micros) {
        self.ending = Some(now + HALF_READ);
        self.patience = Some(now + LONGEST);
        self.close(now);
    }

    /// Nothing is taken any more.
    fn close(&mut self, now: Micros) {
        self.closed = true;
        self.consumers.close_idle(now, &mut self.hub.net);
        self.parties.iter_mut().for_each(|party| party.abandon(now));
    }

    /// SIGTERM: what is open is finished, and what still comes is served.
    fn end(&mut self, now: Micros) {
        drain(&mut self.signals.end);
        if self.ending.is_none() {
            log::info!("ending");
            let longest = self.hub.core.catalogue().longest().min(LONGEST);
            let killed = now + longest + KILLED;
            (self.killed, self.settling) = (Some(killed), Some(killed - SETTLING));
            self.ending = Some(now + ENDING);
            self.consumers.ending = true;
            self.parties.iter_mut().for_each(|party| party.end(now));
            self.handover.tell(&Word::Ending, &mut self.hub.net);
            if self.handover.succeeded() {
                self.hand_over(now);
            }
        }
    }

    /// SIGHUP: the file is read anew. What is faulty changes nothing, and nothing that is open is touched.
    fn reload(&mut self, now: Micros) {
        drain(&mut self.signals.reload);
        let config = match (self.read)() {
            Ok(config) => config,
            Err(e) => return log::error!("reload: {e}; all stays as it was"),
        };
        if config.facts != self.facts {
            log::warn!("reload: other settings count from the next start");
        }
        self.limits = Limits::of(&config, self.spared);
        self.apportion(now);
        let named = config.directory_in_file;
        if let Some(addr) = named.filter(|_| named != self.directory_in_file) {
            self.directory_in_file = named;
            let Hub { net, directory, .. } = &mut self.hub;
            directory.move_to(now, addr, net);
        }
        log::info!("reload: done");
    }

    fn is_over(&mut self, now: Micros) -> bool {
        if self.ending.is_some_and(|due| due <= now) {
            self.ending = Some(now + HALF_READ);
            if !self.closed {
                self.close(now);
            } else {
                self.consumers.drop_half_read(&mut self.hub.net);
            }
        }
        let told = |party: &dyn Party| party.is_handed_over();
        let told = self.patience.is_none()
            || self.parties.iter().all(|party| told(&**party))
                && self.handover.is_flushed(&mut self.hub.net);
        let Hub { net, core, .. } = &self.hub;
        let leaves = self.killed.is_some_and(|at| at - LEAVING <= now);
        let heard = net.is_closed() || leaves && net.is_flushed();
        self.closed && self.consumers.is_idle() && core.idle() && heard && told
    }

    /// Carries out what the core wants done, writes it out and waits anew.
    fn settle(&mut self, now: Micros) {
        self.carry_out(now);
        if self.hub.workers.is_writing() {
            self.look_again();
        }
        let Hub {
            net, core, workers, ..
        } = &mut self.hub;
        net.settle(now);
        workers.written(net, core);
    }

    /// The last look before calls begin. This process may have stood still, or been busy for long with what had come
    /// before: what forbids a call counts though it came after the call was decided. All bytes leave right after this.
    fn look_again(&mut self) {
        let now = self.clock.now();
        let hub = &mut self.hub;
        hub.now = now;
        let (fleet, net, core) = (&mut hub.fleet, &mut hub.net, &mut hub.core);
        hub.directory.wake(now, fleet, net, core);
        if let Some(ready) = hub.directory.awaited().and_then(|token| net.look(token)) {
            hub.directory.ready(now, ready.token, fleet, net, core);
        }
        let leaving = hub.workers.leaving(net);
        self.consumers.look(now, leaving, net, core);
        hub.workers.withdraw(now, fleet, net, core);
        // What becomes of their jobs is not left to the next turn.
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: Micros) {
        // First, so that the other process knows of a job that is handed on before any worker does.
        self.tell_partners(now);
        self.commands(now);
        for party in &mut self.parties {
            party.settled(now, &mut self.hub);
            while let (Some(ops), Some((caller, text))) = (&mut self.ops, party.reply()) {
                ops.say(caller, &text, &mut self.hub.net);
            }
        }
        self.tell_partners(now);
    }

    /// Carries the parties' words to the other processes, as far as those read.
    fn tell_partners(&mut self, now: Micros) {
        for side in Side::BOTH {
            for at in 0..self.parties.len() {
                while self.handover.has_room(side, &mut self.hub.net) {
                    let party = &mut self.parties[at];
                    let Some(word) = party.next_word(side) else {
                        break;
                    };
                    let word = Word::Party(party.name().to_owned(), word);
                    if !self.handover.tell_to(side, &word, &mut self.hub.net) {
                        self.parties
                            .iter_mut()
                            .for_each(|party| party.lost(now, side));
                    }
                }
            }
        }
    }

    fn commands(&mut self, now: Micros) {
        loop {
            let Hub {
                net,
                core,
                workers,
                directory,
                fleet,
                ..
            } = &mut self.hub;
            for worker in std::mem::take(&mut fleet.stale) {
                workers.forget(worker, net);
            }
            let Some(command) = core.command() else {
                return;
            };
            match command {
                Command::Call(call) => {
                    let parties = self.parties.iter_mut();
                    parties.for_each(|party| party.called(now, call.worker));
                    let aim = fleet.aim(call.worker);
                    workers.call(now, &call, aim, net, core);
                }
                Command::GiveUp { id, attempt } => workers.give_up(id, attempt, net),
                Command::Probe(worker) => {
                    for party in &mut self.parties {
                        party.probes(now, worker, &mut self.hub);
                    }
                    let Hub {
                        net,
                        core,
                        workers,
                        fleet,
                        ..
                    } = &mut self.hub;
                    let aim = fleet.aim(worker);
                    workers.probe(now, worker, aim, net, core);
                }
                Command::CameBack(worker) => {
                    let parties = self.parties.iter_mut();
                    parties.for_each(|party| party.came_back(now, worker));
                }
                Command::Watch => directory.watch(now, net),
                Command::Answer { id, verdict, sent } => {
                    if !self.consumers.answer(now, id, &verdict, net, core) {
                        let mut parties = self.parties.iter_mut();
                        parties.any(|party| party.answer(now, id, &verdict, sent));
                    }
                }
                Command::Running(id, worker) => {
                    for party in &mut self.parties {
                        party.running(now, id, worker, &self.hub);
                    }
                }
                Command::Requeued(id) => {
                    self.parties
                        .iter_mut()
                        .for_each(|party| party.requeued(now, id));
                }
            }
        }
    }
}
