//! Model checking of leased reads, activation and licence seats, in every order of events up to a depth: two nodes, one
//! seat, an exclusive record. Read requests and commands are lost, repeated and late; nodes crash and restart; the leader
//! changes; a node without an event stands still. The replicated state, the reader, the allocator and the reclaimer are the
//! real ones.

mod state;

use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::{
    Command, LeaseReclaimer, Operation, ReadTicket, RecordBody, ReplicatedState,
};
use marbledeck_licensing::{Holder, LedgerCommand, Pool};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

use state::{before, node, now, put, Msg, Node, Shown, State, RUN, SEAT, TERMS, TICK};

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Tick,
    Ask(usize),
    /// A question reaches a voter, and is answered with what holds then.
    ReadResponse(usize),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Call(usize),
    /// A node hears that its call has ended, or gives it up.
    End(usize, bool),
    Crash(usize),
    Lead,
    /// The leader takes a node for dead.
    Suspect(usize),
    /// The leader sees to the seats of the dead.
    Watch,
    Change,
}

struct Fleet {
    until: u64,
    msgs: usize,
    crashes: u8,
    leaders: u8,
    changes: u64,
    /// The first node holds the seat to begin with, and the leader may take any node for dead at any time.
    held: bool,
}

impl Model for Fleet {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            at: 0,
            book: Shown(ReplicatedState::default()),
            reclaimer: Shown(LeaseReclaimer::new(now(0), TERMS)),
            nodes: vec![node(), node()],
            msgs: Vec::new(),
            running: Vec::new(),
            crashes: 0,
            leaders: 0,
            changes: 0,
            asks: 0,
        };
        let pool = Pool {
            seats: 1,
            guaranteed: BTreeMap::new(),
            longest_run_ms: RUN * TICK / 1000,
        };
        let Operation::Change(mut change) = put("seats/av1", 0, RecordBody::Pool(pool)) else {
            unreachable!("a change was made");
        };
        change.exclusive.clear();
        state.command(Operation::Change(change));
        if self.held {
            let want = LedgerCommand::Request {
                pool: "av1".into(),
                tenant: String::new(),
                seats: 1,
            };
            state.book.0.apply(&Command {
                node: 0,
                incarnation: 1,
                number: 1,
                operation: Operation::Seats(want),
            });
        }
        if self.changes > 0 {
            state.command(put(
                "workers/out",
                0,
                RecordBody::OutOfService(Default::default()),
            ));
        }
        // Both have a reading to begin with; the second node lacks a seat.
        for n in 0..2 {
            let ReadTicket {
                request_id: question,
                known_revision: known,
            } = state.nodes[n].reader.0.begin_read(before());
            let answer = ReadResponse::new(&state.book.0, n as u32, 1, question, known);
            state.nodes[n].read(before(), &answer);
        }
        let _ = state.nodes[1].allocator.0.check(before(), SEAT, 0);
        for n in 0..2 {
            let ReadTicket {
                request_id: question,
                known_revision: known,
            } = state.nodes[n].reader.0.begin_read(now(0));
            let answer = ReadResponse::new(&state.book.0, n as u32, 1, question, known);
            state.nodes[n].read(now(0), &answer);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        if state.at < self.until {
            actions.push(Act::Tick);
        }
        for (n, node) in state.nodes.iter().enumerate() {
            if state.msgs.len() < self.msgs && (!self.held || state.asks < 2) {
                actions.push(Act::Ask(n));
            }
            if self.held
                && state.book.0.seats().holders().contains(&Holder {
                    node: n as u32,
                    incarnation: node.boot,
                })
            {
                actions.push(Act::Suspect(n));
            }
            actions.push(Act::Call(n));
            if node.calls.iter().any(|(_, end)| *end <= state.at) {
                actions.push(Act::End(n, true));
            }
            if !node.calls.is_empty() {
                actions.push(Act::End(n, false));
            }
            if state.crashes < self.crashes {
                actions.push(Act::Crash(n));
            }
        }
        for (m, msg) in state.msgs.iter().enumerate() {
            match msg {
                Msg::Question { .. } => actions.push(Act::ReadResponse(m)),
                Msg::ReadResponse { .. } => actions.push(Act::Deliver(m)),
                Msg::Command(_) => {
                    actions.push(Act::Deliver(m));
                    if state.msgs.len() < self.msgs && !self.held {
                        actions.push(Act::Repeat(m));
                    }
                }
            }
            if !self.held {
                actions.push(Act::Lose(m));
            }
        }
        if state.leaders < self.leaders {
            actions.push(Act::Lead);
        }
        actions.push(Act::Watch);
        if state.changes < self.changes {
            actions.push(Act::Change);
        }
    }

    fn next_state(&self, last: &State, action: Act) -> Option<State> {
        let mut state = last.clone();
        let time = now(state.at);
        match action {
            Act::Tick => state.tick(),
            Act::Ask(n) => {
                state.asks += u8::from(self.held);
                state.send_request(n);
            }
            Act::ReadResponse(m) => state.answer_request(m)?,
            Act::Deliver(m) => state.deliver(m)?,
            Act::Lose(m) => drop(state.msgs.remove(m)),
            Act::Repeat(m) => state.msgs.push(state.msgs[m].clone()),
            Act::Call(n) => state.begin_attempt(n),
            Act::End(n, known) => state.end_attempt(n, known)?,
            Act::Crash(n) => {
                let boot = state.nodes[n].boot + 1;
                state.nodes[n] = Node { boot, ..node() };
                state.crashes += 1;
            }
            Act::Lead => {
                state.reclaimer = Shown(LeaseReclaimer::new(time, TERMS));
                state.leaders += 1;
            }
            Act::Suspect(n) => state.suspect(n),
            Act::Watch => {
                for operation in state.reclaimer.0.poll_operations(time, &last.book.0) {
                    state.command(operation);
                }
            }
            Act::Change => {
                let out = RecordBody::OutOfService([format!("w{}", state.changes)].into());
                state.command(put("workers/out", state.changes + 1, out));
                state.changes += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no more calls run than there are seats",
                |_, state: &State| state.running.len() <= 1,
            ),
            Property::always(
                "no two versions of an exclusive record act",
                |_, state: &State| {
                    let acting: Vec<u64> = state
                        .nodes
                        .iter()
                        .filter_map(|node| state.version(node))
                        .collect();
                    acting.windows(2).all(|pair| pair[0] == pair[1])
                },
            ),
            // Else nothing was tried.
            Property::sometimes("a call runs", |_, state: &State| !state.running.is_empty()),
            Property::sometimes(
                "a node that was started anew has the seat",
                |_, state: &State| {
                    let again = |node: &Node| node.boot > 1 && !node.calls.is_empty();
                    state.nodes.iter().any(again)
                },
            ),
            Property::sometimes("a later version acts", |_, state: &State| {
                state
                    .nodes
                    .iter()
                    .any(|node| state.version(node) == Some(2))
            }),
        ]
    }
}

/// Looks at every state to this depth. Of the things that must happen at times, these must have.
fn search(fleet: Fleet, depth: usize, seen: &[&'static str]) {
    let more = std::env::var("MARBLEDECK_DEPTH")
        .ok()
        .and_then(|n| n.parse::<usize>().ok());
    let depth = depth + more.unwrap_or(0);
    let checker = fleet
        .checker()
        .threads(1)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    let (all, different) = (checker.state_count(), checker.unique_state_count());
    println!("{all} states, {different} of them different, to depth {depth}");
    for always in [
        "no more calls run than there are seats",
        "no two versions of an exclusive record act",
    ] {
        if let Some(path) = checker.discovery(always) {
            panic!("{always}: {:?}", path.into_actions());
        }
    }
    for sometimes in seen {
        assert!(checker.discovery(sometimes).is_some(), "never: {sometimes}");
    }
}

/// Seats with lost and repeated messages, a crash and another leader.
#[test]
fn seats_in_every_order() {
    let fleet = Fleet {
        until: 4,
        msgs: 2,
        crashes: 1,
        leaders: 1,
        changes: 0,
        held: false,
    };
    search(fleet, 9, &["a call runs"]);
}

/// A node that holds the seat is taken for dead, rightly or not, while it goes on as it may.
#[test]
fn seats_of_a_node_taken_for_dead() {
    let fleet = Fleet {
        until: 4,
        msgs: 2,
        crashes: 0,
        leaders: 0,
        changes: 0,
        held: true,
    };
    search(fleet, 11, &["a call runs"]);
}

/// An exclusive record that is changed.
#[test]
fn activation_in_every_order() {
    let fleet = Fleet {
        until: 4,
        msgs: 2,
        crashes: 0,
        leaders: 0,
        changes: 1,
        held: false,
    };
    search(fleet, 10, &["a later version acts"]);
}
