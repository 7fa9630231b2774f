//! Hosts many independent instances: the wire's ids to the library's and back.

use crate::wire::{Batch, Facts, Feedback, Line, Msg};
use marbledeck::*;
use std::collections::HashMap;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

/// The workers' words by their ids. An id is a hash of the word, so that it is the same at every dispatcher.
#[derive(Default)]
struct Words(HashMap<WorkerId, Box<str>>);

impl Words {
    fn id(&mut self, word: &str) -> WorkerId {
        let id = WorkerId(BuildHasherDefault::<DefaultHasher>::default().hash_one(word));
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
    reads: Reads,
    workers: Words,
    numbers: HashMap<Box<str>, RequestId>,
    open: HashMap<RequestId, Open>,
    next: u64,
}

/// Which report values carry a meaning that the library knows.
#[derive(Clone, Copy)]
struct Reads {
    slots: bool,
    memory: bool,
}

impl Reads {
    fn report(self, f: Feedback) -> Report {
        Report {
            free_slots: f.x0.filter(|_| self.slots),
            free_memory: f.x1.filter(|_| self.memory),
        }
    }
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
    fn new(facts: &Facts, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        let settings = settings(facts)?;
        let reads = Reads {
            slots: facts.family_info.report_x0 == "free slots",
            memory: facts.family_info.report_x1 == "free memory",
        };
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
                events.push(Event::Job(Job {
                    id,
                    class: ClassId(o.profile),
                    tenant: TenantId(o.party),
                    time_left: Micros(o.time_left_us.max(0) as u64),
                    cost_hint: o.cost_guess_us.map(|us| Micros(us.max(0.0) as u64)),
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
                events.push(Event::Ended(Ended {
                    id,
                    attempt: c.go,
                    worker: self.workers.id(&c.worker.0),
                    outcome: outcome(c.outcome),
                    closed: c.done,
                    latency: Micros(c.rtt_us),
                    report: c.feedback.map(|f| self.reads.report(f)),
                }));
                self.forget(id);
            }
            Msg::StatusNote { txn, go, topic: 1 } => {
                events.extend(self.numbers.get(&*txn.0).map(|&id| Event::Started(id, go)));
            }
            Msg::AckFirst { txn, go } => {
                events.extend(
                    self.numbers
                        .get(&*txn.0)
                        .map(|&id| Event::Streaming(id, go)),
                );
            }
            Msg::Lapsed(txn) => {
                let Some(&id) = self.numbers.get(&*txn.0) else {
                    return;
                };
                events.push(Event::Gone(id));
                self.end(id);
            }
            Msg::Topology(how, lines) => {
                let kind = match &*how.0 {
                    "cached" => ListKind::Cached,
                    "full" => ListKind::Full,
                    "delta" => ListKind::Delta,
                    "failed" => ListKind::Failed,
                    _ => return,
                };
                let entries = lines.into_iter().map(|line| self.entry(line)).collect();
                events.push(Event::List(kind, entries));
            }
            Msg::HealthResult {
                worker,
                outcome: code,
                feedback,
            } => events.push(Event::Probed(
                self.workers.id(&worker.0),
                outcome(code),
                feedback.map(|f| self.reads.report(f)),
            )),
            Msg::Wakeup(token) => events.push(Event::Timer(token)),
            Msg::StatusNote { .. } | Msg::Attach(..) | Msg::Killed | Msg::Unknown => {}
        }
    }

    fn entry(&mut self, line: Line) -> Entry {
        let state = match &*line.state.0 {
            "active" => State::Ready,
            "left" => State::Gone,
            // A state of its own is no invitation to send there.
            _ => State::Draining,
        };
        Entry {
            worker: self.workers.id(&line.worker.0),
            state,
            zone: ZoneId(line.locality),
            kind: KindId(line.kind),
            cell: line.block.map(CellId),
            started: line.start_time_us.filter(|&t| t > 0).map(Micros),
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
            Action::Send(id, to, timeout) => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.out += 1;
                    let timeout = timeout.map_or(0, |t| t.0);
                    put(
                        out,
                        &("try", &open.word, worker(&self.workers, to), timeout),
                    );
                    return;
                }
            }
            Action::Refuse(id, retry_after) => {
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
            Action::Cancel(id, attempt) => {
                if let Some(word) = word(&self.open, id) {
                    return put(out, &("retract", word, attempt));
                }
            }
            Action::Probe(to) => return put(out, &("health-check", worker(&self.workers, to))),
            Action::Timer(at, token) => return put(out, &("arm", at.0, token)),
            Action::Watch => return put(out, &("observe", true)),
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
        0 => Outcome::Ok,
        254 => Outcome::Full,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::Moot,
        _ => Outcome::Error,
    }
}

fn settings(facts: &Facts) -> Result<Settings, SettingsError> {
    let mut classes = Vec::new();
    for (i, p) in facts.profiles.iter().enumerate() {
        let effect = match (p.effect.as_str(), p.dedup_scope.as_str()) {
            ("safe", _) => Effect::Safe,
            ("unsafe", _) => Effect::Unsafe,
            ("keyed", "all") => Effect::Keyed(Group::All, Micros(p.dedup_window_us)),
            ("keyed", "zone") => Effect::Keyed(Group::Zone, Micros(p.dedup_window_us)),
            ("keyed", "cell") => Effect::Keyed(Group::Cell, Micros(p.dedup_window_us)),
            (e, g) => {
                return Err(SettingsError(format!(
                    "class {i}: unknown effect '{e}' of group '{g}'"
                )))
            }
        };
        let info = &facts.family_info;
        let kind = info.class_kind.get(i).and_then(|&k| u32::try_from(k).ok());
        classes.push(Class {
            effect,
            kind: kind.map(KindId),
            aim: Micros(p.promise_us),
            stretch: info.class_stretch.get(i).copied().unwrap_or(p.aim_stretch),
            deadline: Micros(p.deadline_us),
        });
    }
    let tenants = facts.tenants.iter().map(|t| Tenant {
        quota: t.quota_per_s,
        share: t.share,
    });
    let default = marbledeck::Rules::default();
    let (b, r) = (&facts.bounds, &facts.rules);
    Ok(Settings {
        dispatchers: facts.balancers,
        index: facts.self_index,
        zone: ZoneId(facts.zone),
        classes,
        tenants: tenants.collect(),
        reporting: match facts.stats.how.as_str() {
            "piggyback" => Reporting::Carried,
            "pull" => Reporting::Probed,
            _ => Reporting::Never,
        },
        tells_start: facts.family_info.tells_start,
        ask_list: facts.registry_mode == "subscribe",
        limits: Limits {
            attempts: b.try_limit.unwrap_or(Limits::default().attempts),
            second_copies: b.second_copies,
            probes: b.probes,
            cancel: b.may_cancel,
            max_retry_after: b.max_retry_after_us.filter(|_| b.retry_after).map(Micros),
        },
        rules: marbledeck::Rules {
            cold_from: r.cold_from.unwrap_or(default.cold_from),
            warm_up: r.warm_up_us.map_or(default.warm_up, Micros),
            overload_factor: r.overload_factor.unwrap_or(default.overload_factor),
            tip_after: r.tip_after_us.map_or(default.tip_after, Micros),
            ask_within: r.must_ask_in_us.map_or(default.ask_within, Micros),
        },
    })
}
