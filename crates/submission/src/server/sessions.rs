//! Operations on sessions: create, open, close and destroy.

use super::client::{ClientId, OpenSession};
use super::waits::WaitSubject;
use super::{invalid_session, Server, RETRY_AFTER_MS};
use crate::error::Problem;
use crate::sessions::SessionKey;
use marbledeck_dispatcher::Micros;
use serde_json::{json, Value};

/// The maximum number of sessions that one client may have open.
const MAX_OPEN_SESSIONS: usize = 64;

impl Server {
    /// Finds the session with this name.
    pub(super) fn find_session(&self, name: &str) -> Result<SessionKey, Problem> {
        let found = self.sessions.find(name);
        found.ok_or_else(|| invalid_session(format!("no such session: `{name}`")))
    }

    /// Finds the session with this name, if a name is given.
    pub(super) fn find_optional_session(
        &self,
        name: Option<String>,
    ) -> Result<Option<SessionKey>, Problem> {
        name.map(|name| self.find_session(&name)).transpose()
    }

    pub(super) fn handle_create_session(
        &mut self,
        now: Micros,
        client: ClientId,
        seq: &Value,
        name: &str,
    ) -> Result<(), Problem> {
        self.check_open_sessions(client)?;
        let key = self.sessions.create(now, name)?;
        self.open_session(now, client, key, 0);
        self.send_answer(client, seq, json!({ "session": name, "lastEvent": 0 }));
        Ok(())
    }

    pub(super) fn handle_open_session(
        &mut self,
        now: Micros,
        client: ClientId,
        seq: &Value,
        name: &str,
        since: Option<u64>,
    ) -> Result<(), Problem> {
        let key = self.find_session(name)?;
        self.check_open_sessions(client)?;
        let last = self
            .sessions
            .get(key)
            .map_or(0, |session| session.last_event);
        if let Some(ahead) = since.filter(|since| *since > last) {
            // The number belongs to an earlier session of the same name, whose events are no longer known.
            let message = format!("since {ahead} is beyond the last event, {last}");
            return Err(Problem::invalid_argument(message));
        }
        self.open_session(now, client, key, since.unwrap_or(last));
        self.send_answer(client, seq, json!({ "session": name, "lastEvent": last }));
        Ok(())
    }

    pub(super) fn handle_close_session(
        &mut self,
        now: Micros,
        client: ClientId,
        seq: &Value,
        name: &str,
    ) -> Result<(), Problem> {
        let key = self.find_session(name)?;
        let is_open = self
            .clients
            .get(&client)
            .is_some_and(|state| state.open_sessions.iter().any(|open| open.session == key));
        if !is_open {
            return Err(invalid_session(
                "the session is not open on this connection",
            ));
        }
        self.close_session(now, key, client);
        self.send_answer(client, seq, json!({ "session": name }));
        Ok(())
    }

    pub(super) fn handle_destroy_session(
        &mut self,
        client: ClientId,
        seq: &Value,
        name: &str,
    ) -> Result<(), Problem> {
        let key = self.find_session(name)?;
        self.destroy_session(key);
        self.send_answer(client, seq, json!({ "session": name }));
        Ok(())
    }

    /// Checks that a client may open another session.
    fn check_open_sessions(&self, client: ClientId) -> Result<(), Problem> {
        let open = self
            .clients
            .get(&client)
            .map_or(0, |state| state.open_sessions.len());
        if open >= MAX_OPEN_SESSIONS {
            let message = "too many sessions are open on this connection";
            return Err(Problem::try_later(message, RETRY_AFTER_MS));
        }
        Ok(())
    }

    fn open_session(&mut self, now: Micros, client: ClientId, key: SessionKey, last_sent: u64) {
        let Some(state) = self.clients.get_mut(&client) else {
            return;
        };
        // Opening a session again replaces the position of its reader.
        state.open_sessions.retain(|open| open.session != key);
        state.open_sessions.push(OpenSession {
            session: key,
            last_sent,
        });
        if let Some(session) = self.sessions.get_mut(key) {
            if !session.readers.contains(&client) {
                session.readers.push(client);
            }
        }
        self.sessions.update_idle(now, key);
        self.readable_clients.insert(client);
    }

    /// Stops sending the events of a session to a client.
    pub(super) fn close_session(&mut self, now: Micros, key: SessionKey, client: ClientId) {
        if let Some(state) = self.clients.get_mut(&client) {
            state.open_sessions.retain(|open| open.session != key);
        }
        if let Some(session) = self.sessions.get_mut(key) {
            session.readers.retain(|reader| *reader != client);
        }
        self.sessions.update_idle(now, key);
    }

    /// Removes a session. Its jobs continue without a session; waits on the session end with an error.
    fn destroy_session(&mut self, key: SessionKey) {
        let Some(session) = self.sessions.destroy(key) else {
            return;
        };
        for job in session.jobs {
            if let Some(job) = self.jobs.get_mut(job) {
                job.session = None;
            }
        }
        for reader in session.readers {
            if let Some(state) = self.clients.get_mut(&reader) {
                state.open_sessions.retain(|open| open.session != key);
            }
        }
        for wait in self.waits.waits_on(WaitSubject::Session(key)) {
            let problem = invalid_session("the session was destroyed");
            self.fail_wait(wait, problem);
        }
        for array in self.arrays.values_mut() {
            array.session = array.session.filter(|session| *session != key);
        }
    }
}
