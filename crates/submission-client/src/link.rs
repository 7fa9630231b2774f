//! One connection to a node's submission front: requests go out from any thread, a thread of its own reads what comes,
//! and each answer finds the request that it belongs to.

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

/// The longest line that a node sends: a result with its escapes.
const MAX_LINE: u64 = 1024 * 1024;
/// How long a request may take to leave.
const WRITING: Duration = Duration::from_secs(30);

/// Takes the events of open sessions and of jobs that were handed in with `notify`.
pub type OnEvent = Box<dyn Fn(Event) + Send + Sync>;

/// What comes for a request: a line, or none any more.
type Waiting = Mutex<HashMap<u64, Sender<Value>>>;

/// A connection, shared by all who ask over it.
pub struct Link {
    socket: TcpStream,
    writer: Mutex<TcpStream>,
    waiting: Arc<Waiting>,
    next: AtomicU64,
    lost: Arc<AtomicBool>,
}

/// A lock that another thread's panic does not close.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Connects.
    ///
    /// # Errors
    /// The last one of all the addresses that the name stands for.
    pub fn connect(
        contact: &str,
        patience: Duration,
        on_event: Option<OnEvent>,
    ) -> io::Result<Self> {
        let mut last = io::Error::new(io::ErrorKind::NotFound, "the name stands for no address");
        for addr in contact.to_socket_addrs()? {
            match Self::connect_to(addr, patience) {
                Ok(socket) => return Self::start(socket, on_event),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    fn connect_to(addr: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
        let socket = TcpStream::connect_timeout(&addr, patience.max(Duration::from_millis(1)))?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(WRITING))?;
        Ok(socket)
    }

    fn start(socket: TcpStream, on_event: Option<OnEvent>) -> io::Result<Self> {
        let waiting: Arc<Waiting> = Arc::default();
        let lost = Arc::new(AtomicBool::new(false));
        let reader = BufReader::new(socket.try_clone()?);
        let (theirs, flag) = (waiting.clone(), lost.clone());
        std::thread::Builder::new()
            .name("marbledeck-reader".to_owned())
            .spawn(move || {
                read(reader, &theirs, on_event);
                flag.store(true, Ordering::SeqCst);
                // Whoever waits hears that nothing comes any more.
                locked(&theirs).clear();
            })?;
        Ok(Link {
            writer: Mutex::new(socket.try_clone()?),
            socket,
            waiting,
            next: AtomicU64::new(1),
            lost,
        })
    }

    /// Whether nothing can be asked any more.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::SeqCst)
    }

    /// Sends a request. Its answer comes as one line or, of a bulk, several; the channel ends without one where the
    /// connection is lost.
    ///
    /// # Errors
    /// The connection is lost. Whether the request has arrived is not known.
    pub fn send(&self, op: Operation) -> io::Result<Receiver<Value>> {
        let seq = self.next.fetch_add(1, Ordering::SeqCst);
        let (sender, receiver) = channel();
        locked(&self.waiting).insert(seq, sender);
        let line = frame::line(&Request {
            seq: seq.into(),
            op,
        });
        let sent = locked(&self.writer).write_all(&line);
        // The reader may have ended before this request was entered: nobody would clear it.
        let lost = self
            .is_lost()
            .then(|| io::ErrorKind::ConnectionReset.into());
        if let Err(e) = sent.and_then(|()| lost.map_or(Ok(()), Err)) {
            locked(&self.waiting).remove(&seq);
            self.close();
            return Err(e);
        }
        Ok(receiver)
    }

    /// Ends the connection; whoever waits hears so.
    pub fn close(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.close();
    }
}

fn read(mut reader: BufReader<TcpStream>, waiting: &Waiting, on_event: Option<OnEvent>) {
    let mut line = Vec::new();
    loop {
        line.clear();
        let mut bounded = Read::by_ref(&mut reader).take(MAX_LINE);
        match bounded.read_until(b'\n', &mut line) {
            Ok(n) if n > 0 && line.last() == Some(&b'\n') => {}
            _ => return,
        }
        let Ok(value) = serde_json::from_slice::<Value>(&line) else {
            return;
        };
        if value.get("event").is_some() {
            if let (Some(tell), Ok(event)) = (&on_event, serde_json::from_value(value)) {
                tell(event);
            }
            continue;
        }
        let Some(seq) = value.get("seq").and_then(Value::as_u64) else {
            // Said to all: the node takes no more submitters, or could not read a line.
            if serde_json::from_value::<Problem>(value).is_ok() {
                return;
            }
            continue;
        };
        let more = value.get("more").and_then(Value::as_bool) == Some(true);
        let sender = match more {
            true => locked(waiting).get(&seq).cloned(),
            false => locked(waiting).remove(&seq),
        };
        // Who no longer waits hears nothing.
        if let Some(sender) = sender {
            let _ = sender.send(value);
        }
    }
}
