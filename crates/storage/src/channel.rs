//! A bounded channel from the event loop to the writer thread. Sending never blocks; receiving takes everything that is
//! queued. `loom` checks all interleavings (`tests/channel.rs`, with `--cfg loom`).

#[cfg(loom)]
use loom::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::sync::PoisonError;
#[cfg(not(loom))]
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// The channel is full: the value was not queued.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the channel is full")]
pub struct ChannelFull;

/// The sender was dropped, and the queue is empty.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the channel is closed")]
pub struct ChannelClosed;

struct State<T> {
    queue: Vec<T>,
    capacity: usize,
    closed: bool,
}

struct Shared<T> {
    state: Mutex<State<T>>,
    /// Notified when a value is queued, and when the sender is dropped.
    changed: Condvar,
}

impl<T> Shared<T> {
    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The sending end. Dropping it closes the channel; what is queued is still received.
pub struct Sender<T>(Arc<Shared<T>>);

/// The receiving end.
pub struct Receiver<T>(Arc<Shared<T>>);

/// Creates a channel that queues at most `capacity` values.
pub fn bounded_channel<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let state = State {
        queue: Vec::new(),
        capacity,
        closed: false,
    };
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        changed: Condvar::new(),
    });
    (Sender(shared.clone()), Receiver(shared))
}

impl<T> Sender<T> {
    /// Queues a value without blocking.
    ///
    /// # Errors
    /// The channel is full, and the value is dropped.
    pub fn send(&self, value: T) -> Result<(), ChannelFull> {
        let mut state = self.0.lock();
        if state.queue.len() >= state.capacity {
            return Err(ChannelFull);
        }
        state.queue.push(value);
        self.0.changed.notify_one();
        Ok(())
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.0.lock().closed = true;
        self.0.changed.notify_one();
    }
}

impl<T> Receiver<T> {
    /// Waits until values are queued, and takes all of them, in order.
    ///
    /// # Errors
    /// The channel is closed, and nothing is queued.
    pub fn receive_all(&self) -> Result<Vec<T>, ChannelClosed> {
        let mut state = self.0.lock();
        while state.queue.is_empty() {
            if state.closed {
                return Err(ChannelClosed);
            }
            state = self
                .0
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        Ok(std::mem::take(&mut state.queue))
    }
}
