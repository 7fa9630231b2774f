//! What a node may act on: readings that it has asked for, each for a stated time.

use crate::book::Record;
use crate::wire::Answer;
use marbledeck_dispatcher::Micros;
use std::collections::BTreeMap;

/// How long a reading holds, and what is assumed of clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A reading holds for so long after its question.
    pub lease: Micros,
    /// Two monotonic clocks differ by no more than this part in their rates.
    pub drift: f64,
}

impl Terms {
    /// `T`: from the first act of any node on a version to the last one of any node on an earlier one.
    pub fn overlap(&self) -> Micros {
        Micros::from_secs_f64(self.lease.as_secs_f64() * (1.0 + self.drift))
    }

    /// After so long by its own clock, a node that has heard of a change knows that nobody acts on what was before.
    pub fn quiet(&self) -> Micros {
        Micros::from_secs_f64(self.lease.as_secs_f64() * (1.0 + self.drift) * (1.0 + self.drift))
    }
}

/// What a node may do with a record now.
#[derive(Clone, Debug, PartialEq)]
pub enum Acting<'a> {
    /// Act on this version.
    On(&'a Record),
    /// Neither on the last version nor on the next: the record is exclusive, and others may still act on the last.
    Between,
    /// There is no reading: the fallback of its kind, with the last version known and the one before.
    Without(&'a Record, Option<&'a Record>),
    /// The node has never heard of it.
    Never,
}

#[derive(Clone, Debug)]
struct Known {
    record: Record,
    before: Option<Record>,
    /// It is not acted upon before this.
    from: Micros,
}

/// One node's readings.
#[derive(Clone, Debug)]
pub struct Reader {
    terms: Terms,
    records: BTreeMap<String, Known>,
    revision: u64,
    until: Micros,
    question: u64,
    asked: Option<Micros>,
    stale: bool,
}

impl Reader {
    /// A node that knows nothing yet.
    pub fn new(terms: Terms) -> Self {
        Reader {
            terms,
            records: BTreeMap::new(),
            revision: 0,
            until: Micros(0),
            question: 0,
            asked: None,
            stale: false,
        }
    }

    /// A new question goes out: its number, and the revision that is known. What was asked before is given up. `now` is
    /// read before the question leaves.
    pub fn ask(&mut self, now: Micros) -> (u64, u64) {
        self.question += 1;
        self.asked = Some(now);
        (self.question, self.revision)
    }

    /// Takes in an answer. Tells whether it is a reading: one to the question that is open, and not of a revision before
    /// what is known.
    pub fn answered(&mut self, now: Micros, answer: &Answer) -> bool {
        let Some(asked) = self.asked.filter(|_| answer.question == self.question) else {
            return false;
        };
        if answer.revision < self.revision {
            return false;
        }
        self.asked = None;
        self.stale = answer.stale;
        for (name, record) in &answer.records {
            let old = self.records.remove(name);
            if let Some(old) = old
                .as_ref()
                .filter(|old| old.record.version >= record.version)
            {
                let (record, before) = (old.record.clone(), old.before.clone());
                self.records.insert(
                    name.clone(),
                    Known {
                        record,
                        before,
                        from: old.from,
                    },
                );
                continue;
            }
            // The first that a node hears of it may be a change, too: others may act on the one before.
            let from = match record.exclusive {
                true => now + self.terms.quiet(),
                false => Micros(0),
            };
            let before = old.map(|old| old.record);
            self.records.insert(
                name.clone(),
                Known {
                    record: record.clone(),
                    before,
                    from,
                },
            );
        }
        self.revision = answer.revision;
        // Counted from before the asking: what was true at some moment after the question came is acted upon no longer.
        self.until = asked + self.terms.lease;
        true
    }

    /// What may be done with a record at this moment, which is read just before the act.
    pub fn acting(&self, now: Micros, name: &str) -> Acting<'_> {
        let Some(known) = self.records.get(name) else {
            return Acting::Never;
        };
        if !self.holds(now) {
            return Acting::Without(&known.record, known.before.as_ref());
        }
        match now < known.from {
            true => Acting::Between,
            false => Acting::On(&known.record),
        }
    }

    /// Whether there is a reading now.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until && !self.stale
    }

    /// Until when the last reading holds.
    pub fn until(&self) -> Micros {
        match self.stale {
            true => Micros(0),
            false => self.until,
        }
    }

    /// The revision up to which the records are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The names of all records that are known.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.records.keys().map(String::as_str)
    }

    /// When an exclusive record that is not acted upon yet will be, the next of them.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let waiting = self.records.values().map(|known| known.from);
        waiting.filter(|from| *from > now).min()
    }
}
