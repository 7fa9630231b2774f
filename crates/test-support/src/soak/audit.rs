//! Judges what the clients and submitters of a soak test see by the platform's rules.

use super::{JobAnswer, JobConnection, JobRequest, ReceiveError, StallMeter};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The platform's rule counts an answer that is later than the deadline by more than this as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long a node may leave a connection half open that it has ended with bytes unread. It is reset after that.
const RESET_TIMEOUT: Duration = Duration::from_millis(4500);

/// How a request ended, as far as the platform's rules allow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Status 200 with a worker's result.
    Served,
    /// Status 429 or 503.
    Rejected,
    /// Any other status.
    Failed,
    /// The node closed the connection between two requests and has not read the request, which is sent once more.
    CrossedClose,
    /// As [`Outcome::CrossedClose`] on a new connection, while idle clients hold all descriptors.
    ShutUnread,
    /// The process that had the request was killed without a warning.
    LostToCrash,
}

/// What the test does with the node.
#[derive(Debug, Default)]
pub struct NodeState {
    /// Whether new connections may be opened: the platform opens none from some 0.2 to 0.4 s after the SIGTERM of a
    /// restart until the node is ready again.
    pub accepts_connections: AtomicBool,
    /// Whether idle clients hold all of the node's descriptors.
    pub is_crowded: AtomicBool,
    /// Whether the run is over.
    pub is_over: Arc<AtomicBool>,
}

#[derive(Default)]
struct Findings {
    outcomes: BTreeMap<Outcome, usize>,
    faults: Vec<String>,
    /// When processes were killed without a warning.
    crashes: Vec<Instant>,
    /// The requests that the node has not read, according to [`Outcome::CrossedClose`].
    unread: BTreeSet<String>,
    /// Threads that wait for a connection to be reset.
    proofs: Vec<JoinHandle<()>>,
}

/// A request whose connection ended without an answer.
pub(super) struct UnansweredRequest {
    pub(super) request: JobRequest,
    /// When its last piece was sent.
    pub(super) began: Instant,
    pub(super) connection: JobConnection,
    /// When its client last began to look whether the connection is open, before it sent the request.
    pub(super) seen_open_at: Instant,
    /// Whether the connection had stood open for long, so that the node may have closed it as an idle one.
    pub(super) has_rested: bool,
}

/// Collects outcomes and faults of all clients of a run.
pub struct Audit {
    /// What the test does with the node.
    pub node: NodeState,
    /// The stalls of this machine.
    pub stalls: StallMeter,
    began_at: Instant,
    findings: Mutex<Findings>,
}

impl Audit {
    /// Creates an audit and starts its stall meter.
    pub fn start() -> Arc<Self> {
        let node = NodeState::default();
        node.accepts_connections.store(true, Ordering::SeqCst);
        Arc::new(Audit {
            stalls: StallMeter::start(node.is_over.clone()),
            node,
            began_at: Instant::now(),
            findings: Mutex::default(),
        })
    }

    fn findings(&self) -> MutexGuard<'_, Findings> {
        self.findings.lock().expect("the lock is not poisoned")
    }

    /// Records a fault, with the time since the start of the run.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn fault(&self, fault: String) {
        let at = self.began_at.elapsed().as_millis();
        self.findings().faults.push(format!("{at} ms {fault}"));
    }

    /// Kills a process without a warning by this function. Requests that are open before it has ended may be lost.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn crash(&self, kill: impl FnOnce()) {
        self.findings().crashes.push(Instant::now());
        kill();
        self.findings().crashes.push(Instant::now());
    }

    /// Returns whether a process was killed without a warning since this moment.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn has_crashed_since(&self, moment: Instant) -> bool {
        self.findings().crashes.iter().any(|crash| *crash >= moment)
    }

    fn count(&self, outcome: Outcome) {
        *self.findings().outcomes.entry(outcome).or_default() += 1;
    }

    /// Judges an answer.
    pub(super) fn judge_answer(&self, request: &JobRequest, began: Instant, answer: &JobAnswer) {
        let (took, txn) = (began.elapsed(), &request.txn);
        let stalled = self.stalls.between(began, Instant::now());
        if took > request.time_left + ANSWER_SLACK + stalled {
            let limit = request.time_left;
            self.fault(format!(
                "late: {txn} was answered after {took:?}, its client waits {limit:?}"
            ));
        }
        let outcome = match answer.status {
            200 => Outcome::Served,
            429 | 503 => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        let result = super::job_plan::result(&request.target());
        if outcome == Outcome::Served && answer.body != result.as_bytes() {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            self.fault(format!(
                "result: {txn} was served with '{body}', its workers made '{result}'"
            ));
        }
        if outcome == Outcome::Rejected && answer.retry_after.is_none() {
            let status = answer.status;
            self.fault(format!(
                "retry-after: {txn} was rejected with {status} without Retry-After"
            ));
        }
        self.count(outcome);
    }

    /// Judges a request without an answer. `end` is how its connection ended after the request was written to it.
    pub(super) fn judge_unanswered(
        self: &Arc<Self>,
        unanswered: UnansweredRequest,
        end: &ReceiveError,
    ) {
        let began = unanswered.began;
        let is_new = !unanswered.connection.was_used();
        let open_since = if is_new {
            unanswered.seen_open_at
        } else {
            began
        };
        if self.has_crashed_since(open_since) {
            return self.count(Outcome::LostToCrash);
        }
        let UnansweredRequest {
            request,
            connection,
            has_rested,
            ..
        } = unanswered;
        let may_rest = has_rested.then_some(Outcome::CrossedClose);
        let allowed = may_rest.or_else(|| self.allowed_close(&connection));
        let description = format!("{} after {:?}: {end}", request.txn, began.elapsed());
        match (end, allowed) {
            (ReceiveError::Reset { received: 0, .. }, Some(outcome)) => {
                self.record_unread(&request, outcome);
            }
            (ReceiveError::Ended { received: 0 }, Some(outcome)) => {
                self.prove_unread(request, connection, outcome, description);
            }
            (_, Some(_)) => self.fault(format!("lost: {description}, on a reused connection")),
            (_, None) => self.fault(format!("lost: {description}, on a new connection")),
        }
    }

    /// Judges a request that could not be written to its end on a connection that was seen open.
    pub(super) fn judge_unsent(
        &self,
        request: &JobRequest,
        seen_open_at: Instant,
        connection: &JobConnection,
    ) {
        if self.has_crashed_since(seen_open_at) {
            return self.count(Outcome::LostToCrash);
        }
        match self.allowed_close(connection) {
            Some(outcome) => self.record_unread(request, outcome),
            None => self.fault(format!(
                "lost: the new connection for {} broke",
                request.txn
            )),
        }
    }

    /// Judges a connection that was refused or broke while new ones should be accepted.
    pub(super) fn judge_refused(&self, began: Instant, error: &std::io::Error) {
        let may_connect = self.node.accepts_connections.load(Ordering::SeqCst);
        let is_crowded = self.node.is_crowded.load(Ordering::SeqCst);
        if may_connect && !is_crowded && !self.has_crashed_since(began) {
            self.fault(format!("refused: a new connection failed: {error}"));
        }
    }

    /// Judges a new connection that the node has closed before the first request on it.
    pub(super) fn judge_closed_unused(&self, opened_at: Instant) {
        let is_crowded = self.node.is_crowded.load(Ordering::SeqCst);
        if !is_crowded && !self.has_crashed_since(opened_at) {
            let age = opened_at.elapsed();
            self.fault(format!(
                "refused: a new connection was closed within {age:?}"
            ));
        }
    }

    /// The outcome of a request that the node has not read, if it may close this connection before reading it.
    fn allowed_close(&self, connection: &JobConnection) -> Option<Outcome> {
        if connection.was_used() {
            return Some(Outcome::CrossedClose);
        }
        let is_crowded = self.node.is_crowded.load(Ordering::SeqCst);
        is_crowded.then_some(Outcome::ShutUnread)
    }

    fn record_unread(&self, request: &JobRequest, outcome: Outcome) {
        self.findings().unread.insert(request.txn.clone());
        self.count(outcome);
    }

    /// Waits on another thread for the reset that shows that the node has left the request unread. Without one, it has
    /// read the request and closed its connection.
    fn prove_unread(
        self: &Arc<Self>,
        request: JobRequest,
        connection: JobConnection,
        outcome: Outcome,
        description: String,
    ) {
        let audit = self.clone();
        let proof = std::thread::spawn(move || {
            let ended_at = Instant::now();
            if connection.is_reset_within(RESET_TIMEOUT) {
                audit.record_unread(&request, outcome);
            } else if audit.has_crashed_since(ended_at) {
                audit.count(Outcome::LostToCrash);
            } else {
                audit.fault(format!(
                    "lost: {description}; it was read, since no reset followed"
                ));
            }
        });
        self.findings().proofs.push(proof);
    }

    /// Waits for open proofs, and returns the requests that the node has not read.
    ///
    /// # Panics
    /// Another thread has panicked.
    pub fn take_unread(&self) -> BTreeSet<String> {
        let proofs = std::mem::take(&mut self.findings().proofs);
        for proof in proofs {
            proof.join().expect("the thread does not panic");
        }
        std::mem::take(&mut self.findings().unread)
    }

    /// Returns the faults found so far.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn take_faults(&self) -> Vec<String> {
        std::mem::take(&mut self.findings().faults)
    }

    /// Describes how many requests had which outcome.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn summary(&self) -> String {
        let mut text = String::new();
        for (outcome, count) in &self.findings().outcomes {
            let _ = write!(text, "{outcome:?} {count} ");
        }
        text.trim_end().to_owned()
    }
}
