//! A store and its writer thread.

use crate::batch::{StoredContents, WriteBatch};
use crate::channel::{bounded_channel, ChannelFull, Sender};
use crate::error::StoreError;
use crate::file::StoreFile;
use crate::writer::{CompletionEvent, Writer, WriterState};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;

/// Maximum number of batches in the writer thread's queue.
const MAX_QUEUED_BATCHES: usize = 4096;

/// A store with its writer thread. Dropping it stops the thread, after all submitted batches were written or a failing
/// write was abandoned.
pub struct Store {
    sender: Option<Sender<WriteBatch>>,
    state: Arc<WriterState>,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    /// Opens the store in this directory, or creates it with this number. A byte is written to `wake_pipe` for each
    /// completion event.
    ///
    /// # Errors
    /// The directory cannot be accessed, another process uses the store, or it is damaged.
    pub fn open(
        directory: &Path,
        store_number: u64,
        wake_pipe: UnixStream,
    ) -> Result<(Self, StoredContents), StoreError> {
        let (file, contents) = StoreFile::open(directory, store_number)?;
        let (sender, receiver) = bounded_channel(MAX_QUEUED_BATCHES);
        let state: Arc<WriterState> = Arc::default();
        let writer = Writer {
            file,
            receiver,
            state: state.clone(),
            wake_pipe,
        };
        let thread = std::thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || writer.run())
            .map_err(StoreError::Directory)?;
        let store = Store {
            sender: Some(sender),
            state,
            thread: Some(thread),
        };
        Ok((store, contents))
    }

    /// Queues a batch for the writer thread, without waiting for the disk.
    ///
    /// # Errors
    /// The queue is full because the disk is far behind. This batch was not accepted.
    pub fn submit(&self, batch: WriteBatch) -> Result<(), ChannelFull> {
        let sender = self.sender.as_ref().ok_or(ChannelFull)?;
        sender.send(batch)
    }

    /// The completion events since the last call.
    pub fn take_events(&self) -> Vec<CompletionEvent> {
        self.state.take_events()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.state.request_stop();
        // Closes the channel, which stops the thread.
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
