//! The records and what changes them.

use marbledeck_consensus::wire::{self, Frame, Said};
use marbledeck_consensus::{
    AgreementError, Body, Book, Change, Command, Durable, Outcome, Rates, Refusal, Stream, Voter,
    What,
};
use marbledeck_licensing::Pool;
use std::collections::BTreeMap;

fn pool(seats: u32) -> Option<Body> {
    Some(Body::Pool(Pool {
        seats,
        guaranteed: BTreeMap::new(),
        longest_run_ms: 1000,
    }))
}

fn rates(of: f64) -> Option<Body> {
    Some(Body::Rates(Rates {
        per_s: [("au".to_owned(), of)].into(),
    }))
}

fn change(puts: Vec<(&str, u64, Option<Body>)>) -> Change {
    Change {
        expect: puts
            .iter()
            .map(|(name, version, _)| ((*name).to_owned(), *version))
            .collect(),
        put: puts
            .into_iter()
            .map(|(name, _, body)| (name.to_owned(), body))
            .collect(),
        ..Change::default()
    }
}

fn command(number: u64, boot: u64, change: Change) -> Command {
    Command {
        node: 3,
        boot,
        number,
        what: What::Change(change),
    }
}

#[test]
fn a_change_over_several_records_holds_whole_or_not_at_all() {
    let mut book = Book::default();
    let both = change(vec![
        ("seats/av1", 0, pool(5)),
        ("settings/rates", 0, rates(1.0)),
    ]);
    assert_eq!(book.apply(&command(1, 1, both.clone())), Outcome::Done);
    assert_eq!(
        (book.version("seats/av1"), book.version("settings/rates")),
        (1, 1)
    );
    // One of two has moved on: nothing of it holds.
    let half = change(vec![
        ("seats/av1", 1, pool(9)),
        ("settings/rates", 0, rates(2.0)),
    ]);
    let refused = book.apply(&command(2, 1, half));
    assert_eq!(
        refused,
        Outcome::Refused(Refusal::Version {
            record: "settings/rates".into(),
            has: 1,
            expected: 0
        })
    );
    assert_eq!(book.version("seats/av1"), 1);
    // The same again changes nothing and is told the same; so does what a replaced process still sends.
    assert_eq!(book.apply(&command(1, 1, both.clone())), refused);
    assert_eq!(
        book.last(3, 1, Stream::Changes).map(|(number, _)| number),
        Some(2)
    );
    assert_eq!(
        book.apply(&command(1, 2, change(vec![("seats/av1", 1, None)]))),
        Outcome::Done
    );
    assert_eq!(
        book.apply(&command(9, 1, both)),
        Outcome::Refused(Refusal::Stale { node: 3 })
    );
    // What was removed keeps its version.
    assert_eq!((book.version("seats/av1"), book.pools().count()), (2, 0));
}

#[test]
fn a_change_that_makes_no_sense_names_record_and_key() {
    let bad = |puts| {
        change(puts)
            .check()
            .expect_err("it makes no sense")
            .to_string()
    };
    assert_eq!(
        bad(vec![("settings/rates", 0, rates(-1.0))]),
        "settings/rates: per_s.au: want a number, 0 or more"
    );
    assert_eq!(
        bad(vec![("seats/av1", 0, rates(1.0))]),
        "seats/av1: it cannot hold this"
    );
    assert_eq!(
        bad(vec![("colours/red", 0, None)]),
        "colours/red: no records have such a name"
    );
    let parts = Pool {
        seats: 1,
        guaranteed: [("au".to_owned(), 2)].into(),
        longest_run_ms: 1,
    };
    let parts = Some(Body::Pool(parts));
    assert_eq!(
        bad(vec![("seats/av1", 0, parts)]),
        "seats/av1: guaranteed: the parts are more than there are seats"
    );
    let unnamed = Change {
        put: [("workers/out".to_owned(), None)].into(),
        ..Change::default()
    };
    assert!(matches!(unnamed.check(), Err(Refusal::Unnamed { .. })));
    assert!(matches!(Change::default().check(), Err(Refusal::Size(_))));
}

/// Each variant says in a sentence what an operator can do.
#[test]
fn every_error_says_what_to_do() {
    let word = || String::from("x");
    let refusals = [
        Refusal::Version {
            record: word(),
            has: 1,
            expected: 2,
        },
        Refusal::Unnamed { record: word() },
        Refusal::Name {
            record: word(),
            what: word(),
        },
        Refusal::Value {
            record: word(),
            key: word(),
            what: word(),
        },
        Refusal::Size(word()),
        Refusal::Stale { node: 1 },
    ];
    let errors = [
        AgreementError::Message(word()),
        AgreementError::Stranger { from: 1, to: 2 },
        AgreementError::Stored(word()),
        AgreementError::Stopped(word()),
        AgreementError::Fleet(word()),
    ];
    let all = refusals.iter().map(|r| (r.to_string(), r.advice()));
    for (text, advice) in all.chain(errors.iter().map(|e| (e.to_string(), e.advice()))) {
        assert!(
            !text.is_empty() && advice.split(' ').count() > 4,
            "{text}: {advice}"
        );
    }
}

/// Whatever bytes come: no frame, an error, or a frame, and never a panic. A length is looked at before anything else.
#[test]
fn bytes_of_a_peer_do_no_harm() {
    let hello = Frame::Said(Box::new(Said::Hello {
        fleet: "f".into(),
        node: 1,
        voter: None,
    }));
    let whole = wire::encode(&hello);
    for cut in 0..whole.len() {
        assert!(matches!(wire::decode(&whole[..cut]), Ok(None)));
    }
    assert!(
        matches!(wire::decode(&whole), Ok(Some((Frame::Said(_), used))) if used == whole.len())
    );
    let mut long = whole.clone();
    long[0] = 0xff;
    assert!(wire::decode(&long[..5]).is_err());
    let deep = [b"{\"Hello\":".to_vec(), vec![b'['; 100_000]].concat();
    let mut frame = (deep.len() as u32).to_be_bytes().to_vec();
    frame.push(b'S');
    frame.extend(&deep);
    assert!(wire::decode(&frame).is_err());
    let mut rng = oorandom::Rand64::new(7);
    let mut voter = Voter::new(1, &[1, 2, 3], 1, &Durable::default()).expect("a voter");
    for _ in 0..20_000 {
        let mut bytes: Vec<u8> = (0..rng.rand_range(0..40))
            .map(|_| rng.rand_u64() as u8)
            .collect();
        let _ = wire::decode(&bytes);
        let _ = voter.receive(2, &bytes);
        // Of the library's own form, with fields that make no sense.
        bytes = vec![
            0x08,
            (rng.rand_u64() % 20) as u8,
            0x10,
            1,
            0x18,
            2,
            0x20,
            rng.rand_u64() as u8 & 0x7f,
        ];
        bytes.extend([
            0x30,
            rng.rand_u64() as u8 & 0x7f,
            0x28,
            rng.rand_u64() as u8 & 0x7f,
            0x40,
            rng.rand_u64() as u8 & 0x7f,
        ]);
        let _ = voter.receive(2, &bytes);
        drop(voter.work());
    }
}

#[test]
fn a_store_that_lacks_what_it_had_committed_is_not_used() {
    let bad = Durable {
        hard: Some(vec![0x18, 9]),
        ..Durable::default()
    };
    assert!(matches!(
        Voter::new(1, &[1, 2, 3], 1, &bad),
        Err(AgreementError::Stored(_))
    ));
    let hole = Durable {
        entries: vec![(2, vec![0x18, 2])],
        ..Durable::default()
    };
    assert!(matches!(
        Voter::new(1, &[1, 2, 3], 1, &hole),
        Err(AgreementError::Stored(_))
    ));
    assert!(matches!(
        Voter::new(4, &[1, 2, 3], 1, &Durable::default()),
        Err(AgreementError::Fleet(_))
    ));
}
