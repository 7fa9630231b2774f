//! The decisions of a dispatcher that pushes jobs to workers: rate limiting, admission, worker
//! selection, retries, slow start and probing.
//!
//! A [`Dispatcher`] does no input or output and reads no clock: the caller passes in events with the
//! time at which they happened and carries out the actions that it returns. Random numbers come from
//! the seed alone, so the same events give the same actions.
//!
//! ```
//! use marbledeck_dispatcher::*;
//!
//! let settings = Settings { dispatchers: 1, classes: vec![Class::default()], ..Settings::default() };
//! let mut dispatcher = Dispatcher::new(settings, 42, Micros(0)).expect("valid settings");
//! let mut actions = Vec::new();
//! let worker = WorkerEntry { worker: WorkerId(7), ..WorkerEntry::default() };
//! let workers = vec![worker];
//! dispatcher.handle(Micros(0), Event::WorkerList { kind: WorkerListKind::Full, workers }, &mut actions);
//! actions.clear();
//! let job = Job { id: RequestId(1), time_left: Micros(1_000_000), ..Job::default() };
//! dispatcher.handle(Micros(5_000), Event::JobReceived(job), &mut actions);
//! assert!(matches!(actions[0], Action::Send { worker: WorkerId(7), .. }));
//! ```
#![forbid(unsafe_code)]

mod action;
mod dispatcher;
mod estimates;
mod event;
mod fleet;
mod ids;
mod policy;
mod request;
mod settings;
mod time;
mod token_bucket;
mod worker;
mod worker_list;

pub use action::Action;
pub use dispatcher::Dispatcher;
pub use event::{AttemptEnded, Event, Job, LoadReport, Outcome};
pub use ids::{CellId, ClassId, KindId, RequestId, TenantId, TimerId, WorkerId, ZoneId};
pub use settings::{
    Class, DeduplicationScope, Idempotency, Limits, LoadReporting, Rules, Settings, SettingsError,
    Tenant,
};
pub use time::Micros;
pub use worker_list::{WorkerEntry, WorkerListKind, WorkerState};
