//! A stub of the platform's discovery. It serves the whole list of endpoints and answers long polls for changes. A test
//! sets the encoding of its answers and how their bytes are delivered.

use crate::accept::{listen, serve_connections};
use crate::http;
use serde_json::{json, Value};
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Upper bound on `wait_ms`, the time that a long poll waits for a change.
const MAX_WAIT_MS: u64 = 60_000;
/// Size of a chunk in answers with chunked transfer coding.
const CHUNK_BYTES: usize = 4000;

/// The encoding of an answer's body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerForm {
    /// JSON without white space, with `Content-Length`.
    #[default]
    Compact,
    /// Indented JSON, with `Content-Length`.
    Indented,
    /// JSON without white space, with chunked transfer coding.
    Chunked,
}

/// How the bytes of an answer are delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// All bytes at once.
    #[default]
    AtOnce,
    /// Pieces of equal size with a pause after each.
    Paced {
        /// Number of bytes in a piece.
        bytes: usize,
        /// Time between two pieces.
        pause: Duration,
    },
    /// This number of bytes; the rest follows after a call of [`DiscoveryStub::resume`].
    StopAfter(usize),
    /// This number of bytes; then the connection is closed.
    CutAfter(usize),
}

/// An entry for [`DiscoveryStub::set_workers`].
#[derive(Clone, Debug)]
pub struct ListedEndpoint<'a> {
    /// The worker's id.
    pub id: &'a str,
    /// The address at which the worker listens.
    pub address: SocketAddr,
    /// `up`, `draining` or `removed`.
    pub phase: &'a str,
}

/// An entry of the list. Entries in phase `removed` are kept so that changes can report them.
struct ListedWorker {
    /// The revision of the list at which this entry was last changed.
    revision: u64,
    /// The entry as it is sent.
    member: Value,
}

impl ListedWorker {
    fn id(&self) -> &str {
        self.member["id"].as_str().unwrap_or_default()
    }

    fn is_up(&self) -> bool {
        self.member["phase"] == "up"
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    workers: Vec<ListedWorker>,
    form: AnswerForm,
    delivery: Delivery,
    /// Whether changes are answered with the whole list.
    sends_whole_lists: bool,
    /// Number of calls of [`DiscoveryStub::resume`].
    resume_count: u64,
    is_down: bool,
    /// Number of answers whose transmission has started.
    answers: usize,
    /// Whether lists are pushed. A change then counts as reported when it is made, or when an outage ends, instead of
    /// when an answer reports it.
    pushes_lists: bool,
    /// For each worker that is not up, by its id: when discovery first reported that.
    notices: HashMap<String, Instant>,
}

/// A stub of discovery, which serves until the program exits.
#[derive(Clone)]
pub struct DiscoveryStub {
    /// The address at which it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// An answer before its encoding.
struct Answer {
    body: Value,
    /// The ids of the workers that the answer reports as not up.
    not_up: Vec<String>,
}

impl DiscoveryStub {
    /// Starts a stub with an empty list on a free port.
    ///
    /// # Panics
    /// The listener cannot be bound.
    pub fn start() -> Self {
        let (listener, address) = listen();
        let discovery = DiscoveryStub {
            address,
            state: Arc::default(),
        };
        serve_connections(listener, discovery.clone(), DiscoveryStub::serve);
        discovery
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the lock is not poisoned")
    }

    /// Sets the entry of a worker and moves it to the end of the list; `phase` is `up`, `draining` or `removed`.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn set_worker(&self, id: &str, address: SocketAddr, phase: &str) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let member = member(id, address, phase, state.workers.len() / 3);
        state.workers.retain(|worker| worker.member["id"] != id);
        state.workers.push(ListedWorker { revision, member });
        state.forget_notices([id]);
        self.state.1.notify_all();
    }

    /// Sets the entries of several workers in one revision and moves them to the end of the list, in this order.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn set_workers(&self, endpoints: &[ListedEndpoint]) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let ids: HashSet<&str> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        let is_changed = |worker: &ListedWorker| ids.contains(worker.id());
        state.workers.retain(|worker| !is_changed(worker));
        for endpoint in endpoints {
            let cell = state.workers.len() / 3;
            let member = member(endpoint.id, endpoint.address, endpoint.phase, cell);
            state.workers.push(ListedWorker { revision, member });
        }
        state.forget_notices(ids);
        state.push_notices();
        self.state.1.notify_all();
    }

    /// Sets the encoding and the delivery of later answers.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn set_answers(&self, form: AnswerForm, delivery: Delivery) {
        let mut state = self.state();
        (state.form, state.delivery) = (form, delivery);
    }

    /// Sets whether later long polls are answered with the whole list instead of the changes.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn set_whole_lists(&self, whole_lists: bool) {
        self.state().sends_whole_lists = whole_lists;
    }

    /// Sends the rest of the answers that [`Delivery::StopAfter`] has stopped.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn resume(&self) {
        self.state().resume_count += 1;
        self.state.1.notify_all();
    }

    /// Starts or ends an outage. During an outage every request ends with a closed connection and no answer.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state();
        state.is_down = is_down;
        state.push_notices();
        self.state.1.notify_all();
    }

    /// Returns the number of answers whose transmission has started.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn answers(&self) -> usize {
        self.state().answers
    }

    /// Returns when discovery first reported that a worker is not up: the time of the first answer that says so or, if
    /// lists are pushed, the time of the change. `None` if the worker is up or the change was not reported yet.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn notice(&self, id: &str) -> Option<Instant> {
        self.state().notices.get(id).copied()
    }

    /// Treats lists as pushed from now on: a change counts as reported when it is made or, if it is made during an
    /// outage, when the outage ends.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn push_lists(&self) {
        self.state().pushes_lists = true;
    }

    /// Clears the times that [`DiscoveryStub::notice`] returns, since a new process of the node has not received the
    /// earlier answers. If lists are pushed, the current state counts as reported now.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn forget_notices(&self) {
        let mut state = self.state();
        state.notices.clear();
        state.push_notices();
    }

    /// Returns the whole list, encoded as discovery sends it.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn endpoint_list(&self) -> Value {
        self.state().whole_list().body
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let number = |name| request.query(name)?.parse::<u64>().ok();
            let answer = match number("after") {
                None => Some(self.state().whole_list()),
                Some(after) => self.changes(after, number("wait_ms").unwrap_or(0)),
            };
            if answer
                .and_then(|answer| self.write(&mut stream, &answer))
                .is_none()
            {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Waits up to `wait_ms` for a revision after `after` and returns the changes. `None` if an outage starts.
    fn changes(&self, after: u64, wait_ms: u64) -> Option<Answer> {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let mut state = self.state();
        while state.revision <= after && !state.is_down {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("the lock is not poisoned").0;
        }
        let sends_whole_list = state.sends_whole_lists && state.revision > after;
        let answer = || {
            if sends_whole_list {
                state.whole_list()
            } else {
                state.changes_after(after)
            }
        };
        (!state.is_down).then(answer)
    }

    /// Writes an answer with the current encoding and delivery. `None` if the connection must be closed.
    fn write(&self, stream: &mut TcpStream, answer: &Answer) -> Option<()> {
        let (form, delivery, resume_count) = {
            let mut state = self.state();
            if state.is_down {
                return None;
            }
            state.answers += 1;
            let now = Instant::now();
            for id in &answer.not_up {
                state.notices.entry(id.clone()).or_insert(now);
            }
            (state.form, state.delivery, state.resume_count)
        };
        let bytes = encode(form, &answer.body);
        match delivery {
            Delivery::AtOnce => stream.write_all(&bytes).ok(),
            Delivery::Paced { bytes: size, pause } => {
                for piece in bytes.chunks(size.max(1)) {
                    stream.write_all(piece).ok()?;
                    std::thread::sleep(pause);
                }
                Some(())
            }
            Delivery::StopAfter(length) => {
                let (first, rest) = bytes.split_at(length.min(bytes.len()));
                stream.write_all(first).ok()?;
                if rest.is_empty() {
                    return Some(());
                }
                let state = self.state();
                let stopped = |state: &mut State| state.resume_count == resume_count;
                drop(self.state.1.wait_while(state, stopped));
                stream.write_all(rest).ok()
            }
            Delivery::CutAfter(length) => {
                let _ = stream.write_all(&bytes[..length.min(bytes.len())]);
                None
            }
        }
    }
}

impl State {
    /// If lists are pushed and there is no outage, records that the current state was reported.
    fn push_notices(&mut self) {
        if !self.pushes_lists || self.is_down {
            return;
        }
        let now = Instant::now();
        let not_up = self.workers.iter().filter(|worker| !worker.is_up());
        for worker in not_up {
            let id = worker.id().to_owned();
            self.notices.entry(id).or_insert(now);
        }
    }

    /// Forgets when these workers were first reported as not up.
    fn forget_notices<'a>(&mut self, ids: impl IntoIterator<Item = &'a str>) {
        for id in ids {
            self.notices.remove(id);
        }
    }

    fn whole_list(&self) -> Answer {
        let workers = self.workers.iter();
        let present = workers.filter(|worker| worker.member["phase"] != "removed");
        // A removed worker is missing in a whole list, which also reports that it is not up.
        let not_up = self.workers.iter().filter(|worker| !worker.is_up());
        self.answer(true, present, not_up)
    }

    fn changes_after(&self, after: u64) -> Answer {
        let newer = |worker: &&ListedWorker| worker.revision > after;
        let changed = self.workers.iter().filter(newer);
        let not_up = changed.clone().filter(|worker| !worker.is_up());
        self.answer(false, changed, not_up)
    }

    /// An answer with these entries. `complete` marks a whole list, and `not_up` are the workers that the answer
    /// reports as not up.
    fn answer<'a>(
        &self,
        complete: bool,
        workers: impl Iterator<Item = &'a ListedWorker>,
        not_up: impl Iterator<Item = &'a ListedWorker>,
    ) -> Answer {
        let members: Vec<&Value> = workers.map(|worker| &worker.member).collect();
        let id = |worker: &ListedWorker| worker.id().to_owned();
        Answer {
            body: json!({"revision": self.revision, "complete": complete, "members": members}),
            not_up: not_up.map(id).collect(),
        }
    }
}

/// The JSON form of an entry.
fn member(id: &str, address: SocketAddr, phase: &str, cell: usize) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "east", "flavor": "std",
        "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Encodes the head and the body of an answer.
fn encode(form: AnswerForm, body: &Value) -> Vec<u8> {
    let text = match form {
        AnswerForm::Indented => serde_json::to_string_pretty(body).unwrap_or_default(),
        AnswerForm::Compact | AnswerForm::Chunked => body.to_string(),
    };
    if form != AnswerForm::Chunked {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        return (head + &text).into_bytes();
    }
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in text.as_bytes().chunks(CHUNK_BYTES) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}
