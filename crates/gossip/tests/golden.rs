//! Compares the datagrams between nodes with recorded ones, byte by byte, and the owners of workers.

use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_gossip::message::Message;
use marbledeck_gossip::{owner_of, short_id, InFlightGossip};
use std::fmt::Write;

const NODES: usize = 5;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn messages() -> Vec<(&'static str, Message)> {
    let worker = 0xDEAD_BEEF;
    vec![
        (
            "count",
            Message::Count {
                worker,
                sequence: 255,
                in_flight: 3,
            },
        ),
        (
            "count over the limit",
            Message::Count {
                worker,
                sequence: 0,
                in_flight: 255,
            },
        ),
        ("query", Message::Query { worker }),
        (
            "answer",
            Message::Answer {
                worker,
                in_flight: Some(17),
            },
        ),
        (
            "answer over the limit",
            Message::Answer {
                worker,
                in_flight: Some(255),
            },
        ),
        (
            "answer unknown",
            Message::Answer {
                worker,
                in_flight: None,
            },
        ),
    ]
}

#[test]
fn datagrams_match_the_recorded_bytes() {
    let mut text = String::new();
    for (name, message) in messages() {
        writeln!(text, "{name}: {}", hex(&message.encode())).expect("writing to a string succeeds");
    }
    insta::assert_snapshot!("datagrams", text);
}

#[test]
fn valid_datagrams_are_decoded_and_invalid_ones_are_dropped() {
    for (name, message) in messages() {
        let decoded = Message::decode(&message.encode()).expect("the datagram is valid");
        assert_eq!(decoded.encode(), message.encode(), "{name}");
    }
    for invalid in [
        &[][..],
        &[0x21, 0, 0, 0, 1],
        &[0x12, 0, 0, 0, 1, 9],
        &[0x14, 0, 0, 0, 1],
    ] {
        assert!(Message::decode(invalid).is_none(), "{invalid:?}");
    }
}

#[test]
fn short_ids_and_owners_match_the_recorded_ones() {
    let mut text = String::new();
    for id in [0, 1, 0xFFFF_FFFF, 0x1_0000_0000, 0x0123_4567_89AB_CDEF] {
        let short_id_of_worker = short_id(WorkerId(id));
        let owners: Vec<usize> = [1, 2, 5, 300]
            .map(|nodes| owner_of(short_id_of_worker, nodes))
            .to_vec();
        writeln!(
            text,
            "{id:016x}: {short_id_of_worker:08x}, owners {owners:?}"
        )
        .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!("owners", text);
}

/// All datagrams of five nodes while attempts start, end and are queried.
#[test]
fn a_history_sends_the_recorded_datagrams() {
    let mut nodes: Vec<InFlightGossip> = (0..NODES)
        .map(|index| InFlightGossip::new(index, NODES, Micros(0)))
        .collect();
    let mut text = String::new();
    for step in 0..60_u64 {
        let now = Micros(step * 100_000);
        let worker = WorkerId((step % 7).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let node = &mut nodes[(step % NODES as u64) as usize];
        match step % 4 {
            0 | 1 => node.record_send(now, worker),
            2 => node.record_end(now, worker),
            _ => {
                let _ = node.query(now, worker);
            }
        }
        node.wake(now);
        deliver(&mut nodes, now, &mut text);
    }
    insta::assert_snapshot!("history", text);
}

fn deliver(nodes: &mut [InFlightGossip], now: Micros, text: &mut String) {
    for from in 0..nodes.len() {
        while let Some((to, bytes)) = nodes[from].next_datagram() {
            writeln!(text, "{:>7} {from} to {to}: {}", now.0, hex(&bytes))
                .expect("writing to a string succeeds");
            nodes[to].receive(now, from, &bytes);
        }
    }
}
