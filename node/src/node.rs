//! The node: the core with its fronts and links round one loop.

use crate::clock::{millis, Clock};
use crate::config::{Config, ConfigError, SubmissionConfig};
use crate::consumers::Consumers;
use crate::core::{Command, Core};
use crate::directory::Directory;
use crate::handover::{self, Handover, News, Word};
use crate::net::{Net, Peer, Ready, Token};
use crate::ops::{self, Call, Ops};
use crate::submission::Submissions;
use crate::workers::{Figures, Workers};
use marbledeck::Micros;
use marbledeck_facts::{worker_id, Facts};
use rustix::fd::OwnedFd;
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
    net: Net,
    core: Core,
    consumers: Consumers,
    workers: Workers,
    directory: Directory,
    submissions: Option<Submissions>,
    submitters: usize,
    ops: Option<Ops>,
    handover: Handover,
    limits: Limits,
    signals: Signals,
    read: Read,
    /// What the file said when it was last read: only a change of it is acted upon.
    directory_in_file: Option<SocketAddr>,
    facts: Facts,
    /// When the next step of the end is due, once SIGTERM has come.
    ending: Option<Micros>,
    /// No connection is taken any more.
    closed: bool,
    /// When what is still open is settled, once a successor serves and SIGTERM has come.
    settling: Option<Micros>,
    /// How many processes the rates are shared by.
    sharing: u32,
    /// The process that this one replaces knows that it can serve.
    announced: bool,
    next_counts: Micros,
}

/// What the processes of this node may hold together.
struct Limits {
    consumers: usize,
    workers: usize,
    bodies: usize,
}

impl Limits {
    fn of(config: &Config, submitters: usize) -> Self {
        Limits {
            consumers: most_consumers(config.most_consumers, submitters),
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

/// The submitters' descriptors come off the consumers'.
fn most_consumers(most: usize, submitters: usize) -> usize {
    most.saturating_sub(submitters).max(1)
}

/// Takes what a signal's pipe holds: several signals that have come by now are one.
fn drain(pipe: &mut UnixStream) {
    let mut bytes = [0u8; 16];
    while matches!(io::Read::read(pipe, &mut bytes), Ok(n) if n > 0) {}
}

impl Node {
    /// Listens, and starts from the list that the configuration has; SIGHUP reads it anew through `read`.
    pub fn new(
        config: Config,
        submission: Option<SubmissionConfig>,
        signals: Signals,
        read: Read,
    ) -> io::Result<Self> {
        let clock = Clock::start();
        let now = clock.now();
        let mut net = Net::new()?;
        let submitters = submission.as_ref().map_or(0, |front| front.max_submitters);
        let limits = Limits::of(&config, submitters);
        let core = Core::new(config.settings, config.catalogue, config.seed, now);
        let mut core = core.map_err(io::Error::other)?;
        let met = config.handover.as_deref().and_then(handover::meet);
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
        let submissions = submission.map(|front| {
            let listener = handed(&mut listeners, front.listen);
            Submissions::new(front, listener, prefix, &mut net)
        });
        let submissions = submissions.transpose()?;
        if let Some(front) = &submissions {
            log::info!("{} takes submissions at {}", config.name, front.addr);
        }
        let ops = config
            .ops
            .map(|addr| Ops::new(addr, &mut net))
            .transpose()?;
        if let Some(ops) = &ops {
            log::info!("{} answers operators at {}", config.name, ops.addr);
        }
        let workers = Workers::new(Figures {
            reads: config.reads,
            reports: config.reports,
            idle: config.idle,
            connect_timeout: config.connect_timeout,
            progress: config.progress,
            most: config.most_worker_connections,
            by_submission,
        });
        let mut directory = Directory::new(config.directory, config.zones, config.kinds);
        let known = match &link {
            Some(_) => {
                log::info!("{} takes over from a process that runs", config.name);
                directory.inherit(bequest.out);
                bequest.list
            }
            None => config.known.unwrap_or_default(),
        };
        directory.known(now, known, &mut core);
        let link = link.map(|link| net.join(link.into(), Peer::Partner));
        let path = config.handover.as_deref();
        let handover = Handover::new(path, link.transpose()?, &mut net);
        net.signal(signals.end.try_clone()?.into(), Peer::End)?;
        net.signal(signals.reload.try_clone()?.into(), Peer::Reload)?;
        log::info!("{} serves at {}", config.name, consumers.addr);
        let mut node = Node {
            clock,
            net,
            core,
            consumers,
            workers,
            directory,
            submissions,
            submitters,
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
            sharing: 1,
            announced: false,
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
                log::info!("{}", self.core.by_class());
                log::info!("ended: {}", self.core.counts());
                return;
            }
            self.net
                .wait(self.clock.now(), self.next_wake(), &mut happened);
            // Timers first: however much has come, they are punctual.
            self.wake(self.clock.now());
            for event in happened.drain(..) {
                if let Some(ready) = self.net.pump(event) {
                    self.dispatch(ready);
                }
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        [
            self.core.next_wake(),
            self.workers.next_wake(),
            self.directory.next_wake(),
            self.consumers.next_wake(),
            self.submissions.as_ref().and_then(Submissions::next_wake),
            self.ops.as_ref().and_then(Ops::next_wake),
            self.ending,
            self.settling,
            Some(self.next_counts),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn wake(&mut self, now: Micros) {
        self.core.wake(now);
        self.workers.wake(now, &mut self.net, &mut self.core);
        self.directory.wake(now, &mut self.net, &mut self.core);
        self.consumers.wake(now, &mut self.net);
        if let Some(front) = &mut self.submissions {
            front.wake(now, &mut self.net, &mut self.core);
        }
        if let Some(ops) = &mut self.ops {
            ops.wake(now, &mut self.net);
        }
        if self.settling.is_some_and(|due| due <= now) {
            self.settling = None;
            log::info!("settling {} that are open", self.core.unanswered());
            self.core.settle(now);
        }
        if now >= self.next_counts {
            self.next_counts = now + COUNTS;
            log::info!("{}", self.core.counts());
            log::info!("{}", self.core.by_class());
        }
    }

    fn dispatch(&mut self, event: Ready) {
        let (now, token) = (self.clock.now(), event.token);
        match event.peer {
            Peer::Consumer if event.listener => self.consumers.accept(now, &mut self.net),
            Peer::Consumer => self
                .consumers
                .ready(now, token, &mut self.net, &mut self.core),
            Peer::Worker => self
                .workers
                .ready(now, token, &mut self.net, &mut self.core),
            Peer::Directory => self
                .directory
                .ready(now, token, &mut self.net, &mut self.core),
            Peer::Submitter => {
                if let Some(front) = &mut self.submissions {
                    match event.listener {
                        true => front.accept(now, &mut self.net),
                        false => front.ready(now, token, &mut self.net, &mut self.core),
                    }
                }
            }
            Peer::Operator => {
                if let Some(ops) = &mut self.ops {
                    match event.listener {
                        true => ops.accept(now, &mut self.net),
                        false => {
                            if let Some(call) = ops.ready(token, &mut self.net) {
                                self.operate(now, token, call);
                            }
                        }
                    }
                }
            }
            Peer::Partner if event.listener => {
                let news = self.handover.accept(&mut self.net);
                self.heard(now, news);
            }
            Peer::Partner => {
                while let Some(news) = self.handover.ready(token, &mut self.net) {
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
                let (listed, avoided) = self.directory.count(|w| self.core.rests(now, w));
                let text = ops::figures(&self.core, listed, avoided);
                if let Some(ops) = &mut self.ops {
                    ops.say(caller, &text, &mut self.net);
                }
                return;
            }
            Call::SetDown(id) => self.set_out(now, id, true),
            Call::SetUp(id) => self.set_out(now, id, false),
        };
        if let Some(ops) = &mut self.ops {
            ops.answer(caller, answer, &mut self.net);
        }
    }

    fn serves(&self) -> ops::Answer {
        match (self.ending, self.core.has_workers()) {
            (Some(_), _) => Err("ending".into()),
            (_, false) => Err("no worker is known".into()),
            _ => Ok("serving".into()),
        }
    }

    /// An operator takes a worker out or calls it back.
    fn set_out(&mut self, now: Micros, id: String, out: bool) -> ops::Answer {
        if !self.directory.knows(&id) {
            return Err("unknown render worker".into());
        }
        let word = if out { "out" } else { "may serve" };
        let answer = format!("{id} {word}");
        self.mark_out(now, &id, out);
        let told = if out { Word::Out(id) } else { Word::Back(id) };
        self.handover.tell(&told, &mut self.net);
        Ok(answer)
    }

    /// Whichever process was called, both keep to it.
    fn mark_out(&mut self, now: Micros, id: &str, out: bool) {
        let word = if out { "out" } else { "may serve" };
        log::info!("operators: {id} {word}");
        self.directory.set_out(now, id, out, &mut self.core);
        if out {
            self.workers
                .hold_back(now, worker_id(id), &mut self.net, &mut self.core);
        }
    }

    /// Another process of this node has come, has said something, or is gone.
    fn heard(&mut self, now: Micros, news: Option<News>) {
        match news {
            // What this one has closed cannot be handed on: the other starts by itself.
            Some(News::Successor(heir)) if self.closed => {
                self.handover.drop_link(heir, &mut self.net);
            }
            Some(News::Successor(heir)) => {
                log::info!("another process comes to replace this one");
                let front = self.submissions.iter().map(|front| front.listener);
                let listeners: Vec<Token> =
                    [self.consumers.listener].into_iter().chain(front).collect();
                let bequest = self.directory.bequest();
                let (handover, net) = (&mut self.handover, &mut self.net);
                handover.bequeath(heir, &bequest, &listeners, net);
            }
            Some(News::Told(Word::Out(id))) => self.mark_out(now, &id, true),
            Some(News::Told(Word::Back(id))) => self.mark_out(now, &id, false),
            Some(News::Told(Word::Serving)) => {
                log::info!("the other process serves");
                if self.ending.is_some() {
                    self.hand_over(now);
                }
            }
            Some(News::Told(Word::Ending)) => log::info!("the other process ends"),
            Some(News::Lost) => log::info!("the other process is gone"),
            None => {}
        }
        self.apportion(now);
    }

    /// Tells the process that this one replaces as soon as it need take nothing more.
    fn announce(&mut self) {
        if !self.announced && self.serves().is_ok() {
            self.announced = true;
            self.handover.tell(&Word::Serving, &mut self.net);
        }
    }

    /// Shares what the node may hold and do with the other process of it, as long as there is one, and leaves new
    /// connections to one that succeeds.
    fn apportion(&mut self, now: Micros) {
        let parts = 1 + usize::from(self.handover.paired());
        self.consumers.pot = self.limits.bodies / parts;
        self.consumers
            .set_most(now, self.limits.consumers / parts, &mut self.net);
        self.workers
            .set_most(self.limits.workers / parts, &mut self.net);
        if let Some(ops) = &mut self.ops {
            ops.most = ops::CALLERS / parts;
        }
        let sharing = 1 + u32::from(self.handover.shares());
        if std::mem::replace(&mut self.sharing, sharing) != sharing {
            self.core.share(now, sharing);
        }
        if !self.closed {
            let succeeded = self.handover.succeeded();
            self.consumers.set_succeeded(succeeded, &mut self.net);
            if let Some(front) = &mut self.submissions {
                front.set_succeeded(succeeded, &mut self.net);
            }
        }
    }

    /// SIGTERM has come and the successor serves: nothing is taken any more, and what is open is finished, as far as
    /// there is time.
    fn hand_over(&mut self, now: Micros) {
        let longest = self.core.catalogue().longest().min(LONGEST);
        self.settling = Some(now + longest + KILLED - SETTLING);
        self.ending = Some(now + HALF_READ);
        self.closed = true;
        self.consumers.close_idle(&mut self.net);
    }

    /// SIGTERM: what is open is finished, and what still comes is served.
    fn end(&mut self, now: Micros) {
        drain(&mut self.signals.end);
        if self.ending.is_none() {
            log::info!("ending");
            self.ending = Some(now + ENDING);
            self.consumers.ending = true;
            if let Some(front) = &mut self.submissions {
                front.ending = true;
            }
            self.handover.tell(&Word::Ending, &mut self.net);
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
        self.limits = Limits::of(&config, self.submitters);
        self.apportion(now);
        let named = config.directory_in_file;
        if let Some(addr) = named.filter(|_| named != self.directory_in_file) {
            self.directory_in_file = named;
            self.directory
                .move_to(now, addr, &mut self.net, &mut self.core);
        }
        log::info!("reload: done");
    }

    fn is_over(&mut self, now: Micros) -> bool {
        if self.ending.is_some_and(|due| due <= now) {
            self.ending = Some(now + HALF_READ);
            if !std::mem::replace(&mut self.closed, true) {
                self.consumers.close_idle(&mut self.net);
            } else {
                self.consumers.drop_half_read(&mut self.net);
            }
        }
        self.closed && self.consumers.is_idle() && self.core.idle() && self.net.is_flushed()
    }

    /// Carries out what the core wants done, writes it out and waits anew.
    fn settle(&mut self, now: Micros) {
        self.carry_out(now);
        self.net.settle(now);
        self.workers.written(&mut self.net, &mut self.core);
    }

    fn carry_out(&mut self, now: Micros) {
        self.commands(now);
        if let Some(front) = &mut self.submissions {
            front.admitted(&mut self.net);
        }
    }

    fn commands(&mut self, now: Micros) {
        let (net, core) = (&mut self.net, &mut self.core);
        loop {
            for worker in std::mem::take(&mut self.directory.stale) {
                self.workers.forget(worker, net);
            }
            let Some(command) = core.command() else {
                return;
            };
            match command {
                Command::Call(call) => {
                    let place = self.directory.place(call.worker);
                    self.workers.call(now, &call, place, net, core);
                }
                Command::GiveUp { id, attempt } => self.workers.give_up(id, attempt, net),
                Command::Probe(worker) => {
                    let place = self.directory.place(worker);
                    self.workers.probe(now, worker, place, net, core);
                }
                Command::Watch => self.directory.watch(now, net, core),
                Command::Answer { id, verdict, sent } => {
                    let answered = self.consumers.answer(now, id, &verdict, net, core);
                    if let Some(front) = self.submissions.as_mut().filter(|_| !answered) {
                        front.answer(now, id, verdict, sent, net);
                    }
                }
                Command::Running(id) => {
                    if let Some(front) = &mut self.submissions {
                        front.running(now, id, net);
                    }
                }
            }
        }
    }
}
