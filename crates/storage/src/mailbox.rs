//! The way from the loop to the disk thread: bounded, and the sender never waits. `loom` plays all its interleavings
//! (`tests/mailbox.rs`, with `--cfg loom`).

#[cfg(loom)]
use loom::sync::{Arc, Condvar, Mutex};
#[cfg(not(loom))]
use std::sync::{Arc, Condvar, Mutex};

/// Nothing passes any more: the other end is gone, or the mailbox is full.
#[derive(Debug, PartialEq, Eq)]
pub struct Closed;

struct State<T> {
    waiting: Vec<T>,
    most: usize,
    closed: bool,
}

struct Shared<T> {
    state: Mutex<State<T>>,
    filled: Condvar,
}

/// The loop's end. The mailbox is closed when it is dropped; what was sent before is still received.
pub struct Sender<T>(Arc<Shared<T>>);

/// The thread's end.
pub struct Receiver<T>(Arc<Shared<T>>);

/// A mailbox that holds so many.
pub fn mailbox<T>(most: usize) -> (Sender<T>, Receiver<T>) {
    let state = State {
        waiting: Vec::new(),
        most,
        closed: false,
    };
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        filled: Condvar::new(),
    });
    (Sender(shared.clone()), Receiver(shared))
}

impl<T> Sender<T> {
    /// Leaves something; never waits for the receiver's work.
    ///
    /// # Errors
    /// It is full. What was to be sent is lost to the caller's knowledge only: it was not taken.
    pub fn send(&self, what: T) -> Result<(), Closed> {
        let mut state = self.0.state.lock().unwrap_or_else(|e| e.into_inner());
        if state.waiting.len() >= state.most {
            return Err(Closed);
        }
        state.waiting.push(what);
        self.0.filled.notify_one();
        Ok(())
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.0
            .state
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .closed = true;
        self.0.filled.notify_one();
    }
}

impl<T> Receiver<T> {
    /// Waits for something, and takes all that is there, in order.
    ///
    /// # Errors
    /// It is closed, and nothing is left.
    pub fn wait(&self) -> Result<Vec<T>, Closed> {
        let mut state = self.0.state.lock().unwrap_or_else(|e| e.into_inner());
        while state.waiting.is_empty() {
            if state.closed {
                return Err(Closed);
            }
            state = self.0.filled.wait(state).unwrap_or_else(|e| e.into_inner());
        }
        Ok(std::mem::take(&mut state.waiting))
    }
}
