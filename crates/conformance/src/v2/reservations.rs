//! Clauses of chapter 9: advance reservations.

use super::support::{clause, has_capability};
use crate::{Clause, Outcome, World};

/// The clauses of these sections, in their order.
pub(super) fn clauses() -> Vec<Clause> {
    vec![clause(
        "GFD.231, 9.1",
        "Reservations can be made and ended",
        reservations_are_absent,
    )]
}

fn reservations_are_absent(world: &World) -> Outcome {
    assert!(
        !has_capability(world, "ADVANCE_RESERVATION") && !has_capability(world, "RESERVE_SLOTS")
    );
    Outcome::NotApplicable
}
