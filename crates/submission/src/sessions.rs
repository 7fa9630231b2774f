//! Job sessions: named, independent of connections, each with a bounded history of numbered events.

#[cfg(test)]
mod tests;

use crate::error::Problem;
use crate::ids::JobKey;
use crate::state::{JobState, SubState};
use marbledeck_dispatcher::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The maximum length of a session's name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Identifies a session; never reused, unlike its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u32);

/// An event: a job has entered a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionEvent {
    pub job: JobKey,
    pub state: JobState,
    pub sub_state: Option<SubState>,
}

/// The next entry of a session's history for a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextEvent {
    /// The event with this number.
    Event { number: u64, event: SessionEvent },
    /// The events of these numbers were dropped from the history.
    Gap { from: u64, to: u64 },
}

/// One session.
#[derive(Debug)]
pub struct Session {
    pub name: String,
    /// The latest events; the newest has the number `last_event`.
    events: VecDeque<SessionEvent>,
    /// The number of the newest event; the first one had 1.
    pub last_event: u64,
    /// Its visible jobs.
    pub jobs: BTreeSet<JobKey>,
    /// Its running jobs.
    pub running: BTreeSet<JobKey>,
    /// Its ended jobs.
    pub ended: BTreeSet<JobKey>,
    /// The client connections that receive its events.
    pub readers: Vec<u64>,
    /// Since when it has had neither jobs nor readers.
    pub idle_since: Option<Micros>,
}

impl Session {
    fn push(&mut self, event: SessionEvent, max_events: usize) {
        self.last_event += 1;
        self.events.push_back(event);
        if self.events.len() > max_events {
            self.events.pop_front();
        }
    }

    /// Updates the sets of running and ended jobs.
    pub fn update_job(&mut self, job: JobKey, state: JobState) {
        self.running.remove(&job);
        if state.is_final() {
            self.ended.insert(job);
        } else if state.has_started() {
            self.running.insert(job);
        }
    }

    /// The next entry for a reader that has received the events up to this number.
    pub fn next_after(&self, last_seen: u64) -> Option<NextEvent> {
        if last_seen >= self.last_event {
            return None;
        }
        let number = last_seen + 1;
        let oldest = self.last_event + 1 - self.events.len() as u64;
        if number < oldest {
            return Some(NextEvent::Gap {
                from: number,
                to: oldest - 1,
            });
        }
        let event = *self.events.get((number - oldest) as usize)?;
        Some(NextEvent::Event { number, event })
    }

    /// The events that are still known, the oldest first.
    pub fn history(&self) -> &VecDeque<SessionEvent> {
        &self.events
    }
}

/// All sessions.
#[derive(Debug)]
pub struct Sessions {
    max_sessions: usize,
    /// How many events each session keeps.
    max_events: usize,
    /// How long a session is kept without jobs and readers.
    idle_timeout: Micros,
    sessions: BTreeMap<SessionKey, Session>,
    by_name: HashMap<String, SessionKey>,
    next_key: u32,
    /// When to look for idle sessions to remove; possibly earlier than necessary.
    next_expiry: Option<Micros>,
}

impl Sessions {
    pub fn new(max_sessions: usize, max_events: usize, idle_timeout: Micros) -> Self {
        Sessions {
            max_sessions,
            max_events,
            idle_timeout,
            sessions: BTreeMap::new(),
            by_name: HashMap::new(),
            next_key: 0,
            next_expiry: None,
        }
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    pub fn get(&self, key: SessionKey) -> Option<&Session> {
        self.sessions.get(&key)
    }

    pub fn get_mut(&mut self, key: SessionKey) -> Option<&mut Session> {
        self.sessions.get_mut(&key)
    }

    pub fn find(&self, name: &str) -> Option<SessionKey> {
        self.by_name.get(name).copied()
    }

    pub fn names(&self) -> Vec<&str> {
        self.sessions
            .values()
            .map(|session| &*session.name)
            .collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = (SessionKey, &Session)> {
        self.sessions.iter().map(|(key, session)| (*key, session))
    }

    /// Creates a session.
    ///
    /// # Errors
    /// If the name is taken or malformed, or there are too many sessions.
    pub fn create(&mut self, now: Micros, name: &str) -> Result<SessionKey, Problem> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
            return Err(Problem::invalid_argument(format!(
                "name must be 1 to {MAX_NAME_BYTES} bytes without control characters"
            )));
        }
        if self.by_name.contains_key(name) {
            return Err(Problem::invalid_argument(format!(
                "session `{name}` exists"
            )));
        }
        if self.sessions.len() >= self.max_sessions {
            // Programs that crash leave their sessions behind, so the longest idle session is removed to make room.
            let idle = self
                .iter()
                .filter_map(|(key, session)| Some((session.idle_since?, key)));
            if let Some((_, oldest)) = idle.min() {
                self.destroy(oldest);
            }
        }
        if self.sessions.len() >= self.max_sessions {
            return Err(Problem::try_later("too many sessions", 60_000));
        }
        let key = SessionKey(self.next_key);
        self.next_key += 1;
        let session = Session {
            name: name.to_owned(),
            events: VecDeque::new(),
            last_event: 0,
            jobs: BTreeSet::new(),
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
            readers: Vec::new(),
            idle_since: Some(now),
        };
        self.sessions.insert(key, session);
        self.by_name.insert(name.to_owned(), key);
        self.schedule_expiry(now + self.idle_timeout);
        Ok(key)
    }

    /// Creates a session from another process's state, or fills in that state if the session exists without events.
    pub fn restore(
        &mut self,
        now: Micros,
        name: &str,
        last_event: u64,
        events: Vec<SessionEvent>,
    ) -> Option<SessionKey> {
        let key = match self.find(name) {
            Some(key) => key,
            None => self.create(now, name).ok()?,
        };
        let session = self.sessions.get_mut(&key)?;
        // No line is read before the handover ends, so the session has no events here yet. If it does have some, it is
        // left as it is, since the imported events would reuse their numbers.
        if session.last_event == 0 {
            session.last_event = last_event;
            session.events = events.into();
        }
        Some(key)
    }

    /// Removes a session.
    pub fn destroy(&mut self, key: SessionKey) -> Option<Session> {
        let session = self.sessions.remove(&key)?;
        self.by_name.remove(&session.name);
        Some(session)
    }

    /// Appends an event to a session's history.
    pub fn record(&mut self, key: SessionKey, event: SessionEvent) {
        let max_events = self.max_events;
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        session.push(event, max_events);
        session.update_job(event.job, event.state);
    }

    /// Removes a job that is no longer visible.
    pub fn remove_job(&mut self, now: Micros, key: SessionKey, job: JobKey) {
        if let Some(session) = self.sessions.get_mut(&key) {
            session.jobs.remove(&job);
            session.running.remove(&job);
            session.ended.remove(&job);
        }
        self.update_idle(now, key);
    }

    /// Updates the time since when a session has been idle.
    pub fn update_idle(&mut self, now: Micros, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        let idle = session.jobs.is_empty() && session.readers.is_empty();
        session.idle_since = idle.then(|| session.idle_since.unwrap_or(now));
        if idle {
            self.schedule_expiry(now + self.idle_timeout);
        }
    }

    fn schedule_expiry(&mut self, time: Micros) {
        self.next_expiry = Some(self.next_expiry.map_or(time, |next| next.min(time)));
    }

    /// When [`Sessions::expire`] must be called next.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.next_expiry
    }

    /// Removes the sessions that have been idle for too long.
    pub fn expire(&mut self, now: Micros) {
        if self.next_expiry.is_none_or(|time| time > now) {
            return;
        }
        let idle_timeout = self.idle_timeout;
        let is_expired = |session: &Session| {
            session
                .idle_since
                .is_some_and(|since| since + idle_timeout <= now)
        };
        let expired: Vec<SessionKey> = self
            .iter()
            .filter(|(_, session)| is_expired(session))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.destroy(key);
        }
        let oldest_idle = self
            .sessions
            .values()
            .filter_map(|session| session.idle_since)
            .min();
        self.next_expiry = oldest_idle.map(|since| since + idle_timeout);
    }
}
