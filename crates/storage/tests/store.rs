//! A store returns what it reported as durable, and nothing that was never written.

use marbledeck_storage::{CompletionEvent, Store, StoreError, StoreFile, WriteBatch};
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("marbledeck-storage-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        TempDirectory(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entries(from: u64, to: u64) -> Vec<(u64, Vec<u8>)> {
    (from..=to)
        .map(|n| (n, vec![n as u8; 20 + n as usize]))
        .collect()
}

#[test]
fn written_values_and_entries_survive_a_restart() {
    let directory = TempDirectory::new("restart");
    let (mut file, contents) = StoreFile::open(&directory.0, 77).expect("a new store");
    assert_eq!((contents.store_number, contents.entries.len()), (77, 0));
    let value = |name: &str, value: &[u8]| (name.to_owned(), Some(value.to_vec()));
    file.write(&[WriteBatch {
        ticket: 1,
        values: vec![value("hard", b"a")],
        entries: entries(1, 9),
        ..WriteBatch::default()
    }])
    .expect("written");
    // A later leader's entries replace the end of the log; a snapshot drops its beginning.
    file.write(&[WriteBatch {
        entries: vec![(6, b"new".to_vec())],
        ..WriteBatch::default()
    }])
    .expect("written");
    file.write(&[WriteBatch {
        drop_entries_to: Some(3),
        values: vec![value("hard", b"b")],
        ..WriteBatch::default()
    }])
    .expect("written");
    drop(file);
    let (_, contents) = StoreFile::open(&directory.0, 5).expect("an existing store");
    assert_eq!(contents.store_number, 77);
    assert_eq!(contents.values, [("hard".to_owned(), b"b".to_vec())]);
    let indexes: Vec<u64> = contents.entries.iter().map(|(n, _)| *n).collect();
    assert_eq!(indexes, [4, 5, 6]);
    assert_eq!(contents.entries[2].1, b"new");
}

/// A file is truncated, or has a flipped bit, at many offsets. Where it can still be opened, it holds only entries that
/// were written.
#[test]
fn a_damaged_file_yields_only_written_entries() {
    let directory = TempDirectory::new("damaged");
    let (mut file, _) = StoreFile::open(&directory.0, 1).expect("a new store");
    for n in 1..=8 {
        file.write(&[WriteBatch {
            entries: entries(n, n),
            ..WriteBatch::default()
        }])
        .expect("written");
    }
    drop(file);
    let path = directory.0.join("agreement.redb");
    let intact = std::fs::read(&path).expect("the file");
    let (mut rejected, mut opened) = (0, 0);
    let offsets: Vec<usize> = (0..intact.len()).step_by(intact.len() / 60).collect();
    for truncate in [true, false] {
        for &offset in &offsets {
            let mut bytes = intact.clone();
            if truncate {
                bytes.truncate(offset);
            } else {
                bytes[offset] ^= 0x10;
            }
            // An empty file is opened as a new store with another number, by which the other voters recognise the loss.
            std::fs::write(&path, &bytes).expect("written");
            match StoreFile::open(&directory.0, 999) {
                Ok((_, contents)) => {
                    opened += 1;
                    let unexpected: Vec<_> = contents
                        .entries
                        .iter()
                        .filter(|entry| !entries(1, 8).contains(entry))
                        .collect();
                    assert!(
                        unexpected.is_empty(),
                        "offset {offset}: never written: {unexpected:?}"
                    );
                    assert!(
                        contents.store_number == 1 || contents.entries.is_empty(),
                        "offset {offset}"
                    );
                }
                Err(e) => {
                    rejected += 1;
                    assert!(
                        matches!(e, StoreError::Damaged(_) | StoreError::Directory(_)),
                        "{e}"
                    );
                    assert!(e.advice().contains(' '));
                }
            }
        }
    }
    assert!(
        rejected > 0 && opened > 0,
        "{rejected} rejected, {opened} opened"
    );
}

#[test]
fn completion_events_arrive_in_order_and_wake_the_event_loop() {
    let directory = TempDirectory::new("thread");
    let (mut wake_reader, wake_pipe) = UnixStream::pair().expect("a pipe");
    let (store, _) = Store::open(&directory.0, 1, wake_pipe).expect("a new store");
    for ticket in 1..=50 {
        store
            .submit(WriteBatch {
                ticket,
                entries: entries(ticket, ticket),
                ..WriteBatch::default()
            })
            .expect("the queue is not full");
    }
    let (mut last, mut byte) = (0, [0; 1]);
    while last < 50 {
        wake_reader.read_exact(&mut byte).expect("a byte");
        for event in store.take_events() {
            let CompletionEvent::Persisted(ticket) = event else {
                panic!("unexpected event {event:?}");
            };
            assert!(ticket > last);
            last = ticket;
        }
    }
    drop(store);
    let (_, contents) = StoreFile::open(&directory.0, 1).expect("an existing store");
    assert_eq!(contents.entries.len(), 50);
}

#[test]
fn an_open_store_cannot_be_opened_again() {
    let directory = TempDirectory::new("shared");
    let (_first, _) = StoreFile::open(&directory.0, 1).expect("a new store");
    assert!(matches!(
        StoreFile::open(&directory.0, 2),
        Err(StoreError::InUse)
    ));
}
