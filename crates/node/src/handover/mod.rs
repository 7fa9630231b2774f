//! The link between two processes of one node while one replaces the other: over a Unix socket in `$TMPDIR`, named
//! after the node.
//!
//! The running process passes on its listening sockets, so that both accept connections from one queue and none is lost
//! when it closes its own end; with them goes what operators and discovery have stated. After that, the processes
//! exchange [`Message`]s. Nothing here may keep a process from serving: whatever fails, it goes on alone.

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
use std::path::Path;

/// The state begins with its length: eight hexadecimal digits and a line's end.
const HEAD_LENGTH: usize = 9;
/// The longest state, in bytes: the lists of the largest fleet from several sources, several times over.
const MAX_STATE_LENGTH: usize = 8 * 1024 * 1024;
/// What a link between two processes holds each way: the state with its head, or a job with its input and its result,
/// both escaped.
pub const LINK_BUFFER: usize = MAX_STATE_LENGTH + 4096;
/// Messages for a partner wait while more bytes than this are still to be sent to it.
const MAX_BACKLOG: usize = 64 * 1024;
/// Only the node's own user may connect.
const SOCKET_MODE: u32 = 0o600;

/// The process that this one replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Predecessor {
    /// There is none, or no more.
    None,
    /// It may still accept work.
    Serving(Token),
    /// It accepts nothing more.
    ShuttingDown(Token),
}

/// The process that replaces this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Successor {
    /// There is none, or no more.
    None,
    /// It cannot serve yet.
    Starting(Token),
    /// It serves.
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
    listener: Option<Token>,
    predecessor: Predecessor,
    successor: Successor,
}

impl Handover {
    /// Listens at this path for the process that will replace this one. `predecessor` is the link to the one that it
    /// replaces.
    pub fn new(path: Option<&Path>, predecessor: Option<Token>, net: &mut Net) -> Self {
        let listener = path.and_then(|path| match listen(path, net) {
            Ok(token) => Some(token),
            Err(e) => {
                log::warn!("{}: {e}; an upgrade will not be seamless", path.display());
                None
            }
        });
        Handover {
            listener,
            predecessor: predecessor.map_or(Predecessor::None, Predecessor::Serving),
            successor: Successor::None,
        }
    }

    /// Whether another process of this node runs.
    pub fn has_partner(&self) -> bool {
        self.predecessor != Predecessor::None || self.successor != Successor::None
    }

    /// Whether there is a successor that serves.
    pub fn has_serving_successor(&self) -> bool {
        matches!(self.successor, Successor::Serving(_))
    }

    /// Whether jobs may be coming to both processes.
    pub fn shares_jobs(&self) -> bool {
        matches!(self.predecessor, Predecessor::Serving(_)) || self.has_serving_successor()
    }

    /// Accepts a process that comes to replace this one; the last to come is the one that does.
    pub fn accept(&mut self, net: &mut Net) -> Option<HandoverEvent> {
        let token = net.accept(self.listener?).ok().flatten()?;
        let earlier = std::mem::replace(&mut self.successor, Successor::Starting(token));
        if let Some(earlier) = earlier.token() {
            net.close(earlier);
        }
        Some(HandoverEvent::SuccessorConnected(token))
    }

    /// Passes these listeners and the state on to the successor.
    pub fn send_state(
        &mut self,
        successor: Token,
        state: &impl Serialize,
        listeners: &[Token],
        net: &mut Net,
    ) {
        let body = serde_json::to_string(state).unwrap_or_default();
        log::debug!("handover: a state of {} bytes", body.len());
        let message = format!("{:08x}\n{body}", body.len());
        if let Err(e) = net.send_listeners(successor, message.as_bytes(), listeners) {
            log::warn!("handover: {e}");
            self.drop_link(successor, net);
        }
    }

    /// Something has come over a link: the next event there, until there is none.
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
                // A message has its end within the ring; one that has not is none.
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
                // Only a successor's beginning to serve has a meaning.
                Ok(Message::Serving) if side == Side::Predecessor => {}
                Ok(message) => {
                    self.note_state(side, &message);
                    return Some(HandoverEvent::Received(side, message));
                }
                Err(e) => {
                    log::warn!("handover: {e}");
                    self.drop_link(token, net);
                    return Some(HandoverEvent::Lost(side));
                }
            }
        }
    }

    /// Sends to every partner; one that reads nothing is dropped.
    pub fn send_to_all(&mut self, message: &Message, net: &mut Net) {
        for side in Side::BOTH {
            self.send_to(side, message, net);
        }
    }

    /// Whether there is such a partner, and it has read enough to be sent one more message.
    pub fn has_room(&self, side: Side, net: &mut Net) -> bool {
        self.token_of(side)
            .is_some_and(|token| net.has_room(token, MAX_BACKLOG))
    }

    /// Sends to one partner, if there is one; one that reads nothing is dropped, and the result is false.
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

    /// Whether all that was sent to the successor has left.
    pub fn is_flushed(&self, net: &mut Net) -> bool {
        let successor = self.successor.token().and_then(|token| net.get(token));
        successor.is_none_or(|conn| conn.output.is_empty())
    }

    /// Closes the link to a partner: this process goes on alone.
    pub fn drop_link(&mut self, token: Token, net: &mut Net) {
        net.close(token);
        if self.successor.token() == Some(token) {
            self.successor = Successor::None;
        } else {
            self.predecessor = Predecessor::None;
        }
    }

    fn note_state(&mut self, side: Side, message: &Message) {
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

    fn token_of(&self, side: Side) -> Option<Token> {
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

/// Listens beside the path and then takes its place: whatever stood there, a stale file or the listener of the process
/// that is replaced, there is always one or the other.
fn listen(path: &Path, net: &mut Net) -> io::Result<Token> {
    let beside = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&beside);
    let listener = UnixListener::bind(&beside)?;
    listener.set_nonblocking(true)?;
    std::fs::set_permissions(&beside, Permissions::from_mode(SOCKET_MODE))?;
    std::fs::rename(&beside, path)?;
    net.add_listener(listener.into(), Peer::Partner)
}
