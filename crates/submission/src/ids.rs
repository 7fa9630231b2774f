//! Ids of jobs and arrays: compact keys inside the server, text such as `n0-7-12` on the wire.
//!
//! Every start of a node has a prefix of its own, so ids of two starts never collide. Jobs that are taken over from
//! another process keep the id with that process's prefix.

#[cfg(test)]
mod tests;

use std::fmt;

/// The number of low bits of a key that hold the job counter; the higher bits hold the index of the prefix.
const COUNTER_BITS: u32 = 40;

/// Identifies a job or an array within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(u64);

/// Identifies an array of jobs; arrays and jobs are numbered together.
pub type ArrayKey = JobKey;

/// Allocates keys and converts between keys and ids.
#[derive(Debug, Default)]
pub struct IdRegistry {
    /// The known prefixes; the first is this process's own.
    prefixes: Vec<String>,
    next_counter: u64,
}

impl IdRegistry {
    /// A registry that allocates ids with this prefix.
    pub fn new(prefix: String) -> Self {
        IdRegistry {
            prefixes: vec![prefix],
            next_counter: 0,
        }
    }

    /// Allocates a key that was never used.
    pub fn allocate(&mut self) -> JobKey {
        let key = JobKey(self.next_counter);
        self.next_counter += 1;
        key
    }

    /// Releases the most recently allocated key for reuse; its id must not have been sent to a client.
    pub fn release(&mut self, key: JobKey) {
        if key.0 + 1 == self.next_counter {
            self.next_counter = key.0;
        }
    }

    /// The id of a key, for display.
    pub fn id(&self, key: JobKey) -> JobId<'_> {
        let prefix = self.prefixes.get((key.0 >> COUNTER_BITS) as usize);
        JobId {
            prefix: prefix.map_or("", String::as_str),
            counter: key.0 & ((1 << COUNTER_BITS) - 1),
        }
    }

    /// The key of an id, if its prefix is known and it is in canonical form.
    pub fn parse(&self, id: &str) -> Option<JobKey> {
        let (prefix, counter) = id.rsplit_once('-')?;
        let prefix_index = self.prefixes.iter().position(|known| known == prefix)?;
        // Only the canonical form is valid, so that a job has exactly one id.
        let canonical = counter == "0" || !counter.starts_with('0') && !counter.starts_with('+');
        let counter: u64 = counter
            .parse()
            .ok()
            .filter(|number| canonical && *number < 1 << COUNTER_BITS)?;
        Some(JobKey((prefix_index as u64) << COUNTER_BITS | counter))
    }

    /// Like [`IdRegistry::parse`], but also registers a prefix that another process has used.
    pub fn parse_or_register(&mut self, id: &str) -> Option<JobKey> {
        let (prefix, _) = id.rsplit_once('-')?;
        if !self.prefixes.iter().any(|known| known == prefix) {
            if self.prefixes.len() >> (64 - COUNTER_BITS) > 0 {
                return None;
            }
            self.prefixes.push(prefix.to_owned());
        }
        let key = self.parse(id)?;
        // A process that was started with the same seed has the same prefix; its ids must not be allocated again.
        if key.0 >> COUNTER_BITS == 0 {
            self.next_counter = self.next_counter.max(key.0 + 1);
        }
        Some(key)
    }
}

/// The textual id of a job or an array.
pub struct JobId<'a> {
    prefix: &'a str,
    counter: u64,
}

impl fmt::Display for JobId<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}-{}", self.prefix, self.counter)
    }
}
