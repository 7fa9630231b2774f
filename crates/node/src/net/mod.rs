//! The loop's sockets: one epoll, the listeners, the connections and what each is waiting for.

mod acceptor;
mod closing;
pub mod conn;
pub mod http;
pub mod ring;
mod sockets;

pub use acceptor::Acceptor;
pub use sockets::PASSED;

use closing::{ClosingCounts, Lingering};
use conn::{Connection, State};
use marbledeck_dispatcher::Micros;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{sockopt, Shutdown};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// Events handled in one turn; the rest come in the next, after the timers.
const MAX_EVENTS: usize = 128;
/// The peer sends nothing more, whether or not all that it sent is read.
const ENDED: EventFlags = EventFlags::RDHUP
    .union(EventFlags::HUP)
    .union(EventFlags::ERR);

/// A token's lower bits are the index of its slot, the upper ones count the tokens.
const INDEX_BITS: u32 = 32;
/// The index in a token, and the largest count.
const INDEX_MASK: u64 = 0xffff_ffff;

/// A socket of the loop; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(u64);

impl Token {
    /// Its number, as unique as it is.
    pub fn number(self) -> u64 {
        self.0
    }

    fn index(self) -> usize {
        (self.0 & INDEX_MASK) as usize
    }
}

/// Who is at the other end of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// Who sends requests over HTTP.
    Client,
    /// A render worker.
    Worker,
    /// The discovery service.
    Discovery,
    /// Who is on call.
    Operator,
    /// One that has registered with the loop, by its number.
    Service(u8),
    /// The other process of this node, while one replaces the other.
    Partner,
    /// SIGTERM.
    TerminateSignal,
    /// SIGHUP.
    ReloadSignal,
}

enum Socket {
    Listener(OwnedFd),
    Signal(OwnedFd),
    Datagrams(OwnedFd),
    Stream(Box<Connection>),
}

impl Socket {
    fn fd(&self) -> &OwnedFd {
        match self {
            Socket::Listener(fd) | Socket::Signal(fd) | Socket::Datagrams(fd) => fd,
            Socket::Stream(conn) => &conn.fd,
        }
    }
}

struct Slot {
    token: Token,
    peer: Peer,
    socket: Socket,
}

/// A socket on which something has happened.
#[derive(Clone, Copy, Debug)]
pub struct SocketEvent {
    token: Token,
    flags: EventFlags,
}

impl SocketEvent {
    /// The socket.
    pub fn token(&self) -> Token {
        self.token
    }
}

/// A socket to be handled. Connections have been read and written as far as they go.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The socket.
    pub token: Token,
    /// Who is at the other end.
    pub peer: Peer,
    /// Whether it is a listener: connections wait there.
    pub listener: bool,
}

/// All sockets of the loop.
pub struct Net {
    epoll: OwnedFd,
    slots: Vec<Option<Slot>>,
    /// The indexes of slots that can be used again.
    free: Vec<usize>,
    /// The count of the next token.
    next_token: u64,
    /// The connections that were written, read or closed since the last [`Net::flush`].
    touched: Vec<Token>,
    /// The connections that are being closed; the first to be closed comes first.
    lingering: VecDeque<Lingering>,
    closing: ClosingCounts,
    /// The time of this turn.
    now: Micros,
}

impl Net {
    /// A loop without any socket yet.
    ///
    /// # Errors
    /// No descriptor is free.
    pub fn new() -> io::Result<Self> {
        Ok(Net {
            epoll: epoll::create(CreateFlags::CLOEXEC)?,
            slots: Vec::new(),
            free: Vec::new(),
            next_token: 1,
            touched: Vec::new(),
            lingering: VecDeque::new(),
            closing: ClosingCounts::default(),
            now: Micros(0),
        })
    }

    fn insert(&mut self, peer: Peer, mut socket: Socket) -> io::Result<Token> {
        let index = self.free.last().copied().unwrap_or(self.slots.len());
        let token = Token(self.next_token << INDEX_BITS | index as u64);
        let interest = match &mut socket {
            Socket::Stream(conn) => {
                conn.interest = conn.wanted();
                conn.interest
            }
            _ => EventFlags::IN,
        };
        let data = EventData::new_u64(token.0);
        epoll::add(&self.epoll, socket.fd(), data, interest)?;
        self.next_token = (self.next_token + 1) & INDEX_MASK;
        self.free.pop();
        let slot = Some(Slot {
            token,
            peer,
            socket,
        });
        match self.slots.get_mut(index) {
            Some(free) => *free = slot,
            None => self.slots.push(slot),
        }
        Ok(token)
    }

    fn slot(&mut self, token: Token) -> Option<&mut Slot> {
        let slot = self.slots.get_mut(token.index())?.as_mut();
        slot.filter(|slot| slot.token == token)
    }

    /// A connection, as long as it is open.
    pub fn get(&mut self, token: Token) -> Option<&mut Connection> {
        match &mut self.slot(token)?.socket {
            Socket::Stream(conn) => Some(conn),
            _ => None,
        }
    }

    /// The address at the other end of a connection.
    pub fn peer_addr(&mut self, token: Token) -> Option<SocketAddr> {
        let addr = rustix::net::getpeername(&self.get(token)?.fd).ok()?;
        SocketAddr::try_from(addr?).ok()
    }

    /// Sets for how long what was sent on a connection may stay unacknowledged before it counts as broken.
    pub fn set_user_timeout(&mut self, token: Token, timeout: Micros) {
        if let Some(conn) = self.get(token) {
            let _ = sockopt::set_tcp_user_timeout(&conn.fd, (timeout.0 / 1000) as u32);
        }
    }

    /// Raises the number of bytes that a connection may hold each way.
    pub fn raise_buffer_limit(&mut self, token: Token, bytes: usize) {
        if let Some(conn) = self.get(token) {
            conn.input.raise_limit(bytes);
            conn.output.raise_limit(bytes);
        }
    }

    /// Those of these connections on which the peer sends nothing more, as it is now.
    pub fn closed_by_peer(&self, tokens: Vec<Token>) -> Vec<Token> {
        let open = |token: &Token| {
            let slot = self.slots.get(token.index())?.as_ref();
            slot.filter(|slot| slot.token == *token)
        };
        let slots: Vec<&Slot> = tokens.iter().filter_map(open).collect();
        let mut polled: Vec<PollFd> = slots
            .iter()
            .map(|slot| PollFd::new(slot.socket.fd(), PollFlags::RDHUP))
            .collect();
        let at_once = Timespec::default();
        // Interrupted, it has looked at nothing.
        let looked_at = loop {
            match rustix::event::poll(&mut polled, Some(&at_once)) {
                Err(Errno::INTR) => {}
                result => break result,
            }
        };
        if let Err(error) = looked_at {
            log::error!("poll: {error}");
            return Vec::new();
        }
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let results = slots.iter().zip(&polled);
        let closed = results.filter(|(_, polled)| polled.revents().intersects(ended));
        closed.map(|(slot, _)| slot.token).collect()
    }

    /// Reads what has come on a connection, though no event has been reported of it.
    pub fn poll_connection(&mut self, token: Token) -> Option<Ready> {
        self.get(token).filter(|conn| !conn.is_connecting())?;
        let flags = EventFlags::empty();
        self.process_event(SocketEvent { token, flags })
    }

    /// Whether an idle connection can still be written to.
    pub fn is_reusable(&mut self, token: Token) -> bool {
        self.get(token).is_some_and(|conn| conn.is_reusable())
    }

    /// Sends these bytes as soon as the socket takes them. Returns false where the buffer cannot hold them.
    #[must_use]
    pub fn write(&mut self, token: Token, bytes: &[u8]) -> bool {
        let pushed = self.get(token).is_some_and(|conn| conn.output.push(bytes));
        self.touch(token);
        pushed
    }

    /// Whether no more than this is still to be sent. What the socket takes at once does not count: with nothing left
    /// to send, no event would report that there is room again.
    pub fn has_room(&mut self, token: Token, backlog: usize) -> bool {
        let Some(conn) = self.get(token) else {
            return false;
        };
        if conn.output.len() > backlog {
            conn.flush();
        }
        conn.output.len() <= backlog
    }

    /// To be called when input was taken from a connection, so that more is read.
    pub fn touch(&mut self, token: Token) {
        self.touched.push(token);
    }

    /// Writes out, and renews what is waited for, where something was written, read or closed since the last time.
    pub fn flush(&mut self, now: Micros) {
        self.now = now;
        for token in std::mem::take(&mut self.touched) {
            self.flush_connection(token);
        }
        self.close_expired();
    }

    fn flush_connection(&mut self, token: Token) {
        let Some(conn) = self.get(token) else {
            return;
        };
        conn.flush();
        let is_done = conn.output.is_empty() || conn.broken;
        if conn.closing && !conn.is_lingering() && is_done {
            if conn.broken || conn.eof {
                return self.close(token);
            }
            let _ = rustix::net::shutdown(&conn.fd, Shutdown::Write);
            conn.state = State::Lingering;
            conn.input.consume(usize::MAX);
        }
        let wanted = conn.wanted();
        if wanted != std::mem::replace(&mut conn.interest, wanted) {
            let data = EventData::new_u64(token.0);
            let slot = self.slots[token.index()].as_ref();
            if let Some(fd) = slot.map(|slot| slot.socket.fd()) {
                let _ = epoll::modify(&self.epoll, fd, data, wanted);
            }
        }
    }

    /// Waits until something happens, until this deadline at the latest, and adds on which sockets to `events`. Each is to be
    /// handed to [`Net::process_event`]. Returns whether these are all on which something has happened: there may be
    /// more than are reported at once, and an interrupted wait reports none.
    pub fn wait(
        &mut self,
        now: Micros,
        deadline: Option<Micros>,
        events: &mut Vec<SocketEvent>,
    ) -> bool {
        self.now = now;
        let linger = self.lingering.front().map(|lingering| lingering.deadline);
        let deadline = [deadline, linger].into_iter().flatten().min();
        let timeout = deadline.map(|deadline| timespec(deadline - now));
        let mut received = Vec::with_capacity(MAX_EVENTS);
        let buffer = rustix::buffer::spare_capacity(&mut received);
        let waited = epoll::wait(&self.epoll, buffer, timeout.as_ref());
        if let Some(error) = waited.err().filter(|error| *error != Errno::INTR) {
            log::error!("epoll: {error}");
        }
        events.extend(received.iter().map(|event| SocketEvent {
            token: Token(event.data.u64()),
            flags: event.flags,
        }));
        waited.is_ok() && received.len() < MAX_EVENTS
    }

    /// Reads a connection on which something has happened, as far as it goes in one turn, and returns who is to handle
    /// it. One is processed and handled after the other: what a turn reads is held once, not for each connection of
    /// the turn.
    pub fn process_event(&mut self, SocketEvent { token, flags }: SocketEvent) -> Option<Ready> {
        let slot = self.slot(token)?;
        let peer = slot.peer;
        let Socket::Stream(conn) = &mut slot.socket else {
            let listener = matches!(slot.socket, Socket::Listener(_));
            return Some(Ready {
                token,
                peer,
                listener,
            });
        };
        // Nothing is written here: all bytes leave in [`Net::flush`], when everything of this turn is handled.
        conn.read(flags);
        if conn.state == State::LingeringUnread && flags.intersects(ENDED) {
            self.close(token);
            return None;
        }
        if conn.closing {
            if conn.broken || conn.eof && conn.output.is_empty() {
                self.close(token);
            } else {
                self.touch(token);
            }
            return None;
        }
        self.touch(token);
        Some(Ready {
            token,
            peer,
            listener: false,
        })
    }
}

fn timespec(span: Micros) -> Timespec {
    Timespec {
        tv_sec: (span.0 / 1_000_000) as i64,
        tv_nsec: (span.0 % 1_000_000 * 1000) as i64,
    }
}
