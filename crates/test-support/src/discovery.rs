//! A stand-in for the platform's discovery: the whole list, watches on its changes, and the ways in which answers may
//! come.

use crate::accept::{listen, serve_connections};
use crate::http;
use serde_json::{json, Value};
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The longest that a watch waits.
const MAX_WAIT_MS: u64 = 60_000;
/// The bytes of a chunk, where answers come in chunks.
const CHUNK_BYTES: usize = 4000;

/// The form of an answer's body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerForm {
    /// JSON without white space, its length in the head.
    #[default]
    Compact,
    /// Indented JSON, its length in the head.
    Indented,
    /// JSON without white space, in chunks.
    Chunked,
}

/// How the bytes of an answer come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// All at once.
    #[default]
    AtOnce,
    /// So many bytes, and then the same number again after each pause.
    Paced {
        /// The bytes of a piece.
        bytes: usize,
        /// The time between two pieces.
        pause: Duration,
    },
    /// So many bytes; the rest after [`DiscoveryStub::resume`].
    StopAfter(usize),
    /// So many bytes, and then the end of the connection.
    CutAfter(usize),
}

/// An entry of the list, as a test sets it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint<'a> {
    /// The worker's id.
    pub id: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// `up`, `draining` or `removed`.
    pub phase: &'a str,
}

struct ListedWorker {
    /// The revision of its last change.
    revision: u64,
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
    /// Changes come as whole lists.
    sends_whole_lists: bool,
    /// Counts the calls of [`DiscoveryStub::resume`].
    resumed: u64,
    is_down: bool,
    /// How many answers were begun.
    answers: usize,
    /// A change counts as told when it is made, or when discovery is back, not when it is written.
    pushes: bool,
    /// When it was first told that a worker is not up, by its id; as long as it is not.
    notices: HashMap<String, Instant>,
}

/// The stand-in; it serves until the program ends.
#[derive(Clone)]
pub struct DiscoveryStub {
    /// Where to connect.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// An answer that is to be written.
struct Answer {
    body: Value,
    /// The ids of the workers that it says are not up.
    not_up: Vec<String>,
}

impl DiscoveryStub {
    /// Listens on a free port, with an empty list.
    ///
    /// # Panics
    /// No port is free.
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
        self.state.0.lock().expect("no panic holds it")
    }

    /// Sets a worker's entry; `phase` is `up`, `draining` or `removed`.
    ///
    /// # Panics
    /// A thread has panicked before.
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

    /// Sets the entries of many workers in one change of the list; they come last, in this order.
    ///
    /// # Panics
    /// A thread has panicked before.
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

    /// From now on answers have this form, and come in this way.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn set_answers(&self, form: AnswerForm, delivery: Delivery) {
        let mut state = self.state();
        (state.form, state.delivery) = (form, delivery);
    }

    /// From now on changes come as whole lists, or as changes again.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn set_whole_lists(&self, whole: bool) {
        self.state().sends_whole_lists = whole;
    }

    /// Has the answers go on that have stopped.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn resume(&self) {
        self.state().resumed += 1;
        self.state.1.notify_all();
    }

    /// Goes down: connections end, and new ones end at once; or comes back.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state();
        state.is_down = is_down;
        state.push_notices();
        self.state.1.notify_all();
    }

    /// How many answers were begun.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn answers(&self) -> usize {
        self.state().answers
    }

    /// When it was first told that a worker is not up: by the first byte of an answer, or where lists are pushed by the
    /// change itself. None while it is up, or nothing was told.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn notice(&self, id: &str) -> Option<Instant> {
        self.state().notices.get(id).copied()
    }

    /// From now on lists count as pushed: a change is told when it is made, or when discovery is back.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn push_lists(&self) {
        self.state().pushes = true;
    }

    /// Forgets what was told before of workers that are not up: a new process has not heard it, but where lists are
    /// pushed, which counts from its start.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn forget_notices(&self) {
        let mut state = self.state();
        state.notices.clear();
        state.push_notices();
    }

    /// The whole list in discovery's form.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn endpoint_list(&self) -> Value {
        self.state().whole_list().body
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reading = BufReader::new(reading);
        while let Ok(Some(request)) = http::read(&mut reading) {
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

    /// Waits for changes after this revision. None where discovery goes down.
    fn changes(&self, after: u64, wait_ms: u64) -> Option<Answer> {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let mut state = self.state();
        while state.revision <= after && !state.is_down {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("no panic holds it").0;
        }
        let is_whole = state.sends_whole_lists && state.revision > after;
        let answer = || {
            if is_whole {
                state.whole_list()
            } else {
                state.changes_after(after)
            }
        };
        (!state.is_down).then(answer)
    }

    /// Writes an answer as the test wants it. None where the connection is to end.
    fn write(&self, stream: &mut TcpStream, answer: &Answer) -> Option<()> {
        let (form, delivery, resumed) = {
            let mut state = self.state();
            if state.is_down {
                return None;
            }
            state.answers += 1;
            let now = Instant::now();
            for id in &answer.not_up {
                state.notices.entry(id.clone()).or_insert(now);
            }
            (state.form, state.delivery, state.resumed)
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
                let stopped = |state: &mut State| state.resumed == resumed;
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
    /// Where lists are pushed, all that discovery has is told, unless it is down.
    fn push_notices(&mut self) {
        if !self.pushes || self.is_down {
            return;
        }
        let now = Instant::now();
        let not_up = self.workers.iter().filter(|worker| !worker.is_up());
        for worker in not_up {
            let id = worker.id().to_owned();
            self.notices.entry(id).or_insert(now);
        }
    }

    /// What was said before of these workers is over.
    fn forget_notices<'a>(&mut self, ids: impl IntoIterator<Item = &'a str>) {
        for id in ids {
            self.notices.remove(id);
        }
    }

    fn whole_list(&self) -> Answer {
        let workers = self.workers.iter();
        let present = workers.filter(|worker| worker.member["phase"] != "removed");
        // Who is gone is missing: that says as much.
        let not_up = self.workers.iter().filter(|worker| !worker.is_up());
        self.answer(true, present, not_up)
    }

    fn changes_after(&self, after: u64) -> Answer {
        let newer = |worker: &&ListedWorker| worker.revision > after;
        let changed = self.workers.iter().filter(newer);
        let not_up = changed.clone().filter(|worker| !worker.is_up());
        self.answer(false, changed, not_up)
    }

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

fn member(id: &str, address: SocketAddr, phase: &str, cell: usize) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "east", "flavor": "std",
        "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// An answer's head and body.
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
