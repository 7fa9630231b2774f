//! Sample values of every kind that is stored or sent.

use marbledeck_consensus::{
    Change, ChangeError, Command, Operation, Outcome, Rates, Record, RecordBody, Site,
};
use marbledeck_federation::Catalog;
use marbledeck_licensing::{LedgerCommand, Pool};
use std::collections::BTreeSet;

pub fn names(list: &[&str]) -> BTreeSet<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

pub fn rates() -> Rates {
    Rates {
        per_s: [("news".to_owned(), 12.5), ("sport".to_owned(), 0.0)].into(),
    }
}

pub fn pool(seats: u32, guaranteed: &[(&str, u32)]) -> Pool {
    let guaranteed = guaranteed
        .iter()
        .map(|(tenant, seats)| ((*tenant).to_owned(), *seats));
    Pool {
        seats,
        guaranteed: guaranteed.collect(),
        longest_run_ms: 90_000,
    }
}

pub fn site(address: &str) -> Site {
    Site {
        address: address.parse().expect("an address"),
        catalog: Catalog {
            version: 7,
            classes: names(&["preview"]),
            kinds: names(&["cpu", "gpu-large"]),
            slots: 2.5,
            memory: 4096.0,
            licences: names(&["av1"]),
            codecs: names(&["av1", "h264"]),
            formats: names(&["png"]),
            regions: names(&["eu-west"]),
            key_window_ms: Some(5000),
            longest_run_ms: 60_000,
        },
    }
}

/// A body of every kind, with the name of a record that may hold it.
pub fn bodies() -> Vec<(&'static str, RecordBody)> {
    vec![
        ("seats/av1", RecordBody::Pool(pool(40, &[("news", 10)]))),
        ("settings/rates", RecordBody::Rates(rates())),
        ("sites/east", RecordBody::Site(site("127.0.0.1:7001"))),
        ("sites/west", RecordBody::Site(site("[::1]:7002"))),
        (
            "workers/out",
            RecordBody::OutOfService(names(&["worker-7", "worker-1"])),
        ),
    ]
}

/// A record of every kind, and a removed one; every second record is exclusive.
pub fn records() -> Vec<(String, Record)> {
    let versioned = bodies().into_iter().zip(1..);
    let mut records: Vec<(String, Record)> = versioned
        .map(|((name, body), version)| {
            let record = Record {
                version,
                exclusive: version % 2 == 0,
                body: Some(body),
                changed_revision: 10 + version,
            };
            (name.to_owned(), record)
        })
        .collect();
    let removed = Record {
        version: u64::MAX,
        exclusive: false,
        body: None,
        changed_revision: u64::MAX,
    };
    records.push(("seats/opus".to_owned(), removed));
    records
}

/// A change that writes every kind of body, removes a record and only checks the version of another.
pub fn change() -> Change {
    let mut change = Change::default();
    for ((name, body), version) in bodies().into_iter().zip(0..) {
        change.expect.insert(name.to_owned(), version);
        change.put.insert(name.to_owned(), Some(body));
    }
    change.expect.insert("seats/opus".to_owned(), 4);
    change.put.insert("seats/opus".to_owned(), None);
    change.expect.insert("seats/only-read".to_owned(), 9);
    change.exclusive = names(&["settings/rates", "sites/west"]);
    change
}

/// A change that writes these records, with the versions that it expects.
pub fn put(writes: &[(&str, u64, Option<RecordBody>)], exclusive: &[&str]) -> Change {
    let mut change = Change {
        exclusive: names(exclusive),
        ..Change::default()
    };
    for (name, version, body) in writes {
        change.expect.insert((*name).to_owned(), *version);
        change.put.insert((*name).to_owned(), body.clone());
    }
    change
}

pub fn request_seats(pool: &str, tenant: &str, seats: u32) -> LedgerCommand {
    LedgerCommand::Request {
        pool: pool.into(),
        tenant: tenant.into(),
        seats,
    }
}

pub fn return_seats(pool: &str, tenant: &str, seats: u32) -> LedgerCommand {
    LedgerCommand::Return {
        pool: pool.into(),
        tenant: tenant.into(),
        seats,
    }
}

pub fn command(node: u32, incarnation: u64, number: u64, operation: Operation) -> Command {
    Command {
        node,
        incarnation,
        number,
        operation,
    }
}

/// A command of every kind.
pub fn commands() -> Vec<(&'static str, Command)> {
    let incarnation = 1_700_000_000_000_000;
    let reclaim = LedgerCommand::Reclaim {
        node: 4,
        incarnation,
    };
    let free = LedgerCommand::FreeDrained {
        pool: "av1".into(),
        draining_id: 12,
    };
    vec![
        (
            "change",
            command(4, incarnation, 1, Operation::Change(change())),
        ),
        (
            "request seats",
            command(
                4,
                incarnation,
                2,
                Operation::Seats(request_seats("av1", "news", 3)),
            ),
        ),
        (
            "return seats",
            command(
                4,
                incarnation,
                u64::MAX,
                Operation::Seats(return_seats("av1", "", 2)),
            ),
        ),
        ("reclaim seats", command(0, 0, 0, Operation::Seats(reclaim))),
        (
            "free drained seats",
            command(0, 0, 0, Operation::Seats(free)),
        ),
    ]
}

pub fn change_errors() -> Vec<ChangeError> {
    let record = || "seats/av1".to_owned();
    vec![
        ChangeError::VersionMismatch {
            record: record(),
            actual: 3,
            expected: 2,
        },
        ChangeError::MissingExpectedVersion { record: record() },
        ChangeError::InvalidRecord {
            record: record(),
            reason: "it cannot hold this".to_owned(),
        },
        ChangeError::InvalidValue {
            record: record(),
            key: "seats".to_owned(),
            reason: "want 1,000,000 at most".to_owned(),
        },
        ChangeError::InvalidSize("wants 1 to 64 records".to_owned()),
        ChangeError::StaleIncarnation { node: 4 },
    ]
}

pub fn outcomes() -> Vec<Outcome> {
    let rejected = change_errors().into_iter().map(Outcome::Rejected);
    [Outcome::Done].into_iter().chain(rejected).collect()
}
