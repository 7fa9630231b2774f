//! The decisions of a dispatcher that pushes jobs to workers.
//!
//! A [`Dispatcher`] does no input or output: the caller hands it events with the time at which they
//! happened and carries out the actions it answers with.
//!
//! ```
//! use marbledeck_dispatcher::*;
//!
//! let settings = Settings { dispatchers: 1, classes: vec![Class::default()], ..Settings::default() };
//! let mut dispatcher = Dispatcher::new(settings, 42, Micros(0)).expect("sound settings");
//! let mut actions = Vec::new();
//! let worker = Entry { worker: WorkerId(7), ..Entry::default() };
//! dispatcher.handle(Micros(0), Event::List(ListKind::Full, vec![worker]), &mut actions);
//! actions.clear();
//! let job = Job { id: RequestId(1), time_left: Micros(1_000_000), ..Job::default() };
//! dispatcher.handle(Micros(5_000), Event::Job(job), &mut actions);
//! assert!(matches!(actions[0], Action::Send(_, WorkerId(7), _)));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
mod decide;
mod state;

pub use api::*;
pub use decide::Dispatcher;
