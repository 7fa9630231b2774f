//! Sessions, which stay open when a connection is lost.

use super::Client;
use crate::connection::{lock, Connection};
use crate::Error;
use marbledeck_submission::message::{ErrorId, Operation};
use serde::Deserialize;
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The session that a client has open.
#[derive(Clone)]
pub(super) struct OpenSession {
    name: String,
    /// The number of the last event that has arrived.
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
    /// Opens a session and keeps it open when connections are lost. Its events arrive after number `since`, or from
    /// now on. Returns the number of the last event.
    ///
    /// # Errors
    /// [`ErrorId::InvalidSession`] if there is no such session, [`ErrorId::InvalidArgument`] if `since` is beyond the
    /// last event.
    pub fn open_session(&self, name: &str, since: Option<u64>) -> Result<u64, Error> {
        let opened = self.call(Operation::OpenSession {
            name: name.to_owned(),
            since,
        })?;
        self.keep_open(name, since, &opened)
    }

    /// Like [`Client::open_session`], but creates the session if there is none.
    ///
    /// # Errors
    /// [`ErrorId::InvalidArgument`] if the name is malformed or `since` is beyond the last event.
    pub fn create_or_open_session(&self, name: &str, since: Option<u64>) -> Result<u64, Error> {
        let created = self.call(Operation::CreateSession {
            name: name.to_owned(),
        });
        match created {
            // It exists, perhaps because the answer to an earlier attempt was lost.
            Err(error) if error.is(ErrorId::InvalidArgument) => self.open_session(name, since),
            Err(error) => Err(error),
            Ok(opened) => self.keep_open(name, since, &opened),
        }
    }

    fn keep_open(
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
            // The current connection does not keep the number of the session's last event; a new one does.
            self.drop_connection();
            self.call::<Value>(Operation::ListSessions)?;
        }
        Ok(opened.last_event)
    }

    /// Reopens the session on a new connection, after the last event that has arrived.
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
        // The node was restarted: the session is created again, and its events are numbered anew.
        last_event.store(0, Ordering::SeqCst);
        let create = Operation::CreateSession { name: name.clone() };
        if self.call_on::<Value>(connection, create).is_err() {
            let open = Operation::OpenSession {
                name,
                since: Some(0),
            };
            // If this fails as well, the connection is used without the session.
            let _ = self.call_on::<Value>(connection, open);
        }
    }

    /// Closes the open session.
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

    /// Removes a session. Its jobs go on.
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

    /// The names of all sessions.
    ///
    /// # Errors
    /// If the request fails.
    pub fn sessions(&self) -> Result<Vec<String>, Error> {
        let names: SessionNames = self.call(Operation::ListSessions)?;
        Ok(names.sessions)
    }
}
