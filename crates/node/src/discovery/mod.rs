//! The directory: watches the list of workers, one call after the other, and turns it into the module's entries.

mod clocks;

pub use clocks::{Ask, Clocks, Fault};

use crate::clock::Clock;
use crate::core::Core;
use crate::fleet::Fleet;
use crate::net::http::{self, Body};
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::{CellId, Micros, WorkerListKind};
use marbledeck_membership::{Membership, MembershipChange, SourceId, SourceReport, Status};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

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
pub fn words(members: Vec<Member>) -> Vec<SourceReport> {
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
            members.reports(source).take(MOST).map(Member::of).collect(),
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
    /// In so many microseconds something that was not heard may count as told; none where nothing is in doubt.
    #[serde(default)]
    pub told_in_us: Option<u64>,
}

/// The phase of a worker that has left the list.
const GONE: &str = "removed";

/// The phases, as the directory writes them.
const UP: &str = "up";
const DRAINING: &str = "draining";

impl Member {
    /// What it says, and whether it says that the worker is gone.
    fn word(self) -> (SourceReport, bool) {
        let addr = self.host_port.parse().ok();
        if addr.is_none() && self.phase != GONE {
            log::warn!("directory: '{}' is no address", self.host_port);
        }
        let word = SourceReport {
            id: self.id,
            address: addr,
            // An unknown phase is no invitation to send there.
            status: match self.phase.as_str() {
                UP => Status::Up,
                DRAINING => Status::Draining,
                _ => Status::Unknown,
            },
            zone: self.locality,
            kind: self.flavor,
            cell: self.cell.map(CellId),
            started_at: Clock::from_unix_ms(self.up_since_ms),
            version: 0,
        };
        (word, self.phase == GONE)
    }

    /// A word as the directory writes it.
    fn of(word: &SourceReport) -> Self {
        Member {
            id: word.id.clone(),
            host_port: word.address.map_or(String::new(), |addr| addr.to_string()),
            locality: word.zone.clone(),
            flavor: word.kind.clone(),
            cell: word.cell.map(|cell| cell.0),
            phase: match word.status {
                Status::Up => UP.to_owned(),
                _ => DRAINING.to_owned(),
            },
            up_since_ms: word.started_at.map_or(0, |at| at.0 / 1000),
        }
    }
}

struct Call {
    token: Token,
    asked: Micros,
    head: Option<(http::ResponseHead, Body)>,
    content: Vec<u8>,
}

pub struct Directory {
    addr: SocketAddr,
    source: SourceId,
    revision: u64,
    call: Option<Call>,
    clocks: Clocks,
    /// When it is asked again.
    again: Option<Micros>,
    /// The list is too old by the rule's clock: its workers count as draining.
    distrusted: bool,
    /// An open connection between two calls.
    idle: Option<Token>,
}

impl Directory {
    /// Watches this directory, which is this source of the fleet.
    pub fn new(addr: SocketAddr, source: SourceId, clocks: Clocks) -> Self {
        Directory {
            addr,
            source,
            revision: 0,
            call: None,
            clocks,
            // At once, whatever the settings call the way of the lists.
            again: Some(Micros(0)),
            distrusted: false,
            idle: None,
        }
    }

    /// What another process of this node can start from: the list as last told, and who is out by hand.
    pub fn bequest(&self, now: Micros, members: &Membership) -> Bequest {
        // A directory that is only being moved to counts its revisions in its own way.
        let moving = self.clocks.is_moving();
        let revision = if moving { 0 } else { self.revision };
        let list = Listing {
            revision,
            complete: true,
            members: members.reports(self.source).map(Member::of).collect(),
        };
        Bequest {
            out: members.out_of_service().clone(),
            list,
            told_in_us: self.clocks.bequest().map(|told| (told - now).0),
        }
    }

    /// Takes over the doubt of the process that this one replaces.
    pub fn inherit(&mut self, now: Micros, told_in_us: Option<u64>) {
        if let Some(told) = told_in_us {
            self.clocks.inherit(now + Micros(told));
        }
    }

    /// Starts from the list that this node last had; it may be old.
    pub fn known(&mut self, now: Micros, listing: Listing, fleet: &mut Fleet, core: &mut Core) {
        self.revision = listing.revision;
        let told = self.learn(now, true, listing.members, fleet);
        fleet.pass_on(now, WorkerListKind::Cached, told, core);
    }

    /// The connection on which an answer may come.
    pub fn awaited(&self) -> Option<Token> {
        self.call.as_ref().map(|call| call.token)
    }

    /// When [`Directory::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        let trusted = self.clocks.trusted_until().filter(|_| !self.distrusted);
        let call = self.clocks.until().or(self.again);
        call.into_iter().chain(trusted).min()
    }

    pub fn wake(&mut self, now: Micros, fleet: &mut Fleet, net: &mut Net, core: &mut Core) {
        let due = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        if due(self.clocks.trusted_until()) && !self.distrusted {
            self.distrusted = true;
            log::warn!(
                "directory: the list is too old to send by; nothing new goes to its workers"
            );
            let told = fleet.members.set_trusted(self.source, false);
            fleet.changed(now, told, core);
        }
        match self.call {
            Some(_) if due(self.clocks.until()) => {
                self.fail(now, Fault::Silent, "no answer in time", net);
            }
            None if due(self.again) => self.watch(now, net),
            _ => {}
        }
    }

    /// Goes over to another directory at once: the old one may be about to end. The list stays until the new
    /// one has told its own, whole, since its revisions may be others.
    pub fn move_to(&mut self, now: Micros, addr: SocketAddr, net: &mut Net) {
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
        self.addr = addr;
        self.clocks.moved(now);
        self.watch(now, net);
    }

    /// Begins to watch, unless it does already.
    pub fn watch(&mut self, now: Micros, net: &mut Net) {
        if self.call.is_some() {
            return;
        }
        self.again = None;
        let idle = self.idle.take().filter(|token| net.is_reusable(*token));
        let call = self.clocks.ask(now);
        let token = match idle.map_or_else(|| net.connect(self.addr, Peer::Discovery), Ok) {
            Ok(token) => token,
            Err(e) => {
                let fault = match e.kind() {
                    io::ErrorKind::ConnectionRefused => Fault::Unreachable,
                    // No descriptor, say: the directory may well be there.
                    _ => Fault::Refused,
                };
                return self.fail(now, fault, &e.to_string(), net);
            }
        };
        let query = match call.ask {
            Ask::Whole => String::new(),
            Ask::Changes { wait } => {
                format!("?after={}&wait_ms={}", self.revision, wait.0 / 1000)
            }
        };
        let request = format!(
            "GET /v1/endpoints{query} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.addr
        );
        self.call = Some(Call {
            token,
            asked: now,
            head: None,
            content: Vec::new(),
        });
        if !net.write(token, request.as_bytes()) {
            self.fail(now, Fault::Refused, "the request does not fit", net);
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
                self.watch(now, net);
            }
            Err((fault, what)) => self.fail(now, fault, &what, net),
        }
    }

    /// The listing, once it has wholly come.
    fn read(&mut self, token: Token, net: &mut Net) -> Result<Option<Listing>, (Fault, String)> {
        let broken = |what: &dyn std::fmt::Display| (Fault::Broken, what.to_string());
        let (Some(call), Some(conn)) = (&mut self.call, net.get(token)) else {
            return Ok(None);
        };
        if call.head.is_none() {
            let head = http::response_head(conn.input.all()).map_err(|e| broken(&e))?;
            if let Some((head, used)) = head {
                conn.input.consume(used);
                if head.status != 200 {
                    return Err((Fault::Refused, format!("status {}", head.status)));
                }
                let body = Body::of_response(&head).map_err(|e| broken(&e))?;
                call.head = Some((head, body));
            }
        }
        if let Some((head, body)) = &mut call.head {
            let bytes = conn.input.all();
            let used = body.take(bytes, &mut call.content);
            conn.input.consume(used.map_err(|e| broken(&e))?);
            let over = conn.eof && body.ends_with_connection();
            if body.is_done() || over {
                let reusable = head.keep_alive && conn.is_open() && conn.input.is_empty();
                let listing = serde_json::from_slice(&call.content).map_err(|e| broken(&e))?;
                if reusable {
                    self.idle = Some(token);
                } else {
                    net.close(token);
                }
                return Ok(Some(listing));
            }
        }
        match (conn.eof || conn.broken, conn.is_connecting()) {
            (true, true) => Err((Fault::Unreachable, "no connection".to_owned())),
            (true, false) => Err(broken(&"the connection broke")),
            (false, _) => Ok(None),
        }
    }

    fn told(&mut self, now: Micros, listing: Listing, fleet: &mut Fleet, core: &mut Core) {
        let asked = self.call.take().map_or(now, |call| call.asked);
        let (members, revision) = (listing.members.len(), listing.revision);
        log::debug!(
            "directory: revision {revision}, {members} lines, after {} us",
            (now - asked).0
        );
        self.revision = revision;
        self.clocks.answered();
        let kind = match listing.complete {
            true => WorkerListKind::Full,
            false => WorkerListKind::Delta,
        };
        let mut told = self.learn(now, listing.complete, listing.members, fleet);
        // After what is new: only those that are still named are trusted again.
        if std::mem::take(&mut self.distrusted) {
            log::info!("directory: the list is trusted again");
            told.append(fleet.members.set_trusted(self.source, true));
        }
        fleet.pass_on(now, kind, told, core);
    }

    /// The call has failed: the list stays, and is asked for again soon, since the rule's clock may be running.
    fn fail(&mut self, now: Micros, fault: Fault, what: &str, net: &mut Net) {
        if let Some(call) = self.call.take() {
            net.close(call.token);
        }
        let at = self.clocks.failed(now, fault);
        let ms = (at - now).0 / 1000;
        log::warn!("directory: {what}; asked again in {ms} ms");
        self.again = Some(at);
    }

    fn learn(
        &self,
        now: Micros,
        complete: bool,
        members: Vec<Member>,
        fleet: &mut Fleet,
    ) -> MembershipChange {
        let words = members.into_iter().map(Member::word).collect();
        fleet
            .members
            .apply_discovery_list(now, self.source, complete, words)
    }
}
