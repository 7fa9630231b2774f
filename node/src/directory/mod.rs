//! The directory: watches the list of workers, one call after the other, and turns it into the module's entries.

use crate::clock::{millis, Clock};
use crate::core::Core;
use crate::fleet::Fleet;
use crate::net::http::{self, Body};
use crate::net::{Net, Peer, Token};
use marbledeck::{CellId, ListKind, Micros};
use marbledeck_membership::{Membership, SourceId, Status, Told, Word};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How long a watch waits for a change. A silent directory is noticed after this and [`GRACE`].
const WATCH: Micros = millis(10_000);
/// How much longer than its wait a call may take.
const GRACE: Micros = millis(2_000);
/// How long a directory that the node has just moved to may take for the whole list, and the pause before it is
/// asked once more: what it tells counts as told a few seconds after the move.
const MOVING: Micros = millis(2_000);
const PAUSE: Micros = millis(200);

/// A list, or part of one, as the directory writes it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Listing {
    pub revision: u64,
    #[serde(default)]
    pub complete: bool,
    #[serde(default)]
    pub members: Vec<Member>,
}

/// A worker as the directory writes it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Member {
    pub id: String,
    pub host_port: String,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: Option<u32>,
    #[serde(default)]
    pub phase: String,
    #[serde(default)]
    pub up_since_ms: u64,
}

/// The words that members stand for.
pub fn words(members: Vec<Member>) -> Vec<Word> {
    members.into_iter().map(|member| member.word().0).collect()
}

/// The words of all other sources, for another process of this node: as many as are surely handed on.
pub fn others(members: &Membership) -> BTreeMap<String, Vec<Member>> {
    const MOST: usize = 4000;
    let sources = members.source_names();
    let told = sources
        .into_iter()
        .filter(|(_, name)| *name != "directory" && *name != "static");
    told.map(|(source, name)| {
        (
            name.to_owned(),
            members.words(source).take(MOST).map(Member::of).collect(),
        )
    })
    .collect()
}

/// What another process of this node can start from.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Bequest {
    /// The workers taken out by hand.
    pub out: BTreeSet<String>,
    /// The directory's list as last told.
    pub list: Listing,
}

/// The phase of a worker that has left the list.
const GONE: &str = "removed";

/// The phases, as the directory writes them.
const UP: &str = "up";
const DRAINING: &str = "draining";

impl Member {
    /// What it says, and whether it says that the worker is gone.
    fn word(self) -> (Word, bool) {
        let addr = self.host_port.parse().ok();
        if addr.is_none() && self.phase != GONE {
            log::warn!("directory: '{}' is no address", self.host_port);
        }
        let word = Word {
            id: self.id,
            addr,
            // An unknown phase is no invitation to send there.
            status: match self.phase.as_str() {
                UP => Status::Up,
                DRAINING => Status::Draining,
                _ => Status::Unknown,
            },
            zone: self.locality,
            kind: self.flavor,
            cell: self.cell.map(CellId),
            started: Clock::from_unix_ms(self.up_since_ms),
            dirty: 0,
        };
        (word, self.phase == GONE)
    }

    /// A word as the directory writes it.
    fn of(word: &Word) -> Self {
        Member {
            id: word.id.clone(),
            host_port: word.addr.map_or(String::new(), |addr| addr.to_string()),
            locality: word.zone.clone(),
            flavor: word.kind.clone(),
            cell: word.cell.map(|cell| cell.0),
            phase: match word.status {
                Status::Up => UP.to_owned(),
                _ => DRAINING.to_owned(),
            },
            up_since_ms: word.started.map_or(0, |at| at.0 / 1000),
        }
    }
}

struct Call {
    token: Token,
    until: Micros,
    head: Option<(http::ResponseHead, Body)>,
    content: Vec<u8>,
}

pub struct Directory {
    addr: SocketAddr,
    source: SourceId,
    revision: u64,
    call: Option<Call>,
    /// The node has moved to another directory, which has not told its list yet.
    moving: bool,
    /// When that one is asked again.
    again: Option<Micros>,
    /// An open connection between two calls.
    idle: Option<Token>,
}

impl Directory {
    /// Watches this directory, which is this source of the fleet.
    pub fn new(addr: SocketAddr, source: SourceId) -> Self {
        Directory {
            addr,
            source,
            revision: 0,
            call: None,
            moving: false,
            again: None,
            idle: None,
        }
    }

    /// What another process of this node can start from: the list as last told, and who is out by hand.
    pub fn bequest(&self, members: &Membership) -> Bequest {
        // A directory that is only being moved to counts its revisions in its own way.
        let revision = if self.moving { 0 } else { self.revision };
        let list = Listing {
            revision,
            complete: true,
            members: members.words(self.source).map(Member::of).collect(),
        };
        Bequest {
            out: members.out().clone(),
            list,
        }
    }

    /// Starts from the list that this node last had; it may be old.
    pub fn known(&mut self, now: Micros, listing: Listing, fleet: &mut Fleet, core: &mut Core) {
        self.revision = listing.revision;
        let told = self.learn(now, true, listing.members, fleet);
        fleet.pass_on(now, ListKind::Cached, told, core);
    }

    /// When [`Directory::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        self.call.as_ref().map(|call| call.until).or(self.again)
    }

    pub fn wake(&mut self, now: Micros, net: &mut Net, core: &mut Core) {
        if self.next_wake().is_none_or(|until| until > now) {
            return;
        }
        match self.call {
            Some(_) => self.fail(now, "no answer in time", net, core),
            None => self.watch(now, net, core),
        }
    }

    /// Goes over to another directory at once: the old one may be about to end. The list stays until the new
    /// one has told its own, whole, since its revisions may be others.
    pub fn move_to(&mut self, now: Micros, addr: SocketAddr, net: &mut Net, core: &mut Core) {
        if addr == self.addr {
            return;
        }
        log::info!("directory: now at {addr}");
        for token in self
            .call
            .take()
            .map(|call| call.token)
            .into_iter()
            .chain(self.idle.take())
        {
            net.close(token);
        }
        (self.addr, self.moving) = (addr, true);
        self.watch(now, net, core);
    }

    /// Begins to watch, unless it does already.
    pub fn watch(&mut self, now: Micros, net: &mut Net, core: &mut Core) {
        if self.call.is_some() {
            return;
        }
        self.again = None;
        let idle = self.idle.take().filter(|token| net.is_quiet(*token));
        let token = match idle.map_or_else(|| net.connect(self.addr, Peer::Directory), Ok) {
            Ok(token) => token,
            Err(e) => return self.fail(now, &e.to_string(), net, core),
        };
        let (query, until) = match self.moving {
            true => (String::new(), now + MOVING),
            false => (
                format!("?after={}&wait_ms={}", self.revision, WATCH.0 / 1000),
                now + WATCH + GRACE,
            ),
        };
        let request = format!(
            "GET /v1/endpoints{query} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.addr
        );
        self.call = Some(Call {
            token,
            until,
            head: None,
            content: Vec::new(),
        });
        if !net.write(token, request.as_bytes()) {
            self.fail(now, "the request does not fit", net, core);
        }
    }

    /// Something has come from the directory.
    pub fn ready(
        &mut self,
        now: Micros,
        token: Token,
        fleet: &mut Fleet,
        net: &mut Net,
        core: &mut Core,
    ) {
        if self.call.as_ref().is_none_or(|call| call.token != token) {
            self.idle = self.idle.filter(|idle| *idle != token);
            return net.close(token);
        }
        match self.read(token, net) {
            Ok(None) => {}
            Ok(Some(listing)) => {
                self.told(now, listing, fleet, core);
                // A watch goes on only where the next call comes soon after the answer: now.
                self.watch(now, net, core);
            }
            Err(what) => self.fail(now, &what, net, core),
        }
    }

    /// The listing, once it has wholly come.
    fn read(&mut self, token: Token, net: &mut Net) -> Result<Option<Listing>, String> {
        let (Some(call), Some(conn)) = (&mut self.call, net.get(token)) else {
            return Ok(None);
        };
        if call.head.is_none() {
            let head = http::response_head(conn.input.all()).map_err(|e| e.to_string())?;
            if let Some((head, used)) = head {
                conn.input.consume(used);
                if head.status != 200 {
                    return Err(format!("status {}", head.status));
                }
                let body = Body::of_response(&head).map_err(|e| e.to_string())?;
                call.head = Some((head, body));
            }
        }
        if let Some((head, body)) = &mut call.head {
            let bytes = conn.input.all();
            let used = body.take(bytes, &mut call.content);
            conn.input.consume(used.map_err(|e| e.to_string())?);
            let over = conn.eof && body.ends_with_connection();
            if body.is_done() || over {
                let reusable = head.keep_alive && conn.is_open() && conn.input.is_empty();
                let listing = serde_json::from_slice(&call.content).map_err(|e| e.to_string())?;
                self.call = None;
                if reusable {
                    self.idle = Some(token);
                } else {
                    net.close(token);
                }
                return Ok(Some(listing));
            }
        }
        match conn.eof || conn.broken {
            true => Err("the connection broke".to_owned()),
            false => Ok(None),
        }
    }

    fn told(&mut self, now: Micros, listing: Listing, fleet: &mut Fleet, core: &mut Core) {
        (self.revision, self.moving) = (listing.revision, false);
        let kind = match listing.complete {
            true => ListKind::Full,
            false => ListKind::Delta,
        };
        let told = self.learn(now, listing.complete, listing.members, fleet);
        fleet.pass_on(now, kind, told, core);
    }

    /// The call has failed: the list stays, and the dispatcher says when to ask again. Not so while the node
    /// moves: the dispatcher's pause may be longer than the time in which the new directory is to be heard.
    fn fail(&mut self, now: Micros, what: &str, net: &mut Net, core: &mut Core) {
        if let Some(call) = self.call.take() {
            net.close(call.token);
        }
        if self.moving {
            log::warn!("directory: {what}; asked again in {} ms", PAUSE.0 / 1000);
            self.again = Some(now + PAUSE);
            return;
        }
        log::warn!("directory: {what}");
        core.listed(now, ListKind::Failed, Vec::new());
    }

    fn learn(&self, now: Micros, complete: bool, members: Vec<Member>, fleet: &mut Fleet) -> Told {
        let words = members.into_iter().map(Member::word).collect();
        fleet.members.tell(now, self.source, complete, words)
    }
}
