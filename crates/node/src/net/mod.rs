//! The sockets of the event loop: an epoll instance, listeners, connections, datagram sockets and signal pipes.

mod acceptor;
mod closing;
pub mod conn;
pub mod http;
pub mod ring;
mod sockets;

pub use acceptor::Acceptor;
pub use sockets::MAX_PASSED_LISTENERS;

use closing::{ClosingCounts, Lingering};
use conn::{Connection, State};
use marbledeck_dispatcher::Micros;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::sockopt;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// The maximum number of events handled in one turn; the rest are handled in the next one, after the timers.
const MAX_EVENTS: usize = 128;
/// The event flags that show that the peer has finished sending, whether or not its input was read.
const PEER_CLOSED: EventFlags = EventFlags::RDHUP
    .union(EventFlags::HUP)
    .union(EventFlags::ERR);

/// The lower bits of a token are the index of its slot; the upper bits are a sequence number.
const INDEX_BITS: u32 = 32;
/// The mask of the index in a token, and the largest sequence number.
const INDEX_MASK: u64 = 0xffff_ffff;

/// Identifies a socket of the event loop. A token is not reused for another socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(u64);

impl Token {
    /// The token as a number.
    pub fn number(self) -> u64 {
        self.0
    }

    fn index(self) -> usize {
        (self.0 & INDEX_MASK) as usize
    }
}

/// The kind of peer at the other end of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client that sends requests over HTTP.
    Client,
    /// A worker.
    Worker,
    /// The discovery service.
    Discovery,
    /// An operator.
    Operator,
    /// A peer of the service with this number.
    Service(u8),
    /// The predecessor or successor process of this node, during a handover.
    Partner,
    /// The pipe that reports SIGTERM.
    TerminateSignal,
    /// The pipe that reports SIGHUP.
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

/// An event on a socket, as reported by epoll.
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

/// A socket that is ready to be handled; if it is a connection, its input has been read.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The socket.
    pub token: Token,
    /// Who is at the other end.
    pub peer: Peer,
    /// Whether it is a listener with pending connections.
    pub listener: bool,
}

/// All sockets of the event loop.
pub struct Net {
    epoll: OwnedFd,
    slots: Vec<Option<Slot>>,
    /// The indexes of free slots.
    free: Vec<usize>,
    /// The sequence number of the next token.
    next_token: u64,
    /// The connections that were written, read or closed since the last [`Net::flush`], which it handles.
    touched: Vec<Token>,
    /// The connections that are being closed, ordered by deadline.
    lingering: VecDeque<Lingering>,
    closing: ClosingCounts,
    /// The size of the buffers of all clients' connections, as counted when each was last flushed.
    client_buffer_bytes: usize,
    /// The time of the current turn.
    now: Micros,
}

impl Net {
    /// Creates the epoll instance, without any sockets.
    ///
    /// # Errors
    /// The epoll instance cannot be created, typically because no descriptor is free.
    pub fn new() -> io::Result<Self> {
        Ok(Net {
            epoll: epoll::create(CreateFlags::CLOEXEC)?,
            slots: Vec::new(),
            free: Vec::new(),
            next_token: 1,
            touched: Vec::new(),
            lingering: VecDeque::new(),
            closing: ClosingCounts::default(),
            client_buffer_bytes: 0,
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

    /// The connection with this token, if it is open.
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

    /// Sets `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged before the connection counts as broken.
    pub fn set_user_timeout(&mut self, token: Token, timeout: Micros) {
        if let Some(conn) = self.get(token) {
            let _ = sockopt::set_tcp_user_timeout(&conn.fd, (timeout.0 / 1000) as u32);
        }
    }

    /// Raises the limit of a connection's input and output buffers to this many bytes.
    pub fn raise_buffer_limit(&mut self, token: Token, bytes: usize) {
        if let Some(conn) = self.get(token) {
            conn.input.raise_limit(bytes);
            conn.output.raise_limit(bytes);
        }
    }

    /// Returns those of these connections whose peer has finished sending, according to a poll made now.
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
        let no_wait = Timespec::default();
        // An interrupted poll has checked nothing, so it is repeated.
        let polled_result = loop {
            match rustix::event::poll(&mut polled, Some(&no_wait)) {
                Err(Errno::INTR) => {}
                result => break result,
            }
        };
        if let Err(error) = polled_result {
            log::error!("cannot poll connections for a disconnect; treating all as open: {error}");
            return Vec::new();
        }
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let results = slots.iter().zip(&polled);
        let closed = results.filter(|(_, polled)| polled.revents().intersects(ended));
        closed.map(|(slot, _)| slot.token).collect()
    }

    /// Reads the input of a connection without waiting for an event.
    pub fn poll_connection(&mut self, token: Token) -> Option<Ready> {
        self.get(token).filter(|conn| !conn.is_connecting())?;
        let flags = EventFlags::empty();
        self.process_event(SocketEvent { token, flags })
    }

    /// Whether unread input may hide that the peer has closed the connection.
    pub fn hides_end(&mut self, token: Token) -> bool {
        self.touch(token);
        self.get(token).is_some_and(Connection::hides_end)
    }

    /// Whether an idle connection can be reused: it is open and has no unread input.
    pub fn is_reusable(&mut self, token: Token) -> bool {
        self.get(token).is_some_and(|conn| conn.is_reusable())
    }

    /// Queues these bytes to be sent by the next [`Net::flush`]. Returns false if the buffer cannot hold them.
    #[must_use]
    pub fn write(&mut self, token: Token, bytes: &[u8]) -> bool {
        let pushed = self.get(token).is_some_and(|conn| conn.output.push(bytes));
        self.touch(token);
        pushed
    }

    /// Whether at most `backlog` bytes are still to be sent. Flushes first if there are more, since no event would
    /// report that there is room again once everything is sent.
    pub fn has_room(&mut self, token: Token, backlog: usize) -> bool {
        let Some(conn) = self.get(token) else {
            return false;
        };
        if conn.output.len() > backlog {
            conn.flush();
        }
        conn.output.len() <= backlog
    }

    /// Marks a connection for the next [`Net::flush`]. To be called after consuming its input, so that more is read.
    pub fn touch(&mut self, token: Token) {
        self.touched.push(token);
    }

    /// Writes the output and updates the epoll interest of all connections that were written, read or closed since the
    /// last flush. Then closes the connections whose linger timeout has passed.
    pub fn flush(&mut self, now: Micros) {
        self.now = now;
        for token in std::mem::take(&mut self.touched) {
            self.flush_connection(token);
        }
        self.close_expired();
    }

    /// The size in bytes of the buffers of all clients' connections, as counted when each was last flushed.
    pub fn client_buffer_bytes(&self) -> usize {
        self.client_buffer_bytes
    }

    /// Counts the buffers of a connection anew, if it is a client's.
    fn count_buffers(&mut self, token: Token) {
        let Some(Slot {
            peer: Peer::Client,
            socket: Socket::Stream(conn),
            ..
        }) = self.slot(token)
        else {
            return;
        };
        let bytes = conn.buffer_bytes();
        let before = std::mem::replace(&mut conn.counted_bytes, bytes);
        self.client_buffer_bytes = self.client_buffer_bytes + bytes - before;
    }

    /// Writes the output of one connection, ahead of [`Net::flush`].
    pub fn flush_connection(&mut self, token: Token) {
        self.write_output(token);
        self.count_buffers(token);
    }

    fn write_output(&mut self, token: Token) {
        let Some(conn) = self.get(token) else {
            return;
        };
        conn.flush();
        let is_done = conn.output.is_empty() || conn.broken;
        let closing = conn.closing.filter(|_| is_done && !conn.is_lingering());
        if let Some(closing) = closing {
            if conn.broken || conn.eof {
                return self.close(token);
            }
            conn.shut_down(closing);
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

    /// Waits for events, until this deadline at the latest, and adds them to `events`. The caller passes each one to
    /// [`Net::process_event`]. Returns whether these are all pending events: the number reported at once is limited,
    /// and an interrupted wait reports none.
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
            log::error!("cannot wait for socket events; handling none in this turn: {error}");
        }
        events.extend(received.iter().map(|event| SocketEvent {
            token: Token(event.data.u64()),
            flags: event.flags,
        }));
        waited.is_ok() && received.len() < MAX_EVENTS
    }

    /// Reads the input of a connection that has an event, up to the limit for one turn, and returns the socket if its
    /// owner has to handle it. The caller handles each socket before it processes the next event, so that only one
    /// connection's unhandled input is in memory at a time.
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
        // Nothing is written here: [`Net::flush`] sends all output after all events of this turn are handled.
        conn.read(flags);
        if conn.state == State::LingeringUnread && flags.intersects(PEER_CLOSED) {
            self.close(token);
            return None;
        }
        if conn.closing.is_some() {
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
