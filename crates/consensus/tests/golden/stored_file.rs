//! A voter's store: the file that was written before any rename of the code is opened, and the voter goes on from it.
//!
//! With `MARBLEDECK_WRITE_FIXTURE` set, the file that this code writes takes the fixture's place.

use crate::samples::{command, want};
use crate::state::history;
use crate::voters::{idle_command, store};
use crate::{assert_golden, hex, json};
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use marbledeck_consensus::{Operation, PersistedState, Voter};
use marbledeck_storage::{StoreFile, StoredContents, WriteBatch};
use std::fmt::Write as _;
use std::fs::File;
use std::path::{Path, PathBuf};

/// The name of the file in its folder.
const FILE: &str = "agreement.redb";
const STORE_NUMBER: u64 = 0x0123_4567_89ab_cdef;
/// The names of the values besides the log, as the node has them.
const HARD_STATE: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const PROVEN: &str = "proven";
const MOST_TICKS: usize = 40;
const MANY: usize = 2000;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let own = format!("marbledeck-golden-agreement-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(own);
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fixture() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    package.join("../storage/tests/golden/agreement.redb.gz")
}

fn unpack_fixture(folder: &Path) {
    let mut packed = GzDecoder::new(File::open(fixture()).expect("the fixture"));
    let mut unpacked = File::create(folder.join(FILE)).expect("a file");
    std::io::copy(&mut packed, &mut unpacked).expect("the whole fixture");
}

fn replace_fixture(folder: &Path) {
    let mut written = File::open(folder.join(FILE)).expect("the file");
    let packed = File::create(fixture()).expect("the fixture");
    let mut packed = GzEncoder::new(packed, Compression::best());
    std::io::copy(&mut written, &mut packed).expect("the whole file");
    packed.finish().expect("the fixture");
}

/// A fleet of this one voter, with what it stores.
struct Single {
    voter: Voter,
    durable: PersistedState,
}

impl Single {
    fn start(durable: PersistedState) -> Self {
        let voter = Voter::new(1, &[1], 1, &durable).expect("a voter");
        Single { voter, durable }
    }

    fn settle(&mut self) {
        loop {
            let work = self.voter.poll_effects();
            if work.persist_requests.is_empty() {
                return;
            }
            for save in work.persist_requests {
                store(&mut self.durable, &save);
                self.voter.handle_persisted(save.ticket);
            }
        }
    }

    fn elect(&mut self) {
        for _ in 0..MOST_TICKS {
            if self.voter.is_leader() {
                return;
            }
            self.voter.tick();
            self.settle();
        }
        panic!("it was not elected");
    }
}

/// Writes a voter's file: the numbers of the other voters' stores, a log, a snapshot, and entries after it.
fn write_file(folder: &Path) {
    let value = |name: &str, value: &[u8]| (name.to_owned(), Some(value.to_vec()));
    let (mut disk, _) = StoreFile::open(folder, STORE_NUMBER).expect("a new file");
    let known = vec![
        value(PROVEN, &[1]),
        value("voter/2", &0x2222_2222_2222_2222_u64.to_be_bytes()),
        value("voter/3", &0x3333_3333_3333_3333_u64.to_be_bytes()),
    ];
    let known = WriteBatch {
        ticket: 1,
        values: known,
        ..WriteBatch::default()
    };
    disk.write(&[known]).expect("written");
    let mut single = Single::start(PersistedState::default());
    single.elect();
    for (_, command) in history() {
        single.voter.propose(&command);
        single.settle();
    }
    let hard = single.durable.hard_state.clone().expect("a vote");
    let log = WriteBatch {
        ticket: 2,
        values: vec![value(HARD_STATE, &hard)],
        entries: single.durable.entries.clone(),
        ..WriteBatch::default()
    };
    disk.write(&[log]).expect("written");
    for _ in 0..MANY {
        single.voter.propose(&idle_command());
    }
    single.settle();
    for number in 3..=5 {
        let want = want("av1", "news", number as u32);
        let command = command(2, 200, number, Operation::Seats(want));
        single.voter.propose(&command);
        single.settle();
    }
    let hard = single.durable.hard_state.clone().expect("a vote");
    let snapshot = single.durable.snapshot.clone().expect("a snapshot");
    let (first_kept, _) = single.durable.entries.first().expect("entries");
    let last = WriteBatch {
        ticket: 3,
        values: vec![value(HARD_STATE, &hard), value(SNAPSHOT, &snapshot)],
        drop_entries_to: Some(first_kept - 1),
        entries: single.durable.entries.clone(),
    };
    disk.write(&[last]).expect("written");
}

fn loaded_text(loaded: &StoredContents) -> String {
    let mut text = format!("number: {:016x}\n", loaded.store_number);
    for (name, value) in &loaded.values {
        writeln!(text, "value {name}: {}", hex(value)).expect("a string takes it");
    }
    for (index, entry) in &loaded.entries {
        writeln!(text, "entry {index}: {}", hex(entry)).expect("a string takes it");
    }
    text
}

fn durable(loaded: StoredContents) -> PersistedState {
    let value = |name: &str| {
        let mut values = loaded.values.iter();
        let found = values.find(|(known, _)| known == name);
        found.map(|(_, value)| value.clone())
    };
    PersistedState {
        hard_state: value(HARD_STATE),
        snapshot: value(SNAPSHOT),
        entries: loaded.entries.clone(),
    }
}

/// Opens the file in this folder, has a voter go on from it, and compares all of it with the snapshots.
fn assert_file_holds(folder: &Path) {
    let (_, loaded) = StoreFile::open(folder, 1).expect("the file");
    assert_golden("stored_file", &loaded_text(&loaded));
    let mut single = Single::start(durable(loaded));
    single.elect();
    assert_golden("stored_state", &json(single.voter.state()));
}

#[test]
fn a_file_written_before_is_read() {
    let folder = Folder::new("before");
    unpack_fixture(&folder.0);
    assert_file_holds(&folder.0);
}

#[test]
fn a_file_written_now_holds_the_same() {
    let folder = Folder::new("now");
    write_file(&folder.0);
    if std::env::var_os("MARBLEDECK_WRITE_FIXTURE").is_some() {
        replace_fixture(&folder.0);
    }
    assert_file_holds(&folder.0);
}
