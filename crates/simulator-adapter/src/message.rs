//! The simulator's messages as types.

use marbledeck_platform_settings::{PlatformSettings, RawLoadReport};
use serde::Deserialize;
use std::borrow::Cow;

/// Text that is borrowed from the line where it holds no escapes.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub struct Text<'a>(#[serde(borrow)] pub Cow<'a, str>);

/// One line of input.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Batch<'a> {
    /// The clock, in microseconds.
    pub wall_us: u64,
    /// The messages, by instance.
    #[serde(borrow)]
    pub schedulers: Vec<InstanceMessages<'a>>,
}

/// The messages for one instance.
#[derive(Debug, Deserialize)]
pub struct InstanceMessages<'a> {
    /// The instance.
    #[serde(borrow)]
    pub who: Text<'a>,
    /// What has happened, in order.
    #[serde(borrow)]
    pub msgs: Vec<Message<'a>>,
}

/// One message.
#[derive(Debug)]
pub enum Message<'a> {
    /// A newly started instance.
    Attach {
        seed: u64,
        settings: Box<PlatformSettings>,
    },
    /// The list of workers, or part of it.
    Topology {
        /// How much of it.
        kind: Text<'a>,
        entries: Vec<ListEntry<'a>>,
    },
    /// A client's request.
    Order(Order<'a>),
    /// Progress of an attempt.
    StatusNote {
        txn: Text<'a>,
        attempt: u32,
        topic: u32,
    },
    /// The client has left.
    Lapsed(Text<'a>),
    /// The instance was killed.
    Killed,
    /// The answer of a streamed job has begun.
    AckFirst { txn: Text<'a>, attempt: u32 },
    /// The end of a probe.
    HealthResult {
        worker: Text<'a>,
        outcome_code: u32,
        report: Option<RawLoadReport>,
    },
    /// A timer has expired.
    Wakeup(u64),
    /// The end of an attempt.
    Completed(Completed<'a>),
    /// A message that is not known: it does nothing.
    Unknown,
}

/// A client's request.
#[derive(Debug)]
pub struct Order<'a> {
    /// The request's id on the wire.
    pub txn: Text<'a>,
    /// Position of its class in the settings.
    pub class: u32,
    /// Position of its tenant in the settings.
    pub tenant: u32,
    /// How long the client waits, in microseconds.
    pub time_left_us: i64,
    /// Expected work, in microseconds.
    pub cost_guess_us: Option<f64>,
    pub slots: f64,
    pub memory: f64,
}

/// The end of an attempt.
#[derive(Debug)]
pub struct Completed<'a> {
    /// The request's id on the wire.
    pub txn: Text<'a>,
    pub outcome_code: u32,
    /// Whether the request is over.
    pub request_closed: bool,
    pub worker: Text<'a>,
    pub attempt: u32,
    /// Time since the send, in microseconds.
    pub latency_us: u64,
    pub report: Option<RawLoadReport>,
}

/// An entry of the list of workers.
#[derive(Debug)]
pub struct ListEntry<'a> {
    pub state: Text<'a>,
    /// Position of its zone in the settings.
    pub zone: u32,
    /// Position of its kind in the settings.
    pub kind: u32,
    pub worker: Text<'a>,
    /// When its process last started, in microseconds; 0 or none if long ago.
    pub start_time_us: Option<u64>,
    pub cell: Option<u32>,
}
