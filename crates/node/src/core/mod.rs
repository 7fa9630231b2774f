//! The node's request handling, without I/O: owns the dispatcher, the requests, their timers and ids. Front ends and
//! worker connections report events to it and carry out its commands.
//!
//! A request passes through these stages, one module each: `validation`, `admission`, `routing`, `attempts`,
//! `responses` and `accounting`.

mod accounting;
mod admission;
mod attempts;
mod commands;
pub mod licensing;
mod names;
mod probes;
mod responses;
mod routing;
mod sent_ids;
mod sharing;
mod table;
mod timers;
mod validation;

pub use accounting::{ClassCounts, Counts};
pub use commands::{AttemptCommand, Command, FinalAnswer, Payload, MAX_SMALL_BODY};
pub use names::NameRegistry;
pub use responses::AttemptEnd;
pub use validation::{NewRequest, RequestError};

use marbledeck_dispatcher::{
    Action, Dispatcher, Event, Micros, RequestId, Settings, SettingsError, WorkerEntry, WorkerId,
    WorkerListKind,
};
use probes::PendingProbe;
use sent_ids::SentIds;
use std::collections::{HashMap, VecDeque};
use table::Table;
use timers::{Timer, Timers};

/// The state of all requests, and the dispatcher that decides on them.
pub struct Core {
    dispatcher: Dispatcher,
    names: NameRegistry,
    /// The maximum number of attempts of one request.
    max_attempts: u32,
    table: Table,
    timers: Timers,
    counts: Counts,
    /// Whether any worker list so far named a worker.
    has_workers: bool,
    /// Events that the dispatcher has not handled yet, oldest first.
    pending: VecDeque<Event>,
    /// Buffer for the dispatcher's actions; empty between calls, and kept to reuse its allocation.
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// Open requests of which a running attempt has ended; each is reported as requeued unless it was answered or runs
    /// elsewhere.
    requeue_candidates: Vec<RequestId>,
    /// The ids of requests that must not run twice and may have run.
    sent_ids: SentIds,
    /// Those of them that the other process of an upgrade has not been told; none while there is no other process.
    unshared_ids: Option<Vec<String>>,
    /// Licence seats, if any are configured.
    pub licensing: Option<licensing::Licensing>,
    /// Probes that wait for the number of attempts in flight from all nodes.
    pending_probes: HashMap<WorkerId, PendingProbe>,
}

impl Core {
    /// Creates a core with these settings; `seed` seeds all of the dispatcher's random choices.
    ///
    /// # Errors
    /// The dispatcher does not accept the settings.
    pub fn new(
        settings: Settings,
        names: NameRegistry,
        seed: u64,
        now: Micros,
    ) -> Result<Self, SettingsError> {
        let max_attempts = settings.limits.max_attempts;
        let counts = Counts {
            classes: vec![ClassCounts::default(); settings.classes.len()],
            ..Counts::default()
        };
        Ok(Core {
            dispatcher: Dispatcher::new(settings, seed, now)?,
            names,
            max_attempts,
            table: Table::default(),
            timers: Timers::default(),
            counts,
            has_workers: false,
            pending: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            requeue_candidates: Vec::new(),
            sent_ids: SentIds::default(),
            unshared_ids: None,
            licensing: None,
            pending_probes: HashMap::new(),
        })
    }

    /// Sets the tenants' quotas, in requests per second over all nodes and in the order of the settings.
    pub fn set_quotas(&mut self, now: Micros, quotas: &[Option<f64>]) {
        self.dispatcher.set_quotas(now, quotas);
    }

    /// The tenants' current quotas.
    pub fn quotas(&self) -> Vec<Option<f64>> {
        self.dispatcher.quotas()
    }

    /// Queues the final answer of a request that was forwarded to another site, for the front end that accepted it.
    pub fn push_answer(&mut self, id: RequestId, answer: FinalAnswer) {
        self.commands.push_back(Command::Answer {
            request: id,
            answer,
            last_attempt_sent_at: None,
        });
    }

    /// Removes and returns the next command, if any.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When to call [`Core::wake`] next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Handles every timer that has expired.
    pub fn wake(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::Dispatcher(timer) => self.pending.push_back(Event::TimerExpired(timer)),
                Timer::Attempt(id, attempt) => self.time_out(now, id, attempt),
                Timer::Deadline(id) => self.fail_overdue(id),
            }
            self.decide(now);
        }
    }

    /// Applies a full worker list, a change to it, or a failure to fetch one.
    pub fn apply_worker_list(
        &mut self,
        now: Micros,
        kind: WorkerListKind,
        entries: Vec<WorkerEntry>,
    ) {
        if kind != WorkerListKind::Failed {
            self.has_workers |= !entries.is_empty();
        }
        self.pending.push_back(Event::WorkerList {
            kind,
            workers: entries,
        });
        self.decide(now);
    }

    /// Whether any worker list so far named a worker.
    pub fn has_workers(&self) -> bool {
        self.has_workers
    }

    /// Whether a request was answered or its client has disconnected.
    pub fn is_closed(&self, id: RequestId) -> bool {
        self.table.is_closed(id)
    }

    /// Whether no request is waiting for its final answer.
    pub fn is_idle(&self) -> bool {
        self.unanswered() == 0
    }

    /// How many requests are waiting for their final answer.
    pub fn unanswered(&self) -> usize {
        self.table.unanswered()
    }

    /// Sets how many processes of this node share its quotas.
    pub fn set_processes(&mut self, now: Micros, processes: u32) {
        self.dispatcher.set_processes(now, processes);
    }

    /// Whether the dispatcher has ejected this worker for now because of its failures.
    pub fn is_ejected(&self, now: Micros, worker: WorkerId) -> bool {
        self.dispatcher.is_ejected(now, worker)
    }

    /// The total size in bytes of the bodies of all requests in the table.
    pub fn body_bytes(&self) -> usize {
        self.table.body_bytes()
    }

    /// The total size in bytes of the payloads of all requests in the table whose body is at most [`MAX_SMALL_BODY`].
    pub fn small_payload_bytes(&self) -> usize {
        self.table.small_payload_bytes()
    }

    /// The names of the classes and tenants.
    pub fn names(&self) -> &NameRegistry {
        &self.names
    }

    /// The totals since the process started.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Runs the dispatcher on the pending events and executes its actions until no event is left. Then reports the
    /// requests that no worker runs any more.
    fn decide(&mut self, now: Micros) {
        while let Some(event) = self.pending.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action);
            }
            self.actions = actions;
        }
        for id in std::mem::take(&mut self.requeue_candidates) {
            let request = self.table.get(id);
            if request.is_some_and(|request| !request.closed && !request.is_running()) {
                self.commands.push_back(Command::RequestRequeued(id));
            }
        }
    }

    fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                request,
                worker,
                send_before,
            } => self.route(now, request, worker, send_before),
            Action::Reject {
                request,
                retry_after,
            } => self.reject(request, retry_after),
            Action::Fail(request) => self.fail(request),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            Action::Probe(worker) => self.commands.push_back(Command::ProbeWorker(worker)),
            Action::SetTimer { at, timer } => {
                self.timers.add(at, Timer::Dispatcher(timer));
            }
            Action::WatchWorkers => self.commands.push_back(Command::WatchWorkers),
        }
    }
}
