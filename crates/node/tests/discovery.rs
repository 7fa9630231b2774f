//! Simulates the discovery clients of 300 nodes in virtual time, with one discovery service that handles calls one
//! after another. The test computes the deadlines of the platform's rule independently, from the protocol page: no node
//! may treat a drained worker as usable past them.

use marbledeck_dispatcher::Micros;
use marbledeck_node::discovery::{Fault, Query, StalenessTracker};
use std::collections::VecDeque;

const NODES: usize = 300;
const GRACE: Micros = Micros(400_000);
/// Tolerance that the rule adds to its deadlines on sockets.
const SLACK: Micros = Micros(50_000);
const STEP: Micros = Micros(1_000);
/// One worker drains per this many steps.
const STEPS_PER_CHANGE: u64 = 500;
/// A call that has been queued for longer fails.
const QUEUE_TIMEOUT: Micros = Micros(1_000_000);
/// Seconds after which the rule counts a node as notified of a change that discovery has.
const NOTIFICATION_DELAY: f64 = 6.0;
/// Seconds after a move to another discovery service at which the rule counts a node as notified of all changes.
const MOVE_DELAY: f64 = 4.0;

fn secs(secs: f64) -> Micros {
    Micros::from_secs_f64(secs)
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// The call waits in discovery's queue.
    Queued,
    /// Discovery holds the call until something changes.
    Held,
    /// The call is never answered.
    Silent,
}

/// A call to discovery that has not ended.
struct OpenCall {
    started: Micros,
    query: Query,
    /// The number of changes that the node knew when it called.
    known_changes: usize,
    stage: Stage,
}

struct Node {
    staleness: StalenessTracker,
    call: Option<OpenCall>,
    /// The time of the next call.
    next_call: Option<Micros>,
    /// The number of changes that the node knows.
    known_changes: usize,
    /// After a move, the time at which the rule counts the node as notified of all changes.
    move_deadline: Option<Micros>,
}

/// The schedule of faults in a simulated run; times are in seconds from its start.
struct Scenario {
    /// Calls per second that discovery handles.
    capacity: f64,
    /// Times at which all open watches fall silent.
    silent: Vec<f64>,
    /// Start and end of an outage of discovery, which ends its watches and accepts no connection.
    down: Option<(f64, f64)>,
    /// Start and end of a time in which discovery is reachable but answers all calls, its watches among them, with 503.
    refuses: Option<(f64, f64)>,
    /// Start and end of a time in which discovery sends no answer at all.
    mute: Option<(f64, f64)>,
    /// Time at which all nodes move to another discovery service, which has one more change.
    moved: Option<f64>,
    /// Whether lists are pushed; the nodes then start with an outdated one.
    pushed: bool,
    length: f64,
}

/// A run without faults.
const NO_FAULTS: Scenario = Scenario {
    capacity: 900.0,
    silent: Vec::new(),
    down: None,
    refuses: None,
    mute: None,
    moved: None,
    pushed: false,
    length: 30.0,
};

struct Findings {
    /// Nodes that trusted a list past the rule's deadline, each with the first such time.
    late: Vec<(usize, Micros)>,
    /// Node-seconds during which a list was not trusted.
    distrusted: f64,
}

/// Whether this step is the last one before `time`.
fn is_last_step_before(time: f64, now: Micros) -> bool {
    now < secs(time) && now + STEP >= secs(time)
}

fn is_within(span: Option<(f64, f64)>, now: Micros) -> bool {
    span.is_some_and(|(from, to)| now >= secs(from) && now < secs(to))
}

/// The conditions at one step of a run.
struct Conditions {
    now: Micros,
    down: bool,
    /// Start of the current outage of discovery.
    down_since: Option<Micros>,
    mute: bool,
    refuses: bool,
    /// Whether the nodes move at this step.
    moves: bool,
    /// Whether held watches fall silent at this step.
    falls_silent: bool,
    /// The number of changes that discovery has.
    changes: usize,
}

/// The state of a simulated run.
struct Simulation<'a> {
    scenario: &'a Scenario,
    nodes: Vec<Node>,
    /// Queued calls: their nodes and start times.
    queue: VecDeque<(usize, Micros)>,
    /// The time from which discovery had each change and was reachable; none for a pushed list, of which a node counts
    /// as notified from the start.
    changes: Vec<Option<Micros>>,
    /// The number of calls that discovery can handle now.
    credit: f64,
    findings: Findings,
}

/// Runs a simulation in which a worker drains every half second, and checks each node against the rule at every step.
fn simulate(scenario: &Scenario, seed: u64) -> Findings {
    let mut simulation = Simulation::new(scenario, seed);
    let mut now = Micros(0);
    while now < secs(scenario.length) {
        simulation.step(now);
        now = now + STEP;
    }
    simulation.findings
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let node = |n| Node {
            staleness: StalenessTracker::new(Micros(0), GRACE, scenario.pushed, seed * 1000 + n),
            call: None,
            next_call: Some(Micros(0)),
            known_changes: 0,
            move_deadline: None,
        };
        let pushed = if scenario.pushed {
            vec![None]
        } else {
            Vec::new()
        };
        Simulation {
            scenario,
            nodes: (0..NODES as u64).map(node).collect(),
            queue: VecDeque::new(),
            changes: pushed,
            credit: 0.0,
            findings: Findings {
                late: Vec::new(),
                distrusted: 0.0,
            },
        }
    }

    fn step(&mut self, now: Micros) {
        let conditions = self.begin_step(now);
        self.handle_queue(&conditions);
        for n in 0..NODES {
            let node = &mut self.nodes[n];
            if conditions.moves {
                node.handle_move(now);
            }
            if let Some(fault) = node.advance_call(&conditions) {
                node.call = None;
                node.next_call = Some(node.staleness.handle_failure(now, fault));
            }
            if node.start_due_call(now) {
                self.queue.push_back((n, now));
            }
            self.check_rule(n, &conditions);
        }
    }

    /// Adds the changes of this step and returns its conditions.
    fn begin_step(&mut self, now: Micros) -> Conditions {
        let scenario = self.scenario;
        let outage = scenario.down.filter(|_| is_within(scenario.down, now));
        let reachable = outage.map_or(now, |(_, to)| secs(to));
        if (now.0 / STEP.0) % STEPS_PER_CHANGE == STEPS_PER_CHANGE / 2 {
            self.changes.push(Some(reachable));
        }
        let moves = scenario
            .moved
            .is_some_and(|time| is_last_step_before(time, now));
        if moves {
            self.changes.push(Some(reachable));
        }
        Conditions {
            now,
            down: outage.is_some(),
            down_since: outage.map(|(from, _)| secs(from)),
            mute: is_within(scenario.mute, now),
            refuses: is_within(scenario.refuses, now),
            moves,
            falls_silent: scenario
                .silent
                .iter()
                .any(|time| is_last_step_before(*time, now)),
            changes: self.changes.len(),
        }
    }

    /// Lets discovery take queued calls, up to its capacity.
    fn handle_queue(&mut self, conditions: &Conditions) {
        let credit_per_step = self.scenario.capacity * STEP.as_secs_f64();
        self.credit = f64::min(self.credit + credit_per_step, 1.0_f64.max(credit_per_step));
        if conditions.down || conditions.refuses || conditions.mute {
            self.queue.clear();
        }
        while self.credit >= 1.0 {
            let Some((n, started)) = self.queue.pop_front() else {
                break;
            };
            // A call that its node has given up still uses capacity.
            self.credit -= 1.0;
            let call = self.nodes[n].call.as_mut();
            let is_open =
                |call: &&mut OpenCall| call.started == started && call.stage == Stage::Queued;
            if let Some(call) = call.filter(is_open) {
                call.stage = Stage::Held;
            }
        }
    }

    /// Checks a node against the rule: whatever became of the calls, it counts as notified of a change
    /// `NOTIFICATION_DELAY` after discovery had that change and was reachable.
    fn check_rule(&mut self, n: usize, conditions: &Conditions) {
        let now = conditions.now;
        let node = &self.nodes[n];
        let next_change = self.changes.get(node.known_changes);
        let notified = next_change.map(|change| match change {
            Some(time) => *time + secs(NOTIFICATION_DELAY),
            None => Micros(0),
        });
        let moved = node.move_deadline.filter(|_| notified.is_some());
        let rule = notified.into_iter().chain(moved).min();
        let expiry = node.staleness.trusted_until();
        let trusted = expiry.is_none_or(|expiry| now < expiry);
        if !trusted {
            self.findings.distrusted += STEP.as_secs_f64();
        }
        let late = rule.is_some_and(|notified| now > notified + GRACE + SLACK);
        let misses_changes = node.known_changes < conditions.changes;
        let found = &mut self.findings.late;
        if late && trusted && misses_changes && !found.iter().any(|(other, _)| *other == n) {
            found.push((n, now));
        }
    }
}

impl Node {
    fn handle_move(&mut self, now: Micros) {
        self.staleness.handle_move(now);
        self.call = None;
        self.next_call = Some(now);
        self.move_deadline = Some(now + secs(MOVE_DELAY));
    }

    /// Answers the node's call if discovery does so now. Returns the fault if the call has failed.
    fn advance_call(&mut self, conditions: &Conditions) -> Option<Fault> {
        let now = conditions.now;
        let mut fault = None;
        if let Some(call) = &mut self.call {
            if conditions.mute || conditions.falls_silent && call.stage == Stage::Held {
                call.stage = Stage::Silent;
            }
            fault = call.fault(conditions);
            if fault.is_none() && call.is_answered(conditions) {
                self.known_changes = conditions.changes;
                self.move_deadline = None;
                self.call = None;
                self.staleness.handle_answer();
                self.next_call = Some(now);
            }
        }
        let deadline = self.staleness.call_deadline();
        let overdue = deadline.is_some_and(|deadline| now >= deadline);
        fault.or(overdue.then_some(Fault::Silent))
    }

    /// Starts the node's next call if it is due. Returns whether a call was started.
    fn start_due_call(&mut self, now: Micros) -> bool {
        let due = self.next_call.is_some_and(|time| now >= time);
        if self.call.is_some() || !due {
            return false;
        }
        let call = self.staleness.next_call(now);
        self.call = Some(OpenCall {
            started: now,
            query: call.query,
            known_changes: self.known_changes,
            stage: Stage::Queued,
        });
        self.next_call = None;
        true
    }
}

impl OpenCall {
    /// The fault with which the call fails under these conditions.
    fn fault(&self, conditions: &Conditions) -> Option<Fault> {
        let connected_before = conditions
            .down_since
            .is_some_and(|since| self.started < since);
        let waited = conditions.now - self.started;
        match self.stage {
            Stage::Queued if conditions.down && connected_before => Some(Fault::Broken),
            Stage::Queued if conditions.down => Some(Fault::Unreachable),
            Stage::Queued if conditions.refuses || waited > QUEUE_TIMEOUT => Some(Fault::Refused),
            Stage::Held if conditions.down => Some(Fault::Broken),
            Stage::Held if conditions.refuses => Some(Fault::Refused),
            Stage::Queued | Stage::Held | Stage::Silent => None,
        }
    }

    /// Whether discovery answers the call now.
    fn is_answered(&self, conditions: &Conditions) -> bool {
        let is_over = match self.query {
            Query::CompleteList => true,
            Query::Changes { wait } => {
                self.known_changes < conditions.changes || conditions.now >= self.started + wait
            }
        };
        self.stage == Stage::Held && is_over
    }
}

/// All watches fall silent at once, at any point of their wait.
#[test]
fn a_silent_watch_is_detected_before_what_it_misses_counts_as_notified() {
    for seed in 1..=3 {
        let silent = vec![3.0 + 0.37 * seed as f64, 14.2];
        let findings = simulate(
            &Scenario {
                silent,
                ..NO_FAULTS
            },
            seed,
        );
        assert!(
            findings.late.is_empty(),
            "seed {seed}: {:?}",
            &findings.late[..findings.late.len().min(5)]
        );
        assert_eq!(
            findings.distrusted, 0.0,
            "seed {seed}: nodes must poll before their lists expire"
        );
    }
}

/// Watches fall silent while discovery handles fewer calls than it gets: 30 or 90 a second for 300 nodes.
#[test]
fn an_overloaded_discovery_leaves_no_drained_worker_usable() {
    for capacity in [30.0, 90.0] {
        let scenario = Scenario {
            capacity,
            silent: vec![5.0, 16.0],
            length: 40.0,
            ..NO_FAULTS
        };
        let findings = simulate(&scenario, 4);
        assert!(
            findings.late.is_empty(),
            "{capacity}: {:?}",
            &findings.late[..findings.late.len().min(5)]
        );
    }
}

/// An outage of discovery of some seconds costs no trust. In a longer one, calls that were still queued may have missed
/// changes that discovery had before.
#[test]
fn a_list_is_trusted_while_discovery_is_down_as_long_as_nothing_can_be_missed() {
    for (length, max_distrusted) in [(3.0, 0.0), (8.0, 5.5)] {
        let down = Some((6.0, 6.0 + length));
        let findings = simulate(&Scenario { down, ..NO_FAULTS }, 5);
        assert!(
            findings.late.is_empty(),
            "{length}: {:?}",
            findings.late.first()
        );
        let each = findings.distrusted / NODES as f64;
        assert!(each <= max_distrusted, "{length}: {each} s a node");
    }
}

/// A held watch misses nothing until its connection breaks, and while connections are refused there are no changes to
/// miss.
#[test]
fn a_list_is_trusted_while_connections_are_refused_after_a_held_watch() {
    let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
    let (mut now, mut fault) = (secs(1.0), Fault::Broken);
    staleness.next_call(now);
    now = now + secs(3.0);
    for _ in 0..40 {
        let next_call = staleness.handle_failure(now, fault);
        let expiry = staleness.trusted_until().expect("the list is in doubt");
        assert!(
            expiry > next_call + secs(2.0),
            "next call at {next_call:?}, trusted until {expiry:?}"
        );
        (now, fault) = (next_call, Fault::Unreachable);
        staleness.next_call(now);
    }
    // A silent call proves nothing about missed changes, so the list expires from then on.
    let silent = staleness.call_deadline().expect("an open call");
    staleness.handle_failure(silent, Fault::Silent);
    let expiry = staleness.trusted_until().expect("the list is in doubt");
    staleness.next_call(silent);
    staleness.handle_failure(silent, Fault::Unreachable);
    assert_eq!(staleness.trusted_until(), Some(expiry));
}

/// A call that is refused soon may have been queued all the time and missed changes since its start. A watch that
/// discovery held and then refused has missed nothing before its end.
#[test]
fn a_list_ages_from_the_start_of_a_refused_call_and_from_the_end_of_a_held_watch() {
    for (call_length, since) in [(1.0, 0.0), (1.3, 1.3)] {
        let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
        staleness.next_call(secs(10.0));
        staleness.handle_failure(secs(10.0 + call_length), Fault::Refused);
        let expiry = secs(10.0 + since + 6.0) + GRACE;
        assert_eq!(
            staleness.trusted_until(),
            Some(expiry),
            "call of {call_length} s"
        );
        // Later failures do not move the expiry, which counts from the first one.
        staleness.next_call(secs(12.0));
        staleness.handle_failure(secs(14.0), Fault::Refused);
        assert_eq!(
            staleness.trusted_until(),
            Some(expiry),
            "call of {call_length} s"
        );
    }
}

/// A node without a grace period polls at a bounded rate.
#[test]
fn without_a_grace_a_pushed_list_is_polled_at_a_bounded_rate() {
    let mut staleness = StalenessTracker::new(Micros(0), Micros(0), true, 1);
    let mut now = Micros(0);
    for _ in 0..200 {
        staleness.next_call(now);
        let deadline = staleness.call_deadline().expect("an open call");
        now = staleness.handle_failure(deadline, Fault::Silent);
    }
    assert!(now >= secs(9.0), "200 calls in {now:?}");
}

/// A discovery service that answers all calls with a refusal counts as reachable: its list is distrusted at the rule's
/// deadline, and trusted again soon after discovery answers.
#[test]
fn a_list_is_given_up_when_discovery_refuses_calls() {
    for (seed, from) in [(10, 0.0), (11, 6.0), (12, 7.3)] {
        let scenario = Scenario {
            refuses: Some((from, from + 9.0)),
            ..NO_FAULTS
        };
        let findings = simulate(&scenario, seed);
        let late = &findings.late[..findings.late.len().min(5)];
        assert!(late.is_empty(), "seed {seed}: {late:?}");
        let each = findings.distrusted / NODES as f64;
        // The rule counts nodes as notified after 6 s; the grace period follows. Nodes are answered again within a
        // second.
        assert!((2.0..6.0).contains(&each), "seed {seed}: {each} s a node");
    }
}

/// Discovery goes down just after it refused calls: a change missed at that time counts as notified during the outage.
#[test]
fn a_refused_connection_does_not_extend_the_trust_in_a_list() {
    let scenario = Scenario {
        refuses: Some((6.0, 6.6)),
        down: Some((6.6, 15.0)),
        ..NO_FAULTS
    };
    let findings = simulate(&scenario, 13);
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
    assert!(findings.distrusted > 0.0);
}

/// A few seconds of refusals cost no trust: the nodes keep polling often enough, and not all at the same time.
#[test]
fn short_refusals_cost_no_service() {
    for from in [0.0, 5.0] {
        let scenario = Scenario {
            refuses: Some((from, from + 3.0)),
            ..NO_FAULTS
        };
        let findings = simulate(&scenario, 14);
        assert!(findings.late.is_empty(), "{:?}", findings.late.first());
        assert_eq!(findings.distrusted, 0.0);
    }
}

/// Discovery accepts calls and answers none of them: lists are distrusted at the rule's deadline, and not before.
#[test]
fn a_list_is_given_up_when_discovery_answers_nothing() {
    let findings = simulate(
        &Scenario {
            mute: Some((6.0, 18.0)),
            ..NO_FAULTS
        },
        6,
    );
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
    let each = findings.distrusted / NODES as f64;
    // Discovery is silent from 6 s on, the rule counts nodes as notified at 12 s, and answers return soon after 18 s.
    assert!((4.0..9.0).contains(&each), "{each} s a node");
}

#[test]
fn after_a_move_the_new_list_is_received_within_four_seconds() {
    let findings = simulate(
        &Scenario {
            moved: Some(7.3),
            ..NO_FAULTS
        },
        7,
    );
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
    assert_eq!(findings.distrusted, 0.0);
}

/// A node that moves to a silent discovery service does not keep using the old list.
#[test]
fn the_old_list_is_given_up_after_a_move_to_a_silent_discovery_service() {
    let findings = simulate(
        &Scenario {
            moved: Some(7.0),
            mute: Some((6.9, 16.0)),
            ..NO_FAULTS
        },
        8,
    );
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
    assert!(findings.distrusted > 0.0);
}

/// Where lists are pushed, a process counts as notified of the whole list from its start.
#[test]
fn a_pushed_list_is_received_within_the_grace_of_the_start() {
    let findings = simulate(
        &Scenario {
            pushed: true,
            ..NO_FAULTS
        },
        9,
    );
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
}

/// Nodes that were all answered at the same time do not all poll again at the same time.
#[test]
fn nodes_that_were_answered_together_do_not_poll_together() {
    let mut deadlines: Vec<u64> = (0..NODES as u64)
        .map(|n| {
            StalenessTracker::new(Micros(0), GRACE, false, n)
                .next_call(Micros(0))
                .deadline
                .0
        })
        .collect();
    deadlines.sort_unstable();
    let narrowest = deadlines
        .windows(60)
        .map(|w| w[59] - w[0])
        .min()
        .expect("300");
    assert!(
        narrowest > 150_000,
        "60 of 300 nodes poll within {narrowest} us"
    );
}

/// A watch that discovery held and then refused has missed nothing before the refusal, although the refusal's bytes
/// arrived first. A watch whose answer broke off may have missed changes.
#[test]
fn a_held_watch_that_is_refused_has_missed_nothing_and_one_that_is_cut_off_has() {
    let expiry_after = |fault, then| {
        let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
        staleness.next_call(secs(10.0));
        staleness.handle_progress(secs(13.0));
        let next_call = staleness.handle_failure(secs(13.0), fault);
        staleness.next_call(next_call);
        staleness.handle_failure(next_call, then);
        staleness.trusted_until().expect("the list is in doubt")
    };
    let refused = expiry_after(Fault::Refused, Fault::Refused);
    assert_eq!(refused, secs(13.0 + NOTIFICATION_DELAY) + GRACE);
    // The broken call was no held watch, so a refused connection after it does not extend the trust.
    let cut_off = expiry_after(Fault::Broken, Fault::Unreachable);
    assert_eq!(cut_off, secs(10.0 + NOTIFICATION_DELAY) + GRACE);
}

/// A slow answer keeps its call open while bytes arrive, but only until changes made meanwhile count as notified.
#[test]
fn a_slow_answer_is_waited_for_until_a_change_counts_as_notified() {
    let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
    staleness.next_call(secs(10.0));
    for tenths in 110..150_u32 {
        let now = secs(f64::from(tenths) / 10.0);
        let deadline = staleness.call_deadline().expect("an open call");
        assert!(deadline > now, "the call is given up at {now:?}");
        staleness.handle_progress(now);
    }
    assert_eq!(staleness.call_deadline(), Some(secs(16.0)));
    staleness.handle_failure(secs(16.0), Fault::Silent);
    let expiry = secs(10.0 + NOTIFICATION_DELAY) + GRACE;
    assert_eq!(staleness.trusted_until(), Some(expiry));
}

/// A list that is pushed while the previous answer is still being read counts as notified at once. So what that answer
/// has listed is used for no longer than the grace period.
#[test]
fn an_unfinished_answer_of_a_pushed_list_ends_all_trust_with_the_grace() {
    for (pushed, expiry) in [(true, Some(secs(20.0) + GRACE)), (false, None)] {
        let mut staleness = StalenessTracker::new(Micros(0), GRACE, pushed, 1);
        staleness.handle_answer();
        staleness.next_call(secs(18.0));
        staleness.handle_answer_begun(secs(20.0));
        assert_eq!(staleness.trusted_until(), expiry);
        staleness.handle_answer();
        assert_eq!(staleness.trusted_until(), None);
    }
}

/// A change made during the long read of a pushed list counts as notified since then. So the list is only trusted again
/// after a quick answer.
#[test]
fn a_pushed_list_that_was_read_for_long_is_old_when_it_is_complete() {
    let mut staleness = StalenessTracker::new(Micros(0), GRACE, true, 1);
    staleness.next_call(secs(10.0));
    staleness.handle_answer_begun(secs(10.0));
    staleness.handle_complete_answer(secs(10.6), secs(10.0));
    assert_eq!(staleness.trusted_until(), Some(secs(10.0) + GRACE));
    let call = staleness.next_call(secs(10.6));
    assert_eq!(call.query, Query::Changes { wait: Micros(0) });
    staleness.handle_answer_begun(secs(10.61));
    staleness.handle_complete_answer(secs(10.62), secs(10.61));
    assert_eq!(staleness.trusted_until(), None);
    // Where lists are polled, a change that discovery has not written yet does not count as notified.
    let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
    staleness.next_call(secs(10.0));
    staleness.handle_complete_answer(secs(10.6), secs(10.0));
    assert_eq!(staleness.trusted_until(), None);
}
