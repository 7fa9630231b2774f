//! The simulator's messages as types: batches in, replies out. Nothing is decided here.

use marbledeck_platform_settings::{PlatformSettings, RawLoadReport};
use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::borrow::Cow;
use std::fmt;

/// Text that is borrowed from the line where it holds no escapes.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub struct Word<'a>(#[serde(borrow)] pub Cow<'a, str>);

/// One line of input.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Batch<'a> {
    pub wall_us: u64,
    #[serde(borrow)]
    pub schedulers: Vec<Group<'a>>,
}

/// The messages for one instance.
#[derive(Debug, Deserialize)]
pub struct Group<'a> {
    #[serde(borrow)]
    pub who: Word<'a>,
    #[serde(borrow)]
    pub msgs: Vec<Msg<'a>>,
}

/// One message.
#[derive(Debug)]
pub enum Msg<'a> {
    Attach(u64, Box<PlatformSettings>),
    Topology(Word<'a>, Vec<Line<'a>>),
    Order(Order<'a>),
    StatusNote {
        txn: Word<'a>,
        go: u32,
        topic: u32,
    },
    Lapsed(Word<'a>),
    Killed,
    AckFirst {
        txn: Word<'a>,
        go: u32,
    },
    HealthResult {
        worker: Word<'a>,
        outcome: u32,
        feedback: Option<RawLoadReport>,
    },
    Wakeup(u64),
    Completed(Completed<'a>),
    Unknown,
}

#[derive(Debug)]
pub struct Order<'a> {
    pub txn: Word<'a>,
    pub profile: u32,
    pub party: u32,
    pub time_left_us: i64,
    pub cost_guess_us: Option<f64>,
    pub cores_needed: f64,
    pub memory: f64,
}

#[derive(Debug)]
pub struct Completed<'a> {
    pub txn: Word<'a>,
    pub outcome: u32,
    pub done: bool,
    pub worker: Word<'a>,
    pub go: u32,
    pub rtt_us: u64,
    pub feedback: Option<RawLoadReport>,
}

/// A line of the list.
#[derive(Debug)]
pub struct Line<'a> {
    pub state: Word<'a>,
    pub locality: u32,
    pub kind: u32,
    pub worker: Word<'a>,
    pub start_time_us: Option<u64>,
    pub block: Option<u32>,
}

/// The next value of a positional message: `None` where it is null or left out.
fn opt<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<Option<T>, A::Error> {
    Ok(seq.next_element::<Option<T>>()?.flatten())
}

/// The next value of a positional message, which must be there.
fn req<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    name: &str,
) -> Result<T, A::Error> {
    opt(seq)?.ok_or_else(|| A::Error::custom(format_args!("missing value '{name}'")))
}

/// Passes over a value that is not used.
fn skip<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<(), A::Error> {
    seq.next_element::<IgnoredAny>().map(|_| ())
}

struct MsgVisitor;

impl<'de> Visitor<'de> for MsgVisitor {
    type Value = Msg<'de>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a message: an array that starts with its name")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Msg<'de>, A::Error> {
        let s = &mut seq;
        let name: Word = req(s, "message name")?;
        let msg = match &*name.0 {
            "attach" => Msg::Attach(req(s, "nonce64")?, req(s, "facts")?),
            "topology" => {
                let how = req(s, "how")?;
                skip(s)?;
                Msg::Topology(how, opt(s)?.unwrap_or_default())
            }
            "order" => {
                let (txn, profile, party) =
                    (req(s, "txn")?, req(s, "profile")?, opt(s)?.unwrap_or(0));
                skip(s)?;
                Msg::Order(Order {
                    txn,
                    profile,
                    party,
                    time_left_us: req(s, "time-left-us")?,
                    cost_guess_us: opt(s)?,
                    cores_needed: opt(s)?.unwrap_or(0.0),
                    memory: opt(s)?.unwrap_or(0.0),
                })
            }
            "status-note" => {
                let (txn, go) = (req(s, "txn")?, req(s, "go")?);
                skip(s)?;
                Msg::StatusNote {
                    txn,
                    go,
                    topic: req(s, "topic")?,
                }
            }
            "lapsed" => Msg::Lapsed(req(s, "txn")?),
            "killed" => Msg::Killed,
            "ack-first" => Msg::AckFirst {
                txn: req(s, "txn")?,
                go: req(s, "go")?,
            },
            "health-result" => {
                let (worker, outcome) = (req(s, "worker")?, req(s, "outcome")?);
                skip(s)?;
                Msg::HealthResult {
                    worker,
                    outcome,
                    feedback: opt(s)?,
                }
            }
            "wakeup" => Msg::Wakeup(req(s, "ref")?),
            "completed" => {
                let (txn, outcome, done) =
                    (req(s, "txn")?, req(s, "outcome")?, opt(s)?.unwrap_or(false));
                let (worker, go) = (req(s, "worker")?, req(s, "go")?);
                skip(s)?;
                let rtt_us = opt(s)?.unwrap_or(0);
                Msg::Completed(Completed {
                    txn,
                    outcome,
                    done,
                    worker,
                    go,
                    rtt_us,
                    feedback: opt(s)?,
                })
            }
            _ => Msg::Unknown,
        };
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(msg)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Msg<'a> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_seq(MsgVisitor)
    }
}

struct LineVisitor;

impl<'de> Visitor<'de> for LineVisitor {
    type Value = Line<'de>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a line of the list: an array")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Line<'de>, A::Error> {
        let s = &mut seq;
        let (state, locality) = (req(s, "stage-state")?, opt(s)?.unwrap_or(0));
        skip(s)?;
        let kind = opt(s)?.unwrap_or(0);
        let (worker, start_time_us, block) = (req(s, "worker")?, opt(s)?, opt(s)?);
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Line {
            state,
            locality,
            kind,
            worker,
            start_time_us,
            block,
        })
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Line<'a> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_seq(LineVisitor)
    }
}
