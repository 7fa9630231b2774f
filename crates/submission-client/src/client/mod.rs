//! The client, which maintains one connection to the node and reopens its session after each reconnect.

mod queries;
mod request;
mod sessions;
mod submission;
mod waits;

pub use queries::ControlSummary;
pub use submission::{Bulk, BulkJob, IndexRange};
pub use waits::WaitGoal;

use crate::connection::{lock, Connection, EventHandler};
use crate::Settings;
use marbledeck_submission::message::Event;
use sessions::OpenSession;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Maximum connect timeout.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of one node. Several threads can share it.
pub struct Client {
    settings: Settings,
    connection: Mutex<Option<Arc<Connection>>>,
    session: Mutex<Option<OpenSession>>,
    on_event: Option<Arc<dyn Fn(Event) + Send + Sync>>,
    is_closed: AtomicBool,
}

impl Client {
    /// Creates a client, which connects when the first request is sent.
    pub fn new(settings: Settings) -> Self {
        Client {
            settings,
            connection: Mutex::new(None),
            session: Mutex::new(None),
            on_event: None,
            is_closed: AtomicBool::new(false),
        }
    }

    /// Creates a client that passes the events of its open session to `on_event`. The handler runs on the reader thread
    /// of the connection and must not use this client, since no answer is read until it returns.
    pub fn with_events(settings: Settings, on_event: EventHandler) -> Self {
        Client {
            on_event: Some(Arc::from(on_event)),
            ..Client::new(settings)
        }
    }

    /// Submission address of the node.
    pub fn contact(&self) -> &str {
        &self.settings.contact
    }

    /// Closes the connection and ends all pending requests; later requests fail.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        self.drop_connection();
    }

    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    fn drop_connection(&self) {
        if let Some(connection) = lock(&self.connection).take() {
            connection.close();
        }
    }

    /// Returns the current connection. If there is none or it is lost, connects and reopens the session.
    fn connection(&self) -> io::Result<Arc<Connection>> {
        let mut current = lock(&self.connection);
        if self.is_closed() {
            return Err(io::Error::new(
                io::ErrorKind::NotConnected,
                "the client is closed",
            ));
        }
        if let Some(connection) = current.as_ref().filter(|current| !current.is_lost()) {
            return Ok(connection.clone());
        }
        *current = None;
        let session = lock(&self.session).clone();
        let last_event = session.as_ref().map(|session| session.last_event.clone());
        let connection = Arc::new(Connection::connect(
            &self.settings.contact,
            self.settings.retry_timeout.min(MAX_CONNECT_TIMEOUT),
            Some(self.event_handler(last_event)),
        )?);
        if let Some(session) = session {
            self.reopen_session(&connection, session);
        }
        *current = Some(connection.clone());
        Ok(connection)
    }

    /// Creates the event handler of a connection, which also stores the number of the last event in `last_event`.
    fn event_handler(&self, last_event: Option<Arc<AtomicU64>>) -> EventHandler {
        let on_event = self.on_event.clone();
        Box::new(move |event: Event| {
            let number = match &event {
                Event::NewState { number, .. } => *number,
                Event::Gap { to, .. } => Some(*to),
            };
            match (number, &last_event) {
                (Some(number), Some(last_event)) => {
                    last_event.fetch_max(number, Ordering::SeqCst);
                }
                // The session was opened on this connection, which is about to be replaced; the node sends the event
                // again on the new connection.
                (Some(_), None) => return,
                (None, _) => {}
            }
            if let Some(on_event) = &on_event {
                on_event(event);
            }
        })
    }
}
