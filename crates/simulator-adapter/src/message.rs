//! Types for the messages of the simulator.

use marbledeck_platform_settings::{PlatformSettings, RawLoadReport};
use serde::Deserialize;
use std::borrow::Cow;

/// A string that is borrowed from the input line unless it contains escape sequences.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub struct Text<'a>(#[serde(borrow)] pub Cow<'a, str>);

/// One line of input.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Batch<'a> {
    /// The simulated time, in microseconds.
    pub wall_us: u64,
    /// The messages of each instance.
    #[serde(borrow)]
    pub schedulers: Vec<InstanceMessages<'a>>,
}

/// The messages for one instance.
#[derive(Debug, Deserialize)]
pub struct InstanceMessages<'a> {
    /// The name of the instance.
    #[serde(borrow)]
    pub who: Text<'a>,
    /// The messages, in order of time.
    #[serde(borrow)]
    pub msgs: Vec<Message<'a>>,
}

/// One message.
#[derive(Debug)]
pub enum Message<'a> {
    /// The start of an instance.
    Attach {
        seed: u64,
        settings: Box<PlatformSettings>,
    },
    /// The list of workers, or changes to it.
    Topology {
        /// Whether the list is cached, complete, a delta, or a failed poll.
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
    /// The response to a streamed job has started.
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
    /// An unknown message, which is ignored.
    Unknown,
}

/// A client's request.
#[derive(Debug)]
pub struct Order<'a> {
    /// The simulator's id of the request.
    pub txn: Text<'a>,
    /// Position of its class in the settings.
    pub class: u32,
    /// Position of its tenant in the settings.
    pub tenant: u32,
    /// How long the client waits, in microseconds.
    pub time_left_us: i64,
    /// Expected run time, in microseconds.
    pub cost_guess_us: Option<f64>,
    pub slots: f64,
    pub memory: f64,
}

/// The end of an attempt.
#[derive(Debug)]
pub struct Completed<'a> {
    /// The simulator's id of the request.
    pub txn: Text<'a>,
    pub outcome_code: u32,
    /// Whether the request ends with this attempt.
    pub request_closed: bool,
    pub worker: Text<'a>,
    pub attempt: u32,
    /// Time from send to end, in microseconds.
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
    /// When its process last started, in microseconds; 0 or `None` if long ago.
    pub start_time_us: Option<u64>,
    pub cell: Option<u32>,
}
