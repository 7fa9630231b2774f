//! The operations address: a connection carries one line, gets one answer and is closed. `docs/operations.md` has the
//! calls.
//!
//! It has descriptors of its own, so that a crowd of clients cannot shut operators out, and its callers are bounded in
//! number, length and time, so that one who sends nothing, or half a call, hinders nobody.

mod call;
mod figures;

pub use call::{Call, CallError};
pub use figures::{describe_figures, describe_members, NEXT_MEMBERS};

use crate::clock::millis;
use crate::net::{Net, Peer, Token};
use call::CHANGE_PREFIX;
use marbledeck_dispatcher::Micros;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// Callers at a time. One more takes the place of the oldest.
pub const MAX_CALLERS: usize = 16;
/// Callers accepted in one turn.
const ACCEPTS_PER_TURN: usize = 8;
/// How long a caller may take for its line: one may be typing it.
const CALL_TIMEOUT: Micros = millis(10_000);
/// How long no caller is accepted when no descriptor is free.
const ACCEPT_PAUSE: Micros = millis(50);
/// The longest call, in bytes.
const MAX_CALL: usize = 512;
/// The longest change, in bytes.
const MAX_CHANGE: usize = 128 * 1024;

/// What is done and how it stands now, or why it cannot be done.
pub type Answer = Result<String, String>;

/// A caller that has not called yet.
struct Caller {
    token: Token,
    deadline: Micros,
}

/// The server at the operations address.
pub struct Admin {
    listener: Token,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Who has not called yet, the oldest first.
    callers: VecDeque<Caller>,
    /// How many callers there may be, those included that have had their answer.
    max_callers: usize,
    /// Until then no caller is accepted, since there was no descriptor.
    accept_paused_until: Option<Micros>,
}

impl Admin {
    /// Listens at this address.
    ///
    /// # Errors
    /// The address cannot be had.
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

    /// From now on there are at most so many callers at a time.
    pub fn set_max_callers(&mut self, max_callers: usize) {
        self.max_callers = max_callers;
    }

    /// When [`Admin::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        let caller = self.callers.front().map(|caller| caller.deadline);
        [caller, self.accept_paused_until]
            .into_iter()
            .flatten()
            .min()
    }

    /// Drops the callers that took too long.
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

    /// Accepts callers.
    pub fn accept(&mut self, now: Micros, net: &mut Net) {
        for _ in 0..ACCEPTS_PER_TURN {
            match net.accept(self.listener) {
                Ok(None) => return,
                Ok(Some(token)) => {
                    self.make_room(net);
                    let deadline = now + CALL_TIMEOUT;
                    self.callers.push_back(Caller { token, deadline });
                }
                Err(e) => {
                    // The loop would turn without end on a caller that it cannot accept.
                    log::warn!("operators: {e}");
                    net.set_accepting(self.listener, false);
                    self.accept_paused_until = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    /// Sees to it that one more caller is no more than there may be: one that has its answer goes first, then the one
    /// that has been silent for longest.
    fn make_room(&mut self, net: &mut Net) {
        let answered = net.closing_count(Peer::Operator);
        if self.callers.len() + answered < self.max_callers {
            return;
        }
        if answered > 0 {
            net.close_oldest_lingering(Peer::Operator);
        } else if let Some(oldest) = self.callers.pop_front() {
            net.close(oldest.token);
        }
    }

    /// Something has come from a caller. Returns its call, if that has come completely; it wants one answer.
    pub fn read_call(&mut self, token: Token, net: &mut Net) -> Option<Call> {
        let conn = net.get(token)?;
        let is_over = conn.eof || conn.broken;
        match parse_input(conn.input.all(), is_over).transpose()? {
            Ok(call) => Some(call),
            Err(error) => {
                self.answer(token, Err(error.to_string()), net);
                None
            }
        }
    }

    /// Answers a call with yes or no.
    pub fn answer(&mut self, token: Token, answer: Answer, net: &mut Net) {
        let line = match answer {
            Ok(result) => format!("ACK {result}\n"),
            Err(reason) => format!("NAK {reason}\n"),
        };
        self.send(token, &line, net);
    }

    /// Answers a call with a text of its own, and closes.
    pub fn send(&mut self, token: Token, text: &str, net: &mut Net) {
        self.callers.retain(|caller| caller.token != token);
        // A caller that has gone gets nothing.
        let _ = net.write(token, text.as_bytes());
        net.close_after_flush(token);
    }
}

/// The call that these bytes begin with; none where it has not come completely.
fn parse_input(bytes: &[u8], is_over: bool) -> Result<Option<Call>, CallError> {
    let max_length = if bytes.starts_with(CHANGE_PREFIX.as_bytes()) {
        MAX_CHANGE
    } else {
        MAX_CALL
    };
    match bytes.iter().position(|byte| *byte == b'\n') {
        Some(end) if end <= max_length => Call::parse(&bytes[..end]).map(Some),
        None if bytes.len() <= max_length && is_over => Err(CallError::CutOff),
        None if bytes.len() <= max_length => Ok(None),
        _ => Err(CallError::TooLong),
    }
}
