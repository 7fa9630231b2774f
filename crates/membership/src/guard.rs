//! The guard: a source that no longer names a worker, or says nothing at all, is not believed before the worker itself
//! shows that it is gone, or a long time has passed.

use crate::{Membership, SourceId, Told};
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_platform_settings::worker_id;

/// How far a source's silence on a worker is distrusted.
#[derive(Clone, Debug, PartialEq)]
pub struct Guard {
    /// How long one that still answers is kept after its source has stopped naming it.
    pub keep: Micros,
    /// After how long without a word all of a source's workers are doubtful.
    pub stale: Micros,
    /// How often a doubtful worker is probed.
    pub probe: Micros,
    /// Signs of death in a row, without one of life between, after which a doubtful worker goes.
    pub fails: u32,
    /// Probes in any span of `probe`: with more doubtful workers than this, each is probed less often.
    pub budget: usize,
    /// Whether workers may be probed at all.
    pub probes: bool,
}

impl Default for Guard {
    fn default() -> Self {
        Guard {
            keep: Micros(300_000_000),
            stale: Micros(90_000_000),
            probe: Micros(2_000_000),
            fails: 2,
            budget: 50,
            probes: true,
        }
    }
}

/// Evidence of whether a worker is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It has answered something.
    Life,
    /// It has refused a connection, or not answered in time.
    Death,
}

/// Why and since when a worker is doubtful.
#[derive(Clone, Debug)]
pub(crate) struct Doubt {
    pub since: Micros,
    /// Its source speaks and does not name it; else the source is silent.
    pub missing: bool,
    /// Signs of death since the last one of life.
    pub fails: u32,
}

impl Membership {
    /// A source has stopped naming a worker that it had said was up.
    pub(crate) fn doubt(&mut self, now: Micros, source: SourceId, id: &str) {
        let Some(heard) = self.sources[source.0].heard.get_mut(id) else {
            return;
        };
        match &mut heard.doubt {
            Some(doubt) if doubt.missing => return,
            doubt => {
                *doubt = Some(Doubt {
                    since: now,
                    missing: true,
                    fails: 0,
                })
            }
        }
        self.due.insert((now, Micros(0), source.0, id.to_owned()));
    }

    /// From when on a source is silent, should it say nothing more.
    pub(crate) fn watch_silence(&mut self, now: Micros, source: SourceId) {
        let spoken = &mut self.sources[source.0];
        let Some(guard) = &spoken.guard else {
            return;
        };
        // The empty id stands for the source itself.
        let of = |at| (at, Micros(0), source.0, String::new());
        let due = now + guard.stale;
        if let Some(old) = spoken.silent_at.replace(due) {
            self.due.remove(&of(old));
        }
        self.due.insert(of(due));
    }

    /// A silent source speaks again: only what it does not name stays doubtful.
    pub(crate) fn unsilence(&mut self, source: SourceId, _told: &mut Told) {
        for heard in self.sources[source.0].heard.values_mut() {
            heard.doubt.take_if(|doubt| !doubt.missing);
        }
    }

    /// What a call, a probe or a connect shows of a worker.
    pub fn sign(&mut self, now: Micros, worker: WorkerId, sign: Sign) -> Told {
        let mut told = Told::default();
        if sign == Sign::Life {
            self.alive.insert(worker, now);
        }
        let Some(id) = self.by_worker.get(&worker).cloned() else {
            return told;
        };
        for at in 0..self.sources.len() {
            let source = &mut self.sources[at];
            let Some(guard) = &source.guard else {
                continue;
            };
            let fails = guard.fails;
            let heard = source.heard.get_mut(&id);
            let Some(doubt) = heard.and_then(|heard| heard.doubt.as_mut()) else {
                continue;
            };
            match sign {
                Sign::Life => doubt.fails = 0,
                Sign::Death => {
                    doubt.fails += 1;
                    if doubt.fails >= fails {
                        self.drop_word(SourceId(at), &id, &mut told);
                    }
                }
            }
        }
        told
    }

    /// When [`Membership::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        self.due.first().map(|(at, ..)| *at)
    }

    /// Looks at the doubtful workers that are due, at most so many as the budgets allow.
    pub fn wake(&mut self, now: Micros) -> Told {
        let mut told = Told::default();
        while let Some((_, turn, at, id)) =
            self.due.first().cloned().filter(|(due, ..)| *due <= now)
        {
            self.due.pop_first();
            let source = SourceId(at);
            let Some(guard) = self.sources[at].guard.clone() else {
                continue;
            };
            if id.is_empty() {
                self.fall_silent(now, source);
                continue;
            }
            let heard = self.sources[at].heard.get(&id);
            let Some(doubt) = heard.and_then(|heard| heard.doubt.clone()) else {
                continue;
            };
            if doubt.missing && now >= doubt.since + guard.keep {
                self.drop_word(source, &id, &mut told);
                continue;
            }
            let worker = worker_id(&id);
            let end = doubt.since + guard.keep;
            let lively = self
                .alive
                .get(&worker)
                .is_some_and(|at| *at + guard.probe > now);
            // Traffic that is answered makes a probe needless.
            let wanted = guard.probes && !lively;
            let probed = &mut self.sources[at].probed;
            if now >= probed.0 + guard.probe {
                *probed = (now, 0);
            }
            let has_room = probed.1 < guard.budget;
            if wanted && has_room {
                probed.1 += 1;
                self.probes.push(worker);
            }
            let next = now + guard.probe;
            let next = if doubt.missing {
                next.min(end.max(now + Micros(1)))
            } else {
                next
            };
            let turn = if wanted && !has_room { turn } else { now };
            self.due.insert((next, turn, at, id));
        }
        told
    }

    /// A source has said nothing for too long: its workers are doubtful, and go by their own signs only.
    fn fall_silent(&mut self, now: Micros, source: SourceId) {
        let spoken = &mut self.sources[source.0];
        spoken.silent = true;
        let mut due = Vec::new();
        for (id, heard) in &mut spoken.heard {
            if heard.doubt.is_none() {
                heard.doubt = Some(Doubt {
                    since: now,
                    missing: false,
                    fails: 0,
                });
                due.push((now, Micros(0), source.0, id.clone()));
            }
        }
        self.due.extend(due);
    }

    /// The doubtful workers to probe now; the answers come as [signs](Membership::sign).
    pub fn take_probes(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.probes)
    }

    /// How many workers are doubtful, by source.
    pub fn doubtful(&self) -> usize {
        let sources = self.sources.iter().filter(|source| source.guard.is_some());
        let heard = sources.flat_map(|source| source.heard.values());
        heard.filter(|heard| heard.doubt.is_some()).count()
    }
}
