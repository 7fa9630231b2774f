//! The writer thread: takes all queued batches, makes them durable in one transaction and reports it.

use crate::batch::WriteBatch;
use crate::channel::Receiver;
use crate::error::StoreError;
use crate::file::StoreFile;
use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Pause between two attempts while the disk accepts no writes.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Reports on writes, in their order.
#[derive(Debug)]
pub enum CompletionEvent {
    /// Everything up to this ticket is durable.
    Persisted(u64),
    /// A write failed. It is retried, and [`CompletionEvent::Persisted`] follows once it succeeds.
    Stalled(StoreError),
}

/// What the writer thread and its store share.
#[derive(Debug, Default)]
pub(crate) struct WriterState {
    events: Mutex<Vec<CompletionEvent>>,
    /// The store is being dropped: a write that still fails is given up.
    ending: AtomicBool,
}

impl WriterState {
    pub fn take_events(&self) -> Vec<CompletionEvent> {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut events)
    }

    pub fn end(&self) {
        self.ending.store(true, Ordering::SeqCst);
    }
}

pub(crate) struct Writer {
    pub file: StoreFile,
    pub receiver: Receiver<WriteBatch>,
    pub state: Arc<WriterState>,
    /// A byte in it wakes the event loop.
    pub wake_pipe: UnixStream,
}

impl Writer {
    /// Writes until the channel is closed and empty, or a failing write is given up at the end.
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

    /// Writes batches, with retries. Returns false where they are given up.
    fn persist(&mut self, batches: &[WriteBatch]) -> bool {
        if let Err(error) = self.file.write(batches) {
            self.report(CompletionEvent::Stalled(error));
        } else {
            return true;
        }
        while self.file.write(batches).is_err() {
            if self.state.ending.load(Ordering::SeqCst) {
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
        // A full pipe wakes the event loop as well as one more byte would.
        let _ = self.wake_pipe.write(&[1]);
    }
}
