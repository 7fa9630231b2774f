//! The node without its wires: it owns the dispatcher, the invocations, their timers and ids. Fronts and worker
//! links hand it events and carry out its commands.
//!
//! An invocation passes the stages in the order of the modules below, each a unit of its own:
//! [`validation`], [`admission`], [`routing`], [`attempts`], [`responses`] and [`accounting`].

mod accounting;
mod admission;
mod attempts;
pub mod licensing;
mod responses;
mod routing;
mod table;
mod timers;
mod validation;

pub use accounting::{ClassCounts, Counts};
pub use validation::{NameRegistry, NewRequest, RequestError};

use marbledeck_dispatcher::{
    Action, Dispatcher, Event, LoadReport, Micros, Outcome, RequestId, Settings, SettingsError,
    WorkerEntry, WorkerId, WorkerListKind,
};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use table::Table;
use timers::{Due, Timers};

/// What a worker is handed, unchanged by the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// The consumer's id of this try.
    pub transaction_id: String,
    /// The key by which workers drop repeats.
    pub key: Option<String>,
    /// How and on what it is to be done: opaque to the core.
    pub method: String,
    /// Likewise.
    pub target: String,
    /// Likewise.
    pub body: Vec<u8>,
}

/// The final answer of an invocation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The result that a worker gave for it.
    Served(Vec<u8>),
    /// Trying again is harmless, perhaps after this time.
    Rejected(Option<Micros>),
    /// Nothing is promised.
    Failed,
}

impl fmt::Display for FinalAnswer {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FinalAnswer::Served(_) => f.write_str("served"),
            FinalAnswer::Rejected(None) => f.write_str("rejected"),
            FinalAnswer::Rejected(Some(wait)) => write!(f, "rejected for {} ms", wait.0 / 1000),
            FinalAnswer::Failed => f.write_str("failed"),
        }
    }
}

/// One attempt of an invocation at a worker.
#[derive(Clone, Debug)]
pub struct AttemptCommand {
    pub request: RequestId,
    /// The number of the attempt; the first is 0.
    pub attempt: u32,
    pub worker: WorkerId,
    pub payload: Rc<Payload>,
    pub deadline: Micros,
    /// Its last byte has to leave before this time, if it is to leave at all.
    pub send_before: Option<Micros>,
}

/// What the fronts and the worker links are to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make an invoker call, to be answered by one [`Core::handle_attempt_ended`].
    StartAttempt(AttemptCommand),
    /// Stop waiting for a call. Nothing more is to be told of it.
    CancelAttempt { request: RequestId, attempt: u32 },
    /// Ask a worker for its load, to be answered by one [`Core::handle_probe_result`].
    ProbeWorker(WorkerId),
    /// A call to this worker has ended, however.
    AttemptEnded(WorkerId),
    /// Watch the directory.
    WatchWorkers,
    /// The final answer, once for each invocation; `last_sent` is the last send that may have run.
    Answer {
        request: RequestId,
        answer: FinalAnswer,
        last_sent: Option<Micros>,
    },
    /// A worker has begun to run the invocation.
    RequestRunning(RequestId, WorkerId),
    /// It ran, has come back without a final answer, and no worker runs it now.
    RequestRequeued(RequestId),
}

/// All that the node decides and remembers of its invocations.
pub struct Core {
    dispatcher: Dispatcher,
    catalogue: NameRegistry,
    attempts: u32,
    table: Table,
    timers: Timers,
    counts: Counts,
    ready_workers: bool,
    /// What the dispatcher is still to be told, in order.
    pending: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// Invocations of which a call that ran has come back.
    returned: Vec<RequestId>,
    /// Licence seats, where the site has any.
    pub licensing: Option<licensing::Licensing>,
    /// Workers that are asked for their load while a peer is asked what all nodes have out there.
    awaited: HashMap<WorkerId, Awaited>,
}

/// The first of the two answers: the dispatcher is told both at once.
#[derive(Default)]
struct Awaited {
    probed: Option<(Outcome, Option<LoadReport>)>,
    held: Option<Option<u8>>,
}

impl Core {
    pub fn new(
        settings: Settings,
        catalogue: NameRegistry,
        seed: u64,
        now: Micros,
    ) -> Result<Self, SettingsError> {
        let attempts = settings.limits.max_attempts;
        let counts = Counts {
            classes: vec![ClassCounts::default(); settings.classes.len()],
            ..Counts::default()
        };
        Ok(Core {
            dispatcher: Dispatcher::new(settings, seed, now)?,
            catalogue,
            attempts,
            table: Table::default(),
            timers: Timers::default(),
            counts,
            ready_workers: false,
            pending: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            returned: Vec::new(),
            licensing: None,
            awaited: HashMap::new(),
        })
    }

    /// From now on the tenants may ask for so many jobs a second over all nodes, in the order of the settings.
    pub fn set_quotas(&mut self, now: Micros, quotas: &[Option<f64>]) {
        self.dispatcher.set_quotas(now, quotas);
    }

    /// The same, as it is now.
    pub fn quotas(&self) -> Vec<Option<f64>> {
        self.dispatcher.quotas()
    }

    /// The final answer of something that another site was asked to do, for the front that handed it over.
    pub fn push_answer(&mut self, id: RequestId, verdict: FinalAnswer) {
        self.commands.push_back(Command::Answer {
            request: id,
            answer: verdict,
            last_sent: None,
        });
    }

    /// The next thing to do, if any.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Core::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Handles every timer that is due.
    pub fn wake(&mut self, now: Micros) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Dispatcher(timer) => self.pending.push_back(Event::TimerExpired(timer)),
                Due::Attempt(id, attempt) => self.time_out(now, id, attempt),
                Due::Deadline(id) => self.overdue(id),
            }
            self.decide(now);
        }
    }

    /// The directory has told its list, a part of it, or that it cannot.
    pub fn apply_worker_list(
        &mut self,
        now: Micros,
        kind: WorkerListKind,
        entries: Vec<WorkerEntry>,
    ) {
        if kind != WorkerListKind::Failed {
            self.ready_workers |= !entries.is_empty();
        }
        self.pending.push_back(Event::WorkerList {
            kind,
            workers: entries,
        });
        self.decide(now);
    }

    pub fn handle_probe_result(
        &mut self,
        now: Micros,
        worker: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        match self.awaited.get_mut(&worker) {
            Some(awaited) => awaited.probed = Some((outcome, report)),
            None => self.learn(worker, outcome, report),
        }
        self.meet(now, worker);
    }

    /// The probe of this worker waits for [`Core::set_fleet_in_flight`], which is to come once and soon.
    pub fn await_fleet_in_flight(&mut self, worker: WorkerId) {
        self.awaited.insert(worker, Awaited::default());
    }

    /// How many calls all nodes together have out to this worker; none where nobody knows.
    pub fn set_fleet_in_flight(&mut self, now: Micros, worker: WorkerId, calls: Option<u8>) {
        if let Some(awaited) = self.awaited.get_mut(&worker) {
            awaited.held = Some(calls);
        }
        self.meet(now, worker);
    }

    /// Tells the dispatcher of a probe once both answers are there.
    fn meet(&mut self, now: Micros, worker: WorkerId) {
        let both = self.awaited.get(&worker);
        let both = both.and_then(|a| a.probed.zip(a.held));
        if let Some(((outcome, report), held)) = both {
            self.awaited.remove(&worker);
            let report = report.map(|report| LoadReport {
                in_flight: held.map(f64::from),
                ..report
            });
            self.learn(worker, outcome, report);
        }
        self.decide(now);
    }

    /// Has the dispatcher told what is known of a worker that it asked about.
    fn learn(&mut self, worker: WorkerId, outcome: Outcome, report: Option<LoadReport>) {
        log::trace!(
            "probe worker {:016x} {outcome:?}: free {}",
            worker.0,
            responses::Told(report)
        );
        self.pending.push_back(Event::ProbeEnded {
            worker,
            outcome,
            report,
        });
    }

    /// Whether the directory has named any worker yet.
    pub fn has_workers(&self) -> bool {
        self.ready_workers
    }

    /// Whether an invocation has had its answer, or its consumer has left.
    pub fn is_over(&self, id: RequestId) -> bool {
        self.table.is_over(id)
    }

    /// Whether no invocation waits for its final answer.
    pub fn is_idle(&self) -> bool {
        self.unanswered() == 0
    }

    /// How many invocations wait for their final answer.
    pub fn unanswered(&self) -> usize {
        self.table.unanswered()
    }

    /// From now on so many processes stand in for this node.
    pub fn set_processes(&mut self, now: Micros, processes: u32) {
        self.dispatcher.set_processes(now, processes);
    }

    /// Whether the dispatcher leaves this worker alone for now, for its failures.
    pub fn is_ejected(&self, now: Micros, worker: WorkerId) -> bool {
        self.dispatcher.is_ejected(now, worker)
    }

    /// How many bytes the bodies of the invocations take that are not over.
    pub fn body_bytes(&self) -> usize {
        self.table.bytes()
    }

    pub fn names(&self) -> &NameRegistry {
        &self.catalogue
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Lets the dispatcher handle what is pending and carries out its actions, until it has no more of either.
    fn decide(&mut self, now: Micros) {
        while let Some(event) = self.pending.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send {
                        request: id,
                        worker,
                        send_before: latest,
                    } => self.route(now, id, worker, latest),
                    Action::Reject {
                        request: id,
                        retry_after: come_back,
                    } => self.reject(id, come_back),
                    Action::Fail(id) => self.fail(id),
                    Action::Cancel {
                        request: id,
                        attempt,
                    } => self.cancel(now, id, attempt),
                    Action::Probe(worker) => self.commands.push_back(Command::ProbeWorker(worker)),
                    Action::SetTimer { at, timer } => self.timers.add(at, Due::Dispatcher(timer)),
                    Action::WatchWorkers => self.commands.push_back(Command::WatchWorkers),
                }
            }
            self.actions = actions;
        }
        for id in std::mem::take(&mut self.returned) {
            if self.table.get(id).is_some_and(|i| !i.answered && !i.runs()) {
                self.commands.push_back(Command::RequestRequeued(id));
            }
        }
    }
}
