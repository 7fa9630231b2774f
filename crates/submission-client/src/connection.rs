//! A connection to a node, shared by several threads. Any thread can send requests; a reader thread passes each answer
//! to the request with the same `seq`, and each event to the event handler.

use marbledeck_submission::frame;
use marbledeck_submission::message::{Event, Operation, Problem, Request};
use serde_json::Value;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, ToSocketAddrs};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum length of a line from the node, in bytes; it covers the result of a job with its JSON escapes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;
/// Timeout of each write to the socket.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum connect timeout: `TcpStream::connect_timeout` rejects zero.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// Receives the events of open sessions and of jobs that were submitted with `notify`.
pub type EventHandler = Box<dyn Fn(Event) + Send + Sync>;

/// Channels of the requests that wait for an answer, by `seq`.
type PendingRequests = Mutex<HashMap<u64, Sender<Value>>>;

/// A connection to a node and its reader thread.
pub(crate) struct Connection {
    socket: TcpStream,
    writer: Mutex<TcpStream>,
    pending: Arc<PendingRequests>,
    next_seq: AtomicU64,
    is_lost: Arc<AtomicBool>,
}

/// Locks a mutex even if it is poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the answer continues on another line.
pub(crate) fn has_more(line: &Value) -> bool {
    line.get("more").and_then(Value::as_bool) == Some(true)
}

impl Connection {
    /// Connects to the first address of `contact` that accepts a connection.
    ///
    /// # Errors
    /// If the name cannot be resolved, or with the error of the last address if none accepts.
    pub(crate) fn connect(
        contact: &str,
        timeout: Duration,
        on_event: Option<EventHandler>,
    ) -> io::Result<Self> {
        let mut last_error = io::Error::new(
            io::ErrorKind::NotFound,
            "the host name resolves to no address",
        );
        for address in contact.to_socket_addrs()? {
            match Self::connect_to(address, timeout) {
                Ok(socket) => return Self::start(socket, on_event),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    fn connect_to(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        let socket = TcpStream::connect_timeout(&address, timeout.max(MIN_CONNECT_TIMEOUT))?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(socket)
    }

    fn start(socket: TcpStream, on_event: Option<EventHandler>) -> io::Result<Self> {
        let pending: Arc<PendingRequests> = Arc::default();
        let is_lost = Arc::new(AtomicBool::new(false));
        let reader = BufReader::new(socket.try_clone()?);
        let (reader_pending, reader_lost) = (pending.clone(), is_lost.clone());
        std::thread::Builder::new()
            .name("marbledeck-reader".to_owned())
            .spawn(move || {
                read_lines(reader, &reader_pending, on_event);
                reader_lost.store(true, Ordering::SeqCst);
                // Dropping the senders makes the pending requests fail.
                lock(&reader_pending).clear();
            })?;
        Ok(Connection {
            writer: Mutex::new(socket.try_clone()?),
            socket,
            pending,
            next_seq: AtomicU64::new(1),
            is_lost,
        })
    }

    /// Whether the reader thread has ended, so that no more answers can arrive.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::SeqCst)
    }

    /// Sends a request. The lines of its answer arrive on the returned channel, which disconnects if the connection is
    /// lost.
    ///
    /// # Errors
    /// If the connection is lost; the node may have received the request nevertheless.
    pub(crate) fn send(&self, operation: Operation) -> io::Result<Receiver<Value>> {
        let seq = self.next_seq.fetch_add(1, Ordering::SeqCst);
        let (sender, receiver) = channel();
        lock(&self.pending).insert(seq, sender);
        let line = frame::encode_line(&Request {
            seq: seq.into(),
            op: operation,
        });
        let written = lock(&self.writer).write_all(&line);
        // If the reader ended before this request was added, it did not remove the request.
        let lost = self
            .is_lost()
            .then(|| io::ErrorKind::ConnectionReset.into());
        if let Err(error) = written.and_then(|()| lost.map_or(Ok(()), Err)) {
            lock(&self.pending).remove(&seq);
            self.close();
            return Err(error);
        }
        Ok(receiver)
    }

    /// Closes the connection; all pending requests fail.
    pub(crate) fn close(&self) {
        // An error means that the connection is already closed.
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.close();
    }
}

/// Reads lines until the connection ends, a line is invalid, or the node reports a problem of the connection.
fn read_lines(
    mut reader: BufReader<TcpStream>,
    pending: &PendingRequests,
    on_event: Option<EventHandler>,
) {
    let mut line = Vec::new();
    loop {
        line.clear();
        let mut limited = Read::by_ref(&mut reader).take(MAX_LINE_BYTES);
        match limited.read_until(b'\n', &mut line) {
            Ok(length) if length > 0 && line.last() == Some(&b'\n') => {}
            _ => return,
        }
        let Ok(value) = serde_json::from_slice::<Value>(&line) else {
            return;
        };
        if value.get("event").is_some() {
            if let (Some(on_event), Ok(event)) = (&on_event, serde_json::from_value(value)) {
                on_event(event);
            }
            continue;
        }
        let Some(seq) = value.get("seq").and_then(Value::as_u64) else {
            // A problem without `seq`: the node accepts no more clients, or could not parse a request.
            if serde_json::from_value::<Problem>(value).is_ok() {
                return;
            }
            continue;
        };
        deliver(pending, seq, value);
    }
}

/// Passes a line to the request with this `seq`, if it is still pending.
fn deliver(pending: &PendingRequests, seq: u64, line: Value) {
    let sender = if has_more(&line) {
        lock(pending).get(&seq).cloned()
    } else {
        lock(pending).remove(&seq)
    };
    if let Some(sender) = sender {
        // An error means that the request is no longer pending.
        let _ = sender.send(line);
    }
}
