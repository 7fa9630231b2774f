//! Golden forms of pools, of the commands for seats as they are written into the log, and of the ledger in a snapshot.
//!
//! The snapshots were written before any rename of the code. A test here may follow a renamed item; a snapshot that
//! changes is a change of what is stored and sent.

use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{
    ConfirmedSeats, DrainingLease, Ledger, LedgerCommand, NumberedCommand, Pool, SeatAllocation,
    SeatAllocator, SeatError, SeatLease,
};
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

fn want(pool: &str, tenant: &str, seats: u32) -> LedgerCommand {
    LedgerCommand::Request {
        pool: pool.into(),
        tenant: tenant.into(),
        seats,
    }
}

fn give_back(pool: &str, tenant: &str, seats: u32) -> LedgerCommand {
    LedgerCommand::Return {
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
    let reclaim = LedgerCommand::Reclaim {
        node: 3,
        incarnation: u64::MAX,
    };
    let free = LedgerCommand::FreeDrained {
        pool: "av1".into(),
        draining_id: 12,
    };
    let lease = SeatLease {
        node: 3,
        incarnation: 1_700_000_000_000_000,
        tenant: "news".into(),
        seats: 4,
    };
    let draining = DrainingLease {
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
        json_line("block", &lease),
        json_line("draining seats", &draining),
        decoded_line::<LedgerCommand>("unknown variant", r#"{"Lend":{"pool":"av1"}}"#),
        decoded_line::<LedgerCommand>(
            "unknown key",
            r#"{"Free":{"pool":"av1","ebb":1,"colour":2}}"#,
        ),
        decoded_line::<LedgerCommand>("missing key", r#"{"Free":{"pool":"av1"}}"#),
    ];
    assert_golden("moves", &lines.concat());
}

/// The ledger after each command of a history, as a snapshot holds it; it must decode to an equal one, which goes on alike.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
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
            LedgerCommand::Reclaim {
                node: 2,
                incarnation: 200,
            },
            &after,
        ),
        (
            "draining seats are free",
            0,
            0,
            LedgerCommand::FreeDrained {
                pool: "av1".into(),
                draining_id: 0,
            },
            &after,
        ),
        ("no such pool", 3, 300, want("opus", "", 1), &after),
    ];
    let mut ledger = Ledger::default();
    let mut text = json_line("empty", &ledger);
    for (label, node, incarnation, command, pools) in history {
        let json = serde_json::to_string(&ledger).expect("encoded");
        let mut decoded: Ledger = serde_json::from_str(&json).expect("decoded");
        let find = |name: &str| {
            let mut named = pools.iter().filter(|(pool, _)| *pool == name);
            named.next().map(|(_, pool)| pool)
        };
        ledger.apply(node, incarnation, &command, find);
        decoded.apply(node, incarnation, &command, find);
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
    let mut allocator = SeatAllocator::new(licences, tenants, Micros(1_000_000));
    let confirmed = |done: u64, seats: u32, recalled: u32| ConfirmedSeats {
        lease_expiry: Micros(60_000_000),
        last_applied_command: done,
        allocations: vec![SeatAllocation {
            pool: "av1".into(),
            tenant: "news".into(),
            seats,
            recalled,
        }],
        pools: vec![("av1".into(), Micros(1_000_000))],
        free_seats: vec![("av1".into(), 5)],
    };
    let mut text = String::new();
    let mut record = |label: &str, command: Option<NumberedCommand>| {
        let outcome = command.map_or(
            "nothing".to_owned(),
            |NumberedCommand { number, command }| {
                let json = serde_json::to_string(&command).expect("encoded");
                format!("command {number}: {json}")
            },
        );
        writeln!(text, "{label}: {outcome}").expect("a string takes it");
    };
    let licence = [allocator
        .find_licence("av1")
        .expect("a licence of the settings")];
    allocator.apply_confirmed(&confirmed(0, 0, 0));
    record("at first", allocator.poll_command(Micros(1)));
    let _ = allocator.acquire(Micros(2), &licence, 0);
    record("a job found no seat", allocator.poll_command(Micros(3)));
    record("asked again", allocator.poll_command(Micros(4)));
    allocator.apply_confirmed(&confirmed(1, 4, 0));
    record("carried out", allocator.poll_command(Micros(5)));
    allocator.apply_confirmed(&confirmed(1, 4, 3));
    record("asked back", allocator.poll_command(Micros(6)));
    assert_golden("node_commands", &text);
}

#[test]
fn reasons_and_their_advice() {
    let reasons = [
        SeatError::NoneFree("av1".into()),
        SeatError::Unconfirmed("av1".into()),
        SeatError::UnknownPool("av1".into()),
    ];
    let mut text = String::new();
    for reason in reasons {
        writeln!(text, "{reason}\n  advice: {}", reason.advice()).expect("a string takes it");
    }
    assert_golden("no_seat_texts", &text);
}
