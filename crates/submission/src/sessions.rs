//! Job sessions: named, outliving every connection, each with a bounded history of numbered events.

use crate::ids::Key;
use crate::message::Problem;
use crate::state::JobState;
use marbledeck_dispatcher::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The longest name of a session, in bytes.
const MAX_NAME: usize = 256;

/// A session, also after it was destroyed and another took its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u32);

/// A job's new state, as it was then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    pub job: Key,
    pub state: JobState,
    pub sub_state: Option<&'static str>,
}

/// What a reader that has seen the events up to a number is to be told next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// This event, of this number.
    Event(u64, Record),
    /// The events of these numbers are no longer known.
    Gap(u64, u64),
}

/// One session.
#[derive(Debug)]
pub struct Session {
    pub name: String,
    /// The last events; the last of them has the number `last`.
    events: VecDeque<Record>,
    /// The number of the last event; the first one had 1.
    pub last: u64,
    /// Its jobs that are shown.
    pub jobs: BTreeSet<Key>,
    /// Those of them that run, and those that have ended.
    pub running: BTreeSet<Key>,
    pub ended: BTreeSet<Key>,
    /// Who is told of its events.
    pub readers: Vec<u64>,
    /// Since when it has had neither jobs nor readers.
    pub idle: Option<Micros>,
}

impl Session {
    fn push(&mut self, record: Record, history: usize) {
        self.last += 1;
        self.events.push_back(record);
        if self.events.len() > history {
            self.events.pop_front();
        }
    }

    /// Notes whether a job runs or has ended.
    pub fn place(&mut self, job: Key, state: JobState) {
        self.running.remove(&job);
        if state.is_final() {
            self.ended.insert(job);
        } else if state.has_started() {
            self.running.insert(job);
        }
    }

    /// What comes after the event of this number.
    pub fn next(&self, seen: u64) -> Option<Next> {
        if seen >= self.last {
            return None;
        }
        let first = self.last + 1 - self.events.len() as u64;
        if seen + 1 < first {
            return Some(Next::Gap(seen + 1, first - 1));
        }
        let record = self.events.get((seen + 1 - first) as usize)?;
        Some(Next::Event(seen + 1, *record))
    }

    /// The history, with the number of its first event.
    pub fn history(&self) -> (u64, impl Iterator<Item = &Record>) {
        (self.last + 1 - self.events.len() as u64, self.events.iter())
    }
}

/// All sessions.
#[derive(Debug)]
pub struct Sessions {
    most: usize,
    history: usize,
    /// How long one is kept without jobs and readers.
    keep: Micros,
    map: BTreeMap<SessionKey, Session>,
    by_name: HashMap<String, SessionKey>,
    next: u32,
    /// When the idle ones are looked at.
    due: Option<Micros>,
}

impl Sessions {
    pub fn new(most: usize, history: usize, keep: Micros) -> Self {
        Sessions {
            most,
            history,
            keep,
            map: BTreeMap::new(),
            by_name: HashMap::new(),
            next: 0,
            due: None,
        }
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }

    pub fn get(&self, key: SessionKey) -> Option<&Session> {
        self.map.get(&key)
    }

    pub fn get_mut(&mut self, key: SessionKey) -> Option<&mut Session> {
        self.map.get_mut(&key)
    }

    pub fn find(&self, name: &str) -> Option<SessionKey> {
        self.by_name.get(name).copied()
    }

    pub fn names(&self) -> Vec<&str> {
        self.map.values().map(|session| &*session.name).collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = (SessionKey, &Session)> {
        self.map.iter().map(|(key, session)| (*key, session))
    }

    /// Creates a session.
    ///
    /// # Errors
    /// A name that is taken or makes no sense, or one session too many.
    pub fn create(&mut self, now: Micros, name: &str) -> Result<SessionKey, Problem> {
        if name.is_empty() || name.len() > MAX_NAME || name.chars().any(char::is_control) {
            return Err(Problem::invalid(format!(
                "name wants 1 to {MAX_NAME} bytes of visible text"
            )));
        }
        if self.by_name.contains_key(name) {
            return Err(Problem::invalid(format!("session `{name}` exists")));
        }
        if self.map.len() >= self.most {
            // Programs that died leave theirs behind: the one that has been idle for longest makes room.
            let idle = self
                .iter()
                .filter_map(|(key, session)| Some((session.idle?, key)));
            if let Some((_, oldest)) = idle.min() {
                self.destroy(oldest);
            }
        }
        if self.map.len() >= self.most {
            return Err(Problem::later("too many sessions", 60_000));
        }
        let key = SessionKey(self.next);
        self.next += 1;
        let session = Session {
            name: name.to_owned(),
            events: VecDeque::new(),
            last: 0,
            jobs: BTreeSet::new(),
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
            readers: Vec::new(),
            idle: Some(now),
        };
        self.map.insert(key, session);
        self.by_name.insert(name.to_owned(), key);
        self.look_by(now + self.keep);
        Ok(key)
    }

    /// Starts a session from what another process knew of it.
    pub fn restore(
        &mut self,
        now: Micros,
        name: &str,
        last: u64,
        events: Vec<Record>,
    ) -> Option<SessionKey> {
        let key = match self.find(name) {
            Some(key) => key,
            None => self.create(now, name).ok()?,
        };
        let session = self.map.get_mut(&key)?;
        // Events of before come before those that were numbered here meanwhile: there are none, since no line was
        // read; if there are, the later numbers stay the higher.
        if session.last == 0 {
            session.last = last;
            session.events = events.into();
        }
        Some(key)
    }

    /// Forgets a session; its readers are to be told nothing more.
    pub fn destroy(&mut self, key: SessionKey) -> Option<Session> {
        let session = self.map.remove(&key)?;
        self.by_name.remove(&session.name);
        Some(session)
    }

    /// Notes a job's new state.
    pub fn record(&mut self, key: SessionKey, record: Record) {
        let history = self.history;
        let Some(session) = self.map.get_mut(&key) else {
            return;
        };
        session.push(record, history);
        session.place(record.job, record.state);
    }

    /// A job of it is shown no longer.
    pub fn drop_job(&mut self, now: Micros, key: SessionKey, job: Key) {
        if let Some(session) = self.map.get_mut(&key) {
            session.jobs.remove(&job);
            session.running.remove(&job);
            session.ended.remove(&job);
        }
        self.settle(now, key);
    }

    /// Notes whether a session is idle.
    pub fn settle(&mut self, now: Micros, key: SessionKey) {
        let Some(session) = self.map.get_mut(&key) else {
            return;
        };
        let idle = session.jobs.is_empty() && session.readers.is_empty();
        session.idle = idle.then(|| session.idle.unwrap_or(now));
        if idle {
            self.look_by(now + self.keep);
        }
    }

    fn look_by(&mut self, at: Micros) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due
    }

    /// Forgets the sessions that have been idle for too long.
    pub fn expire(&mut self, now: Micros) {
        if self.due.is_none_or(|due| due > now) {
            return;
        }
        let keep = self.keep;
        let over = |s: &Session| s.idle.is_some_and(|since| since + keep <= now);
        let old: Vec<SessionKey> = self
            .iter()
            .filter(|(_, s)| over(s))
            .map(|(k, _)| k)
            .collect();
        for key in old {
            self.destroy(key);
        }
        self.due = self
            .map
            .values()
            .filter_map(|s| s.idle)
            .min()
            .map(|since| since + keep);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A reader that comes back is told what it has missed, and plainly what nobody knows any more.
    #[test]
    fn a_bounded_history() {
        let mut sessions = Sessions::new(2, 3, Micros(10));
        let key = sessions.create(Micros(0), "s").unwrap();
        let mut ids = crate::ids::Ids::new("n".to_owned());
        for _ in 0..5 {
            let job = ids.fresh();
            let record = Record {
                job,
                state: JobState::Queued,
                sub_state: None,
            };
            sessions.record(key, record);
        }
        let session = sessions.get(key).unwrap();
        assert_eq!(session.next(0), Some(Next::Gap(1, 2)));
        assert!(matches!(session.next(2), Some(Next::Event(3, _))));
        assert!(matches!(session.next(4), Some(Next::Event(5, _))));
        assert_eq!(session.next(5), None);
        assert_eq!(session.next(u64::MAX), None);
    }

    #[test]
    fn idle_sessions_go() {
        let mut sessions = Sessions::new(1, 3, Micros(10));
        let key = sessions.create(Micros(0), "s").unwrap();
        assert!(sessions.create(Micros(0), "s").is_err());
        sessions.get_mut(key).unwrap().readers.push(1);
        sessions.settle(Micros(5), key);
        assert!(sessions.create(Micros(5), "t").is_err());
        sessions.expire(Micros(20));
        assert_eq!(sessions.len(), 1);
        sessions.get_mut(key).unwrap().readers.clear();
        sessions.settle(Micros(30), key);
        sessions.expire(Micros(39));
        assert_eq!(sessions.len(), 1);
        sessions.expire(Micros(40));
        assert_eq!(sessions.len(), 0);
        assert!(sessions.create(Micros(41), "t").is_ok());
        // At the limit, an idle one makes room.
        assert!(sessions.create(Micros(42), "u").is_ok());
        assert_eq!(sessions.names(), ["u"]);
    }
}
