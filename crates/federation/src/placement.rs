//! A job that is forwarded to another site: which site is asked, and what follows from its answers. One site at a time,
//! and never a second one before the first is known not to have the job.

use crate::MatchResult;
use std::collections::{BTreeMap, BTreeSet};

/// A site that may run a job, as it is known now.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateSite {
    /// Its name.
    pub name: String,
    /// The version of its catalog.
    pub catalog_version: u64,
    /// Whether the job matches its catalog.
    pub result: MatchResult,
}

/// What is to be done with the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementStep {
    /// Forward it to this site under the job's key.
    Forward {
        /// The site.
        site: String,
        /// The version of its catalog that the job was checked against.
        catalog_version: u64,
    },
    /// Nothing now: no site is known to match, or all that match asked for a later retry.
    Wait,
    /// No site takes it, for this reason. It was placed nowhere.
    Rejected(String),
}

/// What a site has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteResponse {
    /// It has taken the job.
    Accepted,
    /// It has not, since its catalog has this version by now.
    Outdated(u64),
    /// It has not, and will not, for this reason.
    Rejected(String),
    /// It has not; a retry later may succeed.
    RetryLater,
    /// No answer has come: it may have the job.
    NoAnswer,
}

/// Where the job is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum State {
    /// At no other site.
    #[default]
    Unplaced,
    /// This site was asked and may have it.
    Offered { site: String, catalog_version: u64 },
    /// This site has taken it.
    Accepted { site: String },
}

/// A site's rejection.
#[derive(Clone, Debug)]
struct Rejection {
    /// It counts for catalogs up to this version.
    catalog_version: u64,
    reason: String,
}

/// The state machine of one forwarded job.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    state: State,
    rejections: BTreeMap<String, Rejection>,
    /// Sites that asked for a later retry, in this round.
    retry_later: BTreeSet<String>,
}

impl Placement {
    /// What is to be done, with what is known of the sites now.
    pub fn next_step(&mut self, sites: &[CandidateSite]) -> PlacementStep {
        match &self.state {
            State::Accepted { .. } => return PlacementStep::Wait,
            // The same request again, to the letter: the key tells the site whether it has the job.
            State::Offered {
                site,
                catalog_version,
            } => {
                return PlacementStep::Forward {
                    site: site.clone(),
                    catalog_version: *catalog_version,
                }
            }
            State::Unplaced => {}
        }
        if let Some(site) = self.next_match(sites) {
            let (site, catalog_version) = (site.name.clone(), site.catalog_version);
            self.state = State::Offered {
                site: site.clone(),
                catalog_version,
            };
            return PlacementStep::Forward {
                site,
                catalog_version,
            };
        }
        if !self.retry_later.is_empty() || self.is_any_unknown(sites) {
            // Another round, after a pause.
            self.retry_later.clear();
            return PlacementStep::Wait;
        }
        PlacementStep::Rejected(self.rejection_text(sites))
    }

    /// Whether a site's rejection does not, or no longer, count.
    fn is_open(&self, site: &CandidateSite) -> bool {
        let rejection = self.rejections.get(&site.name);
        rejection.is_none_or(|rejection| site.catalog_version > rejection.catalog_version)
    }

    /// The first open site that matches and did not ask for a later retry.
    fn next_match<'a>(&self, sites: &'a [CandidateSite]) -> Option<&'a CandidateSite> {
        let mut open = sites.iter().filter(|site| self.is_open(site));
        open.find(|site| {
            site.result == MatchResult::Matches && !self.retry_later.contains(&site.name)
        })
    }

    fn is_any_unknown(&self, sites: &[CandidateSite]) -> bool {
        let mut open = sites.iter().filter(|site| self.is_open(site));
        open.any(|site| site.result == MatchResult::Unknown)
    }

    fn rejection_text(&self, sites: &[CandidateSite]) -> String {
        let rejections = self.rejections.iter();
        let rejected = rejections.map(|(site, rejection)| format!("{site}: {}", rejection.reason));
        let others = sites
            .iter()
            .filter(|site| !self.rejections.contains_key(&site.name));
        let mismatches = others.map(|site| format!("{}: {}", site.name, site.result));
        let reasons: Vec<String> = rejected.chain(mismatches).collect();
        if reasons.is_empty() {
            "no other site is known".to_owned()
        } else {
            reasons.join("; ")
        }
    }

    /// The site that was asked has answered, or has not.
    pub fn handle_response(&mut self, response: SiteResponse) {
        let State::Offered {
            site,
            catalog_version,
        } = self.state.clone()
        else {
            return;
        };
        self.state = match response {
            SiteResponse::Accepted => State::Accepted { site },
            SiteResponse::NoAnswer => return,
            SiteResponse::RetryLater => {
                self.retry_later.insert(site);
                State::Unplaced
            }
            SiteResponse::Outdated(current) => {
                // Until a catalog of that version is known here.
                let catalog_known = current.max(catalog_version + 1) - 1;
                let reason =
                    format!("its catalog has version {current}, {catalog_version} was known");
                self.reject(site, catalog_known, reason)
            }
            SiteResponse::Rejected(reason) => self.reject(site, catalog_version, reason),
        };
    }

    fn reject(&mut self, site: String, catalog_version: u64, reason: String) -> State {
        let rejection = Rejection {
            catalog_version,
            reason,
        };
        self.rejections.insert(site, rejection);
        State::Unplaced
    }

    /// Whether some site may have the job.
    pub fn may_be_placed(&self) -> bool {
        self.state != State::Unplaced
    }

    /// The site that has taken it.
    pub fn accepted_by(&self) -> Option<&str> {
        match &self.state {
            State::Accepted { site } => Some(site),
            State::Unplaced | State::Offered { .. } => None,
        }
    }
}
