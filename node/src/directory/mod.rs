//! The directory: watches the list of workers, one call after the other, and turns it into the module's entries.

use crate::clock::{millis, Clock};
use crate::core::Core;
use crate::net::http::{self, Body};
use crate::net::{Net, Peer, Token};
use marbledeck::{CellId, Entry, KindId, ListKind, Micros, State, WorkerId, ZoneId};
use marbledeck_facts::worker_id;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
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

impl Member {
    fn addr(&self) -> Option<SocketAddr> {
        self.host_port.parse().ok()
    }
}

/// Where a worker is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub name: String,
    pub addr: SocketAddr,
    started: Option<Micros>,
}

struct Call {
    token: Token,
    until: Micros,
    head: Option<(http::ResponseHead, Body)>,
    content: Vec<u8>,
}

pub struct Directory {
    addr: SocketAddr,
    zones: Vec<String>,
    kinds: Vec<String>,
    revision: u64,
    places: HashMap<WorkerId, Place>,
    /// The directory's word on each worker in its list.
    listed: HashMap<WorkerId, Member>,
    /// The workers taken out by hand, whether they are in the list or not: they may leave it and come back.
    out: BTreeSet<String>,
    call: Option<Call>,
    /// The node has moved to another directory, which has not told its list yet.
    moving: bool,
    /// When that one is asked again.
    again: Option<Micros>,
    /// An open connection between two calls.
    idle: Option<Token>,
    /// Workers whose connections are of no more use: gone, moved or started anew.
    pub stale: Vec<WorkerId>,
}

impl Directory {
    pub fn new(addr: SocketAddr, zones: Vec<String>, kinds: Vec<String>) -> Self {
        Directory {
            addr,
            zones,
            kinds,
            revision: 0,
            places: HashMap::new(),
            listed: HashMap::new(),
            out: BTreeSet::new(),
            call: None,
            moving: false,
            again: None,
            idle: None,
            stale: Vec::new(),
        }
    }

    pub fn place(&self, worker: WorkerId) -> Option<&Place> {
        self.places.get(&worker)
    }

    /// What another process of this node can start from: the list as last told, and who is out by hand.
    pub fn bequest(&self) -> Bequest {
        let mut members: Vec<Member> = self.listed.values().cloned().collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        // A directory that is only being moved to counts its revisions in its own way.
        let revision = if self.moving { 0 } else { self.revision };
        let list = Listing {
            revision,
            complete: true,
            members,
        };
        Bequest {
            out: self.out.clone(),
            list,
        }
    }

    /// Starts from what another process of this node knew.
    pub fn inherit(&mut self, out: BTreeSet<String>) {
        self.out = out;
    }

    /// Whether a worker of this id is in the list, or out by hand.
    pub fn knows(&self, id: &str) -> bool {
        self.out.contains(id) || self.listed.contains_key(&worker_id(id))
    }

    /// Takes a worker out by hand, or calls it back, whatever the directory has told or will tell of it meanwhile.
    pub fn set_out(&mut self, now: Micros, id: &str, out: bool, core: &mut Core) {
        let changed = match out {
            true => self.out.insert(id.to_owned()),
            false => self.out.remove(id),
        };
        let worker = worker_id(id);
        if let Some(member) = self.listed.get(&worker).filter(|_| changed) {
            let entry = self.merged(worker, member);
            core.listed(now, ListKind::Delta, vec![entry]);
        }
    }

    /// The workers in the list by their ids, and whether each is out by hand.
    pub fn members(&self) -> Vec<(WorkerId, &Member, bool)> {
        let listed = self.listed.iter();
        let mut members: Vec<_> = listed
            .map(|(worker, member)| (*worker, member, self.out.contains(&member.id)))
            .collect();
        members.sort_by(|a, b| a.1.id.cmp(&b.1.id));
        members
    }

    /// How many workers are in the list, and how many of them are out by hand or as `resting` tells.
    pub fn count(&self, resting: impl Fn(WorkerId) -> bool) -> (usize, usize) {
        let avoided = |(worker, member): &(&WorkerId, &Member)| {
            self.out.contains(&member.id) || resting(**worker)
        };
        (
            self.listed.len(),
            self.listed.iter().filter(avoided).count(),
        )
    }

    /// Starts from the list that this node last had; it may be old.
    pub fn known(&mut self, now: Micros, listing: Listing, core: &mut Core) {
        self.revision = listing.revision;
        let entries = self.learn(true, listing.members);
        core.listed(now, ListKind::Cached, entries);
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
    pub fn ready(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        if self.call.as_ref().is_none_or(|call| call.token != token) {
            self.idle = self.idle.filter(|idle| *idle != token);
            return net.close(token);
        }
        match self.read(token, net) {
            Ok(None) => {}
            Ok(Some(listing)) => {
                self.told(now, listing, core);
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

    fn told(&mut self, now: Micros, listing: Listing, core: &mut Core) {
        (self.revision, self.moving) = (listing.revision, false);
        let kind = match listing.complete {
            true => ListKind::Full,
            false => ListKind::Delta,
        };
        let entries = self.learn(listing.complete, listing.members);
        core.listed(now, kind, entries);
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

    fn learn(&mut self, complete: bool, members: Vec<Member>) -> Vec<Entry> {
        let ids: Vec<WorkerId> = members.iter().map(|m| worker_id(&m.id)).collect();
        if complete {
            let absent = self.places.keys().filter(|id| !ids.contains(id));
            self.stale.extend(absent);
            self.places.retain(|id, _| ids.contains(id));
            self.listed.retain(|id, _| ids.contains(id));
        }
        let mut entries = Vec::with_capacity(members.len());
        for (worker, member) in ids.into_iter().zip(members) {
            entries.push(self.entry(worker, member));
        }
        entries
    }

    /// Takes in one line of the list.
    fn entry(&mut self, worker: WorkerId, member: Member) -> Entry {
        let entry = self.merged(worker, &member);
        if member.phase == GONE {
            self.places.remove(&worker);
            self.listed.remove(&worker);
            self.stale.push(worker);
            return entry;
        }
        match member.addr() {
            Some(addr) => {
                let place = Place {
                    name: member.id.clone(),
                    addr,
                    started: entry.started,
                };
                let old = self.places.insert(worker, place.clone());
                if old.is_some_and(|old| old != place) {
                    self.stale.push(worker);
                }
            }
            None => log::warn!("directory: '{}' is no address", member.host_port),
        }
        self.listed.insert(worker, member);
        entry
    }

    /// What the dispatcher is told of a worker: the directory's word, and no new work for one that is out by hand.
    /// This is the one place where the two meet, so that no later word of the directory undoes an operator's.
    fn merged(&self, worker: WorkerId, member: &Member) -> Entry {
        let state = match member.phase.as_str() {
            GONE => State::Gone,
            // It cannot be sent to without an address, and what is known of its state still counts.
            "up" if member.addr().is_some() && !self.out.contains(&member.id) => State::Ready,
            // An unknown phase is no invitation to send there.
            _ => State::Draining,
        };
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Entry {
            worker,
            state,
            zone: ZoneId(position(&self.zones, &member.locality).map_or(u32::MAX, |i| i as u32)),
            kind: KindId(position(&self.kinds, &member.flavor).map_or(u32::MAX, |i| i as u32)),
            cell: member.cell.map(CellId),
            started: Clock::from_unix_ms(member.up_since_ms),
        }
    }
}
