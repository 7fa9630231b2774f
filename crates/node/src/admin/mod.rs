//! The operators' address: a connection carries one line, gets one answer and is closed. `docs/operations.md` has
//! the calls.
//!
//! It has descriptors of its own, so that a crowd of consumers cannot shut operators out, and its callers are bounded
//! in number, length and time, so that one who says nothing, or half a call, hinders nobody.

mod figures;

pub use figures::{members, text as figures};

use crate::clock::millis;
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::Micros;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// Callers at a time. One more takes the place of the eldest.
pub const CALLERS: usize = 16;
/// Callers taken in one turn.
const ACCEPTS: usize = 8;
/// How long a caller may take for its line: one may be typing it.
const PATIENCE: Micros = millis(10_000);
/// How long the listener rests when no descriptor is free.
const REST: Micros = millis(50);
/// The longest call, in bytes; that of a change may be longer.
const LONGEST: usize = 512;
const LONGEST_CHANGE: usize = 128 * 1024;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Check,
    Vars,
    /// Each worker, and which source says what of it.
    Members,
    /// Take this worker out.
    SetDown(String),
    /// This worker may serve again.
    SetUp(String),
    /// The records that the fleet has agreed on.
    Records,
    /// Change some of them: what is to be changed, as JSON.
    Change(String),
}

impl Call {
    /// Reads a line without its end.
    fn read(line: &[u8]) -> Result<Self, &'static str> {
        let line = std::str::from_utf8(line).map_err(|_| "not text")?;
        if let Some(change) = line.strip_prefix("change ") {
            return Ok(Call::Change(change.trim().to_owned()));
        }
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["check"] => Ok(Call::Check),
            ["vars"] => Ok(Call::Vars),
            ["members"] => Ok(Call::Members),
            ["records"] => Ok(Call::Records),
            ["set-down", id] => Ok(Call::SetDown(id.to_owned())),
            ["set-up", id] => Ok(Call::SetUp(id.to_owned())),
            ["set-down" | "set-up", ..] => Err("want the id of one render worker"),
            _ => Err("unknown call; known: check, vars, members, set-down ID, set-up ID, records, change JSON"),
        }
    }
}

/// Yes, with a word on it, or no, with the reason.
pub type Answer = Result<String, String>;

pub struct Ops {
    listener: Token,
    pub addr: SocketAddr,
    /// Who has not called yet, the eldest first, and until when it may.
    callers: VecDeque<(Micros, Token)>,
    /// How many there may be, those included that have had their answer.
    pub most: usize,
    /// No caller is taken until then: there was no descriptor.
    resting: Option<Micros>,
}

impl Ops {
    pub fn new(addr: SocketAddr, net: &mut Net) -> io::Result<Self> {
        let (listener, addr) = net.listen(addr, None, Peer::Operator)?;
        Ok(Ops {
            listener,
            addr,
            callers: VecDeque::new(),
            most: CALLERS,
            resting: None,
        })
    }

    pub fn next_wake(&self) -> Option<Micros> {
        let caller = self.callers.front().map(|(until, _)| *until);
        [caller, self.resting].into_iter().flatten().min()
    }

    /// Closes on the callers that took too long.
    pub fn wake(&mut self, now: Micros, net: &mut Net) {
        if self.resting.is_some_and(|until| until <= now) {
            self.resting = None;
            net.set_accepting(self.listener, true);
        }
        while let Some((_, token)) = self.callers.pop_front_if(|(until, _)| *until <= now) {
            net.close(token);
        }
    }

    pub fn accept(&mut self, now: Micros, net: &mut Net) {
        for _ in 0..ACCEPTS {
            match net.accept(self.listener) {
                Ok(None) => return,
                Ok(Some(token)) => {
                    self.make_room(net);
                    self.callers.push_back((now + PATIENCE, token));
                }
                Err(e) => {
                    // The loop would turn without end on a caller that it cannot take.
                    log::warn!("operators: {e}");
                    net.set_accepting(self.listener, false);
                    self.resting = Some(now + REST);
                    return;
                }
            }
        }
    }

    /// Sees to it that one more caller is no more than there may be: one that has its answer goes first, then the
    /// one that has been silent for longest.
    fn make_room(&mut self, net: &mut Net) {
        if self.callers.len() + net.closing_count(Peer::Operator) < self.most {
            return;
        }
        if net.closing_count(Peer::Operator) > 0 {
            net.close_oldest_lingering(Peer::Operator);
        } else if let Some((_, token)) = self.callers.pop_front() {
            net.close(token);
        }
    }

    /// Something has come from a caller. Tells its call, if that has wholly come; it wants one [`Ops::answer`].
    pub fn ready(&mut self, token: Token, net: &mut Net) -> Option<Call> {
        let conn = net.get(token)?;
        let bytes = conn.input.all();
        let end = bytes.iter().position(|b| *b == b'\n');
        let longest = match bytes.starts_with(b"change ") {
            true => LONGEST_CHANGE,
            false => LONGEST,
        };
        let call = match end {
            Some(end) if end <= longest => Call::read(&bytes[..end]),
            None if bytes.len() <= longest && !conn.eof && !conn.broken => return None,
            // What was cut off is no call: half of `set-down w12` names another worker.
            None if bytes.len() <= longest => Err("half a call"),
            _ => Err("the call is too long"),
        };
        match call {
            Ok(call) => Some(call),
            Err(what) => {
                self.answer(token, Err(what.to_owned()), net);
                None
            }
        }
    }

    /// Answers a call.
    pub fn answer(&mut self, token: Token, answer: Answer, net: &mut Net) {
        let line = match answer {
            Ok(word) => format!("ACK {word}\n"),
            Err(why) => format!("NAK {why}\n"),
        };
        self.say(token, &line, net);
    }

    /// Says something else than yes or no, and closes.
    pub fn say(&mut self, token: Token, text: &str, net: &mut Net) {
        self.callers.retain(|(_, caller)| *caller != token);
        // A caller that has gone hears nothing.
        let _ = net.write(token, text.as_bytes());
        net.finish(token);
    }
}
