//! Server at the operations address: reads one call per connection, answers it and closes the connection. The calls are
//! documented in `docs/operations.md`.
//!
//! File descriptors are reserved for it, so that many clients cannot lock operators out. The number of callers, the
//! length of a call and the time for it are limited, so that a caller who sends nothing or only part of a call does not
//! block others.

mod call;
mod report;

pub use call::{Call, CallError};
pub use report::{describe_members, describe_metrics, NEXT_MEMBERS};

use crate::clock::millis;
use crate::net::{Net, Peer, Token};
use call::CHANGE_PREFIX;
use marbledeck_dispatcher::Micros;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// Maximum number of callers. A further caller replaces the oldest one.
pub const MAX_CALLERS: usize = 16;
/// Callers accepted in one event-loop iteration.
const ACCEPTS_PER_TURN: usize = 8;
/// Time for a caller to send its line, which may be typed by hand.
const CALL_TIMEOUT: Micros = millis(10_000);
/// How long accepting pauses if no file descriptor is free.
const ACCEPT_PAUSE: Micros = millis(50);
/// Maximum length of a call in bytes.
const MAX_CALL: usize = 512;
/// Maximum length of a `change` call in bytes.
const MAX_CHANGE: usize = 128 * 1024;

/// The answer to a call: the resulting state, or the reason for a refusal.
pub type Answer = Result<String, String>;

/// A caller whose call has not arrived completely.
struct Caller {
    token: Token,
    deadline: Micros,
}

/// The server at the operations address.
pub struct Admin {
    listener: Token,
    /// The address at which it listens.
    pub addr: SocketAddr,
    /// Callers whose call has not arrived completely, oldest first.
    callers: VecDeque<Caller>,
    /// Maximum number of callers, including answered ones whose connections are still closing.
    max_callers: usize,
    /// Until when accepting pauses because no file descriptor was free.
    accept_paused_until: Option<Micros>,
}

impl Admin {
    /// Listens at this address.
    ///
    /// # Errors
    /// If the listening socket cannot be opened.
    pub fn new(addr: SocketAddr, net: &mut Net) -> io::Result<Self> {
        let (listener, addr) = net.listen(addr, None, Peer::Operator)?;
        Ok(Admin {
            listener,
            addr,
            callers: VecDeque::new(),
            max_callers: MAX_CALLERS,
            accept_paused_until: None,
        })
    }

    /// Sets the maximum number of callers.
    pub fn set_max_callers(&mut self, max_callers: usize) {
        self.max_callers = max_callers;
    }

    /// When [`Admin::wake`] must be called next; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Micros> {
        let caller = self.callers.front().map(|caller| caller.deadline);
        [caller, self.accept_paused_until]
            .into_iter()
            .flatten()
            .min()
    }

    /// Resumes accepting after a pause, and disconnects callers whose time has expired.
    pub fn wake(&mut self, now: Micros, net: &mut Net) {
        if self
            .accept_paused_until
            .is_some_and(|deadline| deadline <= now)
        {
            self.accept_paused_until = None;
            net.set_accepting(self.listener, true);
        }
        while let Some(caller) = self.callers.pop_front_if(|caller| caller.deadline <= now) {
            net.close(caller.token);
        }
    }

    /// Accepts new callers.
    pub fn accept(&mut self, now: Micros, net: &mut Net) {
        for _ in 0..ACCEPTS_PER_TURN {
            match net.accept(self.listener) {
                Ok(None) => return,
                Ok(Some(token)) if !self.make_room(net) => net.close(token),
                Ok(Some(token)) => {
                    let deadline = now + CALL_TIMEOUT;
                    self.callers.push_back(Caller { token, deadline });
                }
                Err(error) => {
                    // Pauses, since the pending connection would wake the event loop again at once.
                    log::warn!("operators: cannot accept a connection: {error}; pausing briefly");
                    net.set_accepting(self.listener, false);
                    self.accept_paused_until = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    /// Makes room for one more caller: closes the oldest answered connection, or else the caller that has waited
    /// longest without a call. Returns whether there is room.
    fn make_room(&mut self, net: &mut Net) -> bool {
        let answered = net.closing_count(Peer::Operator);
        if self.callers.len() + answered < self.max_callers {
            return true;
        }
        if net.close_oldest_lingering(Peer::Operator) {
            return true;
        }
        let oldest = self.callers.pop_front();
        oldest.map(|oldest| net.close(oldest.token)).is_some()
    }

    /// Reads input from a caller. Returns its call once it is complete; the caller then expects one answer.
    pub fn read_call(&mut self, token: Token, net: &mut Net) -> Option<Call> {
        let conn = net.get(token)?;
        let input_ended = conn.eof || conn.broken;
        match parse_input(conn.input.all(), input_ended).transpose()? {
            Ok(call) => Some(call),
            Err(error) => {
                self.answer(token, Err(error.to_string()), net);
                None
            }
        }
    }

    /// Answers a call with an `ACK` or `NAK` line, and closes the connection.
    pub fn answer(&mut self, token: Token, answer: Answer, net: &mut Net) {
        let line = match answer {
            Ok(result) => format!("ACK {result}\n"),
            Err(reason) => format!("NAK {reason}\n"),
        };
        self.send(token, &line, net);
    }

    /// Sends this text as the answer to a call, and closes the connection.
    pub fn send(&mut self, token: Token, text: &str, net: &mut Net) {
        self.callers.retain(|caller| caller.token != token);
        // Fails if the caller has disconnected, which needs no handling.
        let _ = net.write(token, text.as_bytes());
        net.close_after_flush(token);
    }
}

/// Parses the call at the start of the input; `None` if it is not complete yet.
fn parse_input(bytes: &[u8], input_ended: bool) -> Result<Option<Call>, CallError> {
    let max_length = if bytes.starts_with(CHANGE_PREFIX.as_bytes()) {
        MAX_CHANGE
    } else {
        MAX_CALL
    };
    match bytes.iter().position(|byte| *byte == b'\n') {
        Some(end) if end <= max_length => Call::parse(&bytes[..end]).map(Some),
        None if bytes.len() <= max_length && input_ended => Err(CallError::Incomplete),
        None if bytes.len() <= max_length => Ok(None),
        _ => Err(CallError::TooLong),
    }
}
