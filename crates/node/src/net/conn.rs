//! A stream connection: its socket, its two buffers and its state.

use super::ring::Ring;
use super::PEER_CLOSED;
use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{sockopt, RecvFlags, SendFlags, Shutdown};

/// The maximum number of bytes read from one connection in one turn, which bounds the delay for the other connections
/// and the timers.
const MAX_READ: usize = 64 * 1024;
/// The number of bytes discarded with one read on a connection that is being closed.
const DISCARD_CHUNK: usize = 16 * 1024;

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connect has not succeeded yet.
    Connecting,
    /// Both sides may send.
    Open,
    /// All output is written. Input is discarded until the peer closes, so that no reset overtakes the response.
    Lingering,
    /// All output is written. Input is left unread, so that its sender gets a reset and knows it was not accepted.
    LingeringUnread,
}

/// What happens to later input of a connection that is being closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closing {
    /// It is discarded: the peer expects nothing more on this connection.
    DiscardInput,
    /// It is left unread: it may be a request, whose sender must learn that it was not accepted.
    LeaveUnread,
}

/// Why reading from a connection stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadStop {
    /// The limit for one turn was reached; more input may be available.
    TurnEnded,
    /// There is no more input, or no room for it.
    Drained,
}

/// A stream connection.
pub struct Connection {
    pub(super) fd: OwnedFd,
    /// Received bytes that were not handled yet.
    pub input: Ring,
    /// Bytes that are still to be sent.
    pub output: Ring,
    pub(super) state: State,
    /// Whether the peer has finished sending.
    pub eof: bool,
    /// Whether the connection has failed.
    pub broken: bool,
    /// Set if it is to be closed once the output is written.
    pub(super) closing: Option<Closing>,
    /// Whether the end of the peer's input is reported at once, even if the input buffer is full.
    pub(super) reports_eof: bool,
    /// Whether the last read took all input that had arrived, so that a later end of the peer is reported.
    is_drained: bool,
    /// Whether all input had been taken before the last read began.
    was_drained: bool,
    /// The events that the epoll instance waits for.
    pub(super) interest: EventFlags,
    /// The size of its buffers when it was last flushed.
    pub(super) counted_bytes: usize,
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
            closing: None,
            reports_eof: false,
            is_drained: true,
            was_drained: true,
            interest: EventFlags::empty(),
            counted_bytes: 0,
        }
    }

    /// The memory that its buffers take, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Whether all input had been taken before the last event, so that until then an end of the peer would have been
    /// reported.
    pub fn was_drained(&self) -> bool {
        self.was_drained
    }

    /// Whether both sides may still send.
    pub fn is_open(&self) -> bool {
        self.state == State::Open && !self.eof && !self.broken
    }

    /// Whether the connect has not succeeded yet.
    pub fn is_connecting(&self) -> bool {
        self.state == State::Connecting
    }

    /// Whether it is being closed and leaves its input unread.
    fn leaves_unread(&self) -> bool {
        self.closing == Some(Closing::LeaveUnread)
    }

    /// Whether all output is written and only the peer's close is awaited.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, State::Lingering | State::LingeringUnread)
    }

    /// Handles an event with these flags: completes the connect and reads the input.
    pub(super) fn read(&mut self, flags: EventFlags) {
        if self.state == State::Connecting {
            self.finish_connect();
        }
        let stopped = match self.state {
            State::LingeringUnread => ReadStop::Drained,
            State::Open if self.leaves_unread() => ReadStop::Drained,
            State::Lingering => {
                self.discard_input();
                ReadStop::Drained
            }
            State::Connecting | State::Open => self.read_input(),
        };
        // Both directions are closed. Without this, the event would be reported repeatedly while the input is full.
        let failed = flags.intersects(EventFlags::ERR | EventFlags::HUP);
        self.broken |= stopped == ReadStop::Drained && failed;
        let reports_eof = self.reports_eof || self.leaves_unread();
        self.eof |= reports_eof && flags.intersects(PEER_CLOSED);
    }

    /// Checks whether the connect has succeeded.
    fn finish_connect(&mut self) {
        match sockopt::socket_error(&self.fd) {
            Ok(Ok(())) => self.state = State::Open,
            _ => self.broken = true,
        }
    }

    /// Reads the input, limited by the room in the buffer and by [`MAX_READ`]. Reads on after a failed write, since
    /// what the peer sent before it disconnected still counts.
    fn read_input(&mut self) -> ReadStop {
        let mut remaining = MAX_READ;
        self.was_drained = std::mem::take(&mut self.is_drained);
        while remaining > 0 && !self.eof {
            let free = self.input.free();
            if free.is_empty() {
                return ReadStop::Drained;
            }
            match rustix::io::read(&self.fd, free) {
                Ok(0) => self.eof = true,
                Ok(n) => {
                    self.input.commit(n);
                    remaining = remaining.saturating_sub(n);
                }
                Err(Errno::AGAIN) => {
                    self.is_drained = true;
                    return ReadStop::Drained;
                }
                Err(Errno::INTR) => {}
                Err(_) => {
                    self.broken = true;
                    return ReadStop::Drained;
                }
            }
        }
        if remaining == 0 {
            ReadStop::TurnEnded
        } else {
            ReadStop::Drained
        }
    }

    /// Discards the input that has arrived. Bypasses the ring buffer and reads larger pieces than
    /// its initial size, since as much as 60 MB may follow.
    pub(super) fn discard_input(&mut self) {
        let mut discarded = [0u8; DISCARD_CHUNK];
        for _ in 0..MAX_READ / DISCARD_CHUNK {
            match rustix::io::read(&self.fd, &mut discarded) {
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

    /// Writes the output, as far as the socket accepts it.
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

    /// Ends sending after all output is written, and begins to linger.
    pub(super) fn shut_down(&mut self, closing: Closing) {
        let _ = rustix::net::shutdown(&self.fd, Shutdown::Write);
        self.state = match closing {
            Closing::DiscardInput => {
                self.input.consume(usize::MAX);
                State::Lingering
            }
            Closing::LeaveUnread => State::LingeringUnread,
        };
    }

    /// Prepares a connection that is being closed for its immediate end: writes its output and discards its input.
    /// Returns whether nothing is lost by the end.
    pub(super) fn finish_closing(&mut self) -> bool {
        self.flush();
        // A close over unread bytes would reset the connection, and the response on its way with it.
        if !self.leaves_unread() {
            self.discard_input();
        }
        self.output.is_empty() || self.broken
    }

    /// Whether unread input may hide that the peer has closed the connection: its end is reported once all that it sent
    /// before has arrived, and that does not arrive while the system's buffer is full. Reads what has room first.
    pub(super) fn hides_end(&mut self) -> bool {
        if self.is_drained || !self.is_open() {
            return false;
        }
        self.read_input();
        !self.is_drained && !self.eof && !self.broken && self.peek().is_ok_and(|bytes| bytes > 0)
    }

    /// Looks for unread input, without taking it. Returns how many bytes were found, at most one; 0 at its end.
    fn peek(&self) -> Result<usize, Errno> {
        let mut byte = [0u8; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        rustix::net::recv(&self.fd, &mut byte, flags).map(|(_, bytes)| bytes)
    }

    /// Whether an idle connection can be reused: it is open and has no unread input. Peeks at the socket to detect that
    /// the peer has just closed it.
    pub(super) fn is_reusable(&self) -> bool {
        let no_input = matches!(self.peek(), Err(Errno::AGAIN));
        self.is_open() && self.input.is_empty() && no_input
    }

    /// The events that the epoll instance should wait for in the current state.
    pub(super) fn wanted(&self) -> EventFlags {
        let mut wanted = EventFlags::empty();
        let unread = self.leaves_unread();
        let connecting = self.state == State::Connecting;
        if !self.input.is_full() && !unread && !self.eof && !connecting {
            wanted |= EventFlags::IN;
        }
        if (self.reports_eof || unread) && !self.eof {
            wanted |= EventFlags::RDHUP;
        }
        if connecting || !self.output.is_empty() {
            wanted |= EventFlags::OUT;
        }
        wanted
    }
}
