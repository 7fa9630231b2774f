//! The golden form of the file: `tests/golden/agreement.redb.gz` was written before any rename of the code. A test here may
//! follow a renamed item; a snapshot that changes is a change of the file.

use flate2::read::GzDecoder;
use marbledeck_storage::{StoreError, StoreFile, WriteBatch};
use redb::{Database, ReadTransaction, ReadableTable, TableDefinition, TableHandle};
use std::fmt::Write as _;
use std::fs::File;
use std::path::{Path, PathBuf};

/// The name of the file in its folder.
const FILE: &str = "agreement.redb";
/// The tables of the file.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("values");

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let own = format!("marbledeck-golden-store-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(own);
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }

    /// A folder with the fixture, unpacked.
    fn with_fixture(name: &str) -> Self {
        let folder = Folder::new(name);
        std::fs::create_dir_all(&folder.0).expect("a folder");
        let package = Path::new(env!("CARGO_MANIFEST_DIR"));
        let fixture = package.join("tests/golden/agreement.redb.gz");
        let mut packed = GzDecoder::new(File::open(fixture).expect("the fixture"));
        let mut unpacked = File::create(folder.0.join(FILE)).expect("a file");
        std::io::copy(&mut packed, &mut unpacked).expect("the whole fixture");
        folder
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn assert_golden(name: &str, text: &str) {
    insta::with_settings!(
        { prepend_module_to_snapshot => false, omit_expression => true },
        { insta::assert_snapshot!(name, text) }
    );
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes it");
        text
    })
}

/// All that can be read through the crate.
fn loaded_text(folder: &Folder) -> String {
    let (_, loaded) = StoreFile::open(&folder.0, 1).expect("the file");
    let mut text = format!("number: {:016x}\n", loaded.store_number);
    for (name, value) in &loaded.values {
        writeln!(text, "value {name}: {}", hex(value)).expect("a string takes it");
    }
    for (index, entry) in &loaded.entries {
        writeln!(text, "entry {index}: {}", hex(entry)).expect("a string takes it");
    }
    text
}

fn table_names(read: &ReadTransaction) -> Vec<String> {
    let tables = read.list_tables().expect("tables");
    let mut names: Vec<String> = tables.map(|table| table.name().to_owned()).collect();
    names.sort();
    names
}

/// All rows of the file as the database has them, each with its checksum.
fn rows_text(folder: &Folder) -> String {
    let file = Database::open(folder.0.join(FILE)).expect("a database");
    let read = file.begin_read().expect("a reading");
    let mut text = format!("tables: {}\n", table_names(&read).join(", "));
    let values = read.open_table(VALUES).expect("the values");
    for row in values.iter().expect("rows") {
        let (name, bytes) = row.expect("a row");
        writeln!(text, "values {}: {}", name.value(), hex(bytes.value()))
            .expect("a string takes it");
    }
    let log = read.open_table(LOG).expect("the log");
    for row in log.iter().expect("rows") {
        let (index, bytes) = row.expect("a row");
        writeln!(text, "log {}: {}", index.value(), hex(bytes.value())).expect("a string takes it");
    }
    text
}

#[test]
fn a_file_written_before_is_read() {
    let folder = Folder::with_fixture("before");
    assert_golden("fixture_loaded", &loaded_text(&folder));
    assert_golden("fixture_rows", &rows_text(&folder));
}

#[test]
fn a_file_written_before_takes_further_writes() {
    let folder = Folder::with_fixture("further");
    let (mut file, loaded) = StoreFile::open(&folder.0, 1).expect("the file");
    let (last, _) = loaded.entries.last().expect("entries");
    let write = WriteBatch {
        ticket: 1,
        values: vec![
            ("hard".to_owned(), Some(vec![7, 8, 9])),
            ("proven".to_owned(), None),
        ],
        drop_entries_to: Some(last - 1),
        entries: vec![(last + 1, b"next".to_vec())],
    };
    file.write(&[write]).expect("written");
    drop(file);
    assert_golden("fixture_written_on", &loaded_text(&folder));
}

#[test]
fn rows_of_a_new_file() {
    let folder = Folder::new("new");
    let (mut file, _) = StoreFile::open(&folder.0, 0x0123_4567_89ab_cdef).expect("a new file");
    let value = |name: &str, value: &[u8]| (name.to_owned(), Some(value.to_vec()));
    let first = WriteBatch {
        ticket: 1,
        values: vec![value("hard", b"first vote"), value("empty", b"")],
        entries: (1..=4).map(|index| (index, vec![index as u8; 3])).collect(),
        ..WriteBatch::default()
    };
    let second = WriteBatch {
        ticket: 2,
        values: vec![value("hard", b"second vote")],
        drop_entries_to: Some(1),
        entries: vec![(4, b"of a later term".to_vec()), (u64::MAX, Vec::new())],
    };
    file.write(&[first]).expect("written");
    file.write(&[second]).expect("written");
    drop(file);
    assert_golden("new_file_rows", &rows_text(&folder));
    assert_golden("new_file_loaded", &loaded_text(&folder));
}

#[test]
fn errors_and_their_advice() {
    let what = || "what is wrong".to_owned();
    let errors = [
        StoreError::Directory(std::io::Error::other(what())),
        StoreError::InUse,
        StoreError::Damaged(what()),
        StoreError::WriteFailed(what()),
    ];
    let mut text = String::new();
    for error in errors {
        writeln!(text, "{error}\n  advice: {}", error.advice()).expect("a string takes it");
    }
    assert_golden("error_texts", &text);
}

/// A row with a wrong checksum, and a file of another format.
#[test]
fn texts_of_damage_errors() {
    let cases: [(&str, &str, &[u8]); 2] = [
        ("a wrong checksum", "hard", b"vote\0\0\0\0"),
        // Format 2, with the checksum of that row.
        (
            "another form",
            "form",
            b"\x00\x00\x00\x00\x00\x00\x00\x02\xce\x08\x3f\x03",
        ),
    ];
    let mut text = String::new();
    for (label, name, bytes) in cases {
        let folder = Folder::with_fixture("damage");
        let file = Database::open(folder.0.join(FILE)).expect("a database");
        let write = file.begin_write().expect("a writing");
        {
            let mut values = write.open_table(VALUES).expect("the values");
            values.insert(name, bytes).expect("written");
        }
        write.commit().expect("written");
        drop(file);
        let outcome = match StoreFile::open(&folder.0, 1) {
            Ok(_) => "opened".to_owned(),
            Err(error) => error.to_string(),
        };
        writeln!(text, "{label}: {outcome}").expect("a string takes it");
    }
    assert_golden("damage_texts", &text);
}
