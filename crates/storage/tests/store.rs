//! The store returns what was reported as durable, and never anything else.

use marbledeck_storage::{CompletionEvent, Store, StoreError, StoreFile, WriteBatch};
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("marbledeck-storage-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
}

impl Drop for Folder {
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
    let folder = Folder::new("restart");
    let (mut file, loaded) = StoreFile::open(&folder.0, 77).expect("new");
    assert_eq!((loaded.store_number, loaded.entries.len()), (77, 0));
    let value = |name: &str, value: &[u8]| (name.to_owned(), Some(value.to_vec()));
    file.write(&[WriteBatch {
        ticket: 1,
        values: vec![value("hard", b"a")],
        entries: entries(1, 9),
        ..WriteBatch::default()
    }])
    .expect("written");
    // A later leader's entries replace the end; a snapshot drops the beginning.
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
    let (_, loaded) = StoreFile::open(&folder.0, 5).expect("there");
    assert_eq!(loaded.store_number, 77);
    assert_eq!(loaded.values, [("hard".to_owned(), b"b".to_vec())]);
    let indexes: Vec<u64> = loaded.entries.iter().map(|(n, _)| *n).collect();
    assert_eq!(indexes, [4, 5, 6]);
    assert_eq!(loaded.entries[2].1, b"new");
}

/// A file that is cut or has a flipped byte, at many places: where it can be opened, it holds what was written, or less by
/// complete writes, and never anything else.
#[test]
fn a_damaged_file_invents_nothing() {
    let folder = Folder::new("damaged");
    let (mut file, _) = StoreFile::open(&folder.0, 1).expect("new");
    for n in 1..=8 {
        file.write(&[WriteBatch {
            entries: entries(n, n),
            ..WriteBatch::default()
        }])
        .expect("written");
    }
    drop(file);
    let path = folder.0.join("agreement.redb");
    let whole = std::fs::read(&path).expect("there");
    let (mut refused, mut opened) = (0, 0);
    let places: Vec<usize> = (0..whole.len()).step_by(whole.len() / 60).collect();
    for cut in [true, false] {
        for &at in &places {
            let mut bytes = whole.clone();
            if cut {
                bytes.truncate(at);
            } else {
                bytes[at] ^= 0x10;
            }
            // An empty file counts as a new store with another number, by which the other voters recognise the loss.
            std::fs::write(&path, &bytes).expect("written");
            match StoreFile::open(&folder.0, 999) {
                Ok((_, loaded)) => {
                    opened += 1;
                    let said: Vec<_> = loaded
                        .entries
                        .iter()
                        .filter(|entry| !entries(1, 8).contains(entry))
                        .collect();
                    assert!(said.is_empty(), "at {at}: {said:?}");
                    assert!(
                        loaded.store_number == 1 || loaded.entries.is_empty(),
                        "at {at}"
                    );
                }
                Err(e) => {
                    refused += 1;
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
        refused > 0 && opened > 0,
        "{refused} refused, {opened} opened"
    );
}

#[test]
fn completion_events_come_in_order_and_wake_the_loop() {
    let folder = Folder::new("thread");
    let (mut out, pipe) = UnixStream::pair().expect("a pipe");
    let (store, _) = Store::open(&folder.0, 1, pipe).expect("new");
    for ticket in 1..=50 {
        store
            .submit(WriteBatch {
                ticket,
                entries: entries(ticket, ticket),
                ..WriteBatch::default()
            })
            .expect("the queue has room");
    }
    let (mut last, mut byte) = (0, [0; 1]);
    while last < 50 {
        out.read_exact(&mut byte).expect("a byte");
        for done in store.take_events() {
            let CompletionEvent::Persisted(ticket) = done else {
                panic!("{done:?}");
            };
            assert!(ticket > last);
            last = ticket;
        }
    }
    drop(store);
    let (_, loaded) = StoreFile::open(&folder.0, 1).expect("there");
    assert_eq!(loaded.entries.len(), 50);
}

#[test]
fn two_processes_do_not_share_a_store() {
    let folder = Folder::new("shared");
    let (_first, _) = StoreFile::open(&folder.0, 1).expect("new");
    assert!(matches!(
        StoreFile::open(&folder.0, 2),
        Err(StoreError::InUse)
    ));
}
