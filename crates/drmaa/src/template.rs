//! Job templates of DRMAA 1.0 (GFD.133), and the requests that they stand for.

use crate::errno::{Errno, Failure, Result};
use crate::native::Native;
use crate::times;
use chrono::Local;
use marbledeck_submission_client::Template as WireTemplate;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The placeholder of the index of a job (GFD.133, `DRMAA_PLACEHOLDER_INCR`).
pub const INDEX_PLACEHOLDER: &str = "$drmaa_incr_ph$";

/// The placeholder of the home directory.
const HOME_PLACEHOLDER: &str = "$drmaa_hd_ph$";

/// The placeholder of the working directory.
const DIRECTORY_PLACEHOLDER: &str = "$drmaa_wd_ph$";

/// The placeholder of the index in the submission protocol.
const WIRE_INDEX_PLACEHOLDER: &str = "${PARAMETRIC_INDEX}";

/// The attributes that hold one value. Only the last one is optional in DRMAA; the other optional ones
/// are not supported.
pub const SCALAR_ATTRIBUTES: [&str; 13] = [
    "drmaa_remote_command",
    "drmaa_js_state",
    "drmaa_wd",
    "drmaa_job_category",
    "drmaa_native_specification",
    "drmaa_block_email",
    "drmaa_start_time",
    "drmaa_job_name",
    "drmaa_input_path",
    "drmaa_output_path",
    "drmaa_error_path",
    "drmaa_join_files",
    "drmaa_deadline_time",
];

/// The attributes that hold a list.
pub const VECTOR_ATTRIBUTES: [&str; 3] = ["drmaa_v_argv", "drmaa_v_env", "drmaa_v_email"];

/// A job template with the attributes that were set so far.
#[derive(Clone, Debug, Default)]
pub struct Template {
    scalars: BTreeMap<&'static str, String>,
    vectors: BTreeMap<&'static str, Vec<String>>,
}

/// The request that a template stands for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobRequest {
    /// The template of the submission protocol.
    pub template: WireTemplate,
    /// How many jobs of a bulk may run at a time.
    pub max_parallel: Option<u32>,
    /// The file for the result of the job; may hold the placeholder of the index.
    pub output_path: Option<String>,
    /// The file for the message of a failure; may hold the placeholder of the index.
    pub error_path: Option<String>,
}

/// The attribute of this name.
fn find_attribute<const N: usize>(names: [&'static str; N], name: &str) -> Result<&'static str> {
    let found = names.into_iter().find(|known| *known == name);
    found.ok_or_else(|| Failure::new(Errno::InvalidArgument, format!("no such attribute: {name}")))
}

/// Parses a path of DRMAA, `[host]:path`. The host must be the machine that the library runs on.
fn parse_path(name: &str, text: &str) -> Result<String> {
    match text.split_once(':') {
        Some(("" | "localhost", path)) if !path.is_empty() => Ok(path.to_owned()),
        Some(_) => {
            let message = format!("{name}: '{text}': want [localhost]:path, on this machine");
            Err(Failure::new(Errno::InvalidAttributeFormat, message))
        }
        None => {
            let message = format!("{name}: '{text}': want [host]:path");
            Err(Failure::new(Errno::InvalidAttributeFormat, message))
        }
    }
}

impl Template {
    /// Sets an attribute.
    ///
    /// # Errors
    /// An attribute that does not exist, or a value that it cannot have.
    pub fn set(&mut self, name: &str, value: &str) -> Result<()> {
        let name = find_attribute(SCALAR_ATTRIBUTES, name)?;
        let check_one_of = |allowed: &[&str]| {
            if allowed.contains(&value) {
                return Ok(());
            }
            let message = format!("{name}: '{value}': want {}", allowed.join(" or "));
            Err(Failure::new(Errno::InvalidAttributeValue, message))
        };
        match name {
            "drmaa_js_state" => check_one_of(&["drmaa_active", "drmaa_hold"])?,
            "drmaa_block_email" => check_one_of(&["0", "1"])?,
            "drmaa_join_files" => check_one_of(&["y", "n"])?,
            "drmaa_start_time" | "drmaa_deadline_time" => drop(times::read(value, Local::now())?),
            "drmaa_native_specification" => drop(Native::read(value)?),
            "drmaa_input_path" | "drmaa_output_path" | "drmaa_error_path" => {
                parse_path(name, value)?;
            }
            "drmaa_wd" if !value.starts_with(['/', '$']) => {
                let message = format!("{name}: '{value}': want an absolute path");
                return Err(Failure::new(Errno::InvalidAttributeFormat, message));
            }
            _ => {}
        }
        self.scalars.insert(name, value.to_owned());
        Ok(())
    }

    /// The value of an attribute.
    ///
    /// # Errors
    /// An attribute that does not exist, or has no value.
    pub fn get(&self, name: &str) -> Result<&str> {
        let name = find_attribute(SCALAR_ATTRIBUTES, name)?;
        let value = self.scalars.get(name).map(String::as_str);
        value
            .ok_or_else(|| Failure::new(Errno::InvalidAttributeValue, format!("{name} is not set")))
    }

    /// Sets an attribute that holds a list.
    ///
    /// # Errors
    /// An attribute that does not exist, or a value that it cannot have.
    pub fn set_vector(&mut self, name: &str, values: Vec<String>) -> Result<()> {
        let name = find_attribute(VECTOR_ATTRIBUTES, name)?;
        if name == "drmaa_v_env" {
            if let Some(value) = values.iter().find(|value| !value.contains('=')) {
                let message = format!("{name}: '{value}': want name=value");
                return Err(Failure::new(Errno::InvalidAttributeFormat, message));
            }
        }
        self.vectors.insert(name, values);
        Ok(())
    }

    /// The list of an attribute.
    ///
    /// # Errors
    /// An attribute that does not exist, or has no value.
    pub fn get_vector(&self, name: &str) -> Result<&[String]> {
        let name = find_attribute(VECTOR_ATTRIBUTES, name)?;
        let values = self.vectors.get(name).map(Vec::as_slice);
        values
            .ok_or_else(|| Failure::new(Errno::InvalidAttributeValue, format!("{name} is not set")))
    }

    /// The directory that relative paths start from.
    fn working_directory(&self) -> Result<PathBuf> {
        match self.scalars.get("drmaa_wd") {
            Some(wd) if wd.contains(INDEX_PLACEHOLDER) => {
                let message = "drmaa_wd: the index cannot stand there";
                Err(Failure::new(Errno::InvalidAttributeValue, message))
            }
            Some(wd) => Ok(PathBuf::from(
                wd.replace(HOME_PLACEHOLDER, &home_directory()),
            )),
            None => std::env::current_dir().map_err(|error| {
                Failure::new(Errno::Internal, format!("the working directory: {error}"))
            }),
        }
    }

    /// The absolute path in an attribute, still with the placeholder of the index.
    fn absolute_path(&self, name: &str) -> Result<Option<String>> {
        let Some(text) = self.scalars.get(name) else {
            return Ok(None);
        };
        let directory = self.working_directory()?;
        let path = parse_path(name, text)?.replace(HOME_PLACEHOLDER, &home_directory());
        let path = path.replace(DIRECTORY_PLACEHOLDER, &directory.to_string_lossy());
        Ok(Some(directory.join(path).to_string_lossy().into_owned()))
    }

    /// The request that this template stands for. `is_bulk` says whether the jobs have an index.
    ///
    /// # Errors
    /// Names the attribute that cannot be honoured.
    pub fn to_request(&self, defaults: &Native, is_bulk: bool) -> Result<JobRequest> {
        let native = self
            .scalar("drmaa_native_specification")
            .map_or(Ok(Native::default()), |text| Native::read(text))?
            .or(defaults);
        let Some(command) = self.scalar("drmaa_remote_command") else {
            return Err(Failure::new(
                Errno::InvalidAttributeValue,
                "drmaa_remote_command is not set",
            ));
        };
        self.check_unsupported_vectors()?;
        let max_parallel = native.max_parallel;
        let mut wire = self.wire_template(command, native, is_bulk)?;
        if wire.job_category.is_empty() {
            let message = "want a class: drmaa_job_category, or class=NAME in the native specification or the contact";
            return Err(Failure::new(Errno::InvalidAttributeValue, message));
        }
        self.set_input(&mut wire, is_bulk)?;
        let output_path = self.absolute_path("drmaa_output_path")?;
        let error_path = if self.scalar_is("drmaa_join_files", "y") {
            output_path.clone()
        } else {
            self.absolute_path("drmaa_error_path")?
        };
        Ok(JobRequest {
            template: wire,
            max_parallel,
            output_path,
            error_path,
        })
    }

    /// The value of an attribute that holds one value.
    fn scalar(&self, name: &str) -> Option<&String> {
        self.scalars.get(name)
    }

    /// Whether an attribute has this value.
    fn scalar_is(&self, name: &str, value: &str) -> bool {
        self.scalar(name).is_some_and(|text| text == value)
    }

    /// The list of an attribute, unless it is empty.
    fn nonempty_vector(&self, name: &str) -> Option<&Vec<String>> {
        self.vectors.get(name).filter(|values| !values.is_empty())
    }

    /// Rejects lists that the node cannot honour: an environment, and e-mail addresses that are not blocked.
    fn check_unsupported_vectors(&self) -> Result<()> {
        if self.nonempty_vector("drmaa_v_env").is_some() {
            let message =
                "drmaa_v_env: render workers are asked for a path and have no environment for it";
            return Err(Failure::new(Errno::DeniedByDrm, message));
        }
        let is_blocked = self.scalar_is("drmaa_block_email", "1");
        if !is_blocked && self.nonempty_vector("drmaa_v_email").is_some() {
            let message =
                "drmaa_v_email: no e-mail is sent; set drmaa_block_email to 1 to go without";
            return Err(Failure::new(Errno::DeniedByDrm, message));
        }
        Ok(())
    }

    /// The template of the submission protocol, without arguments or input.
    fn wire_template(&self, command: &str, native: Native, is_bulk: bool) -> Result<WireTemplate> {
        let timestamp_ms = |name: &str| {
            self.scalar(name)
                .map(|text| times::read(text, Local::now()))
                .transpose()
        };
        Ok(WireTemplate {
            remote_command: with_wire_index(command, is_bulk),
            job_category: self
                .scalar("drmaa_job_category")
                .cloned()
                .or(native.class)
                .unwrap_or_default(),
            accounting_id: native.tenant,
            job_name: self
                .scalar("drmaa_job_name")
                .map(|name| with_wire_index(name, is_bulk)),
            submission_key: native
                .key
                .as_deref()
                .map(|key| with_wire_index(key, is_bulk)),
            deadline_ms: native
                .deadline
                .map(|deadline| (deadline.as_millis() as u64).max(1)),
            min_slots: native.slots,
            start_time: timestamp_ms("drmaa_start_time")?,
            deadline_time: timestamp_ms("drmaa_deadline_time")?,
            submit_as_hold: self.scalar_is("drmaa_js_state", "drmaa_hold"),
            ..WireTemplate::default()
        })
    }

    /// Sets the input of the job: its arguments, or the content of the input file.
    fn set_input(&self, wire: &mut WireTemplate, is_bulk: bool) -> Result<()> {
        let args = self.nonempty_vector("drmaa_v_argv");
        match (args, self.absolute_path("drmaa_input_path")?) {
            (Some(_), Some(_)) => {
                let message = "drmaa_v_argv and drmaa_input_path: both would be the input";
                return Err(Failure::new(Errno::ConflictingAttributeValues, message));
            }
            (Some(args), None) => {
                let args = args.iter().map(|arg| with_wire_index(arg, is_bulk));
                wire.args = Some(args.collect());
            }
            (None, Some(file)) if file.contains(INDEX_PLACEHOLDER) => {
                let message = "drmaa_input_path: the jobs of a bulk share their input: no index can stand there";
                return Err(Failure::new(Errno::InvalidAttributeValue, message));
            }
            (None, Some(file)) => {
                let bytes = std::fs::read(&file).map_err(|error| {
                    let message = format!("drmaa_input_path: {file}: {error}");
                    Failure::new(Errno::InvalidAttributeValue, message)
                })?;
                wire.set_input(bytes);
            }
            (None, None) => {}
        }
        Ok(())
    }
}

/// The home directory of the user.
fn home_directory() -> String {
    std::env::var("HOME").unwrap_or_else(|_| "/".to_owned())
}

/// Replaces the placeholder of the index by that of the submission protocol, where the jobs have an index.
fn with_wire_index(text: &str, is_bulk: bool) -> String {
    if is_bulk {
        text.replace(INDEX_PLACEHOLDER, WIRE_INDEX_PLACEHOLDER)
    } else {
        text.to_owned()
    }
}

#[cfg(test)]
mod tests;
