//! Frames between nodes.

use crate::samples::{commands, outcomes, records};
use crate::{assert_golden, hex, json};
use marbledeck_consensus::wire::{
    decode, encode, Frame, NodeMessage, ReadResponse, MAX_COMMANDS_PER_REQUEST, MAX_FRAME_BYTES,
    MAX_REQUEST_BYTES,
};
use std::fmt::Write as _;

/// Length of the header before a frame's body.
const HEADER_BYTES: usize = 5;

fn full_response() -> ReadResponse {
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

/// A message of every kind except those of the consensus library.
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
            "read request without commands".to_owned(),
            NodeMessage::ReadRequest {
                request_id: 1,
                known_revision: 0,
                incarnation: 1_700_000_000_000_000,
                commands: Vec::new(),
            },
        ),
        (
            "read request with commands".to_owned(),
            NodeMessage::ReadRequest {
                request_id: 17,
                known_revision: 4710,
                incarnation: 1_700_000_000_000_000,
                commands: commands().into_iter().map(|(_, command)| command).collect(),
            },
        ),
        (
            "empty read response".to_owned(),
            NodeMessage::ReadResponse(Box::default()),
        ),
        (
            "full read response".to_owned(),
            NodeMessage::ReadResponse(Box::new(full_response())),
        ),
        (
            "contact report without nodes".to_owned(),
            NodeMessage::ContactReport { nodes: Vec::new() },
        ),
        (
            "contact report with nodes".to_owned(),
            NodeMessage::ContactReport {
                nodes: vec![(4, 1_700_000_000_000_000), (5, u64::MAX)],
            },
        ),
    ];
    for (number, outcome) in outcomes().into_iter().enumerate() {
        let response = ReadResponse {
            last_change: Some((number as u64, outcome)),
            ..ReadResponse::default()
        };
        let label = format!("read response with outcome {number}");
        messages.push((label, NodeMessage::ReadResponse(Box::new(response))));
    }
    messages
}

/// The header in hexadecimal, and the body as text.
fn frame_lines(label: &str, bytes: &[u8]) -> String {
    let (header, body) = bytes.split_at(HEADER_BYTES);
    let body = std::str::from_utf8(body).expect("JSON");
    format!("{label}\n  header {}\n  body {body}\n", hex(header))
}

#[test]
fn every_message_is_encoded_and_decoded() {
    let mut text = String::new();
    let mut stream = Vec::new();
    for (label, message) in messages() {
        let bytes = encode(&Frame::Node(Box::new(message)));
        text += &frame_lines(&label, &bytes);
        stream.extend(bytes);
    }
    // All frames are decoded from one stream, as on a connection.
    let mut rest = stream.as_slice();
    for (label, message) in messages() {
        let decoded = decode(rest).expect("a frame").expect("a complete frame");
        let (Frame::Node(actual), used) = decoded else {
            panic!("{label}: decoded to another kind");
        };
        assert!(*actual == message, "{label}: decoded to another message");
        rest = &rest[used..];
    }
    assert!(rest.is_empty());
    assert_golden("frames", &text);
}

#[test]
fn a_message_of_the_consensus_library_is_framed_unmodified() {
    let mut text = String::new();
    for body in [&b""[..], b"\x00\x01\xfe\xff", b"{\"not\":\"JSON here\"}"] {
        let bytes = encode(&Frame::Raft(body.to_vec()));
        writeln!(text, "body {}: {}", hex(body), hex(&bytes))
            .expect("formatting into a string succeeds");
        let (frame, used) = decode(&bytes).expect("a frame").expect("a complete frame");
        assert!(matches!(frame, Frame::Raft(decoded) if decoded == body));
        assert_eq!(used, bytes.len());
    }
    assert_golden("raft_frames", &text);
}

/// The seats that a read response tells its node that it holds.
#[test]
fn held_seats_of_a_read_response() {
    let mut text = String::new();
    for held in full_response().held_seats() {
        let (pool, tenant) = (held.pool, held.tenant);
        let (seats, recalled) = (held.seats, held.recalled);
        writeln!(
            text,
            "pool '{pool}', tenant '{tenant}': {seats} seats, {recalled} recalled"
        )
        .expect("formatting into a string succeeds");
    }
    assert_golden("held_seats", &text);
}

/// Frames that are decoded although this code encodes them differently, and malformed ones, which end a connection.
#[test]
fn frames_of_other_forms_and_malformed_frames() {
    let node_frame = |body: &str| {
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.push(b'S');
        bytes.extend(body.as_bytes());
        bytes
    };
    let length = MAX_FRAME_BYTES as u32;
    let header_with_length = |length: u32| [length.to_be_bytes().as_slice(), b"R"].concat();
    let cases = [
        ("nothing", Vec::new()),
        ("incomplete header", vec![0, 0, 0, 9]),
        (
            "incomplete body",
            node_frame(r#"{"Welcome":{"voter":2}}"#)[..12].to_vec(),
        ),
        ("header of the longest frame", header_with_length(length)),
        ("too long", header_with_length(length + 1)),
        ("unknown kind", vec![0, 0, 0, 0, b'X']),
        (
            "white space",
            node_frame(r#" { "Welcome" : { "voter" : 2 } } "#),
        ),
        (
            "unknown key",
            node_frame(r#"{"Welcome":{"voter":2,"more":3}}"#),
        ),
        (
            "no key for the voter",
            node_frame(r#"{"Hello":{"fleet":"fleet-1","node":4}}"#),
        ),
        ("unknown message", node_frame(r#"{"Leave":{"voter":2}}"#)),
        ("missing key", node_frame(r#"{"Welcome":{}}"#)),
        ("not JSON", node_frame("welcome")),
        ("trailing data", node_frame(r#"{"Welcome":{"voter":2}}{}"#)),
    ];
    let mut text = format!(
        "maximum frame: {MAX_FRAME_BYTES}\nmaximum frame of a node that is not a voter: {MAX_REQUEST_BYTES}\n\
         maximum commands in a request: {MAX_COMMANDS_PER_REQUEST}\n"
    );
    for (label, bytes) in cases {
        let outcome = match decode(&bytes) {
            Ok(None) => "incomplete".to_owned(),
            Ok(Some((Frame::Raft(body), used))) => format!("{used} bytes, raft {}", hex(&body)),
            Ok(Some((Frame::Node(message), used))) => format!("{used} bytes, {}", json(&*message)),
            Err(error) => format!("error: {error}"),
        };
        writeln!(text, "{label}: {}\n  => {outcome}", bytes.escape_ascii())
            .expect("formatting into a string succeeds");
    }
    assert_golden("other_frames", &text);
}
