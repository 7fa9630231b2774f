//! The node: the core with its fronts and links round one loop.

use crate::admin::{self, Call, Ops};
use crate::clients::Clients;
use crate::clock::{millis, Clock};
use crate::config::{Config, ConfigError, SiteConfig};
use crate::consensus::Agreement;
use crate::core::licensing::Licensing;
use crate::core::{Command, Core};
use crate::discovery::{self, Clocks, Directory};
use crate::eureka::Eureka;
use crate::federation::{Outbox, Sites, MOST_LINKS};
use crate::fleet::Fleet;
use crate::gossip::Tier;
use crate::handover::{self, Handover, News, Side, Word};
use crate::net::{Net, Peer, Ready, Token};
use crate::service::{Agreed, Context, Service};
use crate::submission::Submissions;
use crate::workers::{Workers, WorkersConfig};
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
    context: Context,
    consumers: Clients,
    /// The peers that have registered themselves, by their numbers.
    services: Vec<Box<dyn Service>>,
    /// The descriptors that the services may hold.
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
    /// The names of the successor's services.
    heirs: Vec<String>,
    /// For so long the successor may take to hear what the services hold, once this process is to end.
    patience: Option<Micros>,
    next_counts: Micros,
}

/// What the running process knows that the next one is to start from.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Bequest {
    #[serde(flatten)]
    fleet: discovery::Bequest,
    /// Its services.
    #[serde(default, rename = "parties")]
    services: Vec<String>,
    /// The words of its other sources.
    #[serde(default)]
    sources: BTreeMap<String, Vec<discovery::Member>>,
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

/// The services' descriptors come off the consumers'.
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
        let consumers = Clients::new(config.listen, listener, most, pot, &mut net)?;
        let spoken_to = submission.iter().flat_map(|front| &front.workers);
        let by_submission = spoken_to.map(|word| worker_id(word)).collect();
        // Ids of jobs differ between nodes and between starts.
        let prefix = format!("{}-{:x}", config.name, config.seed);
        let mut services: Vec<Box<dyn Service>> = Vec::new();
        if let Some(front) = submission {
            let listener = handed(&mut listeners, front.listen);
            let peer = Peer::Service(services.len() as u8);
            let front = Submissions::new(front, listener, prefix, peer, &mut net)?;
            log::info!("{} takes submissions at {}", config.name, front.addr);
            services.push(Box::new(front));
        }
        if link.is_some() {
            let theirs = |service: &&mut Box<dyn Service>| {
                bequest.services.iter().any(|n| n == service.name())
            };
            services
                .iter_mut()
                .filter(theirs)
                .for_each(|service| service.met(now));
        }
        let ops = config
            .ops
            .map(|addr| Ops::new(addr, &mut net))
            .transpose()?;
        if let Some(ops) = &ops {
            log::info!("{} answers operators at {}", config.name, ops.addr);
        }
        let mut workers = Workers::new(WorkersConfig {
            report_fields: config.reads,
            has_load_endpoint: config.reports,
            idle_timeout: config.idle,
            connect_timeout: config.connect_timeout,
            progress_interval: config.progress,
            max_connections: config.most_worker_connections,
            submission_workers: by_submission,
        });
        let mut members = Membership::new(config.zones, config.kinds);
        let clocks = Clocks::new(now, config.drain_grace, config.pushed, config.seed);
        let source = members.add_source("directory", None);
        let mut directory = Directory::new(config.directory, source, clocks);
        let known = match &link {
            Some(_) => {
                log::info!("{} takes over from a process that runs", config.name);
                members.restore_out_of_service(bequest.fleet.out);
                directory.inherit(now, bequest.fleet.told_in_us);
                bequest.fleet.list
            }
            None => config.known.unwrap_or_default(),
        };
        let fixed = (!site.statics.is_empty()).then(|| members.add_source("static", None));
        if let Some(eureka) = site.eureka {
            let source = members.add_source("eureka", Some(site.guard));
            let peer = Peer::Service(services.len() as u8);
            let link = Eureka::new(eureka, source, peer, now, config.seed);
            services.push(Box::new(link));
        }
        if let Some(peers) = config.peers.filter(|_| site.peers) {
            let peer = Peer::Service(services.len() as u8);
            services.push(Box::new(Tier::new(peers, peer, now, &mut net)));
        }
        if let Some(seats) = site.seats {
            core.licensing = Some(Licensing::new(seats, core.names()).map_err(io::Error::other)?);
        }
        let mut agreed = Agreed::default();
        if let Some(agreement) = site.agreement {
            let peer = Peer::Service(services.len() as u8);
            let part = Agreement::new(agreement, peer, now, &mut net)?;
            agreed.reader = Some(part.reader());
            services.push(Box::new(part));
        }
        let outbox = site.site.map(Outbox::new);
        if outbox.is_some() {
            let peer = Peer::Service(services.len() as u8);
            services.push(Box::new(Sites::new(peer)));
        }
        workers.collects_evidence = members.uses_evidence();
        let mut fleet = Fleet::new(members);
        directory.known(now, known, &mut fleet, &mut core);
        if let Some(source) = fixed {
            let told = fleet.members.apply_full_list(now, source, site.statics);
            fleet.changed(now, told, &mut core);
        }
        // What other sources had said to the process that this one replaces, until they say it anew.
        for (name, list) in bequest.sources {
            if let Some(source) = fleet.members.source(&name) {
                let told = fleet
                    .members
                    .apply_full_list(now, source, discovery::words(list));
                fleet.changed(now, told, &mut core);
            }
        }
        let link = link.map(|link| net.add_connection(link.into(), Peer::Partner));
        let path = config.handover.as_deref();
        let mut handover = Handover::new(path, link.transpose()?, &mut net);
        if !bequest.services.is_empty() {
            let names = services.iter().map(|service| service.name().to_owned());
            handover.tell(&Word::Services(names.collect()), &mut net);
        }
        net.signal(signals.end.try_clone()?.into(), Peer::TerminateSignal)?;
        net.signal(signals.reload.try_clone()?.into(), Peer::ReloadSignal)?;
        log::info!("{} serves at {}", config.name, consumers.addr);
        let mut node = Node {
            clock,
            context: Context {
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
            services,
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
                log::info!("{}", self.context.core.class_summary());
                log::info!("ended: {}", self.context.core.counts());
                return;
            }
            self.context
                .net
                .wait(self.clock.now(), self.next_wake(), &mut happened);
            // Timers first: however much has come, they are punctual.
            self.wake(self.clock.now());
            for event in happened.drain(..) {
                if let Some(ready) = self.context.net.process_event(event) {
                    self.dispatch(ready);
                }
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let own = [
            self.context.core.next_wake(),
            self.context.workers.next_wake(),
            self.context.directory.next_wake(),
            self.context.outbox.as_ref().and_then(Outbox::next_wake),
            self.context.fleet.members.next_wake(),
            self.consumers.next_wake(),
            self.ops.as_ref().and_then(Ops::next_wake),
            self.ending,
            self.settling,
            self.killed.map(|at| at - LEAVING),
            self.patience,
            Some(self.next_counts),
        ];
        let services = self.services.iter().map(|service| service.next_wake());
        own.into_iter().chain(services).flatten().min()
    }

    fn wake(&mut self, now: Micros) {
        self.context.now = now;
        let Context {
            net,
            core,
            workers,
            directory,
            fleet,
            ..
        } = &mut self.context;
        // First: by a list that is too old nothing is sent, whatever else is due.
        directory.wake(now, fleet, net, core);
        core.wake(now);
        workers.wake(now, net, core);
        fleet.wake(now, workers, net, core);
        self.consumers.wake(now, net);
        for service in &mut self.services {
            service.wake(now, &mut self.context);
        }
        if self.patience.is_some_and(|until| until <= now) {
            self.patience = None;
        }
        if let Some(ops) = &mut self.ops {
            ops.wake(now, &mut self.context.net);
        }
        if self.settling.is_some_and(|due| due <= now) {
            self.settling = None;
            log::info!("settling {} that are open", self.context.core.unanswered());
            self.context.core.end_open_requests(now);
        }
        if now >= self.next_counts {
            self.next_counts = now + COUNTS;
            log::info!("{}", self.context.core.counts());
            log::info!("{}", self.context.core.class_summary());
        }
    }

    fn dispatch(&mut self, event: Ready) {
        let (now, token) = (self.clock.now(), event.token);
        self.context.now = now;
        match event.peer {
            Peer::Client if event.listener => self.consumers.accept(now, &mut self.context.net),
            Peer::Client => {
                let Context { net, core, .. } = &mut self.context;
                self.consumers.handle_ready(now, token, net, core);
            }
            Peer::Worker => {
                let Context {
                    net, core, workers, ..
                } = &mut self.context;
                workers.handle_ready(now, token, net, core);
            }
            Peer::Discovery => {
                let Context {
                    net,
                    core,
                    directory,
                    fleet,
                    ..
                } = &mut self.context;
                directory.ready(now, token, fleet, net, core);
            }
            Peer::Service(number) => {
                if let Some(service) = self.services.get_mut(usize::from(number)) {
                    service.ready(now, event, &mut self.context);
                }
            }
            Peer::Operator => {
                if let Some(ops) = &mut self.ops {
                    match event.listener {
                        true => ops.accept(now, &mut self.context.net),
                        false => {
                            if let Some(call) = ops.ready(token, &mut self.context.net) {
                                self.operate(now, token, call);
                            }
                        }
                    }
                }
            }
            Peer::Partner if event.listener => {
                let news = self.handover.accept(&mut self.context.net);
                self.heard(now, news);
            }
            Peer::Partner => {
                while let Some(news) = self.handover.ready(token, &mut self.context.net) {
                    self.heard(now, Some(news));
                }
            }
            Peer::TerminateSignal => self.end(now),
            Peer::ReloadSignal => self.reload(now),
        }
        self.carry_out(now);
    }

    /// Does what an operator asks for, and answers.
    fn operate(&mut self, now: Micros, caller: Token, call: Call) {
        let answer = match call {
            Call::Check => self.serves(),
            Call::Vars => {
                let (listed, avoided) = self
                    .context
                    .fleet
                    .count(|w| self.context.core.is_ejected(now, w));
                let text = admin::figures(&self.context.core, listed, avoided);
                if let Some(ops) = &mut self.ops {
                    ops.say(caller, &text, &mut self.context.net);
                }
                return;
            }
            Call::Members => {
                let text = admin::members(&self.context.fleet.members.views(now));
                if let Some(ops) = &mut self.ops {
                    ops.say(caller, &text, &mut self.context.net);
                }
                return;
            }
            Call::SetDown(id) => self.set_out(now, id, true),
            Call::SetUp(id) => self.set_out(now, id, false),
            call @ (Call::Records | Call::Change(_)) => {
                let mut services = self.services.iter_mut();
                if services.any(|service| service.operate(now, caller, &call, &mut self.context)) {
                    return;
                }
                Err("there is no part [agreement] in the operator file".into())
            }
        };
        if let Some(ops) = &mut self.ops {
            ops.answer(caller, answer, &mut self.context.net);
        }
    }

    fn serves(&self) -> admin::Answer {
        match (self.ending, self.context.core.has_workers()) {
            (Some(_), _) => Err("ending".into()),
            (_, false) => Err("no worker is known".into()),
            _ => Ok("serving".into()),
        }
    }

    /// An operator takes a worker out or calls it back.
    fn set_out(&mut self, now: Micros, id: String, out: bool) -> admin::Answer {
        if !self.context.fleet.members.is_known(&id) {
            return Err("unknown render worker".into());
        }
        let word = if out { "out" } else { "may serve" };
        let answer = format!("{id} {word}");
        self.mark_out(now, &id, out);
        let told = if out { Word::Out(id) } else { Word::Back(id) };
        self.handover.tell(&told, &mut self.context.net);
        Ok(answer)
    }

    /// Whichever process was called, both keep to it.
    fn mark_out(&mut self, now: Micros, id: &str, out: bool) {
        let word = if out { "out" } else { "may serve" };
        log::info!("operators: {id} {word}");
        let Context { core, fleet, .. } = &mut self.context;
        fleet.set_out(now, id, out, core);
    }

    /// Another process of this node has come, has said something, or is gone.
    fn heard(&mut self, now: Micros, news: Option<News>) {
        match news {
            // What this one has closed cannot be handed on: the other starts by itself.
            Some(News::Successor(heir)) if self.closed => {
                self.handover.drop_link(heir, &mut self.context.net);
            }
            Some(News::Successor(heir)) => {
                log::info!("another process comes to replace this one");
                let services = self.services.iter().flat_map(|service| service.listeners());
                let listeners: Vec<Token> = [self.consumers.acceptor.listener()]
                    .into_iter()
                    .chain(services)
                    .collect();
                let bequest = Bequest {
                    fleet: self
                        .context
                        .directory
                        .bequest(now, &self.context.fleet.members),
                    services: self.services.iter().map(|p| p.name().to_owned()).collect(),
                    sources: discovery::others(&self.context.fleet.members),
                };
                // What was told to one that came before is told to this one anew.
                self.heirs.clear();
                self.services
                    .iter_mut()
                    .for_each(|p| p.lost(now, Side::Successor));
                let (handover, net) = (&mut self.handover, &mut self.context.net);
                handover.bequeath(heir, &bequest, &listeners, net);
            }
            Some(News::Told(_, Word::Out(id))) => self.mark_out(now, &id, true),
            Some(News::Told(_, Word::Back(id))) => self.mark_out(now, &id, false),
            Some(News::Told(_, Word::Serving)) => {
                log::info!("the other process serves");
                for service in &mut self.services {
                    if self.heirs.iter().any(|name| name == service.name()) {
                        service.hand_over(now, &mut self.context);
                    }
                }
                if self.ending.is_some() {
                    self.hand_over(now);
                }
            }
            Some(News::Told(_, Word::Ending)) => log::info!("the other process ends"),
            Some(News::Told(Side::Successor, Word::Services(names))) => self.heirs = names,
            Some(News::Told(_, Word::Services(_))) => {}
            Some(News::Told(side, Word::Service(name, word))) => {
                let mut named = self
                    .services
                    .iter_mut()
                    .filter(|service| service.name() == name);
                if let Some(service) = named.next() {
                    service.told(now, side, word, &mut self.context);
                }
            }
            Some(News::Lost(side)) => {
                log::info!("the other process is gone");
                self.services
                    .iter_mut()
                    .for_each(|service| service.lost(now, side));
            }
            None => {}
        }
        self.apportion(now);
    }

    /// Tells the process that this one replaces as soon as it need take nothing more.
    fn announce(&mut self) {
        if !self.announced && self.serves().is_ok() {
            self.announced = true;
            self.handover.tell(&Word::Serving, &mut self.context.net);
        }
    }

    /// Shares what the node may hold and do with the other process of it, as long as there is one, and leaves new
    /// connections to one that succeeds.
    fn apportion(&mut self, now: Micros) {
        let parts = 1 + usize::from(self.handover.paired());
        self.consumers.body_budget = self.limits.bodies / parts;
        self.consumers.set_max_connections(
            now,
            self.limits.consumers / parts,
            &mut self.context.net,
        );
        self.context
            .workers
            .set_max_connections(self.limits.workers / parts, &mut self.context.net);
        if let Some(ops) = &mut self.ops {
            ops.most = admin::CALLERS / parts;
        }
        let sharing = 1 + u32::from(self.handover.shares());
        if std::mem::replace(&mut self.sharing, sharing) != sharing {
            self.context.core.set_processes(now, sharing);
        }
        if !self.closed {
            let succeeded = self.handover.succeeded();
            self.consumers
                .set_succeeded(succeeded, &mut self.context.net);
            for service in &mut self.services {
                service.set_succeeded(succeeded, &mut self.context);
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
        self.consumers.close_idle(now, &mut self.context.net);
        self.services
            .iter_mut()
            .for_each(|service| service.abandon(now));
    }

    /// SIGTERM: what is open is finished, and what still comes is served.
    fn end(&mut self, now: Micros) {
        drain(&mut self.signals.end);
        if self.ending.is_none() {
            log::info!("ending");
            let longest = self.context.core.names().max_deadline().min(LONGEST);
            let killed = now + longest + KILLED;
            (self.killed, self.settling) = (Some(killed), Some(killed - SETTLING));
            self.ending = Some(now + ENDING);
            self.consumers.draining = true;
            self.services
                .iter_mut()
                .for_each(|service| service.end(now));
            self.handover.tell(&Word::Ending, &mut self.context.net);
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
            let Context { net, directory, .. } = &mut self.context;
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
                self.consumers.drop_incomplete(&mut self.context.net);
            }
        }
        let told = |service: &dyn Service| service.is_handed_over();
        let told = self.patience.is_none()
            || self.services.iter().all(|service| told(&**service))
                && self.handover.is_flushed(&mut self.context.net);
        let Context { net, core, .. } = &self.context;
        let leaves = self.killed.is_some_and(|at| at - LEAVING <= now);
        let heard = net.is_closed() || leaves && net.is_flushed();
        self.closed && self.consumers.is_idle() && core.is_idle() && heard && told
    }

    /// Carries out what the core wants done, writes it out and waits anew.
    fn settle(&mut self, now: Micros) {
        self.carry_out(now);
        if self.context.workers.has_unsent() {
            self.look_again();
        }
        let Context {
            net, core, workers, ..
        } = &mut self.context;
        net.flush(now);
        workers.record_written(net, core);
    }

    /// The last look before calls begin. This process may have stood still, or been busy for long with what had come
    /// before: what forbids a call counts though it came after the call was decided. All bytes leave right after this.
    fn look_again(&mut self) {
        let now = self.clock.now();
        let context = &mut self.context;
        context.now = now;
        let (fleet, net, core) = (&mut context.fleet, &mut context.net, &mut context.core);
        context.directory.wake(now, fleet, net, core);
        if let Some(ready) = context
            .directory
            .awaited()
            .and_then(|token| net.poll_connection(token))
        {
            context.directory.ready(now, ready.token, fleet, net, core);
        }
        let leaving = context.workers.requests_leaving(net);
        self.consumers.drop_departed(now, leaving, net, core);
        context.workers.withdraw_stale(now, fleet, net, core);
        // What becomes of their jobs is not left to the next turn.
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: Micros) {
        // First, so that the other process knows of a job that is handed on before any worker does.
        self.tell_partners(now);
        self.commands(now);
        for service in &mut self.services {
            service.settled(now, &mut self.context);
            while let (Some(ops), Some((caller, text))) = (&mut self.ops, service.reply()) {
                ops.say(caller, &text, &mut self.context.net);
            }
        }
        self.tell_partners(now);
    }

    /// Carries the services' words to the other processes, as far as those read.
    fn tell_partners(&mut self, now: Micros) {
        for side in Side::BOTH {
            for at in 0..self.services.len() {
                while self.handover.has_room(side, &mut self.context.net) {
                    let service = &mut self.services[at];
                    let Some(word) = service.next_word(side) else {
                        break;
                    };
                    let word = Word::Service(service.name().to_owned(), word);
                    if !self.handover.tell_to(side, &word, &mut self.context.net) {
                        self.services
                            .iter_mut()
                            .for_each(|service| service.lost(now, side));
                    }
                }
            }
        }
    }

    fn commands(&mut self, now: Micros) {
        loop {
            let Context {
                net,
                core,
                workers,
                directory,
                fleet,
                ..
            } = &mut self.context;
            for worker in std::mem::take(&mut fleet.stale) {
                workers.forget_worker(worker, net);
            }
            let Some(command) = core.next_command() else {
                return;
            };
            match command {
                Command::StartAttempt(call) => {
                    let services = self.services.iter_mut();
                    services.for_each(|service| service.called(now, call.worker));
                    let aim = fleet.aim(call.worker);
                    workers.start_attempt(now, &call, aim, net, core);
                }
                Command::CancelAttempt {
                    request: id,
                    attempt,
                } => workers.cancel_attempt(id, attempt, net),
                Command::ProbeWorker(worker) => {
                    for service in &mut self.services {
                        service.probes(now, worker, &mut self.context);
                    }
                    let Context {
                        net,
                        core,
                        workers,
                        fleet,
                        ..
                    } = &mut self.context;
                    let aim = fleet.aim(worker);
                    workers.probe(now, worker, aim, net, core);
                }
                Command::AttemptEnded(worker) => {
                    let services = self.services.iter_mut();
                    services.for_each(|service| service.came_back(now, worker));
                }
                Command::WatchWorkers => directory.watch(now, net),
                Command::Answer {
                    request: id,
                    answer,
                    last_sent,
                } => {
                    if !self.consumers.send_answer(now, id, &answer, net, core) {
                        let mut services = self.services.iter_mut();
                        services.any(|service| service.answer(now, id, &answer, last_sent));
                    }
                }
                Command::RequestRunning(id, worker) => {
                    for service in &mut self.services {
                        service.running(now, id, worker, &self.context);
                    }
                }
                Command::RequestRequeued(id) => {
                    self.services
                        .iter_mut()
                        .for_each(|service| service.requeued(now, id));
                }
            }
        }
    }
}
