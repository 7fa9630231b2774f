//! Error texts and advice for operators: rejected changes, and errors of voters.

use crate::assert_golden;
use crate::samples::{bodies, change, change_errors, names, pool, put, rates, site};
use marbledeck_consensus::{
    Change, ChangeError, ConsensusError, PersistedState, Rates, RecordBody, Voter,
};
use marbledeck_federation::Catalog;
use marbledeck_licensing::Pool;
use std::fmt::Write as _;

#[test]
fn change_errors_and_their_advice() {
    let mut text = String::new();
    for error in change_errors() {
        writeln!(text, "{error}\n  advice: {}", error.advice())
            .expect("formatting into a string succeeds");
    }
    assert_golden("refusal_texts", &text);
}

#[test]
fn errors_and_their_advice() {
    let cause = || "what is wrong".to_owned();
    let errors = [
        ConsensusError::MalformedMessage(cause()),
        ConsensusError::UnknownSender { from: 4, to: 1 },
        ConsensusError::CorruptState(cause()),
        ConsensusError::Stopped(cause()),
        ConsensusError::InvalidConfiguration(cause()),
    ];
    let mut text = String::new();
    for error in errors {
        writeln!(text, "{error}\n  advice: {}", error.advice())
            .expect("formatting into a string succeeds");
    }
    assert_golden("error_texts", &text);
}

fn single(name: &str, body: RecordBody) -> Change {
    put(&[(name, 0, Some(body))], &[])
}

/// Changes that are rejected whatever the replicated state is, with their errors.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn changes_rejected_by_stateless_checks() {
    let rate = |rate: f64| {
        RecordBody::Rates(Rates {
            per_s: [("news".to_owned(), rate)].into(),
        })
    };
    let pool_with_run = |longest_run_ms: u64| {
        RecordBody::Pool(Pool {
            longest_run_ms,
            ..pool(1, &[])
        })
    };
    let catalog = |catalog: Catalog| {
        RecordBody::Site(marbledeck_consensus::Site {
            catalog,
            ..site("127.0.0.1:7001")
        })
    };
    let many_names = (0..=10_000).map(|n| format!("worker-{n}"));
    let many_rates = (0..=10_000).map(|n| (format!("tenant-{n}"), 1.0));
    let long_name = format!("seats/{}", "x".repeat(128));
    let mut not_written = single("workers/out", RecordBody::OutOfService(names(&[])));
    not_written.exclusive = names(&["seats/av1"]);
    let without_expected_version = Change {
        put: [("workers/out".to_owned(), None)].into(),
        ..Change::default()
    };
    let numbered = |n: usize| (format!("seats/pool-{n}"), n as u64);
    let many_records = Change {
        expect: (0..129).map(numbered).collect(),
        ..single("workers/out", RecordBody::OutOfService(names(&[])))
    };
    let huge = single(
        "workers/out",
        RecordBody::OutOfService(names(&["x".repeat(1 << 20).as_str()])),
    );
    let cases = [
        ("every kind of body", change()),
        ("no records", Change::default()),
        ("too many records", many_records),
        ("too many bytes", huge),
        ("no expected version", without_expected_version),
        ("exclusive and not written", not_written),
        (
            "a name without a prefix",
            single("rates", RecordBody::Rates(rates())),
        ),
        (
            "a name that is only a prefix",
            single("seats/", pool_with_run(1)),
        ),
        ("an unknown prefix", single("colours/red", pool_with_run(1))),
        (
            "an unknown setting",
            single("settings/colour", pool_with_run(1)),
        ),
        (
            "a name with a space",
            single("seats/av 1", pool_with_run(1)),
        ),
        ("a long name", single(&long_name, pool_with_run(1))),
        ("a body of another kind", single("seats/av1", rate(1.0))),
        ("a rate below 0", single("settings/rates", rate(-1.0))),
        (
            "a rate that is no number",
            single("settings/rates", rate(f64::NAN)),
        ),
        (
            "too many rates",
            single(
                "settings/rates",
                RecordBody::Rates(Rates {
                    per_s: many_rates.collect(),
                }),
            ),
        ),
        (
            "too many workers",
            single(
                "workers/out",
                RecordBody::OutOfService(many_names.collect()),
            ),
        ),
        (
            "too many seats",
            single("seats/av1", RecordBody::Pool(pool(1_000_001, &[]))),
        ),
        (
            "more guaranteed seats than seats",
            single(
                "seats/av1",
                RecordBody::Pool(pool(9, &[("news", 5), ("sport", 5)])),
            ),
        ),
        ("longest_run_ms of 0", single("seats/av1", pool_with_run(0))),
        (
            "maximum longest_run_ms",
            single("seats/av1", pool_with_run(86_400_000)),
        ),
        (
            "longest_run_ms above the maximum",
            single("seats/av1", pool_with_run(86_400_001)),
        ),
        (
            "a catalog with an invalid number",
            single(
                "sites/east",
                catalog(Catalog {
                    slots: -1.0,
                    ..Catalog::default()
                }),
            ),
        ),
        (
            "a catalog with an empty name",
            single(
                "sites/east",
                catalog(Catalog {
                    codecs: names(&[""]),
                    ..Catalog::default()
                }),
            ),
        ),
    ];
    let mut text = String::new();
    for (label, change) in cases {
        let result = change.check().map_or_else(
            |error: ChangeError| error.to_string(),
            |()| "accepted".to_owned(),
        );
        writeln!(text, "{label}: {result}").expect("formatting into a string succeeds");
    }
    for (name, body) in bodies() {
        for other in ["settings/rates", "workers/out", "seats/av1", "sites/east"] {
            let result = match single(other, body.clone()).check() {
                Ok(()) => "accepted".to_owned(),
                Err(error) => error.to_string(),
            };
            writeln!(text, "the body of {name} under {other}: {result}")
                .expect("formatting into a string succeeds");
        }
    }
    assert_golden("change_checks", &text);
}

/// Errors of invalid voter groups and of persisted state from which no voter can start.
#[test]
fn errors_of_voters_that_cannot_start() {
    let nothing = PersistedState::default;
    let stored = |persisted: PersistedState| (1, vec![1, 2, 3], persisted);
    let cases = [
        ("not one of the voters", (4, vec![1, 2, 3], nothing())),
        ("two voters", (1, vec![1, 2], nothing())),
        ("number 0", (0, vec![0, 1, 2], nothing())),
        (
            "entries missing up to the commit index",
            stored(PersistedState {
                hard_state: Some(vec![0x18, 9]),
                ..nothing()
            }),
        ),
        (
            "an entry at another index",
            stored(PersistedState {
                entries: vec![(2, vec![0x18, 3])],
                ..nothing()
            }),
        ),
        (
            "an entry is missing",
            stored(PersistedState {
                entries: vec![(2, vec![0x18, 2])],
                ..nothing()
            }),
        ),
    ];
    let mut text = String::new();
    for (label, (id, voters, persisted)) in cases {
        let result = match Voter::new(id, &voters, 1, &persisted) {
            Ok(_) => "valid".to_owned(),
            Err(error) => error.to_string(),
        };
        writeln!(text, "{label}: {result}").expect("formatting into a string succeeds");
    }
    assert_golden("bad_voters", &text);
}
