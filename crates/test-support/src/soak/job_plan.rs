//! What happens to each job of a soak test, as a function of its transaction id: its class and what a worker does with
//! it. Every attempt of a job meets the same behaviour.

use crate::{JobBehaviour, ReceivedJob};
use std::time::Duration;

/// The class of a job, by its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobClass {
    /// May run more than once.
    Safe,
    /// Carries a key, by which the workers of one cell recognise a repeat.
    Keyed,
    /// Must not run more than once.
    Unsafe,
}

impl JobClass {
    /// The name of the class in the settings of a test environment.
    pub fn name(self) -> &'static str {
        match self {
            JobClass::Safe => "preview",
            JobClass::Keyed => "sheet-publish",
            JobClass::Unsafe => "print",
        }
    }
}

/// Returns the class of the job with this number.
pub fn job_class(number: usize) -> JobClass {
    match number % 5 {
        0 => JobClass::Unsafe,
        1 | 2 => JobClass::Keyed,
        _ => JobClass::Safe,
    }
}

/// Returns what a worker does with a job: most run for a short time, some for up to 3.6 s, and a few are rejected,
/// handed back, failed, reset or never answered.
pub fn planned_behaviour(job: &ReceivedJob) -> JobBehaviour {
    let hash = hash(&job.txn);
    let millis = |limit: u64| Duration::from_millis((hash >> 16) % limit);
    match hash % 200 {
        0..=159 => JobBehaviour::Serve(millis(250), result(&job.target)),
        160..=177 => {
            let long = Duration::from_secs(1) + millis(2600);
            JobBehaviour::Serve(long, result(&job.target))
        }
        178..=184 => JobBehaviour::Reset(millis(100)),
        185..=189 => JobBehaviour::Fail(millis(100)),
        190..=194 => JobBehaviour::Reject,
        195..=198 => JobBehaviour::HandBack(millis(60)),
        _ => JobBehaviour::Hang,
    }
}

/// The result that a worker gives for this request target.
pub(super) fn result(target: &str) -> String {
    format!("made {target}")
}

/// FNV-1a.
fn hash(text: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    // The low bits of FNV-1a depend on the last bytes only.
    hash ^ hash >> 29
}
