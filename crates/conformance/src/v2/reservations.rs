//! Clauses of chapter 9: advance reservations.

use super::support::{clause, has_capability};
use crate::{Clause, Fixture, Outcome};

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![clause(
        "GFD.231, 9.1",
        "Reservations can be created and terminated",
        reservations_are_absent,
    )]
}

fn reservations_are_absent(fixture: &Fixture) -> Outcome {
    assert!(
        !has_capability(fixture, "ADVANCE_RESERVATION")
            && !has_capability(fixture, "RESERVE_SLOTS")
    );
    Outcome::NotApplicable
}
