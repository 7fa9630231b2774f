//! The link between two processes of one node during an upgrade, in which the successor replaces the predecessor. It is
//! a Unix socket in `$TMPDIR` that is named after the node.
//!
//! The predecessor passes on its listening sockets, so that both processes accept from the same queues and no
//! connection is lost when it closes them. With the sockets it sends its state: the workers known from discovery and
//! other sources, and the operators' changes. Then the processes exchange [`Message`]s. A failure of the link never
//! keeps a process from serving: the link is closed, and the process continues alone.

mod connect;
mod message;

pub use connect::connect;
pub use message::{HandoverEvent, Message, Side};

use crate::net::{Net, Peer, Token};
use serde::Serialize;
use std::fs::Permissions;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};

/// The length of the head before the state: eight hexadecimal digits of the state's length, and a line feed.
const HEAD_LENGTH: usize = 9;
/// The longest state in bytes: several times the lists of the largest fleet from several sources.
const MAX_STATE_LENGTH: usize = 8 * 1024 * 1024;
/// The size of the buffers of a link in bytes, in each direction. It holds the state with its head, or a job with its
/// escaped input and result.
pub const LINK_BUFFER: usize = MAX_STATE_LENGTH + 4096;
/// Messages of services are not queued while more bytes than this are still to be sent to a process.
const MAX_BACKLOG: usize = 64 * 1024;
/// The permissions of the socket: only the node's own user may connect.
const SOCKET_MODE: u32 = 0o600;

/// The state of the process that this one replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Predecessor {
    /// There is none, or the link to it is closed.
    None,
    /// It may still accept work.
    Serving(Token),
    /// It accepts no more work.
    ShuttingDown(Token),
}

/// The state of the process that replaces this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Successor {
    /// There is none, or the link to it is closed.
    None,
    /// It cannot serve yet.
    Starting(Token),
    /// It accepts work.
    Serving(Token),
}

impl Predecessor {
    fn token(self) -> Option<Token> {
        match self {
            Predecessor::None => None,
            Predecessor::Serving(token) | Predecessor::ShuttingDown(token) => Some(token),
        }
    }
}

impl Successor {
    fn token(self) -> Option<Token> {
        match self {
            Successor::None => None,
            Successor::Starting(token) | Successor::Serving(token) => Some(token),
        }
    }
}

/// The links to the other processes of this node.
pub struct Handover {
    /// Where successors find this process; none if it cannot be replaced.
    path: Option<PathBuf>,
    listener: Option<Token>,
    predecessor: Predecessor,
    successor: Successor,
}

impl Handover {
    /// Listens at this path for a successor. `predecessor` is the link to the process that this one replaces, if there
    /// is one.
    pub fn new(path: Option<&Path>, predecessor: Option<Token>, net: &mut Net) -> Self {
        let mut handover = Handover {
            path: path.map(Path::to_owned),
            listener: None,
            predecessor: predecessor.map_or(Predecessor::None, Predecessor::Serving),
            successor: Successor::None,
        };
        handover.listen(net);
        handover
    }

    /// Listens for a successor. To be called again after a successor was lost: it had taken over the path, where
    /// nothing listens after its end.
    pub fn listen(&mut self, net: &mut Net) {
        let Some(path) = &self.path else {
            return;
        };
        match listen(path, net) {
            Ok(listener) => {
                if let Some(earlier) = self.listener.replace(listener) {
                    net.close(earlier);
                }
            }
            Err(e) => log::warn!(
                "cannot listen for a successor at {}: {e}; \
                 an upgrade will not take over sockets and state",
                path.display()
            ),
        }
    }

    /// Whether there is a link to another process of this node.
    pub fn has_partner(&self) -> bool {
        self.predecessor != Predecessor::None || self.successor != Successor::None
    }

    /// Whether there is a successor that accepts work.
    pub fn has_serving_successor(&self) -> bool {
        matches!(self.successor, Successor::Serving(_))
    }

    /// Whether another process of this node may accept work beside this one.
    pub fn shares_jobs(&self) -> bool {
        matches!(self.predecessor, Predecessor::Serving(_)) || self.has_serving_successor()
    }

    /// Accepts the connection of a successor. It replaces an earlier successor, whose link is closed.
    pub fn accept(&mut self, net: &mut Net) -> Option<HandoverEvent> {
        let token = net.accept(self.listener?).ok().flatten()?;
        let earlier = std::mem::replace(&mut self.successor, Successor::Starting(token));
        if let Some(earlier) = earlier.token() {
            net.close(earlier);
        }
        Some(HandoverEvent::SuccessorConnected(token))
    }

    /// Sends the listening sockets and the state to the successor. If that fails, the link is closed.
    pub fn send_state(
        &mut self,
        successor: Token,
        state: &impl Serialize,
        listeners: &[Token],
        net: &mut Net,
    ) {
        let body = serde_json::to_string(state).unwrap_or_default();
        log::debug!("handover: sending a state of {} bytes", body.len());
        let message = format!("{:08x}\n{body}", body.len());
        if let Err(e) = net.send_listeners(successor, message.as_bytes(), listeners) {
            log::warn!("handover: cannot send the state to the successor: {e}; closing its link");
            self.drop_link(successor, net);
        }
    }

    /// Returns the next event on a link, or none if no complete message was received.
    pub fn next_event(&mut self, token: Token, net: &mut Net) -> Option<HandoverEvent> {
        loop {
            let Some(side) = self.side_of(token) else {
                net.close(token);
                return None;
            };
            let Some(conn) = net.get(token) else {
                net.close(token);
                return None;
            };
            let bytes = conn.input.all();
            let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
                // A message that does not fit into the input buffer is invalid.
                if conn.eof || conn.broken || conn.input.is_full() {
                    self.drop_link(token, net);
                    return Some(HandoverEvent::Lost(side));
                }
                return None;
            };
            let message = serde_json::from_slice(&bytes[..end]);
            conn.input.consume(end + 1);
            net.touch(token);
            match message {
                // Ignored: a predecessor was serving before this process started.
                Ok(Message::Serving) if side == Side::Predecessor => {}
                Ok(message) => {
                    self.update_state(side, &message);
                    return Some(HandoverEvent::Received(side, message));
                }
                Err(e) => {
                    log::warn!(
                        "handover: invalid message from the other process: {e}; closing the link"
                    );
                    self.drop_link(token, net);
                    return Some(HandoverEvent::Lost(side));
                }
            }
        }
    }

    /// Sends a message to the predecessor and the successor, as far as they exist. A link whose buffer is full is
    /// closed.
    pub fn send_to_all(&mut self, message: &Message, net: &mut Net) {
        for side in Side::BOTH {
            self.send_to(side, message, net);
        }
    }

    /// Whether there is a process with this role, and it has read enough for one more message of a service.
    pub fn has_room(&self, side: Side, net: &mut Net) -> bool {
        self.token_of(side)
            .is_some_and(|token| net.has_room(token, MAX_BACKLOG))
    }

    /// Sends a message to the process with this role, if there is one. If the link's buffer is full, closes the link
    /// and returns false.
    pub fn send_to(&mut self, side: Side, message: &Message, net: &mut Net) -> bool {
        let Some(token) = self.token_of(side) else {
            return true;
        };
        let mut line = serde_json::to_vec(message).unwrap_or_default();
        line.push(b'\n');
        let fits = net.write(token, &line);
        if !fits {
            self.drop_link(token, net);
        }
        fits
    }

    /// Whether all bytes for the successor were written to the socket.
    pub fn is_flushed(&self, net: &mut Net) -> bool {
        let successor = self.successor.token().and_then(|token| net.get(token));
        successor.is_none_or(|conn| conn.output.is_empty())
    }

    /// Closes a link. This process continues without the other one.
    pub fn drop_link(&mut self, token: Token, net: &mut Net) {
        net.close(token);
        if self.successor.token() == Some(token) {
            self.successor = Successor::None;
        } else {
            self.predecessor = Predecessor::None;
        }
    }

    /// Updates the state of the other process after its message.
    fn update_state(&mut self, side: Side, message: &Message) {
        match (message, side, self.predecessor, self.successor) {
            (Message::Serving, Side::Successor, _, Successor::Starting(token)) => {
                self.successor = Successor::Serving(token);
            }
            (Message::ShuttingDown, Side::Predecessor, Predecessor::Serving(token), _) => {
                self.predecessor = Predecessor::ShuttingDown(token);
            }
            _ => {}
        }
    }

    /// The link to the process with this role, if there is one.
    pub fn token_of(&self, side: Side) -> Option<Token> {
        match side {
            Side::Predecessor => self.predecessor.token(),
            Side::Successor => self.successor.token(),
        }
    }

    fn side_of(&self, token: Token) -> Option<Side> {
        if self.successor.token() == Some(token) {
            Some(Side::Successor)
        } else if self.predecessor.token() == Some(token) {
            Some(Side::Predecessor)
        } else {
            None
        }
    }
}

/// Binds a socket to a temporary path and renames it to `path`. The renaming atomically replaces a stale socket, or the
/// socket of the predecessor, so that there is no time without a socket.
fn listen(path: &Path, net: &mut Net) -> io::Result<Token> {
    let temporary_path = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&temporary_path);
    let listener = UnixListener::bind(&temporary_path)?;
    listener.set_nonblocking(true)?;
    std::fs::set_permissions(&temporary_path, Permissions::from_mode(SOCKET_MODE))?;
    std::fs::rename(&temporary_path, path)?;
    net.add_listener(listener.into(), Peer::Partner)
}
