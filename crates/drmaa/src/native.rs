//! The native specification, and the contact string: `name=value` words that say what DRMAA 1.0 has no attribute for.

use crate::errno::{Errno, Failure, Result};
use std::time::Duration;

/// What a native specification says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Native {
    /// The class, where the job category does not name it.
    pub class: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// The submission key.
    pub key: Option<String>,
    /// How long the end is waited for.
    pub deadline: Option<Duration>,
    /// The slots that a job takes.
    pub slots: Option<f64>,
    /// How many members of a bulk may be with the decisions at a time.
    pub max_parallel: Option<u32>,
}

impl Native {
    /// Reads a specification.
    ///
    /// # Errors
    /// Names the word.
    pub fn read(text: &str) -> Result<Self> {
        let mut native = Native::default();
        for word in text.split_ascii_whitespace() {
            let wrong = |what: &str| {
                let words = format!("'{word}': {what}");
                Failure::new(Errno::InvalidAttributeFormat, words)
            };
            let Some((name, value)) = word.split_once('=').filter(|(_, v)| !v.is_empty()) else {
                return Err(wrong("want name=value"));
            };
            match name {
                "class" => native.class = Some(value.to_owned()),
                "tenant" => native.tenant = Some(value.to_owned()),
                "key" => native.key = Some(value.to_owned()),
                "deadline" => {
                    let span = span(value).filter(|span| !span.is_zero());
                    native.deadline = Some(span.ok_or_else(|| wrong("want a span, as in 20s"))?);
                }
                "slots" => {
                    let slots = value
                        .parse()
                        .ok()
                        .filter(|n: &f64| n.is_finite() && *n >= 0.0);
                    native.slots = Some(slots.ok_or_else(|| wrong("want a number"))?);
                }
                "max-parallel" => {
                    let most = value.parse().ok().filter(|n| *n > 0);
                    native.max_parallel = Some(most.ok_or_else(|| wrong("want 1 or more"))?);
                }
                _ => {
                    return Err(wrong(
                        "known: class, tenant, key, deadline, slots, max-parallel",
                    ))
                }
            }
        }
        Ok(native)
    }

    /// The same, with another's words where this one is silent.
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

fn span(text: &str) -> Option<Duration> {
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

/// Reads a contact string: where the node's front listens, and the native specification that counts for every job
/// where its own says nothing else.
///
/// # Errors
/// Names what is wrong.
pub fn contact(text: &str) -> Result<(String, Native)> {
    let text = text.trim();
    let (node, defaults) = text.split_once(char::is_whitespace).unwrap_or((text, ""));
    let port = node.rsplit_once(':').filter(|(host, _)| !host.is_empty());
    if port.is_none_or(|(_, port)| port.parse::<u16>().is_err()) {
        let words = format!("'{node}' is no host:port");
        return Err(Failure::new(Errno::InvalidContactString, words));
    }
    let defaults = Native::read(defaults);
    let defaults = defaults.map_err(|e| Failure::new(Errno::InvalidContactString, e.words))?;
    Ok((node.to_owned(), defaults))
}

#[cfg(test)]
mod tests;
