//! Opens sockets: listeners, connections, datagram sockets and the pipes of signals.

use super::conn::{Connection, State};
use super::http::MAX_HEAD;
use super::{Net, Peer, Slot, Socket, Token};
use crate::handover::LINK_BUFFER;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use rustix::net::{
    sockopt, AddressFamily, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
    SocketFlags, SocketType,
};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;

/// Connections that the system accepts before the node does.
const LISTEN_BACKLOG: i32 = 1024;

/// A direction of a connection holds a body of 64 KiB with its head, or a result of that size escaped.
const RING: usize = 192 * 1024;
/// What is held of what a client sends: its longest head. Bodies are taken out as they come.
const CLIENT_INPUT_RING: usize = MAX_HEAD + 4096;

/// The most listeners passed to another process at a time: the clients' and the submitters'.
pub const PASSED: usize = 2;

/// Sockets are not inherited, and no call on them blocks.
const SOCKET_FLAGS: SocketFlags = SocketFlags::CLOEXEC.union(SocketFlags::NONBLOCK);

impl Net {
    /// Listens at this address only. A socket that listens there already and was handed on is used. Returns the
    /// listener with the address in fact used.
    ///
    /// # Errors
    /// The address cannot be listened at.
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
        rustix::net::listen(&fd, LISTEN_BACKLOG)?;
        let bound = rustix::net::getsockname(&fd)?;
        let bound = SocketAddr::try_from(bound).unwrap_or(addr);
        Ok((self.insert(peer, Socket::Listener(fd))?, bound))
    }

    /// Adds a socket that listens already.
    ///
    /// # Errors
    /// It cannot be polled.
    pub fn add_listener(&mut self, fd: OwnedFd, peer: Peer) -> io::Result<Token> {
        self.insert(peer, Socket::Listener(fd))
    }

    /// Adds a connection that is open already.
    ///
    /// # Errors
    /// It cannot be polled.
    pub fn add_connection(&mut self, fd: OwnedFd, peer: Peer) -> io::Result<Token> {
        let conn = Connection::new(fd, State::Open, LINK_BUFFER, LINK_BUFFER);
        self.insert(peer, Socket::Stream(Box::new(conn)))
    }

    /// Adds the reading end of a signal's pipe.
    ///
    /// # Errors
    /// It cannot be polled.
    pub fn signal(&mut self, fd: OwnedFd, signal: Peer) -> io::Result<Token> {
        self.insert(signal, Socket::Signal(fd))
    }

    /// Opens a datagram socket at this address.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn datagrams(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<Token> {
        let kind = SocketType::DGRAM;
        let fd = rustix::net::socket_with(AddressFamily::INET, kind, SOCKET_FLAGS, None)?;
        rustix::net::bind(&fd, &addr)?;
        self.insert(peer, Socket::Datagrams(fd))
    }

    /// Begins a connection.
    ///
    /// # Errors
    /// No descriptor is free, or the address is refused at once.
    pub fn connect(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<Token> {
        let fd = stream_socket(addr)?;
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let state = match rustix::net::connect(&fd, &addr) {
            Ok(()) => State::Open,
            Err(Errno::INPROGRESS) => State::Connecting,
            Err(error) => return Err(error.into()),
        };
        let conn = Connection::new(fd, state, RING, RING);
        self.insert(peer, Socket::Stream(Box::new(conn)))
    }

    /// Accepts the next connection that waits at a listener, if any.
    ///
    /// # Errors
    /// No descriptor or no memory is free.
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
        let fd = match rustix::net::accept_with(fd, SOCKET_FLAGS) {
            Ok(fd) => fd,
            Err(Errno::AGAIN | Errno::CONNABORTED | Errno::INTR) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        // Responses are small and wanted at once.
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let (input, output) = match peer {
            Peer::Client => (CLIENT_INPUT_RING, RING),
            Peer::Partner => (LINK_BUFFER, LINK_BUFFER),
            _ => (RING, RING),
        };
        let mut conn = Connection::new(fd, State::Open, input, output);
        conn.reports_end = peer == Peer::Client;
        self.insert(peer, Socket::Stream(Box::new(conn))).map(Some)
    }

    /// Sets whether a listener accepts connections; those that come meanwhile wait.
    pub fn set_accepting(&mut self, listener: Token, accepting: bool) {
        let slot = self.slots.get(listener.index()).and_then(Option::as_ref);
        if let Some(slot) = slot.filter(|slot| slot.token == listener) {
            let wanted = if accepting {
                EventFlags::IN
            } else {
                EventFlags::empty()
            };
            let data = EventData::new_u64(listener.0);
            let _ = epoll::modify(&self.epoll, slot.socket.fd(), data, wanted);
        }
    }

    /// Sends these bytes over a Unix socket on which nothing was sent before, and these listeners with the first of
    /// them.
    ///
    /// # Errors
    /// The socket is closed, there are too many listeners, or the bytes do not fit its buffers.
    pub fn send_listeners(
        &mut self,
        token: Token,
        bytes: &[u8],
        listeners: &[Token],
    ) -> io::Result<()> {
        let open = |token: &Token| {
            let slot = self.slots[token.index()].as_ref();
            slot.filter(|slot| slot.token == *token)
        };
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
        if self.write(token, &bytes[sent..]) {
            Ok(())
        } else {
            Err(io::ErrorKind::FileTooLarge.into())
        }
    }

    /// The next datagram that has come, if any: its length, as far as it fits, and its sender.
    pub fn receive(&mut self, token: Token, bytes: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let fd = self.datagram_socket(token)?;
        let (length, _, from) = rustix::net::recvfrom(fd, bytes, RecvFlags::empty()).ok()?;
        Some((length, SocketAddr::try_from(from?).ok()?))
    }

    /// Sends a datagram. Where it cannot leave at once it is lost, as datagrams may be.
    pub fn send_to(&mut self, token: Token, bytes: &[u8], to: SocketAddr) {
        if let Some(fd) = self.datagram_socket(token) {
            let _ = rustix::net::sendto(fd, bytes, SendFlags::empty(), &to);
        }
    }

    fn datagram_socket(&mut self, token: Token) -> Option<&OwnedFd> {
        match &self.slot(token)?.socket {
            Socket::Datagrams(fd) => Some(fd),
            _ => None,
        }
    }
}

fn stream_socket(addr: SocketAddr) -> io::Result<OwnedFd> {
    let family = if addr.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let fd = rustix::net::socket_with(family, SocketType::STREAM, SOCKET_FLAGS, None)?;
    Ok(fd)
}
