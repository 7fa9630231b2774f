//! One TCP connection: its socket, its two buffers and how far it has come.

use super::ring::Ring;
use super::ENDED;
use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{sockopt, RecvFlags, SendFlags};

/// Bytes read from one connection in one turn: the others and the timers wait no longer than this takes.
const MAX_READ: usize = 64 * 1024;
/// Bytes dropped at once of what comes on a connection that is being closed.
const DROPPED_AT_ONCE: usize = 16 * 1024;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connect has not succeeded yet.
    Connecting,
    /// Both sides may send.
    Open,
    /// All is written; what still comes is dropped until the peer closes, so that no reset overtakes the response.
    Lingering,
    /// All is written; what still comes is left unread, so that its sender knows that it was not accepted.
    LingeringUnread,
}

/// Why reading has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopped {
    /// The turn has ended; more may have come.
    TurnEnded,
    /// There is nothing more to read, or no room for it.
    Drained,
}

/// A TCP connection.
pub struct Connection {
    pub(super) fd: OwnedFd,
    /// What has come and was not handled yet.
    pub input: Ring,
    /// What is still to be sent.
    pub output: Ring,
    pub(super) state: State,
    /// The peer sends nothing more.
    pub eof: bool,
    /// The connection has failed.
    pub broken: bool,
    /// To be closed once the output is written.
    pub(super) closing: bool,
    /// Its end is wanted at once, also where nothing is read for want of room.
    pub(super) reports_end: bool,
    /// What the epoll waits for.
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
            reports_end: false,
            interest: EventFlags::empty(),
        }
    }

    /// Whether both sides may still send.
    pub fn is_open(&self) -> bool {
        self.state == State::Open && !self.eof && !self.broken
    }

    /// Whether the connect has not succeeded yet.
    pub fn is_connecting(&self) -> bool {
        self.state == State::Connecting
    }

    /// Whether all is written, and only the peer's close is awaited.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, State::Lingering | State::LingeringUnread)
    }

    /// Handles an event with these flags: ends the connect, and reads what has come.
    pub(super) fn read(&mut self, flags: EventFlags) {
        if self.state == State::Connecting {
            self.finish_connect();
        }
        let stopped = match self.state {
            State::LingeringUnread => Stopped::Drained,
            State::Lingering => {
                self.drop_input();
                Stopped::Drained
            }
            State::Connecting | State::Open => self.fill(),
        };
        // Both directions are gone: without this, a full input would be reported again and again.
        let failed = flags.intersects(EventFlags::ERR | EventFlags::HUP);
        self.broken |= stopped == Stopped::Drained && failed;
        self.eof |= self.reports_end && flags.intersects(ENDED);
    }

    /// Finds out how a connect has gone.
    fn finish_connect(&mut self) {
        match sockopt::socket_error(&self.fd) {
            Ok(Ok(())) => self.state = State::Open,
            _ => self.broken = true,
        }
    }

    /// Reads what has come, as far as there is room and the turn lasts. What a peer has sent before it left counts,
    /// also where it can no longer be written to.
    fn fill(&mut self) -> Stopped {
        let mut left = MAX_READ;
        while left > 0 && !self.eof {
            let free = self.input.free();
            if free.is_empty() {
                return Stopped::Drained;
            }
            match rustix::io::read(&self.fd, free) {
                Ok(0) => self.eof = true,
                Ok(n) => {
                    self.input.filled(n);
                    left = left.saturating_sub(n);
                }
                Err(Errno::AGAIN) => return Stopped::Drained,
                Err(Errno::INTR) => {}
                Err(_) => {
                    self.broken = true;
                    return Stopped::Drained;
                }
            }
        }
        if left == 0 {
            Stopped::TurnEnded
        } else {
            Stopped::Drained
        }
    }

    /// Drops what has come on a connection that is being closed. It needs no ring, and goes in larger pieces than a
    /// ring's first size: 60 MB may follow.
    fn drop_input(&mut self) {
        let mut dropped = [0u8; DROPPED_AT_ONCE];
        for _ in 0..MAX_READ / DROPPED_AT_ONCE {
            match rustix::io::read(&self.fd, &mut dropped) {
                Ok(0) => {
                    self.eof = true;
                    return;
                }
                Ok(_) | Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return,
                Err(_) => {
                    self.broken = true;
                    return;
                }
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

    /// Whether an idle connection is still good: open, and nothing has come without a request. Guards against writing
    /// to one that the peer has closed a moment ago.
    pub(super) fn is_reusable(&self) -> bool {
        let mut byte = [0u8; 1];
        let peek = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let received = rustix::net::recv(&self.fd, &mut byte, peek);
        let nothing_came = matches!(received, Err(Errno::AGAIN));
        self.is_open() && self.input.is_empty() && nothing_came
    }

    /// What the epoll is to wait for.
    pub(super) fn wanted(&self) -> EventFlags {
        let mut wanted = EventFlags::empty();
        let unread = self.state == State::LingeringUnread;
        let connecting = self.state == State::Connecting;
        if !self.input.is_full() && !unread && !self.eof && !connecting {
            wanted |= EventFlags::IN;
        }
        if (self.reports_end || unread) && !self.eof {
            wanted |= EventFlags::RDHUP;
        }
        if connecting || !self.output.is_empty() {
            wanted |= EventFlags::OUT;
        }
        wanted
    }
}
