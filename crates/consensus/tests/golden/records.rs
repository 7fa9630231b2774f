//! Encoded records, changes and commands, as operators send them and as the log holds them.

use crate::samples::{bodies, change, command, commands, outcomes, records};
use crate::{assert_golden, decoded_line, json_line};
use marbledeck_consensus::{
    Change, Command, CommandSequence, Operation, Outcome, Rates, Record, RecordBody, Site,
};

#[test]
fn records_encode_and_decode() {
    let mut text = String::new();
    for (name, body) in bodies() {
        text += &json_line(&format!("body of {name}"), &body);
    }
    for (name, record) in records() {
        text += &json_line(&format!("record {name}"), &record);
    }
    let lines = [
        decoded_line::<Record>(
            "without exclusive",
            r#"{"version":1,"body":{"out":[]},"changed":2}"#,
        ),
        decoded_line::<Record>("without body", r#"{"version":1,"changed":2}"#),
        decoded_line::<Record>("without changed", r#"{"version":1,"body":null}"#),
        decoded_line::<Record>(
            "unknown key",
            r#"{"version":1,"body":null,"changed":2,"more":3}"#,
        ),
        decoded_line::<RecordBody>(
            "pool with defaults",
            r#"{"pool":{"seats":1,"longest_run_ms":2}}"#,
        ),
        decoded_line::<RecordBody>(
            "site with defaults",
            r#"{"site":{"address":"127.0.0.1:7001","catalog":{}}}"#,
        ),
        decoded_line::<RecordBody>("unknown body", r#"{"colour":"red"}"#),
        decoded_line::<Rates>("rates, unknown key", r#"{"per_s":{},"per_m":{}}"#),
        decoded_line::<Rates>("rates, whole number", r#"{"per_s":{"news":3}}"#),
        decoded_line::<Site>(
            "site without a port",
            r#"{"address":"127.0.0.1","catalog":{}}"#,
        ),
    ];
    text += &lines.concat();
    assert_golden("records", &text);
}

#[test]
fn changes_encode_and_decode() {
    let lines = [
        json_line("empty", &Change::default()),
        json_line("full", &change()),
        decoded_line::<Change>(
            "without exclusive",
            r#"{"expect":{"workers/out":0},"put":{"workers/out":{"out":["worker-1"]}}}"#,
        ),
        decoded_line::<Change>(
            "removal",
            r#"{"expect":{"workers/out":1},"put":{"workers/out":null}}"#,
        ),
        decoded_line::<Change>("without expect", r#"{"put":{}}"#),
        decoded_line::<Change>("unknown key", r#"{"expect":{},"put":{},"force":true}"#),
    ];
    assert_golden("changes", &lines.concat());
}

#[test]
fn commands_of_the_log_encode_and_decode() {
    let mut text = String::new();
    for (label, command) in commands() {
        text += &json_line(label, &command);
        let permission = if command.is_allowed_for_nodes() {
            "may"
        } else {
            "may not"
        };
        text += &format!("  a node {permission} request it\n");
        text += &json_line("  sequence", &command.sequence());
    }
    let empty = command(4, 1, 1, Operation::Change(Change::default()));
    text += &json_line("empty change", &empty);
    let lines = [
        json_line("sequence", &CommandSequence::Seats),
        json_line("sequence", &CommandSequence::Changes),
        decoded_line::<Command>(
            "keys in another order",
            r#"{"what":{"Seats":{"Reclaim":{"boot":2,"node":1}}},"number":0,"boot":0,"node":0}"#,
        ),
        decoded_line::<Command>(
            "unknown key",
            r#"{"node":0,"boot":0,"number":0,"what":{"Seats":{"Reclaim":{"node":1,"boot":2}}},"more":1}"#,
        ),
        decoded_line::<Command>(
            "unknown kind",
            r#"{"node":0,"boot":0,"number":0,"what":{"Lend":1}}"#,
        ),
        decoded_line::<Command>(
            "without number",
            r#"{"node":0,"boot":0,"what":{"Seats":{"Reclaim":{"node":1,"boot":2}}}}"#,
        ),
    ];
    text += &lines.concat();
    assert_golden("log_commands", &text);
}

#[test]
fn outcomes_encode_and_decode() {
    let mut text = String::new();
    for (number, outcome) in outcomes().into_iter().enumerate() {
        text += &json_line(&format!("outcome {number}"), &outcome);
    }
    text += &decoded_line::<Outcome>("unknown outcome", r#""Pending""#);
    assert_golden("outcomes", &text);
}
