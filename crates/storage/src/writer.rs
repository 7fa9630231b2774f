//! The writer thread: takes all queued batches, makes them durable in one transaction and reports the completion.

use crate::batch::WriteBatch;
use crate::channel::Receiver;
use crate::error::StoreError;
use crate::file::StoreFile;
use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Delay between two attempts of a failing write.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A report on writes. Reports follow the order of the writes.
#[derive(Debug)]
pub enum CompletionEvent {
    /// Everything up to this ticket is durable.
    Persisted(u64),
    /// A write failed. It is retried, and [`CompletionEvent::Persisted`] follows once it succeeds.
    Stalled(StoreError),
}

/// State that the writer thread shares with its [`crate::Store`].
#[derive(Debug, Default)]
pub(crate) struct WriterState {
    events: Mutex<Vec<CompletionEvent>>,
    /// The store is being dropped, so that a write that still fails is abandoned.
    stopping: AtomicBool,
}

impl WriterState {
    pub fn take_events(&self) -> Vec<CompletionEvent> {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut events)
    }

    pub fn request_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }
}

pub(crate) struct Writer {
    pub file: StoreFile,
    pub receiver: Receiver<WriteBatch>,
    pub state: Arc<WriterState>,
    /// A byte written to it wakes the event loop.
    pub wake_pipe: UnixStream,
}

impl Writer {
    /// Writes until the channel is closed and empty, or a failing write is abandoned because the store is being dropped.
    pub fn run(mut self) {
        while let Ok(batches) = self.receiver.receive_all() {
            let Some(last) = batches.last() else {
                continue;
            };
            let ticket = last.ticket;
            if !self.persist(&batches) {
                return;
            }
            self.report(CompletionEvent::Persisted(ticket));
        }
    }

    /// Writes batches, with retries. Returns false if they were abandoned.
    fn persist(&mut self, batches: &[WriteBatch]) -> bool {
        if let Err(error) = self.file.write(batches) {
            self.report(CompletionEvent::Stalled(error));
        } else {
            return true;
        }
        while self.file.write(batches).is_err() {
            if self.state.stopping.load(Ordering::SeqCst) {
                return false;
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        true
    }

    fn report(&mut self, event: CompletionEvent) {
        let mut events = self
            .state
            .events
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        events.push(event);
        drop(events);
        // An error is ignored: a full pipe already holds bytes that wake the event loop.
        let _ = self.wake_pipe.write(&[1]);
    }
}
