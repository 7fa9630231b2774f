//! Golden tests of the JSON of pools, of the commands for seats in the log, and of the ledger in a snapshot of the state.
//!
//! A rename in the code must not change a snapshot: a change to the JSON in one changes what is stored and sent.

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

/// Two lines of a snapshot: the label and a JSON text, then its decoded value encoded again, or the error.
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
        .map(|(tenant, seats)| ((*tenant).to_owned(), *seats));
    Pool {
        seats,
        guaranteed: guaranteed.collect(),
        longest_run_ms: 90_000,
    }
}

fn request(pool: &str, tenant: &str, seats: u32) -> LedgerCommand {
    LedgerCommand::Request {
        pool: pool.into(),
        tenant: tenant.into(),
        seats,
    }
}

fn return_seats(pool: &str, tenant: &str, seats: u32) -> LedgerCommand {
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
fn commands_encode_and_decode() {
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
        json_line("request", &request("av1", "news", 4)),
        json_line("request, no tenant", &request("av1", "", u32::MAX)),
        json_line("return", &return_seats("av1", "news", 2)),
        json_line("reclaim", &reclaim),
        json_line("free drained", &free),
        json_line("lease", &lease),
        json_line("draining lease", &draining),
        decoded_line::<LedgerCommand>("unknown variant", r#"{"Lend":{"pool":"av1"}}"#),
        decoded_line::<LedgerCommand>(
            "unknown key",
            r#"{"Free":{"pool":"av1","ebb":1,"colour":2}}"#,
        ),
        decoded_line::<LedgerCommand>("missing key", r#"{"Free":{"pool":"av1"}}"#),
    ];
    assert_golden("commands", &lines.concat());
}

/// The JSON of the ledger after each command of a history. The ledger decoded from it must be equal, and stay equal after
/// the next command.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn ledger_after_each_command() {
    let initial_pools = [("aac", pool(3, &[])), ("av1", pool(10, &[]))];
    let changed_pools = [("aac", pool(3, &[])), ("av1", pool(10, &[("news", 4)]))];
    let history = [
        (
            "requests seats of av1",
            1,
            100,
            request("av1", "sport", 8),
            &initial_pools,
        ),
        (
            "requests seats of aac",
            2,
            200,
            request("aac", "", 2),
            &initial_pools,
        ),
        (
            "requests more than are free",
            2,
            200,
            request("av1", "sport", 5),
            &initial_pools,
        ),
        (
            "falls short of its guarantee",
            2,
            200,
            request("av1", "news", 3),
            &changed_pools,
        ),
        (
            "returns a seat",
            1,
            100,
            return_seats("av1", "sport", 1),
            &changed_pools,
        ),
        (
            "is granted the returned seat",
            2,
            200,
            request("av1", "news", 1),
            &changed_pools,
        ),
        (
            "node 1 restarts",
            1,
            101,
            request("aac", "", 1),
            &changed_pools,
        ),
        (
            "node 2 is reclaimed",
            0,
            0,
            LedgerCommand::Reclaim {
                node: 2,
                incarnation: 200,
            },
            &changed_pools,
        ),
        (
            "a draining lease ends",
            0,
            0,
            LedgerCommand::FreeDrained {
                pool: "av1".into(),
                draining_id: 0,
            },
            &changed_pools,
        ),
        (
            "no such pool",
            3,
            300,
            request("opus", "", 1),
            &changed_pools,
        ),
    ];
    let mut ledger = Ledger::default();
    let mut text = json_line("empty", &ledger);
    for (label, node, incarnation, command, pools) in history {
        let json = serde_json::to_string(&ledger).expect("encoded");
        let mut decoded: Ledger = serde_json::from_str(&json).expect("decoded");
        let find_pool = |name: &str| {
            let mut named = pools.iter().filter(|(pool, _)| *pool == name);
            named.next().map(|(_, pool)| pool)
        };
        ledger.apply(node, incarnation, &command, find_pool);
        decoded.apply(node, incarnation, &command, find_pool);
        assert!(
            decoded == ledger,
            "{label}: the decoded ledger differs after the command"
        );
        text += &json_line(label, &ledger);
        for (name, pool) in pools {
            let (free, taken) = (ledger.free(name, pool), ledger.taken(name));
            let recalled = ledger.recalled(name, pool, "sport");
            writeln!(
                text,
                "  {name}: {free} free, {taken} taken, {recalled} recalled from sport"
            )
            .expect("a string takes it");
        }
    }
    assert_golden("ledger", &text);
}

/// The commands that a node sends for its own seats.
#[test]
fn commands_of_a_node() {
    let licences = vec!["av1".to_owned()];
    let tenants = vec!["news".to_owned(), "sport".to_owned()];
    let mut allocator = SeatAllocator::new(licences, tenants, Micros(1_000_000));
    let confirmed = |last_applied_command: u64, seats: u32, recalled: u32| ConfirmedSeats {
        lease_expiry: Micros(60_000_000),
        last_applied_command,
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
    let mut record_line = |label: &str, command: Option<NumberedCommand>| {
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
    record_line("at first", allocator.poll_command(Micros(1)));
    let _ = allocator.acquire(Micros(2), &licence, 0);
    record_line(
        "an attempt was denied a seat",
        allocator.poll_command(Micros(3)),
    );
    record_line("polled again", allocator.poll_command(Micros(4)));
    allocator.apply_confirmed(&confirmed(1, 4, 0));
    record_line("applied", allocator.poll_command(Micros(5)));
    allocator.apply_confirmed(&confirmed(1, 4, 3));
    record_line("recalled", allocator.poll_command(Micros(6)));
    assert_golden("node_commands", &text);
}

#[test]
fn seat_errors_and_their_advice_have_their_golden_texts() {
    let errors = [
        SeatError::NoneFree("av1".into()),
        SeatError::Unconfirmed("av1".into()),
        SeatError::UnknownPool("av1".into()),
    ];
    let mut text = String::new();
    for error in errors {
        writeln!(text, "{error}\n  advice: {}", error.advice()).expect("a string takes it");
    }
    assert_golden("seat_error_texts", &text);
}
