//! One TCP connection: its socket, its two rings and how far it has come.

use super::ring::Ring;
use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{sockopt, RecvFlags, SendFlags};

/// Bytes read from one connection in one turn: the others and the timers wait no longer than this takes.
const TURN: usize = 64 * 1024;
/// Bytes dropped at once of what comes on a connection that is being closed.
const DROPPED: usize = 16 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Connecting,
    Open,
    /// All is said; what still comes is dropped until the peer closes, so that no reset overtakes the answer.
    Lingering,
}

pub struct Connection {
    pub(super) fd: OwnedFd,
    pub input: Ring,
    pub output: Ring,
    pub(super) state: State,
    /// The peer sends nothing more.
    pub eof: bool,
    /// The connection has failed.
    pub broken: bool,
    /// To be closed once the output is out.
    pub(super) closing: bool,
    /// Its end is wanted at once, also where nothing is read for want of room.
    pub(super) tells_end: bool,
    /// What still comes is not read: it stays the peer's.
    pub(super) deaf: bool,
    pub(super) interest: EventFlags,
}

impl Connection {
    pub(super) fn new(fd: OwnedFd, state: State, input: usize, output: usize) -> Self {
        Connection {
            fd,
            input: Ring::new(input),
            output: Ring::new(output),
            state,
            eof: false,
            broken: false,
            closing: false,
            tells_end: false,
            deaf: false,
            interest: EventFlags::empty(),
        }
    }

    pub fn is_open(&self) -> bool {
        self.state == State::Open && !self.eof && !self.broken
    }

    pub fn is_connecting(&self) -> bool {
        self.state == State::Connecting
    }

    /// Finds out how a connect has gone.
    pub(super) fn connected(&mut self) {
        match sockopt::socket_error(&self.fd) {
            Ok(Ok(())) => self.state = State::Open,
            _ => self.broken = true,
        }
    }

    /// Reads what has come, as far as there is room and the turn lasts. Tells whether only the turn's end keeps it from
    /// reading on. What a peer has said before it went counts, also where it can no longer be written to.
    pub(super) fn fill(&mut self) -> bool {
        let mut left = TURN;
        while left > 0 && !self.eof {
            let free = self.input.free();
            if free.is_empty() {
                return false;
            }
            match rustix::io::read(&self.fd, free) {
                Ok(0) => self.eof = true,
                Ok(n) => {
                    self.input.filled(n);
                    left = left.saturating_sub(n);
                }
                Err(Errno::AGAIN) => return false,
                Err(Errno::INTR) => {}
                Err(_) => {
                    self.broken = true;
                    return false;
                }
            }
        }
        left == 0
    }

    /// Drops what has come on a connection that is being closed. It needs no ring, and goes in larger pieces
    /// than a ring's first size: 60 MB may follow.
    pub(super) fn drop_rest(&mut self) {
        let mut dropped = [0u8; DROPPED];
        for _ in 0..TURN / DROPPED {
            match rustix::io::read(&self.fd, &mut dropped) {
                Ok(0) => return self.eof = true,
                Ok(_) | Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return,
                Err(_) => return self.broken = true,
            }
        }
    }

    /// Writes what is held, as far as the socket takes it.
    pub(super) fn flush(&mut self) {
        while self.state == State::Open && !self.output.is_empty() && !self.broken {
            match rustix::net::send(&self.fd, self.output.front(), SendFlags::NOSIGNAL) {
                Ok(n) => self.output.consume(n),
                Err(Errno::AGAIN) => return,
                Err(Errno::INTR) => {}
                Err(_) => self.broken = true,
            }
        }
    }

    /// Whether an idle connection is still good: open, and nothing unasked has come. Guards against writing to
    /// one that the peer has closed a moment ago.
    pub(super) fn is_reusable(&self) -> bool {
        let mut byte = [0u8; 1];
        let peek = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let nothing = matches!(
            rustix::net::recv(&self.fd, &mut byte, peek),
            Err(Errno::AGAIN)
        );
        self.is_open() && self.input.is_empty() && nothing
    }

    /// What the loop is to wait for.
    pub(super) fn wanted(&self) -> EventFlags {
        let mut wanted = EventFlags::empty();
        let hears = !self.input.is_full() && !self.deaf;
        if hears && !self.eof && self.state != State::Connecting {
            wanted |= EventFlags::IN;
        }
        if (self.tells_end || self.deaf) && !self.eof {
            wanted |= EventFlags::RDHUP;
        }
        if self.state == State::Connecting || !self.output.is_empty() {
            wanted |= EventFlags::OUT;
        }
        wanted
    }
}
