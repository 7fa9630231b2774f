//! Compatibility of the stored file: `tests/golden/agreement.redb.gz` was written by an earlier version of the code, and the
//! snapshots hold its rows. A snapshot that changes means that the file's format has changed.

use flate2::read::GzDecoder;
use marbledeck_storage::{StoreError, StoreFile, WriteBatch};
use redb::{Database, ReadTransaction, ReadableTable, TableDefinition, TableHandle};
use std::fmt::Write as _;
use std::fs::File;
use std::path::{Path, PathBuf};

/// Name of the file in its directory.
const FILE: &str = "agreement.redb";
/// The tables of the file.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("values");

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let directory_name = format!("marbledeck-golden-store-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(directory_name);
        let _ = std::fs::remove_dir_all(&path);
        TempDirectory(path)
    }

    /// A directory with the unpacked fixture.
    fn with_fixture(name: &str) -> Self {
        let directory = TempDirectory::new(name);
        std::fs::create_dir_all(&directory.0).expect("a directory");
        let package = Path::new(env!("CARGO_MANIFEST_DIR"));
        let fixture = package.join("tests/golden/agreement.redb.gz");
        let mut packed = GzDecoder::new(File::open(fixture).expect("the fixture"));
        let mut unpacked = File::create(directory.0.join(FILE)).expect("a file");
        std::io::copy(&mut packed, &mut unpacked).expect("the whole fixture");
        directory
    }
}

impl Drop for TempDirectory {
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
        write!(text, "{byte:02x}").expect("formatting into a string succeeds");
        text
    })
}

/// Everything that this crate loads from the file.
fn contents_text(directory: &TempDirectory) -> String {
    let (_, contents) = StoreFile::open(&directory.0, 1).expect("the file");
    let mut text = format!("store number: {:016x}\n", contents.store_number);
    for (name, value) in &contents.values {
        writeln!(text, "value {name}: {}", hex(value)).expect("formatting into a string succeeds");
    }
    for (index, entry) in &contents.entries {
        writeln!(text, "entry {index}: {}", hex(entry)).expect("formatting into a string succeeds");
    }
    text
}

fn table_names(transaction: &ReadTransaction) -> Vec<String> {
    let tables = transaction.list_tables().expect("tables");
    let mut names: Vec<String> = tables.map(|table| table.name().to_owned()).collect();
    names.sort();
    names
}

/// All rows of the file as they are in the database, each with its checksum.
fn rows_text(directory: &TempDirectory) -> String {
    let file = Database::open(directory.0.join(FILE)).expect("a database");
    let transaction = file.begin_read().expect("a read transaction");
    let mut text = format!("tables: {}\n", table_names(&transaction).join(", "));
    let values = transaction.open_table(VALUES).expect("the values");
    for row in values.iter().expect("rows") {
        let (name, bytes) = row.expect("a row");
        writeln!(text, "values {}: {}", name.value(), hex(bytes.value()))
            .expect("formatting into a string succeeds");
    }
    let log = transaction.open_table(LOG).expect("the log");
    for row in log.iter().expect("rows") {
        let (index, bytes) = row.expect("a row");
        writeln!(text, "log {}: {}", index.value(), hex(bytes.value()))
            .expect("formatting into a string succeeds");
    }
    text
}

#[test]
fn a_file_of_an_earlier_version_is_read() {
    let directory = TempDirectory::with_fixture("read");
    assert_golden("fixture_loaded", &contents_text(&directory));
    assert_golden("fixture_rows", &rows_text(&directory));
}

#[test]
fn a_file_of_an_earlier_version_accepts_writes() {
    let directory = TempDirectory::with_fixture("write");
    let (mut file, contents) = StoreFile::open(&directory.0, 1).expect("the file");
    let (last_index, _) = contents.entries.last().expect("entries");
    let batch = WriteBatch {
        ticket: 1,
        values: vec![
            ("hard".to_owned(), Some(vec![7, 8, 9])),
            ("proven".to_owned(), None),
        ],
        drop_entries_to: Some(last_index - 1),
        entries: vec![(last_index + 1, b"next".to_vec())],
    };
    file.write(&[batch]).expect("written");
    drop(file);
    assert_golden("fixture_after_write", &contents_text(&directory));
}

#[test]
fn rows_of_a_new_file() {
    let directory = TempDirectory::new("new");
    let (mut file, _) = StoreFile::open(&directory.0, 0x0123_4567_89ab_cdef).expect("a new file");
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
    assert_golden("new_file_rows", &rows_text(&directory));
    assert_golden("new_file_loaded", &contents_text(&directory));
}

#[test]
fn errors_and_their_advice() {
    let cause = || "what is wrong".to_owned();
    let errors = [
        StoreError::Directory(std::io::Error::other(cause())),
        StoreError::InUse,
        StoreError::Damaged(cause()),
        StoreError::WriteFailed(cause()),
    ];
    let mut text = String::new();
    for error in errors {
        writeln!(text, "{error}\n  advice: {}", error.advice())
            .expect("formatting into a string succeeds");
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
            "another format",
            "form",
            b"\x00\x00\x00\x00\x00\x00\x00\x02\xce\x08\x3f\x03",
        ),
    ];
    let mut text = String::new();
    for (label, name, bytes) in cases {
        let directory = TempDirectory::with_fixture("damage");
        let file = Database::open(directory.0.join(FILE)).expect("a database");
        let transaction = file.begin_write().expect("a write transaction");
        {
            let mut values = transaction.open_table(VALUES).expect("the values");
            values.insert(name, bytes).expect("written");
        }
        transaction.commit().expect("written");
        drop(file);
        let outcome = match StoreFile::open(&directory.0, 1) {
            Ok(_) => "opened".to_owned(),
            Err(error) => error.to_string(),
        };
        writeln!(text, "{label}: {outcome}").expect("formatting into a string succeeds");
    }
    assert_golden("damage_texts", &text);
}
