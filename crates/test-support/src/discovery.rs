//! A stub of the platform's discovery. It serves the whole list of endpoints and answers long polls for changes. A test
//! sets the encoding of its answers and how their bytes are delivered.

use crate::accept::{listen, serve_connections};
use crate::discovery_answer::{encode, member, Answer, AnswerForm, EncodedAnswer, ListedWorker};
use crate::discovery_state::{NodeConnection, State};
use crate::http;
use crate::notices::{ProcessRecord, ReportsAround};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Upper bound on `wait_ms`, the time that a long poll waits for a change.
const MAX_WAIT_MS: u64 = 60_000;
/// Time limit of every wait of a test. It is far longer than a wait takes unless the test fails.
const TIMEOUT: Duration = Duration::from_secs(30);

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

/// A stub of discovery, which serves until the program exits.
#[derive(Clone)]
pub struct DiscoveryStub {
    /// The address at which it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl DiscoveryStub {
    /// Starts a stub with an empty list on a free port.
    ///
    /// # Panics
    /// The listener cannot be bound.
    pub fn start() -> Self {
        let mut discovery = DiscoveryStub {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            state: Arc::default(),
        };
        discovery.address = discovery.begin_process();
        discovery
    }

    /// Opens a listener for a process of the node that is about to start, and returns its address. What is told from now
    /// on to this address is recorded apart from what earlier processes were told. If lists are pushed, the process is
    /// told the current list at once.
    ///
    /// # Panics
    /// The listener cannot be bound, or another thread has panicked while it held the lock.
    pub fn begin_process(&self) -> SocketAddr {
        let (listener, address) = listen();
        let mut state = self.state();
        let process = state.processes.len();
        state.processes.push(ProcessRecord::new());
        state.tell_pushed_lists();
        drop(state);
        let discovery = self.clone();
        serve_connections(
            listener,
            (discovery, process),
            |(discovery, process), stream| {
                discovery.accept(*process, stream);
            },
        );
        address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the lock is not poisoned")
    }

    /// Sets the entry of a worker and moves it to the end of the list; `phase` is `up`, `draining` or `removed`.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn set_worker(&self, id: &str, address: SocketAddr, phase: &str) {
        self.set_workers(&[ListedEndpoint { id, address, phase }]);
    }

    /// Sets the entries of several workers in one revision and moves them to the end of the list, in this order. A
    /// worker that was listed before stays in its cell.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn set_workers(&self, endpoints: &[ListedEndpoint]) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let ids: HashSet<&str> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        let is_changed = |worker: &ListedWorker| ids.contains(worker.id());
        let changed = state.workers.iter().filter(|worker| is_changed(worker));
        let cells: HashMap<String, u64> = changed
            .map(|worker| (worker.id().to_owned(), worker.cell()))
            .collect();
        state.workers.retain(|worker| !is_changed(worker));
        for endpoint in endpoints {
            let cell = cells.get(endpoint.id).copied();
            let cell = cell.unwrap_or(state.workers.len() as u64 / 3);
            let member = member(endpoint.id, endpoint.address, endpoint.phase, cell);
            state.workers.push(ListedWorker { revision, member });
        }
        state.tell_pushed_lists();
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
        state.tell_pushed_lists();
        self.state.1.notify_all();
    }

    /// Starts or ends holding answers between their composition and their first byte.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn hold_answers(&self, holds: bool) {
        self.state().holds_answers = holds;
        self.state.1.notify_all();
    }

    /// Waits until this number of answers is held.
    ///
    /// # Panics
    /// The answers are not composed within the time limit, or another thread has panicked while it held the lock.
    pub fn wait_for_held_answers(&self, count: usize) {
        let is_missing = |state: &mut State| state.held_answers < count;
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), TIMEOUT, is_missing);
        let result = waited.expect("the lock is not poisoned").1;
        assert!(
            !result.timed_out(),
            "{count} answers are not held within {TIMEOUT:?}"
        );
    }

    /// Returns the number of answers whose transmission has started.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn answers(&self) -> usize {
        self.state().answers
    }

    /// Returns since when the process that was started last has known that a worker is not up: the time of the first
    /// answer that says so or, if lists are pushed, of the change. `None` if the worker is up or that was not told yet.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn notice(&self, id: &str) -> Option<Instant> {
        self.notice_at(id, Instant::now())
    }

    /// Returns what [`DiscoveryStub::notice`] would have returned at this moment.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn notice_at(&self, id: &str, moment: Instant) -> Option<Instant> {
        let state = self.state();
        let process = state.process_at(moment)?;
        process.not_up_since(id, moment)
    }

    /// Returns since when a process had known at this moment that a worker is not up. `process` counts the calls of
    /// [`DiscoveryStub::begin_process`], the one of [`DiscoveryStub::start`] included, from 0.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn process_notice_at(&self, process: usize, id: &str, moment: Instant) -> Option<Instant> {
        let state = self.state();
        state.processes.get(process)?.not_up_since(id, moment)
    }

    /// Describes all that the process of this moment was told about a worker, for a failure message.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn describe_reports(&self, id: &str, moment: Instant) -> String {
        let state = self.state();
        let process = state.process_at(moment);
        let reports = process.map_or(&[][..], |process| process.reports(id));
        ReportsAround { reports, moment }.to_string()
    }

    /// Treats lists as pushed from now on: a change counts as told when it is made or, if it is made during an outage,
    /// when the outage ends.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn push_lists(&self) {
        let mut state = self.state();
        state.pushes_lists = true;
        state.tell_pushed_lists();
    }

    /// Returns the whole list, encoded as discovery sends it.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn endpoint_list(&self) -> Value {
        self.state().whole_list().body
    }

    fn accept(&self, process: usize, stream: TcpStream) {
        let mut state = self.state();
        state.connections += 1;
        let number = state.connections;
        drop(state);
        self.serve(NodeConnection {
            stream,
            process,
            number,
        });
    }

    fn serve(&self, mut connection: NodeConnection) {
        let _ = connection.stream.set_nodelay(true);
        let Ok(reader) = connection.stream.try_clone() else {
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
                .and_then(|answer| self.write(&mut connection, &answer))
                .is_none()
            {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
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

    /// Waits while answers are held before their first byte.
    fn wait_while_held(&self) {
        let mut state = self.state();
        if !state.holds_answers {
            return;
        }
        state.held_answers += 1;
        self.state.1.notify_all();
        let waited = self.state.1.wait_while(state, |state| state.holds_answers);
        waited.expect("the lock is not poisoned").held_answers -= 1;
    }

    /// Writes an answer with the current encoding and delivery. `None` if the connection must be closed.
    fn write(&self, connection: &mut NodeConnection, answer: &Answer) -> Option<()> {
        self.wait_while_held();
        let (form, delivery, resume_count) = {
            let mut state = self.state();
            if state.is_down {
                return None;
            }
            state.answers += 1;
            state.tell_not_up(connection, answer);
            (state.form, state.delivery, state.resume_count)
        };
        let encoded = encode(form, &answer.body);
        let length = encoded.bytes.len();
        let mut writer = AnswerWriter {
            discovery: self,
            connection,
            answer,
            encoded,
            written: 0,
            told: 0,
        };
        match delivery {
            Delivery::AtOnce => writer.write_up_to(length),
            Delivery::Paced { bytes, pause } => {
                while writer.written < length {
                    writer.write_up_to(writer.written + bytes.max(1))?;
                    std::thread::sleep(pause);
                }
                Some(())
            }
            Delivery::StopAfter(first) => {
                writer.write_up_to(first)?;
                if first >= length {
                    return Some(());
                }
                let stopped = |state: &mut State| state.resume_count == resume_count;
                drop(self.state.1.wait_while(self.state(), stopped));
                writer.write_up_to(length)
            }
            Delivery::CutAfter(first) => {
                let _ = writer.write_up_to(first);
                None
            }
        }
    }
}

/// Writes the bytes of an answer, and records that a worker is up when the last byte of its entry is about to be
/// written.
struct AnswerWriter<'a> {
    discovery: &'a DiscoveryStub,
    connection: &'a mut NodeConnection,
    answer: &'a Answer,
    encoded: EncodedAnswer,
    /// Number of bytes written.
    written: usize,
    /// Number of entries written.
    told: usize,
}

impl AnswerWriter<'_> {
    /// Writes the bytes up to this offset, or all that are left. `None` if the connection is broken.
    fn write_up_to(&mut self, offset: usize) -> Option<()> {
        let offset = offset.clamp(self.written, self.encoded.bytes.len());
        let complete = self
            .encoded
            .entry_ends
            .partition_point(|end| *end <= offset);
        let entries = &self.answer.told[self.told..complete];
        let mut state = self.discovery.state();
        state.tell(
            self.connection,
            self.answer,
            entries.iter().filter(|entry| entry.is_up),
        );
        drop(state);
        let bytes = &self.encoded.bytes[self.written..offset];
        (self.written, self.told) = (offset, complete);
        self.connection.stream.write_all(bytes).ok()
    }
}
