//! The precedence: one place says which of several words on a worker counts.

use crate::{Heard, Membership, SourceId, Status, View};
use marbledeck_dispatcher::{CellId, Micros, WorkerState};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// What all words on a worker come to.
#[derive(Debug)]
pub(crate) struct Merged {
    /// New work may go there.
    pub up: bool,
    pub addr: Option<SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub cell: Option<CellId>,
    pub started: Option<Micros>,
    /// Why it is out; for people.
    pub why: Option<String>,
}

impl Membership {
    fn heard(&self, id: &str) -> impl Iterator<Item = (SourceId, &Heard)> {
        let sources = self.sources.iter().enumerate();
        let id = id.to_owned();
        sources.filter_map(move |(at, source)| Some((SourceId(at), source.heard.get(&id)?)))
    }

    /// What all words on a worker come to; none where no source names it.
    pub(crate) fn merged(&self, id: &str) -> Option<Merged> {
        let words: Vec<(SourceId, &Heard)> = self.heard(id).collect();
        let (_, first) = words.first()?;
        // The later start is the truer address, then the earlier source.
        let addressed = words.iter().filter(|(_, heard)| heard.word.addr.is_some());
        let addr = addressed.min_by_key(|(source, heard)| (Reverse(heard.word.started), *source));
        let addr = addr.and_then(|(_, heard)| heard.word.addr);
        let against = words
            .iter()
            .find(|(_, heard)| heard.word.status != Status::Up);
        let old = words
            .iter()
            .find(|(source, _)| self.sources[source.0].distrusted);
        let named = |of: fn(&Heard) -> &String| {
            let mut named = words
                .iter()
                .map(|(_, heard)| of(heard))
                .filter(|name| !name.is_empty());
            named.next().cloned().unwrap_or_default()
        };
        let why = match (self.out.contains(id), against, addr) {
            (true, ..) => Some("out by hand".to_owned()),
            (_, Some((source, heard)), _) => {
                let name = &self.sources[source.0].name;
                Some(format!("{name} says {}", heard.word.status))
            }
            _ if old.is_some() => {
                let name = old.map(|(source, _)| self.sources[source.0].name.as_str());
                Some(format!("{}'s list is too old", name.unwrap_or_default()))
            }
            (.., None) => Some("it has no address".to_owned()),
            (.., Some(addr)) => self
                .owner(addr, id)
                .map(|owner| format!("{owner} has its address")),
        };
        Some(Merged {
            up: why.is_none(),
            addr,
            zone: named(|heard| &heard.word.zone),
            kind: named(|heard| &heard.word.kind),
            cell: words
                .iter()
                .find_map(|(_, heard)| heard.word.cell)
                .or(first.word.cell),
            started: words
                .iter()
                .filter_map(|(_, heard)| heard.word.started)
                .max(),
            why,
        })
    }

    /// Who else has this address, and comes before this one: the earlier source's, then the lesser id.
    fn owner(&self, addr: SocketAddr, id: &str) -> Option<&str> {
        let rank = |id: &str| {
            let mut here = self
                .heard(id)
                .filter(|(_, heard)| heard.word.addr == Some(addr));
            here.next().map(|(source, _)| source)
        };
        let own = (rank(id)?, id);
        let ids = self.by_addr.get(&addr)?.iter();
        let ranked = ids.filter_map(|other| Some((rank(other)?, other.as_str())));
        ranked
            .filter(|other| *other < own)
            .min()
            .map(|(_, other)| other)
    }

    pub(crate) fn view(&self, now: Micros, id: &str) -> View {
        let merged = self.merged(id);
        let words = self.heard(id).map(|(source, heard)| {
            let name = &self.sources[source.0].name;
            (name.clone(), heard.word.status, now - heard.at)
        });
        let doubt = self.heard(id).find_map(|(source, heard)| {
            let doubt = heard.doubt.as_ref()?;
            let name = &self.sources[source.0].name;
            let secs = (now - doubt.since).0 / 1_000_000;
            Some(match doubt.missing {
                true => format!("{name} has not named it for {secs} s; kept while it answers"),
                false => format!("{name} has said nothing for {secs} s"),
            })
        });
        let (state, why) = match &merged {
            None => (WorkerState::Removed, "no source names it".to_owned()),
            Some(Merged { why: Some(why), .. }) => (WorkerState::Draining, why.clone()),
            Some(_) => (WorkerState::Ready, doubt.unwrap_or_else(|| "in".to_owned())),
        };
        View {
            id: id.to_owned(),
            state,
            why,
            addr: merged.and_then(|merged| merged.addr),
            words: words.collect(),
        }
    }
}
