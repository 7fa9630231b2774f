//! The workers that are reported at one address. The one with the highest precedence owns it.

use crate::SourceId;
use std::collections::BTreeSet;

/// A source's report that a worker listens at an address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AddressClaim {
    pub source: SourceId,
    /// The worker's id.
    pub id: String,
}

/// All claims of one address; almost always there is only one.
#[derive(Debug)]
pub(crate) enum AddressClaims {
    One(AddressClaim),
    Several(BTreeSet<AddressClaim>),
}

impl AddressClaims {
    /// The id of the worker that owns the address.
    pub fn owner(&self) -> Option<&str> {
        let first = match self {
            AddressClaims::One(claim) => Some(claim),
            AddressClaims::Several(claims) => claims.first(),
        };
        first.map(|claim| claim.id.as_str())
    }

    pub fn insert(&mut self, claim: AddressClaim) {
        match self {
            AddressClaims::One(known) if *known == claim => {}
            AddressClaims::One(known) => {
                let claims = BTreeSet::from([known.clone(), claim]);
                *self = AddressClaims::Several(claims);
            }
            AddressClaims::Several(claims) => {
                claims.insert(claim);
            }
        }
    }

    /// Removes a claim. Returns whether no claim is left, in which case the caller drops this value.
    pub fn remove(&mut self, claim: &AddressClaim) -> bool {
        match self {
            AddressClaims::One(known) => known == claim,
            AddressClaims::Several(claims) => {
                claims.remove(claim);
                claims.is_empty()
            }
        }
    }
}
