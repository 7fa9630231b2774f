//! The loop's sockets: one epoll, the listeners, the connections and what each is waiting for.

mod acceptor;
pub mod conn;
pub mod http;
pub mod ring;

pub use acceptor::Acceptor;

use crate::clock::millis;
use conn::{Connection, State};
use marbledeck_dispatcher::Micros;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use rustix::net::{sockopt, AddressFamily, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use rustix::net::{Shutdown, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;

/// Events handled in one turn; the rest come in the next, after the timers.
const EVENTS: usize = 128;
/// How long a connection that is being closed may take to send the rest, and then drops what still comes. A peer
/// that sends on without end, or reads nothing, holds its descriptor no longer.
const LINGER: Micros = millis(3000);
/// The peer sends nothing more, whether or not all that it sent is read.
const ENDED: EventFlags = EventFlags::RDHUP
    .union(EventFlags::HUP)
    .union(EventFlags::ERR);
/// A direction of a connection holds a body of 64 KiB with its head, or a result of that size escaped.
const RING: usize = 192 * 1024;
/// What is held of what a consumer sends: its longest head. Bodies are taken out as they come.
const CONSUMER_RING: usize = http::MAX_HEAD + 4096;

/// What a link between two processes of the node holds: a job with its input and its result, both escaped.
const PARTNER_RING: usize = 1024 * 1024;

/// The most listeners passed to another process at a time: the consumers' and the submitters'.
pub const PASSED: usize = 2;

/// A socket of the loop; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(u64);

impl Token {
    /// Its number, as unique as it is.
    pub fn number(self) -> u64 {
        self.0
    }

    fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }
}

/// Who is at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// Who sends requests over HTTP.
    Client,
    /// A render worker.
    Worker,
    /// The discovery service.
    Discovery,
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

/// A socket to be looked at. Connections have been read and written as far as they go.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    pub token: Token,
    pub peer: Peer,
    pub listener: bool,
}

pub struct Net {
    epoll: OwnedFd,
    slots: Vec<Option<Slot>>,
    free: Vec<usize>,
    next: u64,
    touched: Vec<Token>,
    /// The connections that are being closed, and until when; the first to be closed by then comes first.
    lingering: VecDeque<(Micros, Token)>,
    /// How many of those are still open, those of operators apart: neither crowds the other out.
    leaving: [usize; 2],
    /// The time of this turn.
    now: Micros,
}

impl Net {
    pub fn new() -> io::Result<Self> {
        Ok(Net {
            epoll: epoll::create(CreateFlags::CLOEXEC)?,
            slots: Vec::new(),
            free: Vec::new(),
            next: 1,
            touched: Vec::new(),
            lingering: VecDeque::new(),
            leaving: [0; 2],
            now: Micros(0),
        })
    }

    fn enter(&mut self, peer: Peer, socket: Socket) -> io::Result<Token> {
        let index = self.free.last().copied().unwrap_or(self.slots.len());
        let token = Token(self.next << 32 | index as u64);
        let interest = match &socket {
            Socket::Stream(conn) => conn.wanted(),
            _ => EventFlags::IN,
        };
        let mut socket = socket;
        if let Socket::Stream(conn) = &mut socket {
            conn.interest = interest;
        }
        epoll::add(
            &self.epoll,
            socket.fd(),
            EventData::new_u64(token.0),
            interest,
        )?;
        self.next = (self.next + 1) & 0xffff_ffff;
        self.free.pop();
        let slot = Some(Slot {
            token,
            peer,
            socket,
        });
        match self.slots.get_mut(index) {
            Some(place) => *place = slot,
            None => self.slots.push(slot),
        }
        Ok(token)
    }

    fn slot(&mut self, token: Token) -> Option<&mut Slot> {
        let slot = self.slots.get_mut(token.index())?.as_mut();
        slot.filter(|slot| slot.token == token)
    }

    /// Listens on this address only; tells the one in fact used. A socket that listens there already and was handed
    /// on is used.
    pub fn listen(
        &mut self,
        addr: SocketAddr,
        handed: Option<OwnedFd>,
        peer: Peer,
    ) -> io::Result<(Token, SocketAddr)> {
        if let Some(fd) = handed {
            return Ok((self.add_listener(fd, peer)?, addr));
        }
        let fd = stream_socket(addr)?;
        sockopt::set_socket_reuseaddr(&fd, true)?;
        // A process that hangs and still listens there must not keep the one that replaces it from serving.
        sockopt::set_socket_reuseport(&fd, true)?;
        rustix::net::bind(&fd, &addr)?;
        rustix::net::listen(&fd, 1024)?;
        let bound = rustix::net::getsockname(&fd)?;
        let bound = SocketAddr::try_from(bound).unwrap_or(addr);
        Ok((self.enter(peer, Socket::Listener(fd))?, bound))
    }

    /// Takes on a socket that listens already.
    pub fn add_listener(&mut self, fd: OwnedFd, peer: Peer) -> io::Result<Token> {
        self.enter(peer, Socket::Listener(fd))
    }

    /// Takes on a connection that is open already.
    pub fn add_connection(&mut self, fd: OwnedFd, peer: Peer) -> io::Result<Token> {
        let conn = Connection::new(fd, State::Open, PARTNER_RING, PARTNER_RING);
        self.enter(peer, Socket::Stream(Box::new(conn)))
    }

    /// Sends these bytes over a Unix socket on which nothing was sent before, and these listeners with the first of
    /// them.
    pub fn send_listeners(
        &mut self,
        token: Token,
        bytes: &[u8],
        listeners: &[Token],
    ) -> io::Result<()> {
        let open = |t: &Token| self.slots[t.index()].as_ref().filter(|s| s.token == *t);
        let passed = listeners.iter().filter_map(open);
        let passed: Vec<_> = passed.map(|slot| slot.socket.fd().as_fd()).collect();
        let to = open(&token).ok_or(io::ErrorKind::NotConnected)?.socket.fd();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(PASSED))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(&passed)) {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        let parts = [IoSlice::new(bytes)];
        let sent = rustix::net::sendmsg(to, &parts, &mut control, SendFlags::NOSIGNAL)?;
        match self.write(token, &bytes[sent..]) {
            true => Ok(()),
            false => Err(io::ErrorKind::FileTooLarge.into()),
        }
    }

    /// Watches the reading end of a signal's pipe.
    pub fn signal(&mut self, fd: OwnedFd, signal: Peer) -> io::Result<Token> {
        self.enter(signal, Socket::Signal(fd))
    }

    /// Takes datagrams at this address from now on.
    pub fn datagrams(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<Token> {
        let family = rustix::net::AddressFamily::INET;
        let kind = rustix::net::SocketType::DGRAM;
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        let fd = rustix::net::socket_with(family, kind, flags, None)?;
        rustix::net::bind(&fd, &addr)?;
        self.enter(peer, Socket::Datagrams(fd))
    }

    /// The next datagram that has come, if any: its length, as far as it fits, and its sender.
    pub fn receive(&mut self, token: Token, bytes: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let Some(Slot {
            socket: Socket::Datagrams(fd),
            ..
        }) = self.slot(token)
        else {
            return None;
        };
        let flags = rustix::net::RecvFlags::empty();
        let (len, _, from) = rustix::net::recvfrom(&*fd, bytes, flags).ok()?;
        Some((len, SocketAddr::try_from(from?).ok()?))
    }

    /// Sends a datagram. Where it cannot leave at once it is lost, as datagrams may be.
    pub fn send_to(&mut self, token: Token, bytes: &[u8], to: SocketAddr) {
        if let Some(Slot {
            socket: Socket::Datagrams(fd),
            ..
        }) = self.slot(token)
        {
            let _ = rustix::net::sendto(&*fd, bytes, SendFlags::empty(), &to);
        }
    }

    /// Takes the next connection that waits at a listener, if any.
    pub fn accept(&mut self, listener: Token) -> io::Result<Option<Token>> {
        let Some(Slot {
            peer,
            socket: Socket::Listener(fd),
            ..
        }) = self.slot(listener)
        else {
            return Ok(None);
        };
        let peer = *peer;
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        let fd = match rustix::net::accept_with(fd, flags) {
            Ok(fd) => fd,
            Err(Errno::AGAIN | Errno::CONNABORTED | Errno::INTR) => return Ok(None),
            Err(e) => return Err(e.into()),
        };
        // Answers are small and wanted at once.
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let (input, output) = match peer {
            Peer::Client => (CONSUMER_RING, RING),
            Peer::Partner => (PARTNER_RING, PARTNER_RING),
            _ => (RING, RING),
        };
        let mut conn = Connection::new(fd, State::Open, input, output);
        conn.tells_end = peer == Peer::Client;
        self.enter(peer, Socket::Stream(Box::new(conn))).map(Some)
    }

    /// Whether a listener is to take connections; those that come meanwhile wait.
    pub fn set_accepting(&mut self, listener: Token, on: bool) {
        let epoll = &self.epoll;
        let slot = self.slots.get(listener.index()).and_then(Option::as_ref);
        if let Some(slot) = slot.filter(|s| s.token == listener) {
            let wanted = if on {
                EventFlags::IN
            } else {
                EventFlags::empty()
            };
            let data = EventData::new_u64(listener.0);
            let _ = epoll::modify(epoll, slot.socket.fd(), data, wanted);
        }
    }

    /// Begins a connection.
    pub fn connect(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<Token> {
        let fd = stream_socket(addr)?;
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let state = match rustix::net::connect(&fd, &addr) {
            Ok(()) => State::Open,
            Err(Errno::INPROGRESS) => State::Connecting,
            Err(e) => return Err(e.into()),
        };
        let conn = Connection::new(fd, state, RING, RING);
        self.enter(peer, Socket::Stream(Box::new(conn)))
    }

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

    /// A connection of which nothing that was sent is acknowledged for so long counts as broken.
    pub fn set_user_timeout(&mut self, token: Token, span: Micros) {
        if let Some(conn) = self.get(token) {
            let _ = sockopt::set_tcp_user_timeout(&conn.fd, (span.0 / 1000) as u32);
        }
    }

    /// A connection may hold so many bytes each way from now on.
    pub fn raise_buffer_limit(&mut self, token: Token, bytes: usize) {
        if let Some(conn) = self.get(token) {
            conn.input.widen(bytes);
            conn.output.widen(bytes);
        }
    }

    /// Those of these connections of which the peer sends nothing more, as it is now.
    pub fn closed_by_peer(&self, tokens: Vec<Token>) -> Vec<Token> {
        let open = |t: &Token| {
            self.slots
                .get(t.index())?
                .as_ref()
                .filter(|s| s.token == *t)
        };
        let slots: Vec<&Slot> = tokens.iter().filter_map(open).collect();
        let mut asked: Vec<PollFd> = slots
            .iter()
            .map(|slot| PollFd::new(slot.socket.fd(), PollFlags::RDHUP))
            .collect();
        let at_once = Timespec::default();
        if rustix::event::poll(&mut asked, Some(&at_once)).is_err() {
            return Vec::new();
        }
        let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let told = slots.iter().zip(&asked);
        let ended = told.filter(|(_, asked)| asked.revents().intersects(gone));
        ended.map(|(slot, _)| slot.token).collect()
    }

    /// Looks whether anything has come on a connection, though nothing was told of it.
    pub fn poll_connection(&mut self, token: Token) -> Option<Ready> {
        self.get(token).filter(|conn| !conn.is_connecting())?;
        let flags = EventFlags::empty();
        self.process_event(SocketEvent { token, flags })
    }

    /// Whether an idle connection can still be written to.
    pub fn is_reusable(&mut self, token: Token) -> bool {
        self.get(token).is_some_and(|conn| conn.is_reusable())
    }

    /// Sends these bytes as soon as the socket takes them; false where they go beyond the cap.
    #[must_use]
    pub fn write(&mut self, token: Token, bytes: &[u8]) -> bool {
        let pushed = self.get(token).is_some_and(|conn| conn.output.push(bytes));
        self.touch(token);
        pushed
    }

    /// Whether no more than this is still to be sent. What the socket takes at once does not count: without a
    /// rest, nothing would tell when there is room again.
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

    /// Closes a connection at once.
    pub fn close(&mut self, token: Token) {
        if let Some(slot) = self.slot(token) {
            let leaving = matches!(&slot.socket, Socket::Stream(conn) if conn.closing);
            let apart = apart(slot.peer);
            self.leaving[apart] -= usize::from(leaving);
            // Closing the only descriptor takes it out of the epoll.
            self.slots[token.index()] = None;
            self.free.push(token.index());
        }
    }

    /// Closes a connection when all is written. Nothing more is told of it.
    pub fn finish(&mut self, token: Token) {
        let until = self.now + LINGER;
        let Some(slot) = self.slot(token) else {
            return;
        };
        let apart = apart(slot.peer);
        if let Some(conn) = self.get(token).filter(|conn| !conn.closing) {
            conn.closing = true;
            self.leaving[apart] += 1;
            self.lingering.push_back((until, token));
            self.touch(token);
        }
    }

    /// Closes a connection between two requests: nothing is owed on it. What still comes there is not read, so that who
    /// sent it knows that it was not taken.
    pub fn shut_down_idle(&mut self, token: Token) {
        self.finish(token);
        if let Some(conn) = self.get(token).filter(|conn| conn.output.is_empty()) {
            conn.deaf = true;
            let _ = rustix::net::shutdown(&conn.fd, Shutdown::Write);
            conn.state = State::Lingering;
        }
    }

    /// How many connections are being closed and still hold their descriptors: those of operators, or all others.
    pub fn closing_count(&self, peer: Peer) -> usize {
        self.leaving[apart(peer)]
    }

    /// Closes the connection of these at once that has been leaving for longest, to make room.
    pub fn close_oldest_lingering(&mut self, peer: Peer) {
        let wanted = |slot: &Slot| apart(slot.peer) == apart(peer);
        let slots = &self.slots;
        let open = |token: Token| slots[token.index()].as_ref().filter(|s| s.token == token);
        let mut of_peer = self.lingering.iter();
        let found = of_peer.position(|(_, token)| open(*token).is_some_and(wanted));
        if let Some((_, token)) = found.and_then(|at| self.lingering.remove(at)) {
            self.close(token);
        }
    }

    /// Whether all that was said last on connections that are being closed has left this process.
    pub fn is_flushed(&self) -> bool {
        let unsent = |slot: &Slot| match &slot.socket {
            Socket::Stream(conn) => conn.closing && !conn.output.is_empty(),
            _ => false,
        };
        !self.slots.iter().flatten().any(unsent)
    }

    /// Whether all connections that are being closed are, but for operators': their peers have heard the last answers.
    /// Were this process to end before, bytes that come meanwhile would reset them, and answers on the way would go too.
    pub fn is_closed(&self) -> bool {
        self.closing_count(Peer::Client) == 0
    }

    /// Writes out and waits anew where something was written, read or closed since the last time.
    pub fn flush(&mut self, now: Micros) {
        self.now = now;
        for token in std::mem::take(&mut self.touched) {
            self.renew(token);
        }
        while let Some((_, token)) = self.lingering.pop_front_if(|(until, _)| *until <= now) {
            self.close(token);
        }
    }

    fn renew(&mut self, token: Token) {
        let Some(conn) = self.get(token) else {
            return;
        };
        conn.flush();
        let done = conn.output.is_empty() || conn.broken;
        if conn.closing && conn.state != State::Lingering && done {
            if conn.broken || conn.eof {
                return self.close(token);
            }
            let _ = rustix::net::shutdown(&conn.fd, Shutdown::Write);
            conn.state = State::Lingering;
            conn.input.consume(usize::MAX);
        }
        let Some(conn) = self.get(token) else {
            return;
        };
        let wanted = conn.wanted();
        if wanted != std::mem::replace(&mut conn.interest, wanted) {
            let data = EventData::new_u64(token.0);
            let slot = self.slots[token.index()].as_ref();
            let fd = slot.map(|slot| slot.socket.fd());
            if let Some(fd) = fd {
                let _ = epoll::modify(&self.epoll, fd, data, wanted);
            }
        }
    }

    /// Waits until something happens, or so long; tells on which sockets. Each is to be handed to [`Net::process_event`].
    pub fn wait(&mut self, now: Micros, until: Option<Micros>, happened: &mut Vec<SocketEvent>) {
        self.now = now;
        let linger = self.lingering.front().map(|(until, _)| *until);
        let until = [until, linger].into_iter().flatten().min();
        let span = until.map(|until| until - now);
        let timeout = span.map(|span| Timespec {
            tv_sec: (span.0 / 1_000_000) as i64,
            tv_nsec: (span.0 % 1_000_000 * 1000) as i64,
        });
        let mut events = Vec::with_capacity(EVENTS);
        let buffer = rustix::buffer::spare_capacity(&mut events);
        if let Err(e) = epoll::wait(&self.epoll, buffer, timeout.as_ref()) {
            if e != Errno::INTR {
                log::error!("epoll: {e}");
            }
        }
        happened.extend(events.iter().map(|event| SocketEvent {
            token: Token(event.data.u64()),
            flags: event.flags,
        }));
    }

    /// Reads a connection on which something has happened, as far as it goes in one turn, and tells
    /// who is to look at it. One is pumped and handled after the other: what a turn reads is held once, not for
    /// each connection of the turn.
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
        if conn.state == State::Connecting {
            conn.connected();
        }
        let more = match conn.state {
            State::Lingering if conn.deaf => false,
            State::Lingering => {
                conn.drop_rest();
                false
            }
            _ => conn.fill(),
        };
        // Both directions are gone: without this, a full input would be told of again and again.
        conn.broken |= !more && flags.intersects(EventFlags::ERR | EventFlags::HUP);
        conn.eof |= conn.tells_end && flags.intersects(ENDED);
        if conn.deaf && flags.intersects(ENDED) {
            self.close(token);
            return None;
        }
        if conn.state == State::Lingering || conn.closing {
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

/// Whose leaving connections are counted apart.
fn apart(peer: Peer) -> usize {
    usize::from(peer == Peer::Operator)
}

fn stream_socket(addr: SocketAddr) -> io::Result<OwnedFd> {
    let family = if addr.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let fd = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    Ok(fd)
}
