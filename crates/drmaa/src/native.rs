//! The native specification and the contact string: `name=value` words for what DRMAA 1.0 has no attribute for.

use crate::errno::{Errno, Failure, Result};
use std::time::Duration;

/// A native specification.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Native {
    /// The class, where the job category does not name it.
    pub class: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// The submission key.
    pub key: Option<String>,
    /// The time from submission within which the job is to end.
    pub deadline: Option<Duration>,
    /// The slots that a job takes.
    pub slots: Option<f64>,
    /// How many jobs of a bulk may run at a time.
    pub max_parallel: Option<u32>,
}

impl Native {
    /// Parses a specification.
    ///
    /// # Errors
    /// `InvalidAttributeFormat`; the message names the word that is wrong.
    pub fn read(text: &str) -> Result<Self> {
        let mut native = Native::default();
        for word in text.split_ascii_whitespace() {
            native.read_word(word).map_err(|expected| {
                let message = format!("'{word}': {expected}");
                Failure::new(Errno::InvalidAttributeFormat, message)
            })?;
        }
        Ok(native)
    }

    /// Parses one word; fails with what was expected in its place.
    fn read_word(&mut self, word: &str) -> std::result::Result<(), &'static str> {
        let Some((name, value)) = word.split_once('=').filter(|(_, value)| !value.is_empty())
        else {
            return Err("want name=value");
        };
        match name {
            "class" => self.class = Some(value.to_owned()),
            "tenant" => self.tenant = Some(value.to_owned()),
            "key" => self.key = Some(value.to_owned()),
            "deadline" => {
                let deadline = parse_duration(value).filter(|duration| !duration.is_zero());
                self.deadline = Some(deadline.ok_or("want a span, as in 20s")?);
            }
            "slots" => {
                let slots = value.parse().ok();
                let slots = slots.filter(|slots: &f64| slots.is_finite() && *slots >= 0.0);
                self.slots = Some(slots.ok_or("want a number")?);
            }
            "max-parallel" => {
                let max_parallel = value.parse().ok().filter(|count| *count > 0);
                self.max_parallel = Some(max_parallel.ok_or("want 1 or more")?);
            }
            _ => return Err("known: class, tenant, key, deadline, slots, max-parallel"),
        }
        Ok(())
    }

    /// This specification, with the values of the other where this one has none.
    pub fn or(self, other: &Native) -> Native {
        Native {
            class: self.class.or_else(|| other.class.clone()),
            tenant: self.tenant.or_else(|| other.tenant.clone()),
            key: self.key.or_else(|| other.key.clone()),
            deadline: self.deadline.or(other.deadline),
            slots: self.slots.or(other.slots),
            max_parallel: self.max_parallel.or(other.max_parallel),
        }
    }
}

/// Parses a duration such as `20s`, `1500ms` or `1.5h`; a bare number is in seconds.
fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.');
    let (number, unit) = text.split_at(digits.unwrap_or(text.len()));
    let number: f64 = number.parse().ok()?;
    let seconds = match unit {
        "ms" => number / 1e3,
        "s" | "" => number,
        "m" => number * 60.0,
        "h" => number * 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok()
}

/// A contact string, `host:port [name=value ...]`.
#[derive(Clone, Debug, PartialEq)]
pub struct ContactString {
    /// The address of the node's submission interface.
    pub address: String,
    /// The native specification that applies to each job as far as its own has no value.
    pub defaults: Native,
}

impl ContactString {
    /// Parses a contact string.
    ///
    /// # Errors
    /// `InvalidContactString`; the message names the part that is wrong.
    pub fn parse(text: &str) -> Result<Self> {
        let text = text.trim();
        let (address, defaults) = text.split_once(char::is_whitespace).unwrap_or((text, ""));
        let port = address
            .rsplit_once(':')
            .filter(|(host, _)| !host.is_empty());
        if port.is_none_or(|(_, port)| port.parse::<u16>().is_err()) {
            let message = format!("'{address}' is no host:port");
            return Err(Failure::new(Errno::InvalidContactString, message));
        }
        let defaults = Native::read(defaults)
            .map_err(|failure| Failure::new(Errno::InvalidContactString, failure.message))?;
        Ok(ContactString {
            address: address.to_owned(),
            defaults,
        })
    }
}

#[cfg(test)]
mod tests;
