//! Compatibility of a voter's store: a file written by an earlier version is opened, and a voter starts from it.
//!
//! If `MARBLEDECK_WRITE_FIXTURE` is set, the file that this code writes replaces the fixture.

use crate::samples::{command, request_seats};
use crate::state::history;
use crate::voters::{no_op_command, store};
use crate::{assert_golden, hex, json};
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use marbledeck_consensus::{Operation, PersistedState, Voter};
use marbledeck_storage::{StoreFile, StoredContents, WriteBatch};
use std::fmt::Write as _;
use std::fs::File;
use std::path::{Path, PathBuf};

/// Name of the file in its directory.
const FILE: &str = "agreement.redb";
const STORE_NUMBER: u64 = 0x0123_4567_89ab_cdef;
/// Names of the values that a node stores besides the log.
const HARD_STATE: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const PROVEN: &str = "proven";
/// More ticks than any election timeout.
const MAX_TICKS: usize = 40;
/// Commands after which the voter has written a snapshot.
const COMMANDS_UNTIL_SNAPSHOT: usize = 2000;

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let directory_name = format!("marbledeck-golden-agreement-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(directory_name);
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a directory");
        TempDirectory(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fixture() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    package.join("../storage/tests/golden/agreement.redb.gz")
}

fn unpack_fixture(directory: &Path) {
    let mut packed = GzDecoder::new(File::open(fixture()).expect("the fixture"));
    let mut unpacked = File::create(directory.join(FILE)).expect("a file");
    std::io::copy(&mut packed, &mut unpacked).expect("the whole fixture");
}

fn replace_fixture(directory: &Path) {
    let mut written = File::open(directory.join(FILE)).expect("the file");
    let packed = File::create(fixture()).expect("the fixture");
    let mut packed = GzEncoder::new(packed, Compression::best());
    std::io::copy(&mut written, &mut packed).expect("the whole file");
    packed.finish().expect("the fixture");
}

/// A single voter and its persisted state.
struct SingleVoter {
    voter: Voter,
    persisted: PersistedState,
}

impl SingleVoter {
    fn start(persisted: PersistedState) -> Self {
        let voter = Voter::new(1, &[1], 1, &persisted).expect("a voter");
        SingleVoter { voter, persisted }
    }

    fn run_until_idle(&mut self) {
        loop {
            let effects = self.voter.poll_effects();
            if effects.persist_requests.is_empty() {
                return;
            }
            for request in effects.persist_requests {
                store(&mut self.persisted, &request);
                self.voter.handle_persisted(request.ticket);
            }
        }
    }

    fn elect(&mut self) {
        for _ in 0..MAX_TICKS {
            if self.voter.is_leader() {
                return;
            }
            self.voter.tick();
            self.run_until_idle();
        }
        panic!("the voter was not elected within {MAX_TICKS} ticks");
    }
}

/// Writes a voter's file with the numbers of the other voters' stores, a log, a snapshot, and entries after the snapshot.
fn write_file(directory: &Path) {
    let value = |name: &str, value: &[u8]| (name.to_owned(), Some(value.to_vec()));
    let (mut file, _) = StoreFile::open(directory, STORE_NUMBER).expect("a new file");
    let known_stores = vec![
        value(PROVEN, &[1]),
        value("voter/2", &0x2222_2222_2222_2222_u64.to_be_bytes()),
        value("voter/3", &0x3333_3333_3333_3333_u64.to_be_bytes()),
    ];
    let first = WriteBatch {
        ticket: 1,
        values: known_stores,
        ..WriteBatch::default()
    };
    file.write(&[first]).expect("written");
    let mut single = SingleVoter::start(PersistedState::default());
    single.elect();
    for (_, command) in history() {
        single.voter.propose(&command);
        single.run_until_idle();
    }
    let hard_state = single.persisted.hard_state.clone().expect("a vote");
    let log = WriteBatch {
        ticket: 2,
        values: vec![value(HARD_STATE, &hard_state)],
        entries: single.persisted.entries.clone(),
        ..WriteBatch::default()
    };
    file.write(&[log]).expect("written");
    for _ in 0..COMMANDS_UNTIL_SNAPSHOT {
        single.voter.propose(&no_op_command());
    }
    single.run_until_idle();
    for number in 3..=5 {
        let operation = request_seats("av1", "news", number as u32);
        let command = command(2, 200, number, Operation::Seats(operation));
        single.voter.propose(&command);
        single.run_until_idle();
    }
    let hard_state = single.persisted.hard_state.clone().expect("a vote");
    let snapshot = single.persisted.snapshot.clone().expect("a snapshot");
    let (first_retained, _) = single.persisted.entries.first().expect("entries");
    let last = WriteBatch {
        ticket: 3,
        values: vec![value(HARD_STATE, &hard_state), value(SNAPSHOT, &snapshot)],
        drop_entries_to: Some(first_retained - 1),
        entries: single.persisted.entries.clone(),
    };
    file.write(&[last]).expect("written");
}

fn contents_text(contents: &StoredContents) -> String {
    let mut text = format!("store number: {:016x}\n", contents.store_number);
    for (name, value) in &contents.values {
        writeln!(text, "value {name}: {}", hex(value)).expect("formatting into a string succeeds");
    }
    for (index, entry) in &contents.entries {
        writeln!(text, "entry {index}: {}", hex(entry)).expect("formatting into a string succeeds");
    }
    text
}

fn persisted_state(contents: StoredContents) -> PersistedState {
    let value = |name: &str| {
        let mut values = contents.values.iter();
        let found = values.find(|(stored_name, _)| stored_name == name);
        found.map(|(_, value)| value.clone())
    };
    PersistedState {
        hard_state: value(HARD_STATE),
        snapshot: value(SNAPSHOT),
        entries: contents.entries.clone(),
    }
}

/// Opens the file in this directory, starts a voter from it, and compares file and state with the snapshots.
fn assert_file_matches_snapshots(directory: &Path) {
    let (_, contents) = StoreFile::open(directory, 1).expect("the file");
    assert_golden("stored_file", &contents_text(&contents));
    let mut single = SingleVoter::start(persisted_state(contents));
    single.elect();
    assert_golden("stored_state", &json(single.voter.state()));
}

#[test]
fn a_file_of_an_earlier_version_is_read() {
    let directory = TempDirectory::new("earlier");
    unpack_fixture(&directory.0);
    assert_file_matches_snapshots(&directory.0);
}

#[test]
fn a_newly_written_file_has_the_same_contents() {
    let directory = TempDirectory::new("new");
    write_file(&directory.0);
    if std::env::var_os("MARBLEDECK_WRITE_FIXTURE").is_some() {
        replace_fixture(&directory.0);
    }
    assert_file_matches_snapshots(&directory.0);
}
