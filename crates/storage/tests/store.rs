//! The store: what was told to be durable is there, and nothing else ever is.

use marbledeck_storage::{Disk, Done, Store, StoreError, Write};
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
fn what_was_written_is_there_after_a_restart() {
    let folder = Folder::new("restart");
    let (mut disk, loaded) = Disk::open(&folder.0, 77).expect("new");
    assert_eq!((loaded.number, loaded.entries.len()), (77, 0));
    let value = |name: &str, value: &[u8]| (name.to_owned(), Some(value.to_vec()));
    disk.write(&[Write {
        ticket: 1,
        values: vec![value("hard", b"a")],
        entries: entries(1, 9),
        ..Write::default()
    }])
    .expect("written");
    // A later leader's entries replace the end; a snapshot drops the beginning.
    disk.write(&[Write {
        entries: vec![(6, b"new".to_vec())],
        ..Write::default()
    }])
    .expect("written");
    disk.write(&[Write {
        drop_to: Some(3),
        values: vec![value("hard", b"b")],
        ..Write::default()
    }])
    .expect("written");
    drop(disk);
    let (_, loaded) = Disk::open(&folder.0, 5).expect("there");
    assert_eq!(loaded.number, 77);
    assert_eq!(loaded.values, [("hard".to_owned(), b"b".to_vec())]);
    let indexes: Vec<u64> = loaded.entries.iter().map(|(n, _)| *n).collect();
    assert_eq!(indexes, [4, 5, 6]);
    assert_eq!(loaded.entries[2].1, b"new");
}

/// Cut at many places, or with a byte flipped: what can be opened holds what was written, or less by whole writes; it
/// never holds anything else.
#[test]
fn a_damaged_file_invents_nothing() {
    let folder = Folder::new("damaged");
    let (mut disk, _) = Disk::open(&folder.0, 1).expect("new");
    for n in 1..=8 {
        disk.write(&[Write {
            entries: entries(n, n),
            ..Write::default()
        }])
        .expect("written");
    }
    drop(disk);
    let path = folder.0.join("agreement.redb");
    let whole = std::fs::read(&path).expect("there");
    let (mut refused, mut opened) = (0, 0);
    let places: Vec<usize> = (0..whole.len()).step_by(whole.len() / 60).collect();
    for cut in [true, false] {
        for &at in &places {
            let mut bytes = whole.clone();
            match cut {
                true => bytes.truncate(at),
                false => bytes[at] ^= 0x10,
            }
            // An empty file is a lost one: it has another number, by which the other voters know.
            std::fs::write(&path, &bytes).expect("written");
            match Disk::open(&folder.0, 999) {
                Ok((_, loaded)) => {
                    opened += 1;
                    let said: Vec<_> = loaded
                        .entries
                        .iter()
                        .filter(|entry| !entries(1, 8).contains(entry))
                        .collect();
                    assert!(said.is_empty(), "at {at}: {said:?}");
                    assert!(loaded.number == 1 || loaded.entries.is_empty(), "at {at}");
                }
                Err(e) => {
                    refused += 1;
                    assert!(
                        matches!(e, StoreError::Damaged(_) | StoreError::Folder(_)),
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
fn the_thread_tells_in_order_and_wakes_the_loop() {
    let folder = Folder::new("thread");
    let (mut out, pipe) = UnixStream::pair().expect("a pipe");
    let (store, _) = Store::open(&folder.0, 1, pipe).expect("new");
    for ticket in 1..=50 {
        assert!(store.write(Write {
            ticket,
            entries: entries(ticket, ticket),
            ..Write::default()
        }));
    }
    let (mut last, mut byte) = (0, [0; 1]);
    while last < 50 {
        out.read_exact(&mut byte).expect("a byte");
        for done in store.take_done() {
            let Done::Written(ticket) = done else {
                panic!("{done:?}");
            };
            assert!(ticket > last);
            last = ticket;
        }
    }
    drop(store);
    let (_, loaded) = Disk::open(&folder.0, 1).expect("there");
    assert_eq!(loaded.entries.len(), 50);
}

#[test]
fn two_processes_do_not_share_a_store() {
    let folder = Folder::new("shared");
    let (_first, _) = Disk::open(&folder.0, 1).expect("new");
    assert!(matches!(Disk::open(&folder.0, 2), Err(StoreError::InUse)));
}
