//! The native specification and the contact string. Both contain `name=value` settings for which DRMAA 1.0 has no
//! attribute.

use crate::errno::{Errno, Failure, Result};
use std::time::Duration;

/// A native specification (`drmaa_native_specification`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NativeSpecification {
    /// The job class, used if `drmaa_job_category` is not set.
    pub class: Option<String>,
    /// The tenant that the job is accounted to.
    pub tenant: Option<String>,
    /// The submission key.
    pub key: Option<String>,
    /// The time after submission by which the job must end.
    pub deadline: Option<Duration>,
    /// The number of slots that a job occupies.
    pub slots: Option<f64>,
    /// Maximum number of jobs of a bulk job that run at the same time.
    pub max_parallel: Option<u32>,
}

impl NativeSpecification {
    /// Parses a native specification.
    ///
    /// # Errors
    /// `InvalidAttributeFormat`; the message names the invalid setting.
    pub fn parse(text: &str) -> Result<Self> {
        let mut native = NativeSpecification::default();
        for setting in text.split_ascii_whitespace() {
            native.parse_setting(setting).map_err(|expected| {
                let message = format!("invalid setting '{setting}': expected {expected}");
                Failure::new(Errno::InvalidAttributeFormat, message)
            })?;
        }
        Ok(native)
    }

    /// Parses one `name=value` setting. The error describes what was expected.
    fn parse_setting(&mut self, setting: &str) -> std::result::Result<(), &'static str> {
        let Some((name, value)) = setting
            .split_once('=')
            .filter(|(_, value)| !value.is_empty())
        else {
            return Err("name=value");
        };
        match name {
            "class" => self.class = Some(value.to_owned()),
            "tenant" => self.tenant = Some(value.to_owned()),
            "key" => self.key = Some(value.to_owned()),
            "deadline" => {
                let deadline = parse_duration(value).filter(|duration| !duration.is_zero());
                self.deadline = Some(deadline.ok_or("a duration greater than zero, such as 20s")?);
            }
            "slots" => {
                let slots = value.parse().ok();
                let slots = slots.filter(|slots: &f64| slots.is_finite() && *slots >= 0.0);
                self.slots = Some(slots.ok_or("a number that is not negative")?);
            }
            "max-parallel" => {
                let max_parallel = value.parse().ok().filter(|count| *count > 0);
                self.max_parallel = Some(max_parallel.ok_or("an integer of at least 1")?);
            }
            _ => return Err("one of the names class, tenant, key, deadline, slots, max-parallel"),
        }
        Ok(())
    }

    /// Fills in the missing settings from `defaults`.
    pub fn with_defaults(self, defaults: &NativeSpecification) -> NativeSpecification {
        NativeSpecification {
            class: self.class.or_else(|| defaults.class.clone()),
            tenant: self.tenant.or_else(|| defaults.tenant.clone()),
            key: self.key.or_else(|| defaults.key.clone()),
            deadline: self.deadline.or(defaults.deadline),
            slots: self.slots.or(defaults.slots),
            max_parallel: self.max_parallel.or(defaults.max_parallel),
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
    /// Default settings for jobs whose native specification omits them.
    pub defaults: NativeSpecification,
}

impl ContactString {
    /// Parses a contact string.
    ///
    /// # Errors
    /// `InvalidContactString`; the message names the invalid part.
    pub fn parse(text: &str) -> Result<Self> {
        let text = text.trim();
        let (address, defaults) = text.split_once(char::is_whitespace).unwrap_or((text, ""));
        let port = address
            .rsplit_once(':')
            .filter(|(host, _)| !host.is_empty());
        if port.is_none_or(|(_, port)| port.parse::<u16>().is_err()) {
            let message = format!("invalid contact address '{address}': expected host:port");
            return Err(Failure::new(Errno::InvalidContactString, message));
        }
        let defaults = NativeSpecification::parse(defaults)
            .map_err(|failure| Failure::new(Errno::InvalidContactString, failure.message))?;
        Ok(ContactString {
            address: address.to_owned(),
            defaults,
        })
    }
}

#[cfg(test)]
mod tests;
