//! Load probes: the worker's answer is joined with the count of attempts that all nodes have in flight there, where a
//! peer is asked for it, and goes to the dispatcher as one report.

use super::responses::FreeSlots;
use super::Core;
use marbledeck_dispatcher::{Event, LoadReport, Micros, Outcome, WorkerId};

/// A worker's answer to a probe.
#[derive(Clone, Copy)]
struct ProbeResult {
    outcome: Outcome,
    report: Option<LoadReport>,
}

/// A count of attempts in flight over all nodes, as far as it has come.
#[derive(Clone, Copy, Default)]
enum FleetCount {
    /// The peer has not answered yet.
    #[default]
    Awaited,
    /// The peer's answer; none where nobody knows.
    Received(Option<u8>),
}

/// The first of the two answers: the dispatcher gets both at once.
#[derive(Default)]
pub(super) struct PendingProbe {
    result: Option<ProbeResult>,
    in_flight: FleetCount,
}

impl PendingProbe {
    /// The result of the probe with the count in flight, once both are there.
    fn joined(&self) -> Option<ProbeResult> {
        let result = self.result?;
        let FleetCount::Received(count) = self.in_flight else {
            return None;
        };
        let report = result.report.map(|report| LoadReport {
            in_flight: count.map(f64::from),
            ..report
        });
        Some(ProbeResult { report, ..result })
    }
}

impl Core {
    /// A probe of a worker has ended.
    pub fn handle_probe_result(
        &mut self,
        now: Micros,
        worker: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let result = ProbeResult { outcome, report };
        match self.pending_probes.get_mut(&worker) {
            Some(pending) => pending.result = Some(result),
            None => self.report_probe(worker, result),
        }
        self.finish_probe(now, worker);
    }

    /// Makes the probe of this worker wait for [`Core::set_fleet_in_flight`], which is to come once and soon.
    pub fn await_fleet_in_flight(&mut self, worker: WorkerId) {
        self.pending_probes.insert(worker, PendingProbe::default());
    }

    /// How many attempts all nodes together have in flight at this worker; none where nobody knows.
    pub fn set_fleet_in_flight(&mut self, now: Micros, worker: WorkerId, count: Option<u8>) {
        if let Some(pending) = self.pending_probes.get_mut(&worker) {
            pending.in_flight = FleetCount::Received(count);
        }
        self.finish_probe(now, worker);
    }

    /// Reports a probe to the dispatcher once both answers are there.
    fn finish_probe(&mut self, now: Micros, worker: WorkerId) {
        let pending = self.pending_probes.get(&worker);
        if let Some(result) = pending.and_then(PendingProbe::joined) {
            self.pending_probes.remove(&worker);
            self.report_probe(worker, result);
        }
        self.decide(now);
    }

    /// Queues the result of a probe for the dispatcher.
    fn report_probe(&mut self, worker: WorkerId, ProbeResult { outcome, report }: ProbeResult) {
        log::trace!(
            "probe worker {:016x} {outcome:?}: free {}",
            worker.0,
            FreeSlots(report)
        );
        self.pending.push_back(Event::ProbeEnded {
            worker,
            outcome,
            report,
        });
    }
}
