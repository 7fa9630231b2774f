//! What a voter must not forget, on disk. A thread of its own writes, so that whoever hands something over never waits
//! for the disk; what it has done comes back with its ticket, in order, and wakes the loop by a byte in a pipe.
//!
//! The file is an embedded database (`redb`): a write is there whole or not at all, whenever the process ends. Each value
//! carries its own checksum and key besides, so that a byte that was flipped later is found, and nothing is invented.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod disk;
mod mailbox;

pub use disk::{Disk, Loaded, StoreError, Write};
pub use mailbox::{mailbox, Closed, Receiver, Sender};

use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Writes that may wait for the disk.
const WAITING: usize = 4096;
/// How long a disk that takes nothing rests before it is tried again.
const AGAIN: Duration = Duration::from_millis(500);

/// What the disk thread tells, in the order of the writes.
#[derive(Debug)]
pub enum Done {
    /// Everything up to this ticket is durable.
    Written(u64),
    /// Nothing can be written now: it is tried again, and [`Done::Written`] comes when it could.
    Stalled(StoreError),
}

/// A store with its thread. It ends the thread when it is dropped, once what was handed over is written or cannot be.
pub struct Store {
    sender: Option<Sender<Write>>,
    done: Arc<Mutex<Vec<Done>>>,
    ending: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    /// Opens the store in this folder, or makes one. `number` is drawn by the caller, and is the store's for good where it
    /// is new. The byte that wakes the caller comes out of the pipe's other end.
    ///
    /// # Errors
    /// The folder cannot be used, or what is there makes no sense.
    pub fn open(
        folder: &Path,
        number: u64,
        pipe: UnixStream,
    ) -> Result<(Self, Loaded), StoreError> {
        let (disk, loaded) = Disk::open(folder, number)?;
        let (sender, receiver) = mailbox(WAITING);
        let done: Arc<Mutex<Vec<Done>>> = Arc::default();
        let ending: Arc<AtomicBool> = Arc::default();
        let (told, end) = (done.clone(), ending.clone());
        let thread = std::thread::Builder::new().name("store".to_owned());
        let thread = thread.spawn(move || write(disk, &receiver, &told, &end, pipe));
        let thread = thread.map_err(|e| StoreError::Folder(e.to_string()))?;
        let store = Store {
            sender: Some(sender),
            done,
            ending,
            thread: Some(thread),
        };
        Ok((store, loaded))
    }

    /// Hands a write over. Never waits; tells false where too many wait already: the disk is far behind, and the write
    /// was not taken.
    pub fn write(&self, write: Write) -> bool {
        self.sender
            .as_ref()
            .is_some_and(|sender| sender.send(write).is_ok())
    }

    /// What the thread has told since the last time.
    pub fn take_done(&self) -> Vec<Done> {
        std::mem::take(&mut *self.done.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.ending.store(true, Ordering::SeqCst);
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The thread: takes all that waits, and makes it durable in one piece.
fn write(
    mut disk: Disk,
    receiver: &Receiver<Write>,
    done: &Mutex<Vec<Done>>,
    ending: &AtomicBool,
    mut pipe: UnixStream,
) {
    while let Ok(writes) = receiver.wait() {
        let Some(ticket) = writes.last().map(|write| write.ticket) else {
            continue;
        };
        let mut stalled = false;
        loop {
            let told = match disk.write(&writes) {
                Ok(()) => Done::Written(ticket),
                Err(_) if stalled => {
                    if ending.load(Ordering::SeqCst) {
                        return;
                    }
                    std::thread::sleep(AGAIN);
                    continue;
                }
                Err(e) => Done::Stalled(e),
            };
            stalled = matches!(told, Done::Stalled(_));
            done.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(told);
            // A full pipe wakes as well as one byte more would.
            let _ = pipe.write(&[1]);
            if !stalled {
                break;
            }
        }
    }
}
