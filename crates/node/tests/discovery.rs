//! The client of discovery at 300 nodes before one discovery service that handles its calls one after another, in
//! virtual time. The deadlines of the platform's rule are computed here anew, from the protocol page: no node may hold a
//! drained worker as usable past them.

use marbledeck_dispatcher::Micros;
use marbledeck_node::discovery::{Fault, Query, StalenessTracker};
use std::collections::VecDeque;

const NODES: usize = 300;
const GRACE: Micros = Micros(400_000);
/// The rule's figures are longer by so much on sockets.
const SLACK: Micros = Micros(50_000);
const STEP: Micros = Micros(1_000);
/// A worker drains once in so many steps.
const STEPS_PER_CHANGE: u64 = 500;
/// A call that has waited for so long fails.
const QUEUE_TIMEOUT: Micros = Micros(1_000_000);
/// By the rule, a node counts as notified so long after discovery had a change, in seconds.
const NOTIFICATION_DELAY: f64 = 6.0;
/// By the rule, a node that has moved counts as notified of all changes so long after, in seconds.
const MOVE_DELAY: f64 = 4.0;

fn secs(secs: f64) -> Micros {
    Micros::from_secs_f64(secs)
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// It waits for its turn.
    Queued,
    /// Discovery holds it until something changes.
    Held,
    /// It is never answered.
    Silent,
}

/// A call to discovery that is not over.
struct OpenCall {
    started: Micros,
    query: Query,
    /// How many changes its node knew when it called.
    after: usize,
    stage: Stage,
}

struct Node {
    staleness: StalenessTracker,
    call: Option<OpenCall>,
    /// When it calls next.
    next_call: Option<Micros>,
    /// How many changes it knows.
    known_changes: usize,
    /// Since it has moved: by when the rule counts it as notified of all changes.
    move_deadline: Option<Micros>,
}

/// What happens on a day.
struct Day {
    /// Calls a second that discovery handles.
    capacity: f64,
    /// When all open watches fall silent.
    silent: Vec<f64>,
    /// Discovery is down from the first to the second: its watches end, and no connection is taken.
    down: Option<(f64, f64)>,
    /// It says 503 to all calls at once, and ends its watches so, but could be reached.
    refuses: Option<(f64, f64)>,
    /// From the first to the second it answers nothing, not even failures.
    mute: Option<(f64, f64)>,
    /// All nodes move to another discovery service, which has one change more.
    moved: Option<f64>,
    /// Lists are pushed, and the nodes start with an old one.
    pushed: bool,
    length: f64,
}

const CALM: Day = Day {
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
    /// Nodes that held a list past the rule's deadline, at the first such moment.
    late: Vec<(usize, Micros)>,
    /// Node-seconds in which a list was not trusted.
    distrusted: f64,
}

/// Whether this step is the last before the time.
fn passes(time: f64, now: Micros) -> bool {
    now < secs(time) && now + STEP >= secs(time)
}

fn is_within(span: Option<(f64, f64)>, now: Micros) -> bool {
    span.is_some_and(|(from, to)| now >= secs(from) && now < secs(to))
}

/// What is the case at one step of a day.
struct Conditions {
    now: Micros,
    down: bool,
    /// When discovery went down, if it is down.
    down_since: Option<Micros>,
    mute: bool,
    refuses: bool,
    /// The nodes move at this step.
    moves: bool,
    /// Held watches fall silent at this step.
    falls_silent: bool,
    /// How many changes discovery has.
    changes: usize,
}

/// A day as it is played.
struct Simulation<'a> {
    day: &'a Day,
    nodes: Vec<Node>,
    /// Calls that wait for their turn: their nodes, and when they were started.
    queue: VecDeque<(usize, Micros)>,
    /// When discovery had each change and could be reached; none for what is pushed, which counts as notified from the
    /// first moment.
    changes: Vec<Option<Micros>>,
    /// How many calls discovery can handle now.
    credit: f64,
    findings: Findings,
}

/// Plays a day: a worker drains every half second, and each node is held against the rule at every step.
fn play(day: &Day, seed: u64) -> Findings {
    let mut simulation = Simulation::new(day, seed);
    let mut now = Micros(0);
    while now < secs(day.length) {
        simulation.step(now);
        now = now + STEP;
    }
    simulation.findings
}

impl<'a> Simulation<'a> {
    fn new(day: &'a Day, seed: u64) -> Self {
        let node = |n| Node {
            staleness: StalenessTracker::new(Micros(0), GRACE, day.pushed, seed * 1000 + n),
            call: None,
            next_call: Some(Micros(0)),
            known_changes: 0,
            move_deadline: None,
        };
        let pushed = if day.pushed { vec![None] } else { Vec::new() };
        Simulation {
            day,
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

    /// Adds the changes of this step.
    fn begin_step(&mut self, now: Micros) -> Conditions {
        let day = self.day;
        let outage = day.down.filter(|_| is_within(day.down, now));
        let reachable = outage.map_or(now, |(_, to)| secs(to));
        if (now.0 / STEP.0) % STEPS_PER_CHANGE == STEPS_PER_CHANGE / 2 {
            self.changes.push(Some(reachable));
        }
        let moves = day.moved.is_some_and(|time| passes(time, now));
        if moves {
            self.changes.push(Some(reachable));
        }
        Conditions {
            now,
            down: outage.is_some(),
            down_since: outage.map(|(from, _)| secs(from)),
            mute: is_within(day.mute, now),
            refuses: is_within(day.refuses, now),
            moves,
            falls_silent: day.silent.iter().any(|time| passes(*time, now)),
            changes: self.changes.len(),
        }
    }

    /// Discovery takes the calls that wait, as far as its capacity goes.
    fn handle_queue(&mut self, conditions: &Conditions) {
        let credit_per_step = self.day.capacity * STEP.as_secs_f64();
        self.credit = f64::min(self.credit + credit_per_step, 1.0_f64.max(credit_per_step));
        if conditions.down || conditions.refuses || conditions.mute {
            self.queue.clear();
        }
        while self.credit >= 1.0 {
            let Some((n, started)) = self.queue.pop_front() else {
                break;
            };
            // A call that its node has given up has its turn all the same.
            self.credit -= 1.0;
            let call = self.nodes[n].call.as_mut();
            let is_open =
                |call: &&mut OpenCall| call.started == started && call.stage == Stage::Queued;
            if let Some(call) = call.filter(is_open) {
                call.stage = Stage::Held;
            }
        }
    }

    /// The rule: whatever became of the calls, a change counts as notified so long after discovery had it and could be
    /// reached.
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

    /// Answers its call, or lets it go on. Returns why it has failed, if it has.
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

    /// Starts its next call if that is due. Returns whether it has.
    fn start_due_call(&mut self, now: Micros) -> bool {
        let due = self.next_call.is_some_and(|time| now >= time);
        if self.call.is_some() || !due {
            return false;
        }
        let call = self.staleness.next_call(now);
        self.call = Some(OpenCall {
            started: now,
            query: call.query,
            after: self.known_changes,
            stage: Stage::Queued,
        });
        self.next_call = None;
        true
    }
}

impl OpenCall {
    /// How the call fails under these conditions.
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

    /// Whether discovery answers it now.
    fn is_answered(&self, conditions: &Conditions) -> bool {
        let is_over = match self.query {
            Query::CompleteList => true,
            Query::Changes { wait } => {
                self.after < conditions.changes || conditions.now >= self.started + wait
            }
        };
        self.stage == Stage::Held && is_over
    }
}

/// All watches fall silent in one moment, whenever in their waits that is.
#[test]
fn a_silent_watch_is_detected_before_what_it_misses_counts_as_notified() {
    for seed in 1..=3 {
        let silent = vec![3.0 + 0.37 * seed as f64, 14.2];
        let findings = play(&Day { silent, ..CALM }, seed);
        assert!(
            findings.late.is_empty(),
            "seed {seed}: {:?}",
            &findings.late[..findings.late.len().min(5)]
        );
        assert_eq!(
            findings.distrusted, 0.0,
            "seed {seed}: lists were asked for in time"
        );
    }
}

/// The same before a discovery service that is asked for more than it can do: three calls a second for each ten nodes.
#[test]
fn an_overloaded_discovery_leaves_no_drained_worker_usable() {
    for capacity in [30.0, 90.0] {
        let day = Day {
            capacity,
            silent: vec![5.0, 16.0],
            length: 40.0,
            ..CALM
        };
        let findings = play(&day, 4);
        assert!(
            findings.late.is_empty(),
            "{capacity}: {:?}",
            &findings.late[..findings.late.len().min(5)]
        );
    }
}

/// Discovery that is down for some seconds costs nothing; in a longer time, calls that were still in its queue may have
/// missed something that it had before.
#[test]
fn a_list_is_trusted_while_discovery_is_down_as_long_as_nothing_can_be_missed() {
    for (length, max_distrusted) in [(3.0, 0.0), (8.0, 5.5)] {
        let down = Some((6.0, 6.0 + length));
        let findings = play(&Day { down, ..CALM }, 5);
        assert!(
            findings.late.is_empty(),
            "{length}: {:?}",
            findings.late.first()
        );
        let each = findings.distrusted / NODES as f64;
        assert!(each <= max_distrusted, "{length}: {each} s a node");
    }
}

/// A watch that discovery held tells all until it breaks; while connections are refused there is nothing to miss.
#[test]
fn a_list_is_trusted_while_connections_are_refused_after_a_held_watch() {
    let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
    let (mut now, mut fault) = (secs(1.0), Fault::Broken);
    staleness.next_call(now);
    now = now + secs(3.0);
    for _ in 0..40 {
        let next_call = staleness.handle_failure(now, fault);
        let expiry = staleness.trusted_until().expect("in doubt");
        assert!(
            expiry > next_call + secs(2.0),
            "asked again at {next_call:?}, trusted until {expiry:?}"
        );
        (now, fault) = (next_call, Fault::Unreachable);
        staleness.next_call(now);
    }
    // Silence is no such proof: from then on the clock runs.
    let silent = staleness.call_deadline().expect("an open call");
    staleness.handle_failure(silent, Fault::Silent);
    let expiry = staleness.trusted_until().expect("in doubt");
    staleness.next_call(silent);
    staleness.handle_failure(silent, Fault::Unreachable);
    assert_eq!(staleness.trusted_until(), Some(expiry));
}

/// A call that is refused after a short time may have waited for its turn since it was asked, and missed what came
/// meanwhile; a watch that was held until discovery said no has missed nothing before that.
#[test]
fn a_refused_call_leaves_doubt_from_its_start_and_a_held_watch_from_its_end() {
    for (out, since) in [(1.0, 0.0), (1.3, 1.3)] {
        let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
        staleness.next_call(secs(10.0));
        staleness.handle_failure(secs(10.0 + out), Fault::Refused);
        let expiry = secs(10.0 + since + 6.0) + GRACE;
        assert_eq!(staleness.trusted_until(), Some(expiry), "out for {out} s");
        // What fails after that is later: the first doubt counts.
        staleness.next_call(secs(12.0));
        staleness.handle_failure(secs(14.0), Fault::Refused);
        assert_eq!(staleness.trusted_until(), Some(expiry), "out for {out} s");
    }
}

/// A node whose site grants no grace asks on at a bounded pace.
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

/// One that refuses all calls with an answer could be reached: its list is given up when the rule says so, and trusted
/// soon after it answers again.
#[test]
fn a_list_is_given_up_when_discovery_refuses_calls() {
    for (seed, from) in [(10, 0.0), (11, 6.0), (12, 7.3)] {
        let day = Day {
            refuses: Some((from, from + 9.0)),
            ..CALM
        };
        let findings = play(&day, seed);
        let late = &findings.late[..findings.late.len().min(5)];
        assert!(late.is_empty(), "seed {seed}: {late:?}");
        let each = findings.distrusted / NODES as f64;
        // Notified after 6 s by the rule, and the grace; answered again within a second.
        assert!((2.0..6.0).contains(&each), "seed {seed}: {each} s a node");
    }
}

/// Down only a moment after a call was refused with an answer: what was missed then counts as notified while it is down.
#[test]
fn a_refused_connection_ends_no_older_doubt() {
    let day = Day {
        refuses: Some((6.0, 6.6)),
        down: Some((6.6, 15.0)),
        ..CALM
    };
    let findings = play(&day, 13);
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
    assert!(findings.distrusted > 0.0);
}

/// A few seconds of refusals cost nothing: the nodes ask on, often enough and not in step.
#[test]
fn short_refusals_cost_no_service() {
    for from in [0.0, 5.0] {
        let day = Day {
            refuses: Some((from, from + 3.0)),
            ..CALM
        };
        let findings = play(&day, 14);
        assert!(findings.late.is_empty(), "{:?}", findings.late.first());
        assert_eq!(findings.distrusted, 0.0);
    }
}

/// One that takes calls and answers none of them: the lists are given up when the rule says so, and not before.
#[test]
fn a_list_is_given_up_when_discovery_answers_nothing() {
    let findings = play(
        &Day {
            mute: Some((6.0, 18.0)),
            ..CALM
        },
        6,
    );
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
    let each = findings.distrusted / NODES as f64;
    // Silent from 6 s on, notified at 12 s by the rule, answered again soon after 18 s.
    assert!((4.0..9.0).contains(&each), "{each} s a node");
}

#[test]
fn after_a_move_the_new_list_is_received_within_four_seconds() {
    let findings = play(
        &Day {
            moved: Some(7.3),
            ..CALM
        },
        7,
    );
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
    assert_eq!(findings.distrusted, 0.0);
}

/// A node that is moved to a discovery service that is silent does not go on by the old list.
#[test]
fn the_old_list_is_given_up_after_a_move_to_a_silent_discovery_service() {
    let findings = play(
        &Day {
            moved: Some(7.0),
            mute: Some((6.9, 16.0)),
            ..CALM
        },
        8,
    );
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
    assert!(findings.distrusted > 0.0);
}

/// Where lists are pushed, all of it counts as notified from the first moment of a process.
#[test]
fn a_pushed_list_is_received_within_the_grace_of_the_start() {
    let findings = play(
        &Day {
            pushed: true,
            ..CALM
        },
        9,
    );
    assert!(findings.late.is_empty(), "{:?}", findings.late.first());
}

/// The nodes do not ask in step, though all were answered in one moment.
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

/// A watch that discovery held and then ended with a refusal has missed nothing before that, though the refusal's bytes
/// came first; one whose answer broke off has.
#[test]
fn a_held_watch_that_is_refused_has_missed_nothing_and_one_that_is_cut_off_has() {
    let expiry_after = |fault, then| {
        let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
        staleness.next_call(secs(10.0));
        staleness.handle_progress(secs(13.0));
        let next_call = staleness.handle_failure(secs(13.0), fault);
        staleness.next_call(next_call);
        staleness.handle_failure(next_call, then);
        staleness.trusted_until().expect("in doubt")
    };
    let refused = expiry_after(Fault::Refused, Fault::Refused);
    assert_eq!(refused, secs(13.0 + NOTIFICATION_DELAY) + GRACE);
    // It was no held watch that broke: a refused connection after it proves nothing.
    let cut_off = expiry_after(Fault::Broken, Fault::Unreachable);
    assert_eq!(cut_off, secs(10.0 + NOTIFICATION_DELAY) + GRACE);
}

/// An answer that comes slowly keeps its call alive for as long as bytes come, until what changes meanwhile counts as
/// notified, and no longer.
#[test]
fn a_slow_answer_is_waited_for_until_a_change_counts_as_notified() {
    let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
    staleness.next_call(secs(10.0));
    for tenths in 110..150_u32 {
        let now = secs(f64::from(tenths) / 10.0);
        let deadline = staleness.call_deadline().expect("an open call");
        assert!(deadline > now, "given up at {now:?}");
        staleness.handle_progress(now);
    }
    assert_eq!(staleness.call_deadline(), Some(secs(16.0)));
    staleness.handle_failure(secs(16.0), Fault::Silent);
    let expiry = secs(10.0 + NOTIFICATION_DELAY) + GRACE;
    assert_eq!(staleness.trusted_until(), Some(expiry));
}

/// A list that is pushed while the answer before it is still being read counts at once, so nothing is sent by what that
/// answer has named for longer than the grace.
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

/// What has changed while a pushed list was read for long counts as notified since then: the list is trusted once an
/// answer has come quickly.
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
    // Where it is asked for, what was not written yet was not notified.
    let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
    staleness.next_call(secs(10.0));
    staleness.handle_complete_answer(secs(10.6), secs(10.0));
    assert_eq!(staleness.trusted_until(), None);
}
