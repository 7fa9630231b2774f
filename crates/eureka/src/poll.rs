//! What to ask a registry and when: one question at a time, over several registries with failover, each answer taken in
//! the order of the questions.

use crate::instance::{Action, Instance, InstanceStatus, Keys};
use crate::read::{Encoding, Fault, Form, Item, Reader};
use marbledeck_dispatcher::Micros;
use marbledeck_membership::{SourceReport, Status};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What the poll is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many registries there are; the first is asked first.
    pub registries: usize,
    /// The service path under which a registry answers, as `/eureka`.
    pub path: String,
    /// The applications whose instances are workers; none for all.
    pub apps: Vec<String>,
    /// The virtual address whose instances are workers, asked for in place of the applications: without deltas.
    pub vip: Option<String>,
    pub keys: Keys,
    /// How often the registry is asked.
    pub every: Micros,
    /// How long an answer may take.
    pub timeout: Micros,
    /// The least time between two whole reads that a wrong hash code asks for.
    pub full: Micros,
    /// Whole reads only.
    pub deltas: bool,
}

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Full,
    Delta,
}

/// A question. It is answered by [`Poll::head`], then bytes, then [`Poll::end`]; or by [`Poll::failed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Answers to an earlier question are dropped by this.
    pub number: u64,
    /// Which registry.
    pub registry: usize,
    pub path: String,
    pub what: What,
    /// When it is to be given up.
    pub until: Micros,
}

/// What the membership is to be told, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A whole list begins,
    Begin,
    /// names these,
    Part(Vec<SourceReport>),
    /// and has ended: who was not named is missing.
    End,
    /// A worker is named.
    Named(Box<SourceReport>),
    /// A worker is no longer named; `explicit` where that was on purpose.
    Removed { id: String, explicit: bool },
}

/// Instances of a list that are handed on together.
const PART: usize = 200;
/// Changes of a delta that are taken in a turn.
const STEPS: usize = 200;
const MISMATCH: &str = "the hash code does not match";
/// Backoff after failures, from the first to the longest.
const FIRST: Micros = Micros(500_000);
const LONGEST: Micros = Micros(30_000_000);

struct Open {
    ask: Ask,
    reader: Option<Reader>,
    hash: Option<String>,
    /// What a whole read has found.
    found: HashMap<Key, Known>,
    part: Vec<SourceReport>,
    /// What a delta has found: nothing of it counts before its end.
    delta: VecDeque<Step>,
}

/// What a delta says of an instance, as far as it matters.
struct Step {
    key: Key,
    status: InstanceStatus,
    word: Option<SourceReport>,
    deleted: bool,
}

/// An application and an instance of it.
type Key = (String, String);

#[derive(Clone, Debug, PartialEq)]
struct Known {
    status: InstanceStatus,
    /// The worker that it is, where it is one.
    worker: Option<String>,
}

/// Follows a registry.
pub struct Poll {
    settings: Settings,
    open: Option<Open>,
    next: Micros,
    number: u64,
    registry: usize,
    /// Failures in a row.
    failures: u32,
    /// A whole read is needed.
    wants_full: bool,
    /// When the last whole read was asked for.
    last_full: Option<Micros>,
    known: HashMap<Key, Known>,
    /// How many of them have each status.
    counts: BTreeMap<&'static str, usize>,
    /// What a whole delta says, as it is taken bit by bit, and its hash code.
    applying: Option<(VecDeque<Step>, Option<String>)>,
    changes: Vec<Change>,
    /// Whole reads asked for by a wrong hash code, in a row.
    pub mismatches: u32,
    /// Why the last question failed.
    pub trouble: Option<String>,
    /// Draws jitter.
    seed: u64,
}

impl Poll {
    /// Asks for the whole list at once.
    pub fn new(settings: Settings, now: Micros, seed: u64) -> Self {
        Poll {
            settings,
            open: None,
            next: now,
            number: 0,
            registry: 0,
            failures: 0,
            wants_full: true,
            last_full: None,
            known: HashMap::new(),
            counts: BTreeMap::new(),
            applying: None,
            changes: Vec::new(),
            mismatches: 0,
            trouble: None,
            seed: seed | 1,
        }
    }

    /// When [`Poll::ask`] is next wanted, or the open question is to be given up.
    pub fn next_wake(&self) -> Micros {
        match self.applying {
            Some(_) => Micros(0),
            None => self.open.as_ref().map_or(self.next, |open| open.ask.until),
        }
    }

    /// The question to ask now, if there is one. One that took too long is given up. A delta that has come is taken a
    /// bit at a time first.
    pub fn ask(&mut self, now: Micros) -> Option<Ask> {
        if self.applying.is_some() {
            self.apply(now);
            return None;
        }
        if let Some(open) = &self.open {
            if now < open.ask.until {
                return None;
            }
            let number = open.ask.number;
            self.failed(now, number, "no answer in time");
        }
        if now < self.next {
            return None;
        }
        let delta = self.settings.deltas && self.settings.vip.is_none() && !self.wants_full;
        let what = if delta { What::Delta } else { What::Full };
        if what == What::Full {
            self.last_full = Some(now);
        }
        self.number += 1;
        let base = &self.settings.path;
        let path = match (&self.settings.vip, what) {
            (Some(vip), _) => format!("{base}/vips/{vip}"),
            (None, What::Delta) => format!("{base}/apps/delta"),
            (None, What::Full) => format!("{base}/apps"),
        };
        let ask = Ask {
            number: self.number,
            registry: self.registry,
            path,
            what,
            until: now + self.settings.timeout,
        };
        self.open = Some(Open {
            ask: ask.clone(),
            reader: None,
            hash: None,
            found: HashMap::new(),
            part: Vec::new(),
            delta: VecDeque::new(),
        });
        Some(ask)
    }

    fn is_open(&self, number: u64) -> bool {
        self.open
            .as_ref()
            .is_some_and(|open| open.ask.number == number)
    }

    /// The head of an answer has come.
    pub fn head(&mut self, now: Micros, number: u64, status: u16, form: Form, encoding: Encoding) {
        let Some(open) = self.open.as_mut().filter(|open| open.ask.number == number) else {
            return;
        };
        match status {
            200 => {
                open.reader = Some(Reader::new(form, encoding));
                if open.ask.what == What::Full {
                    self.changes.push(Change::Begin);
                }
            }
            // Deltas may be switched off.
            403 | 404 if open.ask.what == What::Delta => {
                self.wants_full = true;
                self.failed(now, number, "no deltas");
                self.next = now;
            }
            _ => self.failed(now, number, &format!("status {status}")),
        }
    }

    /// Bytes of an answer have come.
    pub fn bytes(&mut self, now: Micros, number: u64, bytes: &[u8]) {
        let Some(open) = self.open.as_mut().filter(|open| open.ask.number == number) else {
            return;
        };
        let Some(reader) = &mut open.reader else {
            return;
        };
        match reader.push(bytes) {
            Ok(items) => self.items(items),
            Err(fault) => self.failed(now, number, &fault.to_string()),
        }
    }

    fn items(&mut self, items: Vec<Item>) {
        let Some(open) = &mut self.open else {
            return;
        };
        for item in items {
            match item {
                Item::Hash(hash) => open.hash = Some(hash),
                Item::Instance(instance) if open.ask.what == What::Delta => {
                    let worker = is_worker(&self.settings, &instance);
                    open.delta.push_back(Step {
                        status: instance.status,
                        word: worker.then(|| instance.word(&self.settings.keys)),
                        deleted: instance.action == Action::Deleted,
                        key: (instance.app, instance.id),
                    });
                }
                Item::Instance(instance) => {
                    let key = (instance.app.clone(), instance.id.clone());
                    let word = is_worker(&self.settings, &instance)
                        .then(|| instance.word(&self.settings.keys));
                    let known = Known {
                        status: instance.status,
                        worker: word.as_ref().map(|word| word.id.clone()),
                    };
                    open.found.insert(key, known);
                    open.part.extend(word);
                    if open.part.len() >= PART {
                        self.changes
                            .push(Change::Part(std::mem::take(&mut open.part)));
                    }
                }
            }
        }
    }

    /// An answer has ended.
    pub fn end(&mut self, now: Micros, number: u64) {
        if !self.is_open(number) {
            return;
        }
        let rest = match self.open.as_mut().and_then(|open| open.reader.as_mut()) {
            Some(reader) => reader.finish(),
            None => Err(Fault::Cut),
        };
        match rest {
            Ok(items) => self.items(items),
            Err(fault) => return self.failed(now, number, &fault.to_string()),
        }
        let Some(open) = self.open.take() else {
            return;
        };
        (self.failures, self.trouble) = (0, None);
        self.next = now + self.jittered(self.settings.every);
        let told = open.hash;
        match open.ask.what {
            What::Full => {
                self.known = open.found;
                self.counts.clear();
                for known in self.known.values() {
                    *self.counts.entry(known.status.word()).or_default() += 1;
                }
                self.changes.push(Change::Part(open.part));
                self.changes.push(Change::End);
                self.wants_full = false;
                // A list that does not match its own code is taken all the same; the next delta shows whether it is right.
                if told.is_none_or(|told| told == self.hash()) {
                    self.mismatches = 0;
                } else {
                    self.trouble = Some(MISMATCH.to_owned());
                }
            }
            What::Delta => self.applying = Some((open.delta, told)),
        }
    }

    /// Takes some of a delta; at its end its code is checked.
    fn apply(&mut self, now: Micros) {
        let Some((mut steps, told)) = self.applying.take() else {
            return;
        };
        for _ in 0..STEPS {
            match steps.pop_front() {
                Some(step) => self.step(step),
                None => break,
            }
        }
        if !steps.is_empty() {
            self.applying = Some((steps, told));
        } else if told.is_some_and(|told| told != self.hash()) {
            self.mismatches += 1;
            self.wants_full = true;
            self.trouble = Some(MISMATCH.to_owned());
            let earliest = self.last_full.map_or(now, |last| last + self.settings.full);
            self.next = earliest.max(now);
        } else {
            self.mismatches = 0;
        }
    }

    fn step(&mut self, step: Step) {
        if step.deleted {
            if let Some(old) = self.known.remove(&step.key) {
                self.uncount(old.status);
            }
            if let Some(word) = step.word {
                // Who leaves on purpose says so before; a lease that ran out leaves it up.
                let explicit = word.status != Status::Up;
                self.changes.push(Change::Removed {
                    id: word.id,
                    explicit,
                });
            }
            return;
        }
        let known = Known {
            status: step.status,
            worker: step.word.as_ref().map(|word| word.id.clone()),
        };
        *self.counts.entry(step.status.word()).or_default() += 1;
        let old = self.known.insert(step.key, known);
        if let Some(old) = &old {
            self.uncount(old.status);
        }
        // Its id among the workers may have changed with its metadata.
        let left = old.and_then(|old| old.worker);
        let same = |id: &String| step.word.as_ref().is_some_and(|word| word.id == *id);
        if let Some(id) = left.filter(|id| !same(id)) {
            self.changes.push(Change::Removed { id, explicit: true });
        }
        let named = step.word.map(|word| Change::Named(Box::new(word)));
        self.changes.extend(named);
    }

    fn uncount(&mut self, status: InstanceStatus) {
        if let Some(count) = self.counts.get_mut(status.word()) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(status.word());
            }
        }
    }

    fn hash(&self) -> String {
        let each = self.counts.iter();
        each.map(|(word, count)| format!("{word}_{count}_"))
            .collect()
    }

    /// A question has failed: the next registry is asked, after a while that grows.
    pub fn failed(&mut self, now: Micros, number: u64, why: &str) {
        if !self.is_open(number) {
            return;
        }
        self.open = None;
        self.trouble = Some(why.to_owned());
        self.failures += 1;
        self.registry = (self.registry + 1) % self.settings.registries.max(1);
        if self.settings.registries > 1 {
            // What another registry has told may be older or newer than a delta of this one says.
            self.wants_full = true;
        }
        // All registries are tried at once before it waits.
        let round = (self.failures - 1) / self.settings.registries.max(1) as u32;
        let fresh = !(self.failures as usize).is_multiple_of(self.settings.registries.max(1));
        let bound = Micros((FIRST.0 << round.min(10)).min(LONGEST.0));
        self.next = if fresh {
            now
        } else {
            now + self.jittered(bound)
        };
    }

    /// Half of a span and up to as much again, so that nodes do not ask in step.
    fn jittered(&mut self, span: Micros) -> Micros {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        Micros(span.0 / 2 + self.seed % (span.0 / 2 + 1))
    }

    /// What the membership is to be told since this was last asked.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// How many instances the registry holds.
    pub fn instances(&self) -> usize {
        self.known.len()
    }

    /// Which registry is asked.
    pub fn registry(&self) -> usize {
        self.registry
    }

    /// How many questions have failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

fn is_worker(settings: &Settings, instance: &Instance) -> bool {
    let apps = &settings.apps;
    let vip = settings.vip.as_ref();
    let named = apps.is_empty()
        || apps
            .iter()
            .any(|app| app.eq_ignore_ascii_case(&instance.app));
    let vips = || instance.vip.split(',').map(str::trim);
    named && vip.is_none_or(|vip| instance.vip.is_empty() || vips().any(|own| own == vip))
}
