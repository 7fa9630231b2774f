//! The encoded replicated state after each command of a history.

use crate::samples::{command, names, pool, put, rates, request_seats, return_seats, site};
use crate::{assert_golden, json, json_line};
use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::{Command, Operation, RecordBody, ReplicatedState};
use marbledeck_licensing::LedgerCommand;

/// Commands that produce every part of the state: written, exclusive and removed records; held, owed and draining seats;
/// nodes with a last command of each sequence, and a rejected command.
#[expect(clippy::too_many_lines, reason = "a table of cases")]
pub fn history() -> Vec<(&'static str, Command)> {
    let pools = put(
        &[
            ("seats/aac", 0, Some(RecordBody::Pool(pool(3, &[])))),
            ("seats/av1", 0, Some(RecordBody::Pool(pool(10, &[])))),
        ],
        &[],
    );
    let settings = put(
        &[
            ("settings/rates", 0, Some(RecordBody::Rates(rates()))),
            (
                "workers/out",
                0,
                Some(RecordBody::OutOfService(names(&["worker-1"]))),
            ),
        ],
        &["settings/rates"],
    );
    let sites = put(
        &[
            (
                "sites/east",
                0,
                Some(RecordBody::Site(site("127.0.0.1:7001"))),
            ),
            ("sites/west", 0, Some(RecordBody::Site(site("[::1]:7002")))),
        ],
        &["sites/west"],
    );
    let guarantee = put(
        &[(
            "seats/av1",
            1,
            Some(RecordBody::Pool(pool(10, &[("news", 4)]))),
        )],
        &[],
    );
    let removal = put(&[("seats/aac", 1, None)], &[]);
    let outdated = put(&[("workers/out", 0, None)], &[]);
    let change = |node, incarnation, number, change| {
        command(node, incarnation, number, Operation::Change(change))
    };
    let seats = |node, incarnation, number, operation| {
        command(node, incarnation, number, Operation::Seats(operation))
    };
    vec![
        ("pools", change(1, 100, 1, pools)),
        ("settings", change(1, 100, 2, settings)),
        ("sites", change(2, 200, 1, sites)),
        (
            "node 1 requests seats",
            seats(1, 100, 1, request_seats("av1", "sport", 8)),
        ),
        (
            "node 2 requests the rest",
            seats(2, 200, 1, request_seats("av1", "", 5)),
        ),
        (
            "node 3 requests seats",
            seats(3, 300, 1, request_seats("aac", "news", 2)),
        ),
        (
            "seats are guaranteed to a tenant",
            change(1, 100, 3, guarantee),
        ),
        (
            "node 2 requests seats that others hold",
            seats(2, 200, 2, request_seats("av1", "news", 3)),
        ),
        (
            "node 1 returns a seat",
            seats(1, 100, 2, return_seats("av1", "sport", 1)),
        ),
        ("an outdated change", change(3, 300, 1, outdated)),
        (
            "node 3's seats are reclaimed",
            seats(
                0,
                0,
                0,
                LedgerCommand::Reclaim {
                    node: 3,
                    incarnation: 300,
                },
            ),
        ),
        (
            "node 1 is restarted",
            seats(1, 101, 1, request_seats("av1", "sport", 1)),
        ),
        (
            "a command of node 1's earlier incarnation",
            seats(1, 100, 3, request_seats("av1", "sport", 1)),
        ),
        (
            "node 3's drained seats are freed",
            seats(
                0,
                0,
                0,
                LedgerCommand::FreeDrained {
                    pool: "aac".into(),
                    draining_id: 0,
                },
            ),
        ),
        ("a pool is removed", change(2, 200, 2, removal)),
        (
            "a repeat",
            seats(2, 200, 2, request_seats("av1", "news", 3)),
        ),
    ]
}

#[test]
fn state_after_each_command() {
    let mut state = ReplicatedState::default();
    let mut text = json_line("empty", &state);
    for (label, command) in history() {
        let mut decoded: ReplicatedState = serde_json::from_str(&json(&state)).expect("a snapshot");
        let outcome = state.apply(&command);
        assert!(
            decoded.apply(&command) == outcome && decoded == state,
            "{label}: the decoded state differs after the command"
        );
        text += &format!("{label}: {}\n  ", json(&outcome));
        text += &json_line("state", &state);
    }
    assert_golden("state", &text);
}

/// The responses to read requests of nodes at the end of the history.
#[test]
fn read_responses_from_the_state() {
    let mut state = ReplicatedState::default();
    for (_, command) in history() {
        state.apply(&command);
    }
    let requests = [
        ("node 1, all", 1, 101, 0),
        ("node 1, earlier incarnation", 1, 100, 0),
        ("node 2, recent changes", 2, 200, 6),
        ("node 2, no changes", 2, 200, state.revision()),
        ("node 3, whose change was rejected", 3, 300, 14),
        ("an unknown node", 9, 1, 14),
    ];
    let mut text = String::new();
    for (request_id, (label, node, incarnation, known_revision)) in requests.into_iter().enumerate()
    {
        let response =
            ReadResponse::new(&state, node, incarnation, request_id as u64, known_revision);
        text += &json_line(label, &response);
    }
    assert_golden("read_responses", &text);
}
