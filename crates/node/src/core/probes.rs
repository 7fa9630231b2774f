//! Load probes: combines a worker's load report with the number of attempts in flight there from all nodes, if a peer
//! node is asked for that number, into one report for the dispatcher.

use super::responses::FreeSlots;
use super::Core;
use marbledeck_dispatcher::{Event, LoadReport, Micros, Outcome, WorkerId};

/// A worker's response to a probe.
#[derive(Clone, Copy)]
struct ProbeResult {
    outcome: Outcome,
    report: Option<LoadReport>,
}

/// A peer's count of the attempts in flight from all nodes.
#[derive(Clone, Copy, Default)]
enum FleetCount {
    /// The peer has not answered yet.
    #[default]
    Pending,
    /// The peer's answer; none if the count is unknown.
    Received(Option<u8>),
}

/// A probe for which the worker's response or the peer's count is still missing: the dispatcher gets both at once.
#[derive(Default)]
pub(super) struct PendingProbe {
    result: Option<ProbeResult>,
    in_flight: FleetCount,
}

impl PendingProbe {
    /// The result of the probe with the count in flight, once both have arrived.
    fn combined(&self) -> Option<ProbeResult> {
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
    /// Handles the end of a probe.
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

    /// Holds back the result of this worker's probe until [`Core::set_fleet_in_flight`] is called, which the caller
    /// must do once and soon.
    pub fn await_fleet_in_flight(&mut self, worker: WorkerId) {
        self.pending_probes.insert(worker, PendingProbe::default());
    }

    /// Sets how many attempts are in flight at this worker from all nodes; none if that is unknown.
    pub fn set_fleet_in_flight(&mut self, now: Micros, worker: WorkerId, count: Option<u8>) {
        if let Some(pending) = self.pending_probes.get_mut(&worker) {
            pending.in_flight = FleetCount::Received(count);
        }
        self.finish_probe(now, worker);
    }

    /// Reports a probe to the dispatcher once both answers have arrived.
    fn finish_probe(&mut self, now: Micros, worker: WorkerId) {
        let pending = self.pending_probes.get(&worker);
        if let Some(result) = pending.and_then(PendingProbe::combined) {
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
