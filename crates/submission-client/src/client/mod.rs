//! The client: keeps a connection, and reopens its session on a new one.

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

/// The maximum time for making a connection.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of one node. It can be used from many threads at once.
pub struct Client {
    settings: Settings,
    connection: Mutex<Option<Arc<Connection>>>,
    session: Mutex<Option<OpenSession>>,
    on_event: Option<Arc<dyn Fn(Event) + Send + Sync>>,
    is_closed: AtomicBool,
}

impl Client {
    /// A client that connects with its first request.
    pub fn new(settings: Settings) -> Self {
        Client {
            settings,
            connection: Mutex::new(None),
            session: Mutex::new(None),
            on_event: None,
            is_closed: AtomicBool::new(false),
        }
    }

    /// A client that passes the events of its open session to `on_event`, which is called on the connection's thread
    /// and must not use this client.
    pub fn with_events(settings: Settings, on_event: EventHandler) -> Self {
        Client {
            on_event: Some(Arc::from(on_event)),
            ..Client::new(settings)
        }
    }

    /// The address of the node.
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

    /// The connection, or a new one on which the session is reopened.
    fn connection(&self) -> io::Result<Arc<Connection>> {
        let mut current = lock(&self.connection);
        if self.is_closed() {
            return Err(io::Error::new(io::ErrorKind::NotConnected, "closed"));
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

    /// The handler of a connection's events; it keeps the number of the session's last event.
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
                // The session was opened on this connection; the connection that replaces it sends the event again.
                (Some(_), None) => return,
                (None, _) => {}
            }
            if let Some(on_event) = &on_event {
                on_event(event);
            }
        })
    }
}
