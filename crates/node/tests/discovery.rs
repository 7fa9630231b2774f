//! The list of workers at 300 nodes before one discovery service that works its calls off one after another, in virtual time. The
//! rule's clocks are counted here anew, from the protocol page: no node may hold a drained worker as usable past them.

use marbledeck_dispatcher::Micros;
use marbledeck_node::discovery::{Fault, Query, StalenessTracker};
use std::collections::VecDeque;

const NODES: usize = 300;
const GRACE: Micros = Micros(400_000);
/// The rule's figures are longer by so much on sockets.
const SLACK: Micros = Micros(50_000);
const STEP: Micros = Micros(1_000);
/// A call that has waited for so long fails.
const PATIENCE: Micros = Micros(1_000_000);

fn secs(secs: f64) -> Micros {
    Micros::from_secs_f64(secs)
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// It waits for its turn.
    Queued,
    /// Discovery holds it until something changes.
    Held,
    /// Nothing comes of it any more, since then.
    Silent(Micros),
}

struct Out {
    at: Micros,
    query: Query,
    after: usize,
    stage: Stage,
}

struct Node {
    staleness: StalenessTracker,
    call: Option<Out>,
    /// When it asks next.
    again: Option<Micros>,
    /// How many changes it has been told.
    knows: usize,
    /// By when the rule holds it told of all changes, since it has moved.
    moved: Option<Micros>,
}

/// What happens on a day.
struct Day {
    /// Calls a second that discovery works off.
    capacity: f64,
    /// When all open watches fall silent.
    silent: Vec<f64>,
    /// Discovery is down from the first to the second: its watches end, and no connection is taken.
    down: Option<(f64, f64)>,
    /// It says 503 to all calls at once, and ends its watches so, but could be reached.
    refuses: Option<(f64, f64)>,
    /// From then on it answers nothing, not even failures, for so long.
    mute: Option<(f64, f64)>,
    /// All nodes are told to go over to another discovery service, which has one change more.
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

struct Seen {
    /// Nodes that held a list past the rule's clock, at the first such moment.
    late: Vec<(usize, Micros)>,
    /// Node-seconds in which a list was not trusted, and calls.
    distrusted: f64,
    calls: usize,
}

/// Plays a day: a worker drains every half second, and each node is held against the rule at every step.
fn play(day: &Day, seed: u64) -> Seen {
    let mut nodes: Vec<Node> = (0..NODES as u64)
        .map(|n| Node {
            staleness: StalenessTracker::new(Micros(0), GRACE, day.pushed, seed * 1000 + n),
            call: None,
            again: Some(Micros(0)),
            knows: 0,
            moved: None,
        })
        .collect();
    let mut queue: VecDeque<(usize, Micros)> = VecDeque::new();
    // When discovery had each change and could be reached; what is pushed counts as told from the first moment.
    let mut had = Vec::new();
    if day.pushed {
        had.push(None);
    }
    let (mut credit, mut now) = (0.0, Micros(0));
    let mut seen = Seen {
        late: Vec::new(),
        distrusted: 0.0,
        calls: 0,
    };
    let passes = |at: f64, now: Micros| now < secs(at) && now + STEP >= secs(at);
    while now < secs(day.length) {
        let next = now + STEP;
        let down = day
            .down
            .is_some_and(|(from, to)| now >= secs(from) && now < secs(to));
        let mute = day
            .mute
            .is_some_and(|(from, to)| now >= secs(from) && now < secs(to));
        let refuses = day
            .refuses
            .is_some_and(|(from, to)| now >= secs(from) && now < secs(to));
        let reached = day.down.filter(|_| down).map_or(now, |(_, to)| secs(to));
        if (now.0 / STEP.0) % 500 == 250 {
            had.push(Some(reached));
        }
        let moves = day.moved.is_some_and(|at| passes(at, now));
        let falls = day.silent.iter().any(|at| passes(*at, now));
        if moves {
            had.push(Some(reached));
        }
        let changes = had.len();
        // Discovery works off what has waited, as far as its capacity goes.
        credit = f64::min(
            credit + day.capacity * STEP.as_secs_f64(),
            1.0_f64.max(day.capacity * STEP.as_secs_f64()),
        );
        if down || refuses || mute {
            queue.clear();
        }
        while credit >= 1.0 {
            let Some((n, at)) = queue.pop_front() else {
                break;
            };
            // A call that its node has given up has its turn all the same.
            credit -= 1.0;
            let call = nodes[n].call.as_mut();
            if let Some(call) = call.filter(|c| c.at == at && c.stage == Stage::Queued) {
                call.stage = Stage::Held;
            }
        }
        for (n, node) in nodes.iter_mut().enumerate() {
            let mut fault = None;
            if moves {
                node.staleness.handle_move(now);
                (node.call, node.again) = (None, Some(now));
                node.moved = Some(now + secs(4.0));
            }
            if let Some(call) = &mut node.call {
                if (falls && call.stage == Stage::Held)
                    || (mute && !matches!(call.stage, Stage::Silent(_)))
                {
                    call.stage = Stage::Silent(now);
                }
                match call.stage {
                    Stage::Queued if down && day.down.is_some_and(|d| call.at < secs(d.0)) => {
                        fault = Some(Fault::Broken);
                    }
                    Stage::Queued if down => fault = Some(Fault::Unreachable),
                    Stage::Queued if refuses || now - call.at > PATIENCE => {
                        fault = Some(Fault::Refused);
                    }
                    Stage::Held if down => fault = Some(Fault::Broken),
                    Stage::Held if refuses => fault = Some(Fault::Refused),
                    Stage::Held => {
                        let over = match call.query {
                            Query::CompleteList => true,
                            Query::Changes { wait } => {
                                call.after < changes || now >= call.at + wait
                            }
                        };
                        if over {
                            (node.knows, node.moved, node.call) = (changes, None, None);
                            node.staleness.handle_answer();
                            node.again = Some(now);
                        }
                    }
                    Stage::Silent(_) => {}
                    Stage::Queued => {}
                }
            }
            if node
                .staleness
                .call_deadline()
                .is_some_and(|until| now >= until)
                && fault.is_none()
            {
                fault = Some(Fault::Silent);
            }
            if let Some(fault) = fault {
                node.call = None;
                node.again = Some(node.staleness.handle_failure(now, fault));
            }
            if node.call.is_none() && node.again.is_some_and(|at| now >= at) {
                let call = node.staleness.next_call(now);
                node.call = Some(Out {
                    at: now,
                    query: call.query,
                    after: node.knows,
                    stage: Stage::Queued,
                });
                node.again = None;
                queue.push_back((n, now));
                seen.calls += 1;
            }
            // The rule: whatever became of the calls, a change counts as told so long after discovery had it and
            // could be reached.
            let told = had.get(node.knows).map(|had| match had {
                Some(at) => *at + secs(6.0),
                None => Micros(0),
            });
            let moved = node.moved.filter(|_| told.is_some());
            let rule = told.into_iter().chain(moved).min();
            let trusted = node
                .staleness
                .trusted_until()
                .is_none_or(|until| now < until);
            if !trusted {
                seen.distrusted += STEP.as_secs_f64();
            }
            let late = rule.is_some_and(|told| now > told + GRACE + SLACK);
            if late && trusted && node.knows < changes && !seen.late.iter().any(|(l, _)| *l == n) {
                seen.late.push((n, now));
            }
        }
        now = next;
    }
    seen
}

/// All watches fall silent in one moment, whenever in their waits that is.
#[test]
fn a_silent_watch_is_found_out_before_what_it_misses_counts_as_told() {
    for seed in 1..=3 {
        let silent = vec![3.0 + 0.37 * seed as f64, 14.2];
        let seen = play(&Day { silent, ..CALM }, seed);
        assert!(
            seen.late.is_empty(),
            "seed {seed}: {:?}",
            &seen.late[..seen.late.len().min(5)]
        );
        assert_eq!(
            seen.distrusted, 0.0,
            "seed {seed}: lists were asked for in time"
        );
    }
}

/// The same before a discovery service that is asked for more than it can do: three calls a second for each ten nodes.
#[test]
fn a_directory_with_too_many_callers_leaves_no_drained_worker_usable() {
    for capacity in [30.0, 90.0] {
        let day = Day {
            capacity,
            silent: vec![5.0, 16.0],
            length: 40.0,
            ..CALM
        };
        let seen = play(&day, 4);
        assert!(
            seen.late.is_empty(),
            "{capacity}: {:?}",
            &seen.late[..seen.late.len().min(5)]
        );
    }
}

/// A directory that is down for some seconds costs nothing; in a longer time, calls that were still in its queue may have
/// missed something that it had before.
#[test]
fn a_directory_that_is_down_is_trusted_as_long_as_nothing_can_be_missed() {
    for (length, most) in [(3.0, 0.0), (8.0, 5.5)] {
        let down = Some((6.0, 6.0 + length));
        let seen = play(&Day { down, ..CALM }, 5);
        assert!(seen.late.is_empty(), "{length}: {:?}", seen.late.first());
        let each = seen.distrusted / NODES as f64;
        assert!(each <= most, "{length}: {each} s a node");
    }
}

/// A watch that discovery held tells all until it breaks; while connections are refused there is nothing to miss.
#[test]
fn a_directory_that_refuses_connections_after_a_held_watch_is_trusted_on() {
    let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
    let (mut now, mut fault) = (secs(1.0), Fault::Broken);
    staleness.next_call(now);
    now = now + secs(3.0);
    for _ in 0..40 {
        let again = staleness.handle_failure(now, fault);
        let until = staleness.trusted_until().expect("in doubt");
        assert!(
            until > again + secs(2.0),
            "asked again at {again:?}, trusted until {until:?}"
        );
        (now, fault) = (again, Fault::Unreachable);
        staleness.next_call(now);
    }
    // Silence is no such proof: from then on the clock runs.
    let silent = staleness.call_deadline().expect("asked");
    staleness.handle_failure(silent, Fault::Silent);
    let until = staleness.trusted_until().expect("in doubt");
    staleness.next_call(silent);
    staleness.handle_failure(silent, Fault::Unreachable);
    assert_eq!(staleness.trusted_until(), Some(until));
}

/// A call that is refused after a short time may have waited for its turn since it was asked, and missed what came
/// meanwhile; a watch that was held until discovery said no has missed nothing before that.
#[test]
fn a_refused_call_leaves_doubt_from_its_question_and_a_held_watch_from_its_end() {
    for (out, since) in [(1.0, 0.0), (1.3, 1.3)] {
        let mut staleness = StalenessTracker::new(Micros(0), GRACE, false, 1);
        staleness.next_call(secs(10.0));
        staleness.handle_failure(secs(10.0 + out), Fault::Refused);
        let until = secs(10.0 + since + 6.0) + GRACE;
        assert_eq!(staleness.trusted_until(), Some(until), "out for {out} s");
        // What fails after that is later: the first doubt counts.
        staleness.next_call(secs(12.0));
        staleness.handle_failure(secs(14.0), Fault::Refused);
        assert_eq!(staleness.trusted_until(), Some(until), "out for {out} s");
    }
}

/// A node whose site grants no grace asks on at a bounded pace.
#[test]
fn a_pushed_list_without_a_grace_is_not_asked_for_without_end() {
    let mut staleness = StalenessTracker::new(Micros(0), Micros(0), true, 1);
    let mut now = Micros(0);
    for _ in 0..200 {
        staleness.next_call(now);
        let until = staleness.call_deadline().expect("asked");
        now = staleness.handle_failure(until, Fault::Silent);
    }
    assert!(now >= secs(9.0), "200 calls in {now:?}");
}

/// One that refuses all calls with an answer could be reached: its list is given up when the rule says so, and trusted
/// soon after it answers again.
#[test]
fn a_directory_that_refuses_calls_ends_the_trust_in_its_list() {
    for (seed, from) in [(10, 0.0), (11, 6.0), (12, 7.3)] {
        let day = Day {
            refuses: Some((from, from + 9.0)),
            ..CALM
        };
        let seen = play(&day, seed);
        let late = &seen.late[..seen.late.len().min(5)];
        assert!(late.is_empty(), "seed {seed}: {late:?}");
        let each = seen.distrusted / NODES as f64;
        // Told after 6 s by the rule, and the grace; answered again within a second.
        assert!((2.0..6.0).contains(&each), "seed {seed}: {each} s a node");
    }
}

/// Down only a moment after a call was refused with an answer: what was missed then counts as told while it is down.
#[test]
fn a_refused_connection_ends_no_older_doubt() {
    let day = Day {
        refuses: Some((6.0, 6.6)),
        down: Some((6.6, 15.0)),
        ..CALM
    };
    let seen = play(&day, 13);
    assert!(seen.late.is_empty(), "{:?}", seen.late.first());
    assert!(seen.distrusted > 0.0);
}

/// A few seconds of refusals cost nothing: the nodes ask on, often enough and not in step.
#[test]
fn short_refusals_cost_no_service() {
    for from in [0.0, 5.0] {
        let day = Day {
            refuses: Some((from, from + 3.0)),
            ..CALM
        };
        let seen = play(&day, 14);
        assert!(seen.late.is_empty(), "{:?}", seen.late.first());
        assert_eq!(seen.distrusted, 0.0);
    }
}

/// One that takes calls and answers none of them: the lists are given up when the rule says so, and not before.
#[test]
fn a_directory_that_answers_nothing_ends_the_trust_in_its_list() {
    let seen = play(
        &Day {
            mute: Some((6.0, 18.0)),
            ..CALM
        },
        6,
    );
    assert!(seen.late.is_empty(), "{:?}", seen.late.first());
    let each = seen.distrusted / NODES as f64;
    // Silent from 6 s on, told at 12 s by the rule, answered again soon after 18 s.
    assert!((4.0..9.0).contains(&each), "{each} s a node");
}

#[test]
fn after_a_move_the_new_list_is_had_within_the_rules_four_seconds() {
    let seen = play(
        &Day {
            moved: Some(7.3),
            ..CALM
        },
        7,
    );
    assert!(seen.late.is_empty(), "{:?}", seen.late.first());
    assert_eq!(seen.distrusted, 0.0);
}

/// A node that is moved to a discovery service that is silent does not go on by the old list.
#[test]
fn a_move_to_a_silent_directory_ends_the_trust_in_the_old_list() {
    let seen = play(
        &Day {
            moved: Some(7.0),
            mute: Some((6.9, 16.0)),
            ..CALM
        },
        8,
    );
    assert!(seen.late.is_empty(), "{:?}", seen.late.first());
    assert!(seen.distrusted > 0.0);
}

/// Where lists are pushed, all of it counts as told from the first moment of a process.
#[test]
fn a_pushed_list_is_had_within_the_grace_of_the_start() {
    let seen = play(
        &Day {
            pushed: true,
            ..CALM
        },
        9,
    );
    assert!(seen.late.is_empty(), "{:?}", seen.late.first());
}

/// The nodes do not ask in step, though all were answered in one moment.
#[test]
fn nodes_that_were_answered_together_do_not_ask_together() {
    let mut deadlines: Vec<u64> = (0..NODES as u64)
        .map(|n| {
            StalenessTracker::new(Micros(0), GRACE, false, n)
                .next_call(Micros(0))
                .deadline
                .0
        })
        .collect();
    deadlines.sort_unstable();
    let most = deadlines
        .windows(60)
        .map(|w| w[59] - w[0])
        .min()
        .expect("300");
    assert!(most > 150_000, "60 of 300 nodes ask within {most} us");
}
