//! The replicated state: commands, validation of changes, and malformed input from peers and stores.

use marbledeck_consensus::wire::{self, Frame, NodeMessage};
use marbledeck_consensus::{
    Change, ChangeError, Command, CommandSequence, ConsensusError, Operation, Outcome,
    PersistedState, Rates, RecordBody, ReplicatedState, Voter,
};
use marbledeck_licensing::Pool;
use std::collections::BTreeMap;

fn pool(seats: u32) -> Option<RecordBody> {
    Some(RecordBody::Pool(Pool {
        seats,
        guaranteed: BTreeMap::new(),
        longest_run_ms: 1000,
    }))
}

fn rates(rate: f64) -> Option<RecordBody> {
    Some(RecordBody::Rates(Rates {
        per_s: [("au".to_owned(), rate)].into(),
    }))
}

fn change(puts: Vec<(&str, u64, Option<RecordBody>)>) -> Change {
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

fn command(number: u64, incarnation: u64, change: Change) -> Command {
    Command {
        node: 3,
        incarnation,
        number,
        operation: Operation::Change(change),
    }
}

#[test]
fn a_change_of_several_records_is_applied_completely_or_not_at_all() {
    let mut state = ReplicatedState::default();
    let both = change(vec![
        ("seats/av1", 0, pool(5)),
        ("settings/rates", 0, rates(1.0)),
    ]);
    assert_eq!(state.apply(&command(1, 1, both.clone())), Outcome::Done);
    assert_eq!(
        (state.version("seats/av1"), state.version("settings/rates")),
        (1, 1)
    );
    // One of the two expected versions is outdated, so nothing is applied.
    let outdated = change(vec![
        ("seats/av1", 1, pool(9)),
        ("settings/rates", 0, rates(2.0)),
    ]);
    let rejected = state.apply(&command(2, 1, outdated));
    assert_eq!(
        rejected,
        Outcome::Rejected(ChangeError::VersionMismatch {
            record: "settings/rates".into(),
            actual: 1,
            expected: 0
        })
    );
    assert_eq!(state.version("seats/av1"), 1);
    // A repeat changes nothing and returns the outcome of the last command. A command of an earlier incarnation is rejected.
    assert_eq!(state.apply(&command(1, 1, both.clone())), rejected);
    assert_eq!(
        state
            .last_command(3, 1, CommandSequence::Changes)
            .map(|last| last.number),
        Some(2)
    );
    assert_eq!(
        state.apply(&command(1, 2, change(vec![("seats/av1", 1, None)]))),
        Outcome::Done
    );
    assert_eq!(
        state.apply(&command(9, 1, both)),
        Outcome::Rejected(ChangeError::StaleIncarnation { node: 3 })
    );
    // A removed record keeps its version.
    assert_eq!((state.version("seats/av1"), state.pools().count()), (2, 0));
}

#[test]
fn an_invalid_change_is_rejected_with_record_and_key() {
    let error_text = |puts| {
        change(puts)
            .check()
            .expect_err("an invalid change")
            .to_string()
    };
    assert_eq!(
        error_text(vec![("settings/rates", 0, rates(-1.0))]),
        "settings/rates: per_s.au: want a number, 0 or more"
    );
    assert_eq!(
        error_text(vec![("seats/av1", 0, rates(1.0))]),
        "seats/av1: it cannot hold this"
    );
    assert_eq!(
        error_text(vec![("colours/red", 0, None)]),
        "colours/red: no records have such a name"
    );
    let parts = Pool {
        seats: 1,
        guaranteed: [("au".to_owned(), 2)].into(),
        longest_run_ms: 1,
    };
    let parts = Some(RecordBody::Pool(parts));
    assert_eq!(
        error_text(vec![("seats/av1", 0, parts)]),
        "seats/av1: guaranteed: the parts are more than there are seats"
    );
    let without_expected_version = Change {
        put: [("workers/out".to_owned(), None)].into(),
        ..Change::default()
    };
    assert!(matches!(
        without_expected_version.check(),
        Err(ChangeError::MissingExpectedVersion { .. })
    ));
    assert!(matches!(
        Change::default().check(),
        Err(ChangeError::InvalidSize(_))
    ));
}

/// Each variant has advice for operators.
#[test]
fn every_error_has_advice() {
    let sample = || String::from("x");
    let change_errors = [
        ChangeError::VersionMismatch {
            record: sample(),
            actual: 1,
            expected: 2,
        },
        ChangeError::MissingExpectedVersion { record: sample() },
        ChangeError::InvalidRecord {
            record: sample(),
            reason: sample(),
        },
        ChangeError::InvalidValue {
            record: sample(),
            key: sample(),
            reason: sample(),
        },
        ChangeError::InvalidSize(sample()),
        ChangeError::StaleIncarnation { node: 1 },
    ];
    let errors = [
        ConsensusError::MalformedMessage(sample()),
        ConsensusError::UnknownSender { from: 1, to: 2 },
        ConsensusError::CorruptState(sample()),
        ConsensusError::Stopped(sample()),
        ConsensusError::InvalidConfiguration(sample()),
    ];
    let all = change_errors.iter().map(|e| (e.to_string(), e.advice()));
    for (text, advice) in all.chain(errors.iter().map(|e| (e.to_string(), e.advice()))) {
        assert!(
            !text.is_empty() && advice.split(' ').count() > 4,
            "{text}: {advice}"
        );
    }
}

/// Decoding arbitrary bytes never panics: the result is nothing, an error or a frame. The length is checked first.
#[test]
fn arbitrary_bytes_from_a_peer_cause_no_panic() {
    let hello = Frame::Node(Box::new(NodeMessage::Hello {
        fleet: "f".into(),
        node: 1,
        voter: None,
    }));
    let encoded = wire::encode(&hello);
    for cut in 0..encoded.len() {
        assert!(matches!(wire::decode(&encoded[..cut]), Ok(None)));
    }
    assert!(
        matches!(wire::decode(&encoded), Ok(Some((Frame::Node(_), used))) if used == encoded.len())
    );
    let mut too_long = encoded.clone();
    too_long[0] = 0xff;
    assert!(wire::decode(&too_long[..5]).is_err());
    let nested = [b"{\"Hello\":".to_vec(), vec![b'['; 100_000]].concat();
    let mut frame = (nested.len() as u32).to_be_bytes().to_vec();
    frame.push(b'S');
    frame.extend(&nested);
    assert!(wire::decode(&frame).is_err());
    let mut rng = oorandom::Rand64::new(7);
    let mut voter = Voter::new(1, &[1, 2, 3], 1, &PersistedState::default()).expect("a voter");
    for _ in 0..20_000 {
        let mut bytes: Vec<u8> = (0..rng.rand_range(0..40))
            .map(|_| rng.rand_u64() as u8)
            .collect();
        let _ = wire::decode(&bytes);
        let _ = voter.handle_message(2, &bytes);
        // Messages of the library with invalid fields.
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
        let _ = voter.handle_message(2, &bytes);
        drop(voter.poll_effects());
    }
}

#[test]
fn incomplete_persisted_state_and_invalid_voters_are_rejected() {
    let without_entries = PersistedState {
        hard_state: Some(vec![0x18, 9]),
        ..PersistedState::default()
    };
    assert!(matches!(
        Voter::new(1, &[1, 2, 3], 1, &without_entries),
        Err(ConsensusError::CorruptState(_))
    ));
    let gap = PersistedState {
        entries: vec![(2, vec![0x18, 2])],
        ..PersistedState::default()
    };
    assert!(matches!(
        Voter::new(1, &[1, 2, 3], 1, &gap),
        Err(ConsensusError::CorruptState(_))
    ));
    assert!(matches!(
        Voter::new(4, &[1, 2, 3], 1, &PersistedState::default()),
        Err(ConsensusError::InvalidConfiguration(_))
    ));
}
