//! Which workers there are: what sources and operators say of them, merged into the entries of the decision module, with
//! a guard against a registry's bad day. No input or output; `docs/design/membership.md` states the precedence and the
//! guarantee.
//!
//! ```
//! use marbledeck_dispatcher::{Micros, State};
//! use marbledeck_membership::{Guard, Membership, Status, Word};
//!
//! let mut membership = Membership::new(vec!["east".into()], vec!["std".into()]);
//! let registry = membership.add_source("eureka", Some(Guard::default()));
//! let word = |id: &str, status| Word::new(id, "127.0.0.1:8000", status);
//! membership.list(Micros(0), registry, vec![word("w1", Status::Up)]);
//! // The registry restarts empty: nobody is taken out for that.
//! let told = membership.list(Micros(1), registry, vec![]);
//! assert!(told.entries.is_empty());
//! // An explicit word is never held back.
//! let told = membership.change(Micros(2), registry, word("w1", Status::OutOfService));
//! assert_eq!(told.entries[0].state, WorkerState::Draining);
//! ```
#![forbid(unsafe_code)]

mod guard;
mod merge;
mod word;

pub use guard::{Guard, Sign};
pub use word::{Status, Word};

use guard::Doubt;
use marbledeck_dispatcher::{KindId, Micros, WorkerEntry, WorkerId, WorkerState, ZoneId};
use marbledeck_platform_settings::worker_id;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// A source, in the order in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub usize);

/// Where a worker is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub name: String,
    pub addr: SocketAddr,
    started: Option<Micros>,
}

/// What has changed for the decision module and the links to the workers.
#[derive(Debug, Default)]
pub struct Told {
    /// The entries that are new or have changed.
    pub entries: Vec<WorkerEntry>,
    /// Workers whose connections are of no more use: gone, moved or started anew.
    pub stale: Vec<WorkerId>,
}

impl Told {
    /// Adds what came after.
    pub fn and(&mut self, other: Told) {
        self.entries.extend(other.entries);
        self.stale.extend(other.stale);
    }
}

/// A source's word on a worker, and how it stands.
#[derive(Clone, Debug)]
pub(crate) struct Heard {
    pub(crate) word: Word,
    /// When the source named it last.
    pub(crate) at: Micros,
    /// It is missing there, or the source says nothing.
    pub(crate) doubt: Option<Doubt>,
    /// The list that named it last.
    pub(crate) round: u64,
}

impl Heard {
    fn new(word: Word, at: Micros, round: u64) -> Self {
        Heard {
            word,
            at,
            doubt: None,
            round,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) name: String,
    pub(crate) guard: Option<Guard>,
    pub(crate) heard: BTreeMap<String, Heard>,
    /// When it last told anything.
    pub(crate) spoke: Option<Micros>,
    /// It has said nothing for longer than its guard bears.
    pub(crate) silent: bool,
    /// When it is silent, should it say nothing more.
    pub(crate) silent_at: Option<Micros>,
    /// When the span of probes began, and how many it has seen.
    pub(crate) probed: (Micros, usize),
    /// The list that is being read: words of an earlier one are missing in it.
    pub(crate) round: u64,
    /// Its words are too old to send by.
    pub(crate) distrusted: bool,
}

/// What an operator is shown of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub id: String,
    /// What the decision module was told.
    pub state: WorkerState,
    /// Why it is in or out, in words.
    pub why: String,
    pub addr: Option<SocketAddr>,
    /// Each source's word, and how old it is.
    pub words: Vec<(String, Status, Micros)>,
}

/// What was told of a worker last.
#[derive(Clone, Debug)]
struct Shown {
    entry: WorkerEntry,
    place: Option<Place>,
}

/// The merged fleet.
#[derive(Debug)]
pub struct Membership {
    zones: Vec<String>,
    kinds: Vec<String>,
    pub(crate) sources: Vec<Source>,
    /// The workers taken out by hand, whether any source names them or not: they may leave and come back.
    out: BTreeSet<String>,
    shown: BTreeMap<String, Shown>,
    by_worker: HashMap<WorkerId, String>,
    /// Who has each address.
    by_addr: HashMap<SocketAddr, BTreeSet<String>>,
    /// When doubtful workers are looked at, and when each was probed last: of those that are due together, who has waited
    /// for longest comes first.
    due: BTreeSet<(Micros, Micros, usize, String)>,
    /// Doubtful workers that are to be probed.
    probes: Vec<WorkerId>,
    /// Signs of life of workers, as long as any source is guarded.
    alive: HashMap<WorkerId, Micros>,
}

impl Membership {
    /// An empty fleet; entries name zones and kinds by their places in these lists.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        Membership {
            zones,
            kinds,
            sources: Vec::new(),
            out: BTreeSet::new(),
            shown: BTreeMap::new(),
            by_worker: HashMap::new(),
            by_addr: HashMap::new(),
            due: BTreeSet::new(),
            probes: Vec::new(),
            alive: HashMap::new(),
        }
    }

    /// Adds a source. One with a guard is not believed where it only stops naming a worker.
    pub fn add_source(&mut self, name: &str, guard: Option<Guard>) -> SourceId {
        self.sources.push(Source {
            name: name.to_owned(),
            guard,
            heard: BTreeMap::new(),
            spoke: None,
            silent: false,
            silent_at: None,
            probed: (Micros(0), 0),
            round: 0,
            distrusted: false,
        });
        SourceId(self.sources.len() - 1)
    }

    /// The source of this name.
    pub fn source(&self, name: &str) -> Option<SourceId> {
        self.sources
            .iter()
            .position(|source| source.name == name)
            .map(SourceId)
    }

    /// The names of the sources, in their order.
    pub fn source_names(&self) -> Vec<(SourceId, &str)> {
        let names = self.sources.iter().enumerate();
        names
            .map(|(at, source)| (SourceId(at), source.name.as_str()))
            .collect()
    }

    /// Whether any source is guarded: only then are [signs](Membership::sign) of any use.
    pub fn is_guarded(&self) -> bool {
        self.sources.iter().any(|source| source.guard.is_some())
    }

    /// Whether a source other than this one names any worker.
    pub fn others_name_any(&self, source: SourceId) -> bool {
        let others = self
            .sources
            .iter()
            .enumerate()
            .filter(|(at, _)| *at != source.0);
        let mut others = others.map(|(_, other)| other);
        others.any(|other| !other.heard.is_empty())
    }

    /// Where a worker is, if it may be spoken to.
    pub fn place(&self, worker: WorkerId) -> Option<&Place> {
        self.shown.get(self.by_worker.get(&worker)?)?.place.as_ref()
    }

    /// What the decision module was told of a worker last.
    pub fn told_of(&self, worker: WorkerId) -> Option<&WorkerEntry> {
        let shown = self.shown.get(self.by_worker.get(&worker)?)?;
        Some(&shown.entry)
    }

    /// Whether a worker of this id is named by a source, or out by hand.
    pub fn knows(&self, id: &str) -> bool {
        self.out.contains(id) || self.sources.iter().any(|s| s.heard.contains_key(id))
    }

    /// The workers out by hand.
    pub fn out(&self) -> &BTreeSet<String> {
        &self.out
    }

    /// Starts from what another process knew of the operators' words.
    pub fn inherit(&mut self, out: BTreeSet<String>) {
        self.out = out;
    }

    /// Takes a worker out by hand, or calls it back, whatever any source has told or will tell of it meanwhile.
    pub fn set_out(&mut self, id: &str, out: bool) -> Told {
        let changed = match out {
            true => self.out.insert(id.to_owned()),
            false => self.out.remove(id),
        };
        let mut told = Told::default();
        if changed {
            self.renew(id, false, &mut told);
        }
        told
    }

    /// Whether a source's words are new enough to send by. Where they are not, all workers that it names count as
    /// draining: which of them do cannot be known.
    pub fn trust(&mut self, source: SourceId, trusted: bool) -> Told {
        let mut told = Told::default();
        self.sources[source.0].distrusted = !trusted;
        let named: Vec<String> = self.sources[source.0].heard.keys().cloned().collect();
        for id in named {
            self.renew(&id, false, &mut told);
        }
        told
    }

    /// A source's word on one worker: it is named, with this status.
    pub fn change(&mut self, now: Micros, source: SourceId, word: Word) -> Told {
        let mut told = Told::default();
        self.spoken(now, source, &mut told);
        self.hear(now, source, word, &mut told);
        told
    }

    /// A source no longer names a worker. Where `explicit`, it says that the worker has left; else it may only have lost
    /// it.
    pub fn remove(&mut self, now: Micros, source: SourceId, id: &str, explicit: bool) -> Told {
        let mut told = Told::default();
        self.spoken(now, source, &mut told);
        self.miss(now, source, id, explicit, &mut told);
        told
    }

    /// A source's whole list. Tells only what has changed; see [`Membership::all`].
    pub fn list(&mut self, now: Micros, source: SourceId, words: Vec<Word>) -> Told {
        let mut told = Told::default();
        self.spoken(now, source, &mut told);
        self.begin(source);
        told.and(self.part(now, source, words));
        told.and(self.sweep(now, source, None, usize::MAX).0);
        told
    }

    /// Begins to take a source's whole list in parts, of which [`Membership::part`] takes each, and
    /// [`Membership::sweep`] ends it. Nobody is missing before that.
    pub fn begin(&mut self, source: SourceId) {
        self.sources[source.0].round += 1;
    }

    /// Some workers of a list that was begun.
    pub fn part(&mut self, now: Micros, source: SourceId, words: Vec<Word>) -> Told {
        let mut told = Told::default();
        self.spoken(now, source, &mut told);
        for word in words {
            let round = self.sources[source.0].round;
            let heard = self.sources[source.0].heard.get(&word.id);
            // Named twice: the word not to send there counts.
            if heard.is_some_and(|h| h.round == round && h.word.status != Status::Up) {
                continue;
            }
            self.hear(now, source, word, &mut told);
        }
        told
    }

    /// Looks for those that the list did not name, among the next `most` after this id. Tells where to go on; none where
    /// all were looked at.
    pub fn sweep(
        &mut self,
        now: Micros,
        source: SourceId,
        after: Option<&str>,
        most: usize,
    ) -> (Told, Option<String>) {
        use std::ops::Bound::{Excluded, Unbounded};
        let (mut told, round) = (Told::default(), self.sources[source.0].round);
        let from = after.map_or(Unbounded, Excluded);
        let heard = self.sources[source.0]
            .heard
            .range::<str, _>((from, Unbounded));
        let looked: Vec<(String, bool)> = heard
            .take(most)
            .map(|(id, heard)| (id.clone(), heard.round != round))
            .collect();
        let next = looked
            .last()
            .filter(|_| looked.len() == most)
            .map(|(id, _)| id.clone());
        for (id, _) in looked.iter().filter(|(_, missing)| *missing) {
            self.miss(now, source, id, false, &mut told);
        }
        (told, next)
    }

    /// What a source tells in the platform's way: words in their order, all of them or those that have changed. Tells
    /// every entry that the module is to hear, whether it has changed or not.
    pub fn tell(
        &mut self,
        now: Micros,
        source: SourceId,
        complete: bool,
        words: Vec<(Word, bool)>,
    ) -> Told {
        let (mut told, mut entries) = (Told::default(), Vec::with_capacity(words.len()));
        self.spoken(now, source, &mut told);
        if complete {
            self.begin(source);
        }
        for (word, gone) in words {
            let id = word.id.clone();
            match gone {
                true => self.miss(now, source, &id, true, &mut told),
                false => self.hear(now, source, word, &mut told),
            }
            // The last of what has changed is this one, where it has gone.
            let last = told
                .entries
                .iter()
                .rev()
                .find(|entry| entry.worker == worker_id(&id));
            entries.extend(self.entry(&id).or(last.cloned()));
        }
        if complete {
            told.and(self.sweep(now, source, None, usize::MAX).0);
            let named: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
            entries.extend(
                self.all()
                    .into_iter()
                    .filter(|entry| !named.contains(&entry.worker)),
            );
        } else {
            // Others may have changed with these: who shares an address.
            let named: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
            let others = told
                .entries
                .iter()
                .filter(|entry| !named.contains(&entry.worker));
            entries.extend(others.cloned().collect::<Vec<_>>());
        }
        told.entries = entries;
        told
    }

    /// The entries of all workers that are shown, for a list that replaces another.
    pub fn all(&self) -> Vec<WorkerEntry> {
        self.shown
            .values()
            .map(|shown| shown.entry.clone())
            .collect()
    }

    /// The entry of a worker, as it was told last.
    pub fn entry(&self, id: &str) -> Option<WorkerEntry> {
        self.shown.get(id).map(|shown| shown.entry.clone())
    }

    /// The first source's word on a worker.
    pub fn word(&self, id: &str) -> Option<&Word> {
        let mut heard = self
            .sources
            .iter()
            .filter_map(|source| source.heard.get(id));
        heard.next().map(|heard| &heard.word)
    }

    /// The words of a source, in the order of their ids.
    pub fn words(&self, source: SourceId) -> impl Iterator<Item = &Word> {
        self.sources[source.0]
            .heard
            .values()
            .map(|heard| &heard.word)
    }

    /// How many workers are named by a source.
    pub fn len(&self) -> usize {
        self.shown.len()
    }

    /// Whether no worker is named by any source.
    pub fn is_empty(&self) -> bool {
        self.shown.is_empty()
    }

    /// The workers that are shown, with their ids and whether each is out by hand.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerId, &str, bool)> {
        self.shown
            .iter()
            .map(|(id, shown)| (shown.entry.worker, id.as_str(), self.out.contains(id)))
    }

    /// What operators are shown: each worker, which source says what, and why it is in or out.
    pub fn views(&self, now: Micros) -> Vec<View> {
        let ids: BTreeSet<&String> = self.shown.keys().chain(&self.out).collect();
        ids.into_iter().map(|id| self.view(now, id)).collect()
    }

    fn spoken(&mut self, now: Micros, source: SourceId, told: &mut Told) {
        let spoken = &mut self.sources[source.0];
        spoken.spoke = Some(now);
        if std::mem::take(&mut spoken.silent) {
            self.unsilence(source, told);
        }
        self.watch_silence(now, source);
    }

    fn hear(&mut self, now: Micros, source: SourceId, word: Word, told: &mut Told) {
        let id = word.id.clone();
        let round = self.sources[source.0].round;
        let heard = &mut self.sources[source.0].heard;
        if let Some(old) = heard.get(&id) {
            if old.word.dirty > word.dirty {
                // An answer of before: what is known is newer. It is named all the same.
                let word = old.word.clone();
                heard.insert(id.clone(), Heard::new(word, now, round));
                return self.renew(&id, false, told);
            }
        }
        let moved = heard
            .get(&id)
            .map(|old| old.word.addr)
            .filter(|addr| *addr != word.addr);
        if let Some(Some(addr)) = moved {
            self.leave_addr(addr, &id, source);
        }
        if let Some(addr) = word.addr {
            self.by_addr.entry(addr).or_default().insert(id.clone());
        }
        let heard = Heard::new(word, now, round);
        self.sources[source.0].heard.insert(id.clone(), heard);
        self.renew(&id, false, told);
        self.renew_neighbours(&id, moved.flatten(), told);
    }

    /// A source no longer names a worker.
    fn miss(&mut self, now: Micros, source: SourceId, id: &str, explicit: bool, told: &mut Told) {
        let guarded = self.sources[source.0].guard.is_some();
        let Some(heard) = self.sources[source.0].heard.get(id) else {
            return;
        };
        // One that is not to be sent to anyway needs no guarding.
        if explicit || !guarded || heard.word.status != Status::Up {
            return self.drop_word(source, id, told);
        }
        self.doubt(now, source, id);
    }

    /// Forgets a source's word on a worker.
    pub(crate) fn drop_word(&mut self, source: SourceId, id: &str, told: &mut Told) {
        let Some(heard) = self.sources[source.0].heard.remove(id) else {
            return;
        };
        if let Some(addr) = heard.word.addr {
            self.leave_addr(addr, id, source);
        }
        self.renew(id, false, told);
        self.renew_neighbours(id, heard.word.addr, told);
    }

    /// An id no longer has an address, unless another source says that it has.
    fn leave_addr(&mut self, addr: SocketAddr, id: &str, source: SourceId) {
        let others = self
            .sources
            .iter()
            .enumerate()
            .filter(|(at, _)| *at != source.0);
        let still = |other: &Source| {
            other
                .heard
                .get(id)
                .is_some_and(|h| h.word.addr == Some(addr))
        };
        if others.map(|(_, other)| other).any(still) {
            return;
        }
        if let Some(ids) = self.by_addr.get_mut(&addr) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_addr.remove(&addr);
            }
        }
    }

    /// Looks again at the others who have the addresses that this one has, or had.
    fn renew_neighbours(&mut self, id: &str, had: Option<SocketAddr>, told: &mut Told) {
        let words = self
            .sources
            .iter()
            .filter_map(|source| source.heard.get(id));
        let addrs: BTreeSet<SocketAddr> = words.filter_map(|h| h.word.addr).chain(had).collect();
        for addr in addrs {
            let others = self.by_addr.get(&addr).cloned().unwrap_or_default();
            for other in others.iter().filter(|other| *other != id) {
                self.renew(other, false, told);
            }
        }
    }

    /// Works out a worker's entry anew, and tells it where it has changed, or where it is to be told `anyway`.
    pub(crate) fn renew(&mut self, id: &str, anyway: bool, told: &mut Told) {
        let worker = worker_id(id);
        let Some(merged) = self.merged(id) else {
            if let Some(old) = self.shown.remove(id) {
                self.by_worker.remove(&worker);
                self.alive.remove(&worker);
                told.stale.push(worker);
                told.entries.push(WorkerEntry {
                    state: WorkerState::Removed,
                    ..old.entry
                });
            }
            return;
        };
        let entry = WorkerEntry {
            worker,
            state: if merged.up {
                WorkerState::Ready
            } else {
                WorkerState::Draining
            },
            zone: ZoneId(position(&self.zones, &merged.zone)),
            kind: KindId(position(&self.kinds, &merged.kind)),
            cell: merged.cell,
            started_at: merged.started,
        };
        let place = merged.addr.map(|addr| Place {
            name: id.to_owned(),
            addr,
            started: merged.started,
        });
        let old = self.shown.get(id);
        let changed = old.is_none_or(|old| old.entry != entry);
        if old.is_some_and(|old| old.place.is_some() && old.place != place) {
            told.stale.push(worker);
        }
        if changed || anyway {
            told.entries.push(entry.clone());
        }
        if old.is_none() {
            self.by_worker.insert(worker, id.to_owned());
        }
        self.shown.insert(id.to_owned(), Shown { entry, place });
    }
}

fn position(names: &[String], name: &str) -> u32 {
    let found = names.iter().position(|known| known == name);
    found.map_or(u32::MAX, |at| at as u32)
}
