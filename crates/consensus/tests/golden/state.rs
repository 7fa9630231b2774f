//! The state that the voters keep, as a snapshot holds it, after each command of a history.

use crate::samples::{command, give_back, names, pool, put, rates, site, want};
use crate::{assert_golden, json, json_line};
use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::{Command, Operation, RecordBody, ReplicatedState};
use marbledeck_licensing::LedgerCommand;

/// Commands that bring every part of the state about: records that are written, exclusive and removed; seats that are
/// held, owed and draining; nodes with a last command of each stream, and one that was refused.
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
    let change =
        |node, boot, number, change| command(node, boot, number, Operation::Change(change));
    let seats = |node, boot, number, what| command(node, boot, number, Operation::Seats(what));
    vec![
        ("pools", change(1, 100, 1, pools)),
        ("settings", change(1, 100, 2, settings)),
        ("sites", change(2, 200, 1, sites)),
        (
            "node 1 wants seats",
            seats(1, 100, 1, want("av1", "sport", 8)),
        ),
        (
            "node 2 wants the rest",
            seats(2, 200, 1, want("av1", "", 5)),
        ),
        (
            "node 3 wants seats",
            seats(3, 300, 1, want("aac", "news", 2)),
        ),
        ("a part is guaranteed", change(1, 100, 3, guarantee)),
        (
            "node 2 is owed seats",
            seats(2, 200, 2, want("av1", "news", 3)),
        ),
        (
            "node 1 gives some back",
            seats(1, 100, 2, give_back("av1", "sport", 1)),
        ),
        ("an outdated change", change(3, 300, 1, outdated)),
        (
            "node 3 is gone",
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
            "node 1 starts anew",
            seats(1, 101, 1, want("av1", "sport", 1)),
        ),
        (
            "its earlier start still sends",
            seats(1, 100, 3, want("av1", "sport", 1)),
        ),
        (
            "node 3's seats are free",
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
        ("a repeat", seats(2, 200, 2, want("av1", "news", 3))),
    ]
}

#[test]
fn state_after_each_command() {
    let mut book = ReplicatedState::default();
    let mut text = json_line("empty", &book);
    for (label, command) in history() {
        let mut decoded: ReplicatedState = serde_json::from_str(&json(&book)).expect("a snapshot");
        let outcome = book.apply(&command);
        assert!(
            decoded.apply(&command) == outcome && decoded == book,
            "{label}: the decoded state went another way"
        );
        text += &format!("{label}: {}\n  ", json(&outcome));
        text += &json_line("state", &book);
    }
    assert_golden("state", &text);
}

/// The responses that nodes get at the history's end.
#[test]
fn answers_from_the_state() {
    let mut book = ReplicatedState::default();
    for (_, command) in history() {
        book.apply(&command);
    }
    let askers = [
        ("node 1, all", 1, 101, 0),
        ("node 1, its earlier start", 1, 100, 0),
        ("node 2, what has changed of late", 2, 200, 6),
        ("node 2, nothing new", 2, 200, book.revision()),
        ("node 3, whose change was refused", 3, 300, 14),
        ("a node that was never heard", 9, 1, 14),
    ];
    let mut text = String::new();
    for (question, (label, node, boot, known)) in askers.into_iter().enumerate() {
        let answer = ReadResponse::new(&book, node, boot, question as u64, known);
        text += &json_line(label, &answer);
    }
    assert_golden("answers", &text);
}
