//! Hosts many independent instances: the wire's ids to the library's and back.

use crate::wire::{Batch, Line, Msg};
use marbledeck_dispatcher::*;
use marbledeck_platform_settings::{
    worker_id, PlatformSettings, PlatformSettingsError, ReportFields,
};
use std::collections::HashMap;

/// The workers' words by their ids.
#[derive(Default)]
struct Words(HashMap<WorkerId, Box<str>>);

impl Words {
    fn id(&mut self, word: &str) -> WorkerId {
        let id = worker_id(word);
        self.0.entry(id).or_insert_with(|| word.into());
        id
    }
}

/// A request's word, kept until it has ended and its attempts are back.
struct Open {
    word: Box<str>,
    out: u32,
    ended: bool,
}

struct Instance {
    dispatcher: Dispatcher,
    reads: ReportFields,
    workers: Words,
    numbers: HashMap<Box<str>, RequestId>,
    open: HashMap<RequestId, Open>,
    next: u64,
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: HashMap<Box<str>, Instance>,
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl Host {
    /// Answers one line of input with one line in `out`, without the line's end.
    pub fn answer(&mut self, line: &str, out: &mut Vec<u8>) -> Result<(), String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let now = Micros(batch.wall_us);
        out.extend_from_slice(b"{\"schedulers\":[");
        let mut first = true;
        for group in batch.schedulers {
            let who = &*group.who.0;
            let start = out.len();
            if !first {
                out.push(b',');
            }
            out.extend_from_slice(b"{\"who\":");
            put(out, &who);
            out.extend_from_slice(b",\"outbox\":[");
            let empty = out.len();
            for msg in group.msgs {
                match msg {
                    Msg::Killed => drop(self.instances.remove(who)),
                    Msg::Attach(seed, facts) => {
                        let instance =
                            Instance::new(&facts, seed, now).map_err(|e| format!("{who}: {e}"))?;
                        self.instances.insert(who.into(), instance);
                    }
                    Msg::Unknown => {}
                    msg => {
                        let instance = self.instances.get_mut(who);
                        let instance =
                            instance.ok_or_else(|| format!("{who}: a message before 'attach'"))?;
                        instance.event(msg, &mut self.events);
                        for event in self.events.drain(..) {
                            instance.dispatcher.handle(now, event, &mut self.actions);
                        }
                        for action in self.actions.drain(..) {
                            instance.write(action, empty, out);
                        }
                    }
                }
            }
            if out.len() == empty {
                out.truncate(start);
            } else {
                out.extend_from_slice(b"]}");
                first = false;
            }
        }
        out.extend_from_slice(b"]}");
        Ok(())
    }
}

impl Instance {
    fn new(
        facts: &PlatformSettings,
        seed: u64,
        now: Micros,
    ) -> Result<Self, PlatformSettingsError> {
        let settings = facts.dispatcher_settings()?;
        let reads = facts.report_fields();
        Ok(Instance {
            dispatcher: Dispatcher::new(settings, seed, now)?,
            reads,
            workers: Words::default(),
            numbers: HashMap::new(),
            open: HashMap::new(),
            next: 0,
        })
    }

    /// The library's event for a message; none for what concerns a request that is over.
    fn event(&mut self, msg: Msg, events: &mut Vec<Event>) {
        match msg {
            Msg::Order(o) => {
                let id = RequestId(self.next);
                self.next += 1;
                self.numbers.insert((&*o.txn.0).into(), id);
                self.open.insert(
                    id,
                    Open {
                        word: (&*o.txn.0).into(),
                        out: 0,
                        ended: false,
                    },
                );
                events.push(Event::JobReceived(Job {
                    id,
                    class: ClassId(o.profile),
                    tenant: TenantId(o.party),
                    time_left: Micros(o.time_left_us.max(0) as u64),
                    expected_work: o.cost_guess_us.map(|us| Micros(us.max(0.0) as u64)),
                    slots: o.cores_needed,
                    memory: o.memory,
                }));
            }
            Msg::Completed(c) => {
                let Some(&id) = self.numbers.get(&*c.txn.0) else {
                    return;
                };
                if let Some(open) = self.open.get_mut(&id) {
                    open.out = open.out.saturating_sub(1);
                    open.ended |= c.done;
                }
                events.push(Event::AttemptEnded(AttemptEnded {
                    request: id,
                    attempt: c.go,
                    worker: self.workers.id(&c.worker.0),
                    outcome: outcome(c.outcome),
                    request_closed: c.done,
                    latency: Micros(c.rtt_us),
                    report: c.feedback.map(|f| self.reads.interpret(f)),
                }));
                self.forget(id);
            }
            Msg::StatusNote { txn, go, topic: 1 } => {
                events.extend(self.numbers.get(&*txn.0).map(|&id| Event::AttemptStarted {
                    request: id,
                    attempt: go,
                }));
            }
            Msg::AckFirst { txn, go } => {
                events.extend(self.numbers.get(&*txn.0).map(|&id| Event::ResponseStarted {
                    request: id,
                    attempt: go,
                }));
            }
            Msg::Lapsed(txn) => {
                let Some(&id) = self.numbers.get(&*txn.0) else {
                    return;
                };
                events.push(Event::ClientLeft(id));
                self.end(id);
            }
            Msg::Topology(how, lines) => {
                let kind = match &*how.0 {
                    "cached" => WorkerListKind::Cached,
                    "full" => WorkerListKind::Full,
                    "delta" => WorkerListKind::Delta,
                    "failed" => WorkerListKind::Failed,
                    _ => return,
                };
                let entries = lines.into_iter().map(|line| self.entry(line)).collect();
                events.push(Event::WorkerList {
                    kind,
                    workers: entries,
                });
            }
            Msg::HealthResult {
                worker,
                outcome: code,
                feedback,
            } => events.push(Event::ProbeEnded {
                worker: self.workers.id(&worker.0),
                outcome: outcome(code),
                report: feedback.map(|f| self.reads.interpret(f)),
            }),
            Msg::Wakeup(token) => events.push(Event::TimerExpired(TimerId(token))),
            Msg::StatusNote { .. } | Msg::Attach(..) | Msg::Killed | Msg::Unknown => {}
        }
    }

    fn entry(&mut self, line: Line) -> WorkerEntry {
        let state = match &*line.state.0 {
            "active" => WorkerState::Ready,
            "left" => WorkerState::Removed,
            // A state of its own is no invitation to send there.
            _ => WorkerState::Draining,
        };
        WorkerEntry {
            worker: self.workers.id(&line.worker.0),
            state,
            zone: ZoneId(line.locality),
            kind: KindId(line.kind),
            cell: line.block.map(CellId),
            started_at: line.start_time_us.filter(|&t| t > 0).map(Micros),
        }
    }

    /// Writes an action, after a comma unless it is the first since `empty`.
    fn write(&mut self, action: Action, empty: usize, out: &mut Vec<u8>) {
        let word = |open: &HashMap<RequestId, Open>, id| open.get(&id).map(|o| o.word.clone());
        let start = out.len();
        if start > empty {
            out.push(b',');
        }
        let worker = |w: &Words, id: WorkerId| w.0[&id].clone();
        match action {
            // A send takes no time here: it cannot come too late.
            Action::Send {
                request: id,
                worker: to,
                ..
            } => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.out += 1;
                    return put(out, &("try", &open.word, worker(&self.workers, to), 0));
                }
            }
            Action::Reject {
                request: id,
                retry_after,
            } => {
                if let Some(word) = word(&self.open, id) {
                    put(out, &("push-back", word, retry_after.map_or(0, |t| t.0)));
                    return self.end(id);
                }
            }
            Action::Fail(id) => {
                if let Some(word) = word(&self.open, id) {
                    put(out, &("lose", word));
                    return self.end(id);
                }
            }
            Action::Cancel {
                request: id,
                attempt,
            } => {
                if let Some(word) = word(&self.open, id) {
                    return put(out, &("retract", word, attempt));
                }
            }
            Action::Probe(to) => return put(out, &("health-check", worker(&self.workers, to))),
            Action::SetTimer { at, timer } => return put(out, &("arm", at.0, timer.0)),
            Action::WatchWorkers => return put(out, &("observe", true)),
        }
        out.truncate(start);
    }

    fn end(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.ended = true;
        }
        self.forget(id);
    }

    /// Drops a request's word once it is over and no attempt is out.
    fn forget(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.ended && o.out == 0) {
            let open = self.open.remove(&id);
            open.map(|o| self.numbers.remove(&o.word));
        }
    }
}

/// Appends a value; writing JSON to memory cannot fail.
fn put<T: serde::Serialize>(out: &mut Vec<u8>, value: &T) {
    serde_json::to_writer(out, value).expect("JSON to memory");
}

/// An outcome that is not known may have run, like an error.
fn outcome(code: u32) -> Outcome {
    match code {
        0 => Outcome::Served,
        254 => Outcome::Rejected,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        _ => Outcome::Failed,
    }
}
