//! Golden forms of pools, of the moves of seats as they are written into the log, and of the ledger in a snapshot.
//!
//! The snapshots were written before any rename of the code. A test here may follow a renamed item; a snapshot that
//! changes is a change of what is stored and sent.

use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{Block, Desk, Ebb, Ledger, Move, NoSeat, Part, Pool, Reading};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Write as _;

fn assert_golden(name: &str, text: &str) {
    insta::with_settings!(
        { prepend_module_to_snapshot => false, omit_expression => true },
        { insta::assert_snapshot!(name, text) }
    );
}

/// One line of a snapshot: the label and the JSON, which must decode to an equal value.
fn json_line<T: Serialize + DeserializeOwned + PartialEq>(label: &str, value: &T) -> String {
    let json = serde_json::to_string(value).expect("a value that can be encoded");
    let decoded: T = serde_json::from_str(&json).expect("a value that can be decoded");
    assert!(decoded == *value, "{label}: decoded to another value");
    format!("{label}: {json}\n")
}

/// One line of a snapshot: what a given text is decoded to, encoded again, or the error.
fn decoded_line<T: Serialize + DeserializeOwned>(label: &str, json: &str) -> String {
    let outcome = match serde_json::from_str::<T>(json) {
        Ok(value) => serde_json::to_string(&value).expect("a value that can be encoded"),
        Err(error) => format!("error: {error}"),
    };
    format!("{label}: {json}\n  => {outcome}\n")
}

fn pool(seats: u32, guaranteed: &[(&str, u32)]) -> Pool {
    let guaranteed = guaranteed
        .iter()
        .map(|(tenant, part)| ((*tenant).to_owned(), *part));
    Pool {
        seats,
        guaranteed: guaranteed.collect(),
        longest_run_ms: 90_000,
    }
}

fn want(pool: &str, tenant: &str, seats: u32) -> Move {
    Move::Want {
        pool: pool.into(),
        tenant: tenant.into(),
        seats,
    }
}

fn give_back(pool: &str, tenant: &str, seats: u32) -> Move {
    Move::Return {
        pool: pool.into(),
        tenant: tenant.into(),
        seats,
    }
}

#[test]
fn pools_encode_and_decode() {
    let largest = Pool {
        seats: u32::MAX,
        guaranteed: [(String::new(), u32::MAX)].into(),
        longest_run_ms: u64::MAX,
    };
    let lines = [
        json_line("default", &Pool::default()),
        json_line("full", &pool(40, &[("sport", 5), ("news", 10)])),
        json_line("largest numbers", &largest),
        decoded_line::<Pool>("without guaranteed", r#"{"seats":4,"longest_run_ms":1000}"#),
        decoded_line::<Pool>("without seats", r#"{"longest_run_ms":1000}"#),
        decoded_line::<Pool>("without longest run", r#"{"seats":4}"#),
        decoded_line::<Pool>(
            "unknown key",
            r#"{"seats":4,"longest_run_ms":1,"colour":2}"#,
        ),
    ];
    assert_golden("pools", &lines.concat());
}

#[test]
fn moves_encode_and_decode() {
    let reclaim = Move::Reclaim {
        node: 3,
        boot: u64::MAX,
    };
    let free = Move::Free {
        pool: "av1".into(),
        ebb: 12,
    };
    let block = Block {
        node: 3,
        boot: 1_700_000_000_000_000,
        tenant: "news".into(),
        seats: 4,
    };
    let ebb = Ebb {
        node: 3,
        tenant: "news".into(),
        seats: 4,
        longest_run_ms: 90_000,
    };
    let lines = [
        json_line("want", &want("av1", "news", 4)),
        json_line("want, no tenant", &want("av1", "", u32::MAX)),
        json_line("give back", &give_back("av1", "news", 2)),
        json_line("reclaim", &reclaim),
        json_line("free", &free),
        json_line("block", &block),
        json_line("draining seats", &ebb),
        decoded_line::<Move>("unknown variant", r#"{"Lend":{"pool":"av1"}}"#),
        decoded_line::<Move>(
            "unknown key",
            r#"{"Free":{"pool":"av1","ebb":1,"colour":2}}"#,
        ),
        decoded_line::<Move>("missing key", r#"{"Free":{"pool":"av1"}}"#),
    ];
    assert_golden("moves", &lines.concat());
}

/// The ledger after each move of a history, as a snapshot holds it; it must decode to an equal one, which goes on alike.
#[test]
fn ledger_after_each_move() {
    let before = [("aac", pool(3, &[])), ("av1", pool(10, &[]))];
    let after = [("aac", pool(3, &[])), ("av1", pool(10, &[("news", 4)]))];
    let history = [
        ("wants of av1", 1, 100, want("av1", "sport", 8), &before),
        ("wants of aac", 2, 200, want("aac", "", 2), &before),
        ("wants the rest", 2, 200, want("av1", "sport", 5), &before),
        ("is owed seats", 2, 200, want("av1", "news", 3), &after),
        (
            "gives some back",
            1,
            100,
            give_back("av1", "sport", 1),
            &after,
        ),
        ("gets what was owed", 2, 200, want("av1", "news", 1), &after),
        ("node 1 starts anew", 1, 101, want("aac", "", 1), &after),
        (
            "node 2 is reclaimed",
            0,
            0,
            Move::Reclaim { node: 2, boot: 200 },
            &after,
        ),
        (
            "draining seats are free",
            0,
            0,
            Move::Free {
                pool: "av1".into(),
                ebb: 0,
            },
            &after,
        ),
        ("no such pool", 3, 300, want("opus", "", 1), &after),
    ];
    let mut ledger = Ledger::default();
    let mut text = json_line("empty", &ledger);
    for (label, node, boot, what, pools) in history {
        let json = serde_json::to_string(&ledger).expect("encoded");
        let mut decoded: Ledger = serde_json::from_str(&json).expect("decoded");
        let find = |name: &str| {
            let mut named = pools.iter().filter(|(pool, _)| *pool == name);
            named.next().map(|(_, pool)| pool)
        };
        ledger.apply(node, boot, &what, find);
        decoded.apply(node, boot, &what, find);
        assert!(
            decoded == ledger,
            "{label}: the decoded one went another way"
        );
        text += &json_line(label, &ledger);
        for (name, pool) in pools {
            let (free, taken) = (ledger.free(name, pool), ledger.taken(name));
            let recalled = ledger.recalled(name, pool, "sport");
            writeln!(
                text,
                "  {name}: {free} free, {taken} taken, {recalled} asked back of sport"
            )
            .expect("a string takes it");
        }
    }
    assert_golden("ledger", &text);
}

/// What a node sends for its own seats, from the jobs that it has.
#[test]
fn commands_of_a_node() {
    let licences = vec!["av1".to_owned()];
    let tenants = vec!["news".to_owned(), "sport".to_owned()];
    let mut desk = Desk::new(licences, tenants, Micros(1_000_000));
    let reading = |done: u64, seats: u32, recalled: u32| Reading {
        until: Micros(60_000_000),
        done,
        parts: vec![Part {
            pool: "av1".into(),
            tenant: "news".into(),
            seats,
            recalled,
        }],
        pools: vec![("av1".into(), Micros(1_000_000))],
        free: vec![("av1".into(), 5)],
    };
    let mut text = String::new();
    let mut tell = |label: &str, command: Option<(u64, Move)>| {
        let word = command.map_or("nothing".to_owned(), |(number, what)| {
            let json = serde_json::to_string(&what).expect("encoded");
            format!("command {number}: {json}")
        });
        writeln!(text, "{label}: {word}").expect("a string takes it");
    };
    let licence = [desk.licence("av1").expect("a licence of the settings")];
    desk.read(&reading(0, 0, 0));
    tell("at first", desk.command(Micros(1)));
    let _ = desk.take(Micros(2), &licence, 0);
    tell("a job found no seat", desk.command(Micros(3)));
    tell("asked again", desk.command(Micros(4)));
    desk.read(&reading(1, 4, 0));
    tell("carried out", desk.command(Micros(5)));
    desk.read(&reading(1, 4, 3));
    tell("asked back", desk.command(Micros(6)));
    assert_golden("node_commands", &text);
}

#[test]
fn reasons_and_their_advice() {
    let reasons = [
        NoSeat::Taken("av1".into()),
        NoSeat::Unconfirmed("av1".into()),
        NoSeat::NoPool("av1".into()),
    ];
    let mut text = String::new();
    for reason in reasons {
        writeln!(text, "{reason}\n  advice: {}", reason.advice()).expect("a string takes it");
    }
    assert_golden("no_seat_texts", &text);
}
