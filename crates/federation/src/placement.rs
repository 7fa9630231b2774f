//! The state machine of a job that is forwarded to another site: chooses the site to ask, and handles its answers. One site
//! is asked at a time, and a second one only when the first is known not to have the job, so that the job never runs twice.

use crate::MatchResult;
use std::collections::{BTreeMap, BTreeSet};

/// A site that may run a job, with what is known of it now.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateSite {
    /// Its name.
    pub name: String,
    /// The version of its catalog.
    pub catalog_version: u64,
    /// Whether the job matches its catalog.
    pub result: MatchResult,
}

/// The next step for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementStep {
    /// Forward it to this site under the job's key.
    Forward {
        /// The site.
        site: String,
        /// The version of its catalog that the job was checked against.
        catalog_version: u64,
    },
    /// Wait: a site has accepted the job, all sites that match asked for a later retry, or the catalog of a site is not
    /// known.
    Wait,
    /// No site accepts the job, for this reason. It was placed nowhere.
    Rejected(String),
}

/// The response of a site that was asked to run a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteResponse {
    /// The site has accepted the job.
    Accepted,
    /// The site has not accepted the job, since its catalog has this version by now.
    Outdated(u64),
    /// The site has rejected the job for this reason.
    Rejected(String),
    /// The site has not accepted the job now; a later retry may succeed.
    RetryLater,
    /// No answer has come, so the site may have the job.
    NoAnswer,
}

/// Where the job is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum State {
    /// No other site has it.
    #[default]
    Unplaced,
    /// This site was asked to run it, and may have accepted it.
    Offered { site: String, catalog_version: u64 },
    /// This site has accepted it.
    Accepted { site: String },
}

/// A site's rejection.
#[derive(Clone, Debug)]
struct Rejection {
    /// The rejection holds for catalogs up to this version.
    catalog_version: u64,
    reason: String,
}

/// The state machine of one forwarded job.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    state: State,
    rejections: BTreeMap<String, Rejection>,
    /// Sites that asked for a later retry in this round.
    retry_later: BTreeSet<String>,
}

impl Placement {
    /// The next step for the job, given what is known of the sites now.
    pub fn next_step(&mut self, sites: &[CandidateSite]) -> PlacementStep {
        match &self.state {
            State::Accepted { .. } => return PlacementStep::Wait,
            // Repeats exactly the same request. The site recognises the job by its key if it has accepted it.
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
            // The caller waits before it begins another round.
            self.retry_later.clear();
            return PlacementStep::Wait;
        }
        PlacementStep::Rejected(self.rejection_text(sites))
    }

    /// Whether a site has not rejected the job, or has a newer catalog since it did.
    fn is_eligible(&self, site: &CandidateSite) -> bool {
        let rejection = self.rejections.get(&site.name);
        rejection.is_none_or(|rejection| site.catalog_version > rejection.catalog_version)
    }

    /// The first eligible site that matches the job and did not ask for a later retry in this round.
    fn next_match<'a>(&self, sites: &'a [CandidateSite]) -> Option<&'a CandidateSite> {
        let mut eligible = sites.iter().filter(|site| self.is_eligible(site));
        eligible.find(|site| {
            site.result == MatchResult::Matches && !self.retry_later.contains(&site.name)
        })
    }

    fn is_any_unknown(&self, sites: &[CandidateSite]) -> bool {
        let mut eligible = sites.iter().filter(|site| self.is_eligible(site));
        eligible.any(|site| site.result == MatchResult::Unknown)
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

    /// Handles the response of the site that was asked, or the lack of one.
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
                // The rejection holds until a catalog of the site's version is known here.
                let rejected_version = current.max(catalog_version + 1) - 1;
                let reason =
                    format!("its catalog has version {current}, {catalog_version} was known");
                self.reject(site, rejected_version, reason)
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

    /// Whether a site has the job, or may have it.
    pub fn may_be_placed(&self) -> bool {
        self.state != State::Unplaced
    }

    /// The site that has accepted the job.
    pub fn accepted_by(&self) -> Option<&str> {
        match &self.state {
            State::Accepted { site } => Some(site),
            State::Unplaced | State::Offered { .. } => None,
        }
    }
}
