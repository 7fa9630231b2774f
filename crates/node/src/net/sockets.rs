//! Opens sockets: listeners, connections, datagram sockets and signal pipes.

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

/// The maximum number of connections that the kernel queues for a listener.
const LISTEN_BACKLOG: i32 = 1024;

/// The buffer limit of each direction of a connection: enough for a 64 KiB body with its head, or a result of that size
/// with JSON escapes.
const BUFFER_LIMIT: usize = 192 * 1024;
/// The limit of a client's input buffer: enough for the longest head, since bodies are moved out as they arrive.
const CLIENT_INPUT_LIMIT: usize = MAX_HEAD + 4096;

/// The maximum number of listeners passed to another process at a time: the clients' and the submitters'.
pub const MAX_PASSED_LISTENERS: usize = 2;

/// Sockets are closed on exec and non-blocking.
const SOCKET_FLAGS: SocketFlags = SocketFlags::CLOEXEC.union(SocketFlags::NONBLOCK);

impl Net {
    /// Listens at this address only. Uses the inherited socket, which already listens there, if there is one. Returns
    /// the listener and its actual address.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub fn listen(
        &mut self,
        addr: SocketAddr,
        inherited: Option<OwnedFd>,
        peer: Peer,
    ) -> io::Result<(Token, SocketAddr)> {
        if let Some(fd) = inherited {
            return Ok((self.add_listener(fd, peer)?, addr));
        }
        let fd = stream_socket(addr)?;
        sockopt::set_socket_reuseaddr(&fd, true)?;
        // A hung process that still listens there must not prevent its replacement from serving.
        sockopt::set_socket_reuseport(&fd, true)?;
        rustix::net::bind(&fd, &addr)?;
        rustix::net::listen(&fd, LISTEN_BACKLOG)?;
        let bound = rustix::net::getsockname(&fd)?;
        let bound = SocketAddr::try_from(bound).unwrap_or(addr);
        Ok((self.insert(peer, Socket::Listener(fd))?, bound))
    }

    /// Adds a socket that is already listening.
    ///
    /// # Errors
    /// It cannot be polled.
    pub fn add_listener(&mut self, fd: OwnedFd, peer: Peer) -> io::Result<Token> {
        self.insert(peer, Socket::Listener(fd))
    }

    /// Adds a connection that is already open.
    ///
    /// # Errors
    /// It cannot be polled.
    pub fn add_connection(&mut self, fd: OwnedFd, peer: Peer) -> io::Result<Token> {
        let conn = Connection::new(fd, State::Open, LINK_BUFFER, LINK_BUFFER);
        self.insert(peer, Socket::Stream(Box::new(conn)))
    }

    /// Adds the read end of a signal pipe.
    ///
    /// # Errors
    /// It cannot be polled.
    pub fn add_signal_pipe(&mut self, fd: OwnedFd, signal: Peer) -> io::Result<Token> {
        self.insert(signal, Socket::Signal(fd))
    }

    /// Opens a datagram socket at this address.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind_datagrams(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<Token> {
        let kind = SocketType::DGRAM;
        let fd = rustix::net::socket_with(AddressFamily::INET, kind, SOCKET_FLAGS, None)?;
        rustix::net::bind(&fd, &addr)?;
        self.insert(peer, Socket::Datagrams(fd))
    }

    /// Starts connecting to this address.
    ///
    /// # Errors
    /// No descriptor is free, or the connect fails immediately.
    pub fn connect(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<Token> {
        let fd = stream_socket(addr)?;
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let state = match rustix::net::connect(&fd, &addr) {
            Ok(()) => State::Open,
            Err(Errno::INPROGRESS) => State::Connecting,
            Err(error) => return Err(error.into()),
        };
        let conn = Connection::new(fd, state, BUFFER_LIMIT, BUFFER_LIMIT);
        self.insert(peer, Socket::Stream(Box::new(conn)))
    }

    /// Accepts the next pending connection at a listener, if any.
    ///
    /// # Errors
    /// Accepting fails, typically because no descriptor or no memory is free.
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
        // Responses are small and must not be delayed by Nagle's algorithm.
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let (input, output) = match peer {
            Peer::Client => (CLIENT_INPUT_LIMIT, BUFFER_LIMIT),
            Peer::Partner => (LINK_BUFFER, LINK_BUFFER),
            _ => (BUFFER_LIMIT, BUFFER_LIMIT),
        };
        let mut conn = Connection::new(fd, State::Open, input, output);
        conn.reports_eof = peer == Peer::Client;
        self.insert(peer, Socket::Stream(Box::new(conn))).map(Some)
    }

    /// Sets whether a listener accepts connections. While it does not, new ones stay pending.
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

    /// Sends these bytes over a Unix socket on which nothing was sent before, with these listeners attached to the
    /// first of them.
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
        let mut space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_LISTENERS))];
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

    /// Receives the next datagram, if any, into `bytes`. Returns its length, cut to the size of `bytes`, and its
    /// sender.
    pub fn receive_datagram(
        &mut self,
        token: Token,
        bytes: &mut [u8],
    ) -> Option<(usize, SocketAddr)> {
        let fd = self.datagram_socket(token)?;
        let (length, _, from) = rustix::net::recvfrom(fd, bytes, RecvFlags::empty()).ok()?;
        Some((length, SocketAddr::try_from(from?).ok()?))
    }

    /// Sends a datagram. It is dropped if it cannot be sent immediately, as datagrams may be lost anyway.
    pub fn send_datagram(&mut self, token: Token, bytes: &[u8], to: SocketAddr) {
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
