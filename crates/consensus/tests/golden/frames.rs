//! Frames between nodes.

use crate::samples::{commands, outcomes, records};
use crate::{assert_golden, hex, json};
use marbledeck_consensus::wire::{
    decode, encode, Frame, NodeMessage, ReadResponse, MAX_COMMANDS_PER_REQUEST, MAX_FRAME_BYTES,
    MAX_REQUEST_BYTES,
};
use std::fmt::Write as _;

/// Length and kind of a frame, before its body.
const HEAD_BYTES: usize = 5;

fn full_answer() -> ReadResponse {
    ReadResponse {
        request_id: 17,
        revision: 4711,
        records: records(),
        last_seat_operation: 5,
        last_change: Some((6, outcomes().remove(0))),
        seats: vec![
            ("av1".into(), String::new(), 3, 0),
            ("av1".into(), "news".into(), 4, 2),
        ],
        free_seats: vec![("aac".into(), 0), ("av1".into(), 33)],
        stale: true,
    }
}

/// A message of every kind, but for those of the consensus library.
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn messages() -> Vec<(String, NodeMessage)> {
    let mut messages = vec![
        (
            "hello of a node".to_owned(),
            NodeMessage::Hello {
                fleet: "fleet-1".into(),
                node: 4,
                voter: None,
            },
        ),
        (
            "hello of a voter".to_owned(),
            NodeMessage::Hello {
                fleet: "fleet-1".into(),
                node: 1,
                voter: Some((1, 0xfedc_ba98_7654_3210)),
            },
        ),
        ("welcome".to_owned(), NodeMessage::Welcome { voter: 2 }),
        ("denied".to_owned(), NodeMessage::Denied { voter: u64::MAX }),
        (
            "question without commands".to_owned(),
            NodeMessage::ReadRequest {
                request_id: 1,
                known_revision: 0,
                incarnation: 1_700_000_000_000_000,
                commands: Vec::new(),
            },
        ),
        (
            "question with commands".to_owned(),
            NodeMessage::ReadRequest {
                request_id: 17,
                known_revision: 4710,
                incarnation: 1_700_000_000_000_000,
                commands: commands().into_iter().map(|(_, command)| command).collect(),
            },
        ),
        (
            "empty answer".to_owned(),
            NodeMessage::ReadResponse(Box::default()),
        ),
        (
            "full answer".to_owned(),
            NodeMessage::ReadResponse(Box::new(full_answer())),
        ),
        (
            "nobody was heard".to_owned(),
            NodeMessage::ContactReport { nodes: Vec::new() },
        ),
        (
            "nodes were heard".to_owned(),
            NodeMessage::ContactReport {
                nodes: vec![(4, 1_700_000_000_000_000), (5, u64::MAX)],
            },
        ),
    ];
    for (number, outcome) in outcomes().into_iter().enumerate() {
        let answer = ReadResponse {
            last_change: Some((number as u64, outcome)),
            ..ReadResponse::default()
        };
        let label = format!("answer with outcome {number}");
        messages.push((label, NodeMessage::ReadResponse(Box::new(answer))));
    }
    messages
}

/// Head in hexadecimal, body as the text that it is.
fn frame_lines(label: &str, bytes: &[u8]) -> String {
    let (head, body) = bytes.split_at(HEAD_BYTES);
    let body = std::str::from_utf8(body).expect("JSON");
    format!("{label}\n  head {}\n  body {body}\n", hex(head))
}

#[test]
fn every_message_is_framed_and_read_back() {
    let mut text = String::new();
    let mut stream = Vec::new();
    for (label, message) in messages() {
        let bytes = encode(&Frame::Node(Box::new(message)));
        text += &frame_lines(&label, &bytes);
        stream.extend(bytes);
    }
    // All of them in one stream, as a connection brings them.
    let mut rest = stream.as_slice();
    for (label, message) in messages() {
        let decoded = decode(rest).expect("a frame").expect("a whole frame");
        let (Frame::Node(said), used) = decoded else {
            panic!("{label}: decoded to another kind");
        };
        assert!(*said == message, "{label}: decoded to another message");
        rest = &rest[used..];
    }
    assert!(rest.is_empty());
    assert_golden("frames", &text);
}

#[test]
fn a_message_of_the_consensus_library_is_framed_as_it_is() {
    let mut text = String::new();
    for body in [&b""[..], b"\x00\x01\xfe\xff", b"{\"not\":\"JSON here\"}"] {
        let bytes = encode(&Frame::Raft(body.to_vec()));
        writeln!(text, "body {}: {}", hex(body), hex(&bytes)).expect("a string takes it");
        let (frame, used) = decode(&bytes).expect("a frame").expect("a whole frame");
        assert!(matches!(frame, Frame::Raft(decoded) if decoded == body));
        assert_eq!(used, bytes.len());
    }
    assert_golden("raft_frames", &text);
}

/// What seats an answer tells its asker that it holds.
#[test]
fn held_seats_of_an_answer() {
    let mut text = String::new();
    for part in full_answer().held_seats() {
        let (pool, tenant) = (part.pool, part.tenant);
        let (seats, recalled) = (part.seats, part.recalled);
        writeln!(
            text,
            "pool '{pool}', tenant '{tenant}': {seats} seats, {recalled} asked back"
        )
        .expect("a string takes it");
    }
    assert_golden("held_seats", &text);
}

/// Frames that are decoded though this code writes them otherwise, and those that end a connection.
#[test]
fn frames_in_other_forms() {
    let said = |body: &str| {
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.push(b'S');
        bytes.extend(body.as_bytes());
        bytes
    };
    let length = MAX_FRAME_BYTES as u32;
    let long_head = |length: u32| [length.to_be_bytes().as_slice(), b"R"].concat();
    let cases = [
        ("nothing", Vec::new()),
        ("part of a head", vec![0, 0, 0, 9]),
        (
            "part of a body",
            said(r#"{"Welcome":{"voter":2}}"#)[..12].to_vec(),
        ),
        ("longest head", long_head(length)),
        ("too long", long_head(length + 1)),
        ("unknown kind", vec![0, 0, 0, 0, b'X']),
        ("spaces", said(r#" { "Welcome" : { "voter" : 2 } } "#)),
        ("unknown key", said(r#"{"Welcome":{"voter":2,"more":3}}"#)),
        (
            "no key for the voter",
            said(r#"{"Hello":{"fleet":"fleet-1","node":4}}"#),
        ),
        ("unknown message", said(r#"{"Leave":{"voter":2}}"#)),
        ("missing key", said(r#"{"Welcome":{}}"#)),
        ("not JSON", said("welcome")),
        ("more after it", said(r#"{"Welcome":{"voter":2}}{}"#)),
    ];
    let mut text = format!(
        "longest frame: {MAX_FRAME_BYTES}\nlongest of a node that does not vote: {MAX_REQUEST_BYTES}\n\
         commands at most: {MAX_COMMANDS_PER_REQUEST}\n"
    );
    for (label, bytes) in cases {
        let outcome = match decode(&bytes) {
            Ok(None) => "not whole yet".to_owned(),
            Ok(Some((Frame::Raft(body), used))) => format!("{used} bytes, raft {}", hex(&body)),
            Ok(Some((Frame::Node(said), used))) => format!("{used} bytes, {}", json(&*said)),
            Err(error) => format!("error: {error}"),
        };
        writeln!(text, "{label}: {}\n  => {outcome}", bytes.escape_ascii())
            .expect("a string takes it");
    }
    assert_golden("other_frames", &text);
}
