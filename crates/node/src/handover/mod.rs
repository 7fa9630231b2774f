//! The link between two processes of one node while one replaces the other: over a Unix socket in `$TMPDIR`, named
//! after the node.
//!
//! The running process hands on its listening sockets, so that both take connections from one queue and none is lost
//! when it closes its own end; with them goes what operators and the directory have told. After that, each tells the
//! other a [`Word`] a line. Nothing here may keep a process from serving: whatever fails, it goes on alone.

mod meet;

pub use meet::meet;

use crate::net::{Net, Peer, Token};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fs::Permissions;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;
use std::path::Path;

/// The bequest begins with its length: eight hexadecimal digits and a line's end.
const HEAD: usize = 9;

/// Words for a partner wait while more than this is still to be sent to it.
const BACKLOG: usize = 64 * 1024;

/// Which of the two partners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The process that this one replaces.
    Predecessor,
    /// The process that replaces this one.
    Successor,
}

impl Side {
    pub const BOTH: [Side; 2] = [Side::Predecessor, Side::Successor];
}

/// What one process tells the other.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// An operator has taken this worker out.
    Out(String),
    /// An operator has called it back.
    Back(String),
    /// The new process can serve: the old one need take nothing more.
    Serving,
    /// The old process takes nothing more.
    Ending,
    /// The services that the new process has; said only to one that has named its own.
    #[serde(rename = "parties")]
    Services(Vec<String>),
    /// A word of the service of this name.
    #[serde(rename = "party")]
    Service(String, Value),
}

/// What has come of a link.
#[derive(Debug, PartialEq, Eq)]
pub enum News {
    /// A process has come to replace this one; it wants what is [bequeathed](Handover::bequeath).
    Successor(Token),
    Told(Side, Word),
    /// One of the partners is gone.
    Lost(Side),
}

pub struct Handover {
    listener: Option<Token>,
    /// The process that this one replaces, and the one that replaces it.
    predecessor: Option<Token>,
    successor: Option<Token>,
    /// The successor can serve.
    succeeded: bool,
    /// The predecessor takes nothing more.
    preceded: bool,
}

impl Handover {
    /// Listens at this path for the process that will replace this one. `met` is the link to the one it replaces.
    pub fn new(path: Option<&Path>, met: Option<Token>, net: &mut Net) -> Self {
        let listener = path.and_then(|path| match listen(path, net) {
            Ok(token) => Some(token),
            Err(e) => {
                log::warn!("{}: {e}; an upgrade will not be seamless", path.display());
                None
            }
        });
        Handover {
            listener,
            predecessor: met,
            successor: None,
            succeeded: false,
            preceded: false,
        }
    }

    /// Whether another process of this node runs.
    pub fn paired(&self) -> bool {
        self.predecessor.is_some() || self.successor.is_some()
    }

    /// Whether there is a successor that serves.
    pub fn succeeded(&self) -> bool {
        self.succeeded
    }

    /// Whether jobs may be coming to both processes.
    pub fn shares(&self) -> bool {
        self.predecessor.is_some() && !self.preceded || self.succeeded
    }

    /// Takes the processes that come to replace this one; the last to come is the one that does.
    pub fn accept(&mut self, net: &mut Net) -> Option<News> {
        let token = net.accept(self.listener?).ok().flatten()?;
        self.succeeded = false;
        if let Some(old) = self.successor.replace(token) {
            net.close(old);
        }
        Some(News::Successor(token))
    }

    /// Hands these listeners and what is known to the successor.
    pub fn bequeath(
        &mut self,
        heir: Token,
        bequest: &impl Serialize,
        listeners: &[Token],
        net: &mut Net,
    ) {
        let body = serde_json::to_string(bequest).unwrap_or_default();
        let message = format!("{:08x}\n{body}", body.len());
        if let Err(e) = net.send_listeners(heir, message.as_bytes(), listeners) {
            log::warn!("handover: {e}");
            self.drop_link(heir, net);
        }
    }

    /// Something has come over a link. Tells it word by word, until there is none.
    pub fn ready(&mut self, token: Token, net: &mut Net) -> Option<News> {
        let partner = [self.predecessor, self.successor].contains(&Some(token));
        let Some(conn) = net.get(token).filter(|_| partner) else {
            net.close(token);
            return None;
        };
        let side = match self.successor == Some(token) {
            true => Side::Successor,
            false => Side::Predecessor,
        };
        let bytes = conn.input.all();
        let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
            // A word has its end within the ring; one that has not is none.
            let over = conn.eof || conn.broken || conn.input.is_full();
            return over.then(|| {
                self.drop_link(token, net);
                News::Lost(side)
            });
        };
        let word = serde_json::from_slice(&bytes[..end]);
        conn.input.consume(end + 1);
        net.touch(token);
        match word {
            Ok(Word::Serving) if self.successor != Some(token) => self.ready(token, net),
            Ok(word) => {
                self.succeeded |= word == Word::Serving;
                self.preceded |= word == Word::Ending && self.predecessor == Some(token);
                Some(News::Told(side, word))
            }
            Err(e) => {
                log::warn!("handover: {e}");
                self.drop_link(token, net);
                Some(News::Lost(side))
            }
        }
    }

    /// Tells every partner; one that reads nothing is none.
    pub fn tell(&mut self, word: &Word, net: &mut Net) {
        let mut line = serde_json::to_vec(word).unwrap_or_default();
        line.push(b'\n');
        for token in [self.predecessor, self.successor].into_iter().flatten() {
            if !net.write(token, &line) {
                self.drop_link(token, net);
            }
        }
    }

    fn of(&self, side: Side) -> Option<Token> {
        match side {
            Side::Predecessor => self.predecessor,
            Side::Successor => self.successor,
        }
    }

    /// Whether a word more may be told to this partner: there is one, and it reads.
    pub fn has_room(&self, side: Side, net: &mut Net) -> bool {
        self.of(side)
            .is_some_and(|token| net.has_room(token, BACKLOG))
    }

    /// Tells one partner; one that reads nothing is none. Tells whether it is there still.
    pub fn tell_to(&mut self, side: Side, word: &Word, net: &mut Net) -> bool {
        let Some(token) = self.of(side) else {
            return true;
        };
        let mut line = serde_json::to_vec(word).unwrap_or_default();
        line.push(b'\n');
        let fits = net.write(token, &line);
        if !fits {
            self.drop_link(token, net);
        }
        fits
    }

    /// Whether all that was told to the successor has left.
    pub fn is_flushed(&self, net: &mut Net) -> bool {
        let successor = self.successor.and_then(|token| net.get(token));
        successor.is_none_or(|conn| conn.output.is_empty())
    }

    pub fn drop_link(&mut self, token: Token, net: &mut Net) {
        net.close(token);
        if self.successor == Some(token) {
            (self.successor, self.succeeded) = (None, false);
        } else {
            self.predecessor = None;
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
    std::fs::set_permissions(&beside, Permissions::from_mode(0o600))?;
    std::fs::rename(&beside, path)?;
    net.add_listener(listener.into(), Peer::Partner)
}
