//! A listener that pauses when no connection can be accepted, and leaves new connections to the successor process while
//! there is one.

use super::{Net, Token};
use crate::clock::millis;
use marbledeck_dispatcher::Micros;
use std::io;

/// How long a listener pauses when no descriptor is free. Without a pause, the event loop would spin until one is.
const PAUSE: Micros = millis(50);

/// A listener, and whether it accepts connections now.
pub struct Acceptor {
    listener: Token,
    paused_until: Option<Micros>,
    /// Whether a successor process of this node accepts the connections.
    has_successor: bool,
}

impl Acceptor {
    /// Creates an acceptor for this listener.
    pub fn new(listener: Token) -> Self {
        Acceptor {
            listener,
            paused_until: None,
            has_successor: false,
        }
    }

    /// The listener.
    pub fn listener(&self) -> Token {
        self.listener
    }

    /// Accepts the next pending connection, if any.
    ///
    /// # Errors
    /// Accepting fails, typically for lack of descriptors or memory. The listener pauses.
    pub fn accept(&mut self, now: Micros, net: &mut Net) -> io::Result<Option<Token>> {
        let accepted = net.accept(self.listener);
        accepted.inspect_err(|_| self.pause(now, net))
    }

    /// Stops accepting for the duration of `PAUSE`.
    pub fn pause(&mut self, now: Micros, net: &mut Net) {
        net.set_accepting(self.listener, false);
        self.paused_until = Some(now + PAUSE);
    }

    /// Whether it is paused.
    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Whether a successor process accepts the connections.
    pub fn has_successor(&self) -> bool {
        self.has_successor
    }

    /// Leaves new connections to the successor process, or accepts them again if the successor is lost.
    pub fn set_has_successor(&mut self, has_successor: bool, net: &mut Net) {
        self.has_successor = has_successor;
        net.set_accepting(self.listener, !has_successor && !self.is_paused());
    }

    /// When to call [`Acceptor::wake`] next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.paused_until
    }

    /// Resumes accepting once the pause is over.
    pub fn wake(&mut self, now: Micros, net: &mut Net) {
        if self.paused_until.is_some_and(|deadline| deadline <= now) {
            self.paused_until = None;
            net.set_accepting(self.listener, !self.has_successor);
        }
    }

    /// Closes the listener.
    pub fn close(&mut self, net: &mut Net) {
        net.close(self.listener);
        self.paused_until = None;
    }
}
