//! A job that is handed to another site: which site is asked, and what follows from its answers. One site at a time, and
//! never a second one before the first is known not to have the job.

use crate::Fit;
use std::collections::BTreeMap;

/// A site, as it is known now.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// Its name.
    pub name: String,
    /// The version of its catalog.
    pub version: u64,
    /// Whether the job fits there.
    pub fit: Fit,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Hand the job to this site, with this version of its catalog, under the job's key.
    Ask {
        /// The site.
        site: String,
        /// The version of its catalog that the job was checked against.
        version: u64,
    },
    /// Nothing now: no site can be known to fit, or all that fit are to be left alone for a while.
    Wait,
    /// No site will have it. It was taken nowhere.
    Refused(String),
}

/// What a site has said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It has taken the job.
    Accepted,
    /// It has not, for its catalog has this version by now.
    Outdated(u64),
    /// It has not, and will not.
    Denied(String),
    /// It has not; another time it might.
    Later,
    /// No answer has come: it may have the job.
    Lost,
}

/// The way of one job.
#[derive(Clone, Debug, Default)]
pub struct Errand {
    /// The site that may have the job, with the version that it was asked with.
    at: Option<(String, u64)>,
    accepted: bool,
    /// Sites that have said no, and up to which version of their catalogs that counts.
    denied: BTreeMap<String, (u64, String)>,
    /// Sites that have put it off, in this round.
    later: BTreeMap<String, u64>,
}

impl Errand {
    /// What is to be done, with what is known of the sites now.
    pub fn next(&mut self, sites: &[Known]) -> Step {
        if let Some((site, version)) = self.at.clone() {
            return match self.accepted {
                true => Step::Wait,
                // The same again, to the letter: the key tells the site whether it has it.
                false => Step::Ask { site, version },
            };
        }
        let open = |known: &&Known| match self.denied.get(&known.name) {
            Some((version, _)) => known.version > *version,
            None => true,
        };
        let mut fitting = sites
            .iter()
            .filter(open)
            .filter(|known| known.fit == Fit::Fits);
        if let Some(known) = fitting.find(|known| !self.later.contains_key(&known.name)) {
            self.at = Some((known.name.clone(), known.version));
            return Step::Ask {
                site: known.name.clone(),
                version: known.version,
            };
        }
        if !self.later.is_empty()
            || sites
                .iter()
                .filter(open)
                .any(|known| known.fit == Fit::Unknown)
        {
            // Another round, after a pause.
            self.later.clear();
            return Step::Wait;
        }
        let denied = self
            .denied
            .iter()
            .map(|(site, (_, why))| format!("{site}: {why}"));
        let unfit = sites
            .iter()
            .filter(|known| !self.denied.contains_key(&known.name));
        let unfit = unfit.map(|known| format!("{}: {}", known.name, known.fit));
        let why: Vec<String> = denied.chain(unfit).collect();
        Step::Refused(match why.is_empty() {
            true => "no other site is known".to_owned(),
            false => why.join("; "),
        })
    }

    /// The site that was asked has answered, or has not.
    pub fn heard(&mut self, what: Heard) {
        let Some((site, version)) = self.at.clone() else {
            return;
        };
        if self.accepted {
            return;
        }
        match what {
            Heard::Accepted => self.accepted = true,
            Heard::Lost => {}
            Heard::Later => {
                self.later.insert(site, version);
                self.at = None;
            }
            Heard::Outdated(now) => {
                // Until a catalog of that version is known here.
                let why = format!("its catalog has version {now}, {version} was known");
                self.denied.insert(site, (now.max(version + 1) - 1, why));
                self.at = None;
            }
            Heard::Denied(why) => {
                self.denied.insert(site, (version, why));
                self.at = None;
            }
        }
    }

    /// Whether some site may have the job.
    pub fn may_be_taken(&self) -> bool {
        self.at.is_some()
    }

    /// The site that has taken it.
    pub fn taken_by(&self) -> Option<&str> {
        self.at
            .as_ref()
            .filter(|_| self.accepted)
            .map(|(site, _)| site.as_str())
    }
}
