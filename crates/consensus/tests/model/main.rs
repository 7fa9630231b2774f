//! Model checking of leased reads, activation and licence seats, over all orders of events up to a depth. The model has two
//! nodes, one seat and an exclusive record. Read requests and commands may be lost, repeated and delayed; nodes may crash,
//! restart and stand still; the leader may change. The replicated state, the reader, the allocator and the reclaimer are
//! the real ones.

mod state;

use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::{
    Command, LeaseReclaimer, Operation, ReadTicket, RecordBody, ReplicatedState,
};
use marbledeck_licensing::{Holder, LedgerCommand, Pool};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

use state::{
    initial_time, new_node, put, time_at, ByDebug, Message, Node, State, LICENCE, RUN_TICKS, TERMS,
    TICK_US,
};

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    SendRequest(usize),
    /// A read request reaches a voter, which responds from its current state.
    AnswerRequest(usize),
    Deliver(usize),
    Drop(usize),
    Duplicate(usize),
    BeginAttempt(usize),
    /// A node learns that its attempt has ended (`true`), or gives it up (`false`).
    EndAttempt(usize, bool),
    CrashNode(usize),
    ChangeLeader,
    /// The leader reclaims the seats of a node that it suspects to be dead.
    SuspectNode(usize),
    /// The leader applies the operations of its reclaimer.
    PollReclaimer,
    ChangeRecord,
}

/// The limits of the search.
struct FleetModel {
    max_ticks: u64,
    max_messages: usize,
    max_crashes: u8,
    max_leader_changes: u8,
    max_changes: u64,
    /// The first node holds the seat initially, and the leader may suspect any node to be dead at any time.
    first_node_holds_seat: bool,
}

impl Model for FleetModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            tick: 0,
            replicated: ByDebug(ReplicatedState::default()),
            reclaimer: ByDebug(LeaseReclaimer::new(time_at(0), TERMS)),
            nodes: vec![new_node(), new_node()],
            messages: Vec::new(),
            running: Vec::new(),
            crashes: 0,
            leader_changes: 0,
            changes: 0,
            reads_sent: 0,
        };
        let pool = Pool {
            seats: 1,
            guaranteed: BTreeMap::new(),
            longest_run_ms: RUN_TICKS * TICK_US / 1000,
        };
        let Operation::Change(mut change) = put("seats/av1", 0, RecordBody::Pool(pool)) else {
            unreachable!("`put` returns a change");
        };
        change.exclusive.clear();
        state.apply_command(Operation::Change(change));
        if self.first_node_holds_seat {
            let request = LedgerCommand::Request {
                pool: "av1".into(),
                tenant: String::new(),
                seats: 1,
            };
            state.replicated.0.apply(&Command {
                node: 0,
                incarnation: 1,
                number: 1,
                operation: Operation::Seats(request),
            });
        }
        if self.max_changes > 0 {
            state.apply_command(put(
                "workers/out",
                0,
                RecordBody::OutOfService(Default::default()),
            ));
        }
        // Both nodes have a lease initially; the second node also has demand for a seat.
        for n in 0..2 {
            let ReadTicket {
                request_id,
                known_revision: known,
            } = state.nodes[n].reader.0.begin_read(initial_time());
            let response = ReadResponse::new(&state.replicated.0, n as u32, 1, request_id, known);
            state.nodes[n].apply_response(initial_time(), &response);
        }
        let _ = state.nodes[1].allocator.0.check(initial_time(), LICENCE, 0);
        for n in 0..2 {
            let ReadTicket {
                request_id,
                known_revision: known,
            } = state.nodes[n].reader.0.begin_read(time_at(0));
            let response = ReadResponse::new(&state.replicated.0, n as u32, 1, request_id, known);
            state.nodes[n].apply_response(time_at(0), &response);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < self.max_ticks {
            actions.push(Action::Tick);
        }
        for (n, node) in state.nodes.iter().enumerate() {
            if state.messages.len() < self.max_messages
                && (!self.first_node_holds_seat || state.reads_sent < 2)
            {
                actions.push(Action::SendRequest(n));
            }
            if self.first_node_holds_seat
                && state.replicated.0.seats().holders().contains(&Holder {
                    node: n as u32,
                    incarnation: node.incarnation,
                })
            {
                actions.push(Action::SuspectNode(n));
            }
            actions.push(Action::BeginAttempt(n));
            if node.attempts.iter().any(|(_, end)| *end <= state.tick) {
                actions.push(Action::EndAttempt(n, true));
            }
            if !node.attempts.is_empty() {
                actions.push(Action::EndAttempt(n, false));
            }
            if state.crashes < self.max_crashes {
                actions.push(Action::CrashNode(n));
            }
        }
        for (m, message) in state.messages.iter().enumerate() {
            match message {
                Message::ReadRequest { .. } => actions.push(Action::AnswerRequest(m)),
                Message::ReadResponse { .. } => actions.push(Action::Deliver(m)),
                Message::Command(_) => {
                    actions.push(Action::Deliver(m));
                    if state.messages.len() < self.max_messages && !self.first_node_holds_seat {
                        actions.push(Action::Duplicate(m));
                    }
                }
            }
            if !self.first_node_holds_seat {
                actions.push(Action::Drop(m));
            }
        }
        if state.leader_changes < self.max_leader_changes {
            actions.push(Action::ChangeLeader);
        }
        actions.push(Action::PollReclaimer);
        if state.changes < self.max_changes {
            actions.push(Action::ChangeRecord);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let time = time_at(state.tick);
        match action {
            Action::Tick => state.tick(),
            Action::SendRequest(n) => {
                state.reads_sent += u8::from(self.first_node_holds_seat);
                state.send_request(n);
            }
            Action::AnswerRequest(m) => state.answer_request(m)?,
            Action::Deliver(m) => state.deliver(m)?,
            Action::Drop(m) => drop(state.messages.remove(m)),
            Action::Duplicate(m) => state.messages.push(state.messages[m].clone()),
            Action::BeginAttempt(n) => state.begin_attempt(n),
            Action::EndAttempt(n, end_is_known) => state.end_attempt(n, end_is_known)?,
            Action::CrashNode(n) => {
                let incarnation = state.nodes[n].incarnation + 1;
                state.nodes[n] = Node {
                    incarnation,
                    ..new_node()
                };
                state.crashes += 1;
            }
            Action::ChangeLeader => {
                state.reclaimer = ByDebug(LeaseReclaimer::new(time, TERMS));
                state.leader_changes += 1;
            }
            Action::SuspectNode(n) => state.suspect(n),
            Action::PollReclaimer => {
                for operation in state.reclaimer.0.poll_operations(time, &last.replicated.0) {
                    state.apply_command(operation);
                }
            }
            Action::ChangeRecord => {
                let out = RecordBody::OutOfService([format!("w{}", state.changes)].into());
                state.apply_command(put("workers/out", state.changes + 1, out));
                state.changes += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no more attempts run than there are seats",
                |_, state: &State| state.running.len() <= 1,
            ),
            Property::always(
                "no two versions of an exclusive record are active",
                |_, state: &State| {
                    let active: Vec<u64> = state
                        .nodes
                        .iter()
                        .filter_map(|node| state.active_version(node))
                        .collect();
                    active.windows(2).all(|pair| pair[0] == pair[1])
                },
            ),
            // Otherwise the search has tested nothing.
            Property::sometimes("an attempt runs", |_, state: &State| {
                !state.running.is_empty()
            }),
            Property::sometimes("a restarted node holds the seat", |_, state: &State| {
                let restarted_with_seat =
                    |node: &Node| node.incarnation > 1 && !node.attempts.is_empty();
                state.nodes.iter().any(restarted_with_seat)
            }),
            Property::sometimes("a later version is active", |_, state: &State| {
                state
                    .nodes
                    .iter()
                    .any(|node| state.active_version(node) == Some(2))
            }),
        ]
    }
}

/// Checks every state up to this depth, and that the search reached the properties in `reached`.
fn check(model: FleetModel, depth: usize, reached: &[&'static str]) {
    let extra_depth = std::env::var("MARBLEDECK_DEPTH")
        .ok()
        .and_then(|n| n.parse::<usize>().ok());
    let depth = depth + extra_depth.unwrap_or(0);
    let checker = model
        .checker()
        .threads(1)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    let (total, unique) = (checker.state_count(), checker.unique_state_count());
    println!("{total} states, {unique} of them unique, to depth {depth}");
    for always in [
        "no more attempts run than there are seats",
        "no two versions of an exclusive record are active",
    ] {
        if let Some(path) = checker.discovery(always) {
            panic!("violated: {always}: {:?}", path.into_actions());
        }
    }
    for sometimes in reached {
        assert!(
            checker.discovery(sometimes).is_some(),
            "never reached: {sometimes}"
        );
    }
}

/// Seats with lost and repeated messages, a crash and a leader change.
#[test]
fn seats_in_every_order_of_events() {
    let model = FleetModel {
        max_ticks: 4,
        max_messages: 2,
        max_crashes: 1,
        max_leader_changes: 1,
        max_changes: 0,
        first_node_holds_seat: false,
    };
    check(model, 9, &["an attempt runs"]);
}

/// A node that holds the seat is suspected to be dead, rightly or not, while it continues to run.
#[test]
fn seats_of_a_node_suspected_to_be_dead() {
    let model = FleetModel {
        max_ticks: 4,
        max_messages: 2,
        max_crashes: 0,
        max_leader_changes: 0,
        max_changes: 0,
        first_node_holds_seat: true,
    };
    check(model, 11, &["an attempt runs"]);
}

/// A change of an exclusive record.
#[test]
fn activation_in_every_order_of_events() {
    let model = FleetModel {
        max_ticks: 4,
        max_messages: 2,
        max_crashes: 0,
        max_leader_changes: 0,
        max_changes: 1,
        first_node_holds_seat: false,
    };
    check(model, 10, &["a later version is active"]);
}
