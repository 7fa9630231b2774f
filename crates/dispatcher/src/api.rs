//! The whole interface of the library: settings, events and actions. No decision is taken here.

use std::fmt;
use std::ops::{Add, Sub};

/// Microseconds: a moment of the caller's clock, or a span of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    /// This span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span of so many seconds; negative and non-finite values give zero.
    pub fn from_secs(secs: f64) -> Self {
        Micros((secs * 1e6) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, span: Micros) -> Micros {
        Micros(self.0.saturating_add(span.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// A worker, the same at every restart of its process and at every dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// One client try; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u32);

/// Position of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantId(pub u32);

/// A zone of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// A kind of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u32);

/// A small group of workers that share which keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u32);

/// The workers that discard repeats of a keyed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What a repeated execution of a job does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Harmless.
    #[default]
    Safe,
    /// Discarded within the group, for so long after the first send that may have run.
    Keyed(Group, Micros),
    /// Never allowed.
    Unsafe,
}

/// A class of jobs.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// What repeating does.
    pub effect: Effect,
    /// The kind of machine that alone runs it, if any.
    pub kind: Option<KindId>,
    /// An answer within this (plus `stretch` times the job's own work) has its full worth.
    pub aim: Micros,
    /// Multiple of the job's own work that is added to the aim.
    pub stretch: f64,
    /// The longest that a client waits.
    pub deadline: Micros,
}

/// A tenant and what it may ask for.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Jobs a second within its share, over all dispatchers; none where not told.
    pub quota: Option<f64>,
    /// Its part of the service.
    pub share: f64,
}

/// How load reports reach a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reporting {
    /// Not at all.
    #[default]
    Never,
    /// With each outcome and probe result.
    Carried,
    /// With probe results only.
    Probed,
}

/// What a deployment permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts for one request.
    pub attempts: u32,
    /// Whether two attempts of one request may be out at once.
    pub second_copies: bool,
    /// Whether workers may be probed.
    pub probes: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// The longest wait that clients honour; none where refusals carry no time.
    pub max_retry_after: Option<Micros>,
}

impl Default for Limits {
    fn default() -> Self {
        let max_retry_after = Some(Micros(2_000_000));
        Limits {
            attempts: 3,
            second_copies: false,
            probes: false,
            cancel: false,
            max_retry_after,
        }
    }
}

/// The figures of the rules about cold workers and the list.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A worker starts with no less than this part of its capacity ...
    pub cold_from: f64,
    /// ... and has all of it after this.
    pub warm_up: Micros,
    /// A cold worker falls over when sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... for so long.
    pub tip_after: Micros,
    /// Where the list must be asked for: a dispatcher without a watch asks at least this often.
    pub ask_within: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            cold_from: 0.1,
            warm_up: Micros(30_000_000),
            overload_factor: 2.0,
            tip_after: Micros(1_000_000),
            ask_within: Micros(10_000_000),
        }
    }
}

/// What a dispatcher is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many dispatchers share the workers; at least 1.
    pub dispatchers: u32,
    /// The place of this dispatcher among them, from 0.
    pub index: u32,
    /// The zone of this dispatcher.
    pub zone: ZoneId,
    /// The classes of jobs; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// How load reports arrive.
    pub reporting: Reporting,
    /// Whether workers tell that a job has started.
    pub tells_start: bool,
    /// Whether the list must be asked for.
    pub ask_list: bool,
    /// What the deployment permits.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
}

/// Settings that no dispatcher can work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Tells what is wrong with these settings, if anything.
    pub fn check(&self) -> Result<(), SettingsError> {
        let err = |what: &str| Err(SettingsError(what.to_owned()));
        let bad = |x: f64| !x.is_finite() || x < 0.0;
        if self.dispatchers == 0 {
            return err("there must be at least one dispatcher");
        }
        if self.classes.is_empty() {
            return err("there must be at least one class");
        }
        if self.classes.iter().any(|c| bad(c.stretch)) {
            return err("a class has a negative or non-finite stretch");
        }
        if self
            .tenants
            .iter()
            .any(|t| bad(t.share) || t.quota.is_some_and(bad))
        {
            return err("a tenant has a negative or non-finite share or quota");
        }
        if bad(self.rules.cold_from)
            || self.rules.cold_from > 1.0
            || bad(self.rules.overload_factor)
        {
            return err("cold_from must be between 0 and 1 and overload_factor not negative");
        }
        if self.limits.attempts == 0 {
            return err("at least one attempt must be allowed");
        }
        Ok(())
    }
}

/// A worker's load report. Values that make no sense are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
    /// The jobs that it holds at this moment, running and waiting, as the dispatchers count them together.
    pub held: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// Rejected unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// Not connected; it never ran.
    ConnectFailed,
    /// Connection lost; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It takes jobs.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is withdrawn.
    Gone,
}

/// A line of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// The worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: State,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell, if it has one.
    pub cell: Option<CellId>,
    /// When its process last started; none if long ago.
    pub started: Option<Micros>,
}

impl Entry {
    /// Whether both are of one such group, so that one discards repeats of what the other has seen.
    pub fn shares(&self, group: Group, other: &Entry) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == other.zone,
            Group::Cell => self.cell.is_some() && self.cell == other.cell,
        }
    }
}

/// How much of the list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list as this dispatcher last had it; may be old.
    Cached,
    /// The complete list.
    Full,
    /// Changed lines.
    Delta,
    /// A call failed or a watch broke; nothing has changed.
    Failed,
}

/// A job that a client has handed over.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// This try.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// How long the client goes on waiting.
    pub time_left: Micros,
    /// Work expected, at speed 1, where told.
    pub cost_hint: Option<Micros>,
    /// Slots it takes; 0 counts as 1.
    pub slots: f64,
    /// Memory it takes.
    pub memory: f64,
}

/// The end of an attempt; exactly one for each send.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// How.
    pub outcome: Outcome,
    /// Whether the request is over, by this outcome or earlier.
    pub closed: bool,
    /// Time since the send.
    pub latency: Micros,
    /// The worker's report, if one came along.
    pub report: Option<Report>,
}

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client has handed over a job.
    Job(Job),
    /// The list, or part of it.
    List(ListKind, Vec<Entry>),
    /// An attempt has begun to run.
    Started(RequestId, u32),
    /// The answer of a streamed job has begun: no time-out runs any longer.
    Streaming(RequestId, u32),
    /// An attempt has ended.
    Ended(Ended),
    /// The client has left.
    Gone(RequestId),
    /// A probe has ended.
    Probed(WorkerId, Outcome, Option<Report>),
    /// A timer set by [`Action::Timer`] has expired.
    Timer(u64),
}

/// Something that the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; where a moment is given, its last byte has to leave before that. The attempts of a request are
    /// numbered from 0 in the order of their sends.
    Send(RequestId, WorkerId, Option<Micros>),
    /// Final: refuse, trying again does no harm; perhaps with the time to come back after.
    Refuse(RequestId, Option<Micros>),
    /// Final: failed, nothing is promised.
    Fail(RequestId),
    /// Give up waiting for an attempt.
    Cancel(RequestId, u32),
    /// Probe a worker.
    Probe(WorkerId),
    /// Hand back [`Event::Timer`] with this number at this moment.
    Timer(Micros, u64),
    /// Watch the list for changes.
    Watch,
}
