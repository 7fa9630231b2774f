//! The terms of the leases under which records are read.

use marbledeck_dispatcher::Micros;

/// How long a lease lasts, and how far clocks may differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// How long a node may act on the records that it has read, counted from its request.
    pub duration: Micros,
    /// Upper limit of the relative difference between the rates of two monotonic clocks.
    pub clock_drift: f64,
}

impl LeaseTerms {
    /// The longest time that any node can still act on an old version after the first node acts on a newer one.
    pub fn max_overlap(&self) -> Micros {
        Micros::from_secs_f64(self.duration.as_secs_f64() * (1.0 + self.clock_drift))
    }

    /// How long a node that has read a new version waits, by its own clock, until no other node can act on an older one.
    pub fn activation_delay(&self) -> Micros {
        Micros::from_secs_f64(
            self.duration.as_secs_f64() * (1.0 + self.clock_drift) * (1.0 + self.clock_drift),
        )
    }
}
