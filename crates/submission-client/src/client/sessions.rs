//! Sessions, which the client reopens when a connection is lost.

use super::Client;
use crate::connection::{lock, Connection};
use crate::Error;
use marbledeck_submission::message::{ErrorId, Operation};
use serde::Deserialize;
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The open session of a client.
#[derive(Clone)]
pub(super) struct OpenSession {
    name: String,
    /// Number of the last event that was received.
    pub(super) last_event: Arc<AtomicU64>,
}

/// The answer to `createSession` and `openSession`.
#[derive(Deserialize)]
#[serde(rename = "Opened")]
struct SessionOpened {
    #[serde(rename = "lastEvent")]
    last_event: u64,
}

/// The answer to `listSessions`.
#[derive(Deserialize)]
#[serde(rename = "Names")]
struct SessionNames {
    sessions: Vec<String>,
}

impl Client {
    /// Opens a session and reopens it after each reconnect. The client receives the events after number `since`, or
    /// only future ones if it is `None`. Returns the number of the session's last event.
    ///
    /// # Errors
    /// [`ErrorId::InvalidSession`] if there is no such session, [`ErrorId::InvalidArgument`] if `since` is greater than
    /// the number of the last event.
    pub fn open_session(&self, name: &str, since: Option<u64>) -> Result<u64, Error> {
        let opened = self.call(Operation::OpenSession {
            name: name.to_owned(),
            since,
        })?;
        self.set_open_session(name, since, &opened)
    }

    /// Like [`Client::open_session`], but creates the session if it does not exist.
    ///
    /// # Errors
    /// [`ErrorId::InvalidArgument`] if the name is malformed or `since` is greater than the number of the last event.
    pub fn create_or_open_session(&self, name: &str, since: Option<u64>) -> Result<u64, Error> {
        let created = self.call(Operation::CreateSession {
            name: name.to_owned(),
        });
        match created {
            // The session exists, perhaps because the answer to an earlier attempt was lost.
            Err(error) if error.is(ErrorId::InvalidArgument) => self.open_session(name, since),
            Err(error) => Err(error),
            Ok(opened) => self.set_open_session(name, since, &opened),
        }
    }

    /// Stores the session, so that it is reopened after each reconnect.
    fn set_open_session(
        &self,
        name: &str,
        since: Option<u64>,
        opened: &SessionOpened,
    ) -> Result<u64, Error> {
        let last_event = since.unwrap_or(opened.last_event);
        *lock(&self.session) = Some(OpenSession {
            name: name.to_owned(),
            last_event: Arc::new(AtomicU64::new(last_event)),
        });
        if self.on_event.is_some() {
            // The event handler of the current connection does not store the number of the last event; that of a new
            // connection does.
            self.drop_connection();
            self.call::<Value>(Operation::ListSessions)?;
        }
        Ok(opened.last_event)
    }

    /// Reopens the session on a new connection and requests the events after the last one that was received.
    pub(super) fn reopen_session(&self, connection: &Connection, session: OpenSession) {
        let OpenSession { name, last_event } = session;
        let reopened = self.call_on::<SessionOpened>(
            connection,
            Operation::OpenSession {
                name: name.clone(),
                since: Some(last_event.load(Ordering::SeqCst)),
            },
        );
        let Err(Error::Problem(_)) = reopened else {
            return;
        };
        // The node lost the session in a restart: create it again. Its event numbers restart as well.
        last_event.store(0, Ordering::SeqCst);
        let create = Operation::CreateSession { name: name.clone() };
        if self.call_on::<Value>(connection, create).is_err() {
            let open = Operation::OpenSession {
                name,
                since: Some(0),
            };
            // If this fails as well, the connection is used without a session.
            let _ = self.call_on::<Value>(connection, open);
        }
    }

    /// Closes the open session, if there is one.
    ///
    /// # Errors
    /// If the request fails.
    pub fn close_session(&self) -> Result<(), Error> {
        let open = lock(&self.session).take();
        match open {
            Some(open) => self
                .call::<Value>(Operation::CloseSession { name: open.name })
                .map(drop),
            None => Ok(()),
        }
    }

    /// Destroys a session. Its jobs continue.
    ///
    /// # Errors
    /// [`ErrorId::InvalidSession`] if there is no such session.
    pub fn destroy_session(&self, name: &str) -> Result<(), Error> {
        {
            let mut open = lock(&self.session);
            if open.as_ref().is_some_and(|open| open.name == name) {
                *open = None;
            }
        }
        let name = name.to_owned();
        self.call::<Value>(Operation::DestroySession { name })
            .map(drop)
    }

    /// Returns the names of all sessions.
    ///
    /// # Errors
    /// If the request fails.
    pub fn sessions(&self) -> Result<Vec<String>, Error> {
        let answer: SessionNames = self.call(Operation::ListSessions)?;
        Ok(answer.sessions)
    }
}
