//! A dispatcher instance, and the translation between simulator messages and its events and actions.

use crate::message::{Completed, ListEntry, Message, Order};
use crate::requests::{OpenRequests, WorkerNames};
use marbledeck_dispatcher::{
    Action, AttemptEnded, CellId, ClassId, Dispatcher, Event, Job, KindId, Micros, Outcome,
    TenantId, TimerId, WorkerEntry, WorkerListKind, WorkerState, ZoneId,
};
use marbledeck_platform_settings::{PlatformSettings, PlatformSettingsError, ReportFields};
use serde::Serialize;

/// The topic of a status note for the start of an attempt.
const TOPIC_STARTED: u32 = 1;

/// A dispatcher, with the simulator's names of its workers and requests.
pub struct Instance {
    pub dispatcher: Dispatcher,
    report_fields: ReportFields,
    workers: WorkerNames,
    requests: OpenRequests,
}

impl Instance {
    /// Creates the instance of an `attach` message.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn new(
        settings: &PlatformSettings,
        seed: u64,
        now: Micros,
    ) -> Result<Self, PlatformSettingsError> {
        let report_fields = settings.report_fields();
        let settings = settings.dispatcher_settings()?;
        Ok(Instance {
            dispatcher: Dispatcher::new(settings, seed, now)?,
            report_fields,
            workers: WorkerNames::default(),
            requests: OpenRequests::default(),
        })
    }

    /// Translates a message into an event of the dispatcher. Messages about requests that are not open are ignored.
    pub fn translate(&mut self, message: Message, events: &mut Vec<Event>) {
        match message {
            Message::Order(order) => events.push(self.job_received(&order)),
            Message::Completed(completed) => events.extend(self.attempt_ended(completed)),
            Message::StatusNote {
                txn,
                attempt,
                topic: TOPIC_STARTED,
            } => {
                let request = self.requests.id(&txn.0);
                events.extend(request.map(|request| Event::AttemptStarted { request, attempt }));
            }
            Message::AckFirst { txn, attempt } => {
                let request = self.requests.id(&txn.0);
                events.extend(request.map(|request| Event::ResponseStarted { request, attempt }));
            }
            Message::Lapsed(txn) => {
                if let Some(id) = self.requests.id(&txn.0) {
                    events.push(Event::ClientLeft(id));
                    self.requests.end(id);
                }
            }
            Message::Topology { kind, entries } => {
                events.extend(self.worker_list(&kind.0, entries));
            }
            Message::HealthResult {
                worker,
                outcome_code,
                report,
            } => events.push(Event::ProbeEnded {
                worker: self.workers.id(&worker.0),
                outcome: outcome(outcome_code),
                report: report.map(|report| self.report_fields.interpret(report)),
            }),
            Message::Wakeup(timer) => events.push(Event::TimerExpired(TimerId(timer))),
            Message::StatusNote { .. }
            | Message::Attach { .. }
            | Message::Killed
            | Message::Unknown => {}
        }
    }

    fn job_received(&mut self, order: &Order) -> Event {
        let expected_work = order.cost_guess_us.map(|us| Micros(us.max(0.0) as u64));
        Event::JobReceived(Job {
            id: self.requests.insert(&order.txn.0),
            class: ClassId(order.class),
            tenant: TenantId(order.tenant),
            time_left: Micros(order.time_left_us.max(0) as u64),
            expected_work,
            slots: order.slots,
            memory: order.memory,
        })
    }

    fn attempt_ended(&mut self, completed: Completed) -> Option<Event> {
        let request = self.requests.id(&completed.txn.0)?;
        self.requests.end_attempt(request, completed.request_closed);
        let report = completed.report;
        Some(Event::AttemptEnded(AttemptEnded {
            request,
            attempt: completed.attempt,
            worker: self.workers.id(&completed.worker.0),
            outcome: outcome(completed.outcome_code),
            request_closed: completed.request_closed,
            latency: Micros(completed.latency_us),
            report: report.map(|report| self.report_fields.interpret(report)),
        }))
    }

    fn worker_list(&mut self, kind: &str, entries: Vec<ListEntry>) -> Option<Event> {
        let kind = match kind {
            "cached" => WorkerListKind::Cached,
            "full" => WorkerListKind::Full,
            "delta" => WorkerListKind::Delta,
            "failed" => WorkerListKind::Failed,
            _ => return None,
        };
        let workers = entries.into_iter().map(|entry| self.worker_entry(entry));
        let workers = workers.collect();
        Some(Event::WorkerList { kind, workers })
    }

    fn worker_entry(&mut self, entry: ListEntry) -> WorkerEntry {
        let state = match &*entry.state.0 {
            "active" => WorkerState::Ready,
            "left" => WorkerState::Removed,
            // A worker in an unknown state is sent no new attempts.
            _ => WorkerState::Draining,
        };
        WorkerEntry {
            worker: self.workers.id(&entry.worker.0),
            state,
            zone: ZoneId(entry.zone),
            kind: KindId(entry.kind),
            cell: entry.cell.map(CellId),
            started_at: entry.start_time_us.filter(|&us| us > 0).map(Micros),
        }
    }

    /// Appends an action to the outbox that starts at `outbox_start`, with a comma unless it is the first one. Actions
    /// for requests that are no longer open are omitted.
    pub fn write(&mut self, action: Action, outbox_start: usize, out: &mut Vec<u8>) {
        let start = out.len();
        if start > outbox_start {
            out.push(b',');
        }
        if self.write_action(action, out).is_none() {
            out.truncate(start);
        }
    }

    fn write_action(&mut self, action: Action, out: &mut Vec<u8>) -> Option<()> {
        match action {
            // `send_before` is ignored, because a send takes no time in the simulator.
            Action::Send {
                request, worker, ..
            } => {
                let name = self.requests.begin_attempt(request)?;
                write_json(out, &("try", name, self.workers.name(worker), 0));
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let name = self.requests.name(request)?;
                let retry_after_us = retry_after.map_or(0, |delay| delay.0);
                write_json(out, &("push-back", name, retry_after_us));
                self.requests.end(request);
            }
            Action::Fail(request) => {
                let name = self.requests.name(request)?;
                write_json(out, &("lose", name));
                self.requests.end(request);
            }
            Action::Cancel { request, attempt } => {
                let name = self.requests.name(request)?;
                write_json(out, &("retract", name, attempt));
            }
            Action::Probe(worker) => {
                write_json(out, &("health-check", self.workers.name(worker)));
            }
            Action::SetTimer { at, timer } => write_json(out, &("arm", at.0, timer.0)),
            Action::WatchWorkers => write_json(out, &("observe", true)),
        }
        Some(())
    }
}

/// Appends a value as JSON.
///
/// # Panics
/// Never, since writing JSON to memory cannot fail.
pub fn write_json<T: Serialize>(out: &mut Vec<u8>, value: &T) {
    serde_json::to_writer(out, value).expect("writing JSON to memory cannot fail");
}

/// Converts the code of an outcome. An unknown code is treated as a failure, after which the job may have run.
fn outcome(code: u32) -> Outcome {
    match code {
        0 => Outcome::Served,
        254 => Outcome::Rejected,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        _ => Outcome::Failed,
    }
}
