//! A listener with its backoff: it pauses where no connection can be accepted, and leaves new connections to the
//! successor while there is one.

use super::{Net, Token};
use crate::clock::millis;
use marbledeck_dispatcher::Micros;
use std::io;

/// How long a listener pauses where no descriptor is free: without a pause, the loop would spin until one is.
const PAUSE: Micros = millis(50);

/// A listener that accepts connections as long as there are descriptors for them.
pub struct Acceptor {
    listener: Token,
    paused_until: Option<Micros>,
    /// Another process of this node serves, and accepts the connections.
    succeeded: bool,
}

impl Acceptor {
    /// Accepts connections at this listener.
    pub fn new(listener: Token) -> Self {
        Acceptor {
            listener,
            paused_until: None,
            succeeded: false,
        }
    }

    /// The listener.
    pub fn listener(&self) -> Token {
        self.listener
    }

    /// Accepts the next connection that waits, if any.
    ///
    /// # Errors
    /// No descriptor or no memory is free. The listener pauses.
    pub fn accept(&mut self, now: Micros, net: &mut Net) -> io::Result<Option<Token>> {
        let accepted = net.accept(self.listener);
        accepted.inspect_err(|_| self.pause(now, net))
    }

    /// Accepts nothing for a while.
    pub fn pause(&mut self, now: Micros, net: &mut Net) {
        net.set_accepting(self.listener, false);
        self.paused_until = Some(now + PAUSE);
    }

    /// Whether it pauses.
    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Whether another process of this node accepts the connections.
    pub fn is_succeeded(&self) -> bool {
        self.succeeded
    }

    /// Leaves new connections to the process that replaces this one, or accepts them again where that one is lost.
    pub fn set_succeeded(&mut self, succeeded: bool, net: &mut Net) {
        self.succeeded = succeeded;
        net.set_accepting(self.listener, !succeeded && !self.is_paused());
    }

    /// When [`Acceptor::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        self.paused_until
    }

    /// Ends the pause once its time is over.
    pub fn wake(&mut self, now: Micros, net: &mut Net) {
        if self.paused_until.is_some_and(|deadline| deadline <= now) {
            self.paused_until = None;
            net.set_accepting(self.listener, !self.succeeded);
        }
    }

    /// Closes the listener.
    pub fn close(&mut self, net: &mut Net) {
        net.close(self.listener);
        self.paused_until = None;
    }
}
