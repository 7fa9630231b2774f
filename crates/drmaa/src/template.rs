//! Job templates of DRMAA 1.0 (GFD.133) and their conversion to submission requests.

use crate::errno::{Errno, Failure, Result};
use crate::native::NativeSpecification;
use crate::times;
use chrono::Local;
use marbledeck_submission_client::Template as WireTemplate;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Placeholder for the index of a job in a bulk job (GFD.133, `DRMAA_PLACEHOLDER_INCR`).
pub const INDEX_PLACEHOLDER: &str = "$drmaa_incr_ph$";

/// Placeholder for the home directory (GFD.133, `DRMAA_PLACEHOLDER_HD`).
const HOME_PLACEHOLDER: &str = "$drmaa_hd_ph$";

/// Placeholder for the working directory (GFD.133, `DRMAA_PLACEHOLDER_WD`).
const WORKING_DIRECTORY_PLACEHOLDER: &str = "$drmaa_wd_ph$";

/// Placeholder for the index in the submission protocol.
const WIRE_INDEX_PLACEHOLDER: &str = "${PARAMETRIC_INDEX}";

/// The scalar attributes. The last one is optional in DRMAA; the other optional attributes are not supported.
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

/// The vector attributes.
pub const VECTOR_ATTRIBUTES: [&str; 3] = ["drmaa_v_argv", "drmaa_v_env", "drmaa_v_email"];

/// A job template: the attributes that are set.
#[derive(Clone, Debug, Default)]
pub struct Template {
    scalars: BTreeMap<&'static str, String>,
    vectors: BTreeMap<&'static str, Vec<String>>,
}

/// The submission request for a template.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobRequest {
    /// The template of the submission protocol.
    pub template: WireTemplate,
    /// Maximum number of jobs of a bulk job that run at the same time.
    pub max_parallel: Option<u32>,
    /// Path of the file for the result of the job; may contain the index placeholder.
    pub output_path: Option<String>,
    /// Path of the file for the error message of a failed job; may contain the index placeholder.
    pub error_path: Option<String>,
}

/// Looks up an attribute by name.
fn find_attribute<const N: usize>(names: [&'static str; N], name: &str) -> Result<&'static str> {
    let found = names.into_iter().find(|known| *known == name);
    found.ok_or_else(|| Failure::new(Errno::InvalidArgument, format!("unknown attribute: {name}")))
}

/// Parses a DRMAA path, `[host]:path`. The host must be empty or `localhost`, since files are accessed on this machine.
fn parse_path(name: &str, text: &str) -> Result<String> {
    match text.split_once(':') {
        Some(("" | "localhost", path)) if !path.is_empty() => Ok(path.to_owned()),
        Some(_) => {
            let message = format!(
                "{name}: invalid path '{text}': expected [localhost]:path, \
                 since files are accessed on this machine"
            );
            Err(Failure::new(Errno::InvalidAttributeFormat, message))
        }
        None => {
            let message = format!("{name}: invalid path '{text}': expected [localhost]:path");
            Err(Failure::new(Errno::InvalidAttributeFormat, message))
        }
    }
}

impl Template {
    /// Sets a scalar attribute.
    ///
    /// # Errors
    /// An unknown attribute, or a value that is invalid for it.
    pub fn set(&mut self, name: &str, value: &str) -> Result<()> {
        let name = find_attribute(SCALAR_ATTRIBUTES, name)?;
        let check_one_of = |allowed: &[&str]| {
            if allowed.contains(&value) {
                return Ok(());
            }
            let message = format!(
                "{name}: invalid value '{value}': expected {}",
                allowed.join(" or ")
            );
            Err(Failure::new(Errno::InvalidAttributeValue, message))
        };
        match name {
            "drmaa_js_state" => check_one_of(&["drmaa_active", "drmaa_hold"])?,
            "drmaa_block_email" => check_one_of(&["0", "1"])?,
            "drmaa_join_files" => check_one_of(&["y", "n"])?,
            "drmaa_start_time" | "drmaa_deadline_time" => drop(times::parse(value, Local::now())?),
            "drmaa_native_specification" => drop(NativeSpecification::parse(value)?),
            "drmaa_input_path" | "drmaa_output_path" | "drmaa_error_path" => {
                parse_path(name, value)?;
            }
            "drmaa_wd" if !value.starts_with(['/', '$']) => {
                let message = format!("{name}: invalid value '{value}': expected an absolute path");
                return Err(Failure::new(Errno::InvalidAttributeFormat, message));
            }
            _ => {}
        }
        self.scalars.insert(name, value.to_owned());
        Ok(())
    }

    /// Returns the value of a scalar attribute.
    ///
    /// # Errors
    /// An attribute that is unknown or not set.
    pub fn get(&self, name: &str) -> Result<&str> {
        let name = find_attribute(SCALAR_ATTRIBUTES, name)?;
        let value = self.scalars.get(name).map(String::as_str);
        value
            .ok_or_else(|| Failure::new(Errno::InvalidAttributeValue, format!("{name} is not set")))
    }

    /// Sets a vector attribute.
    ///
    /// # Errors
    /// An unknown attribute, or a value that is invalid for it.
    pub fn set_vector(&mut self, name: &str, values: Vec<String>) -> Result<()> {
        let name = find_attribute(VECTOR_ATTRIBUTES, name)?;
        if name == "drmaa_v_env" {
            if let Some(value) = values.iter().find(|value| !value.contains('=')) {
                let message = format!("{name}: invalid element '{value}': expected name=value");
                return Err(Failure::new(Errno::InvalidAttributeFormat, message));
            }
        }
        self.vectors.insert(name, values);
        Ok(())
    }

    /// Returns the value of a vector attribute.
    ///
    /// # Errors
    /// An attribute that is unknown or not set.
    pub fn get_vector(&self, name: &str) -> Result<&[String]> {
        let name = find_attribute(VECTOR_ATTRIBUTES, name)?;
        let values = self.vectors.get(name).map(Vec::as_slice);
        values
            .ok_or_else(|| Failure::new(Errno::InvalidAttributeValue, format!("{name} is not set")))
    }

    /// The working directory: `drmaa_wd`, or that of the process. Relative paths are resolved against it.
    fn working_directory(&self) -> Result<PathBuf> {
        match self.scalars.get("drmaa_wd") {
            Some(wd) if wd.contains(INDEX_PLACEHOLDER) => {
                let message =
                    "drmaa_wd: the index placeholder is not supported in the working directory";
                Err(Failure::new(Errno::InvalidAttributeValue, message))
            }
            Some(wd) => Ok(PathBuf::from(
                wd.replace(HOME_PLACEHOLDER, &home_directory()),
            )),
            None => std::env::current_dir().map_err(|error| {
                Failure::new(
                    Errno::Internal,
                    format!("cannot determine the working directory: {error}"),
                )
            }),
        }
    }

    /// The absolute path in an attribute; the index placeholder is not replaced.
    fn absolute_path(&self, name: &str) -> Result<Option<String>> {
        let Some(text) = self.scalars.get(name) else {
            return Ok(None);
        };
        let directory = self.working_directory()?;
        let path = parse_path(name, text)?.replace(HOME_PLACEHOLDER, &home_directory());
        let path = path.replace(WORKING_DIRECTORY_PLACEHOLDER, &directory.to_string_lossy());
        Ok(Some(directory.join(path).to_string_lossy().into_owned()))
    }

    /// Converts this template to a submission request. `is_bulk` is set for a bulk job, whose jobs have an index.
    ///
    /// # Errors
    /// An error that names the attribute that is missing, invalid or not supported.
    pub fn to_request(&self, defaults: &NativeSpecification, is_bulk: bool) -> Result<JobRequest> {
        let native = self
            .scalar("drmaa_native_specification")
            .map_or(Ok(NativeSpecification::default()), |text| {
                NativeSpecification::parse(text)
            })?
            .with_defaults(defaults);
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
            let message =
                "no job class: set drmaa_job_category, or class=NAME in the native specification \
                           or the contact string";
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

    /// The value of a scalar attribute, if it is set.
    fn scalar(&self, name: &str) -> Option<&String> {
        self.scalars.get(name)
    }

    /// Whether a scalar attribute is set to this value.
    fn scalar_is(&self, name: &str, value: &str) -> bool {
        self.scalar(name).is_some_and(|text| text == value)
    }

    /// The value of a vector attribute, if it is set and not empty.
    fn nonempty_vector(&self, name: &str) -> Option<&Vec<String>> {
        self.vectors.get(name).filter(|values| !values.is_empty())
    }

    /// Rejects unsupported vector attributes: a job environment, and e-mail addresses unless e-mail is blocked.
    fn check_unsupported_vectors(&self) -> Result<()> {
        if self.nonempty_vector("drmaa_v_env").is_some() {
            let message =
                "drmaa_v_env: not supported: a job is an HTTP request to a worker and has no environment";
            return Err(Failure::new(Errno::DeniedByDrm, message));
        }
        let is_blocked = self.scalar_is("drmaa_block_email", "1");
        if !is_blocked && self.nonempty_vector("drmaa_v_email").is_some() {
            let message = "drmaa_v_email: not supported: no e-mail is sent; \
                           set drmaa_block_email to 1 to submit the job without it";
            return Err(Failure::new(Errno::DeniedByDrm, message));
        }
        Ok(())
    }

    /// Creates the template of the submission protocol, without arguments and input.
    fn wire_template(
        &self,
        command: &str,
        native: NativeSpecification,
        is_bulk: bool,
    ) -> Result<WireTemplate> {
        let timestamp_ms = |name: &str| {
            self.scalar(name)
                .map(|text| times::parse(text, Local::now()))
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

    /// Sets the job's arguments or its input, the content of the input file. Only one of them can be sent.
    fn set_input(&self, wire: &mut WireTemplate, is_bulk: bool) -> Result<()> {
        let args = self.nonempty_vector("drmaa_v_argv");
        match (args, self.absolute_path("drmaa_input_path")?) {
            (Some(_), Some(_)) => {
                let message = "drmaa_v_argv and drmaa_input_path exclude each other: both are sent as the input of the job";
                return Err(Failure::new(Errno::ConflictingAttributeValues, message));
            }
            (Some(args), None) => {
                let args = args.iter().map(|arg| with_wire_index(arg, is_bulk));
                wire.args = Some(args.collect());
            }
            (None, Some(file)) if file.contains(INDEX_PLACEHOLDER) => {
                let message = "drmaa_input_path: the index placeholder is not supported: \
                               the jobs of a bulk job share one input";
                return Err(Failure::new(Errno::InvalidAttributeValue, message));
            }
            (None, Some(file)) => {
                let bytes = std::fs::read(&file).map_err(|error| {
                    let message = format!("drmaa_input_path: cannot read {file}: {error}");
                    Failure::new(Errno::InvalidAttributeValue, message)
                })?;
                wire.set_input(bytes);
            }
            (None, None) => {}
        }
        Ok(())
    }
}

/// The user's home directory: the variable `HOME`, or `/` if it is not set.
fn home_directory() -> String {
    std::env::var("HOME").unwrap_or_else(|_| "/".to_owned())
}

/// Replaces the index placeholder of DRMAA by that of the submission protocol, if this is a bulk job.
fn with_wire_index(text: &str, is_bulk: bool) -> String {
    if is_bulk {
        text.replace(INDEX_PLACEHOLDER, WIRE_INDEX_PLACEHOLDER)
    } else {
        text.to_owned()
    }
}

#[cfg(test)]
mod tests;
