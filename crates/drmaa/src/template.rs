//! Job templates of DRMAA 1.0 (GFD.133), and what they ask a node for.

use crate::errno::{Errno, Failure, Result};
use crate::native::Native;
use crate::times;
use chrono::Local;
use marbledeck_submission_client::Template as Wire;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Stands for a job's index (GFD.133, `DRMAA_PLACEHOLDER_INCR`), the home and the working directory.
pub const INCR: &str = "$drmaa_incr_ph$";
const HOME: &str = "$drmaa_hd_ph$";
const WD: &str = "$drmaa_wd_ph$";
/// Stands for the index on the wire.
const INDEX: &str = "${PARAMETRIC_INDEX}";

/// The attributes that hold one value. The last one is optional in DRMAA; the other optional ones are not there.
pub const SCALARS: [&str; 13] = [
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
pub const VECTORS: [&str; 3] = ["drmaa_v_argv", "drmaa_v_env", "drmaa_v_email"];

/// A template as it is being filled in.
#[derive(Clone, Debug, Default)]
pub struct Template {
    scalars: BTreeMap<&'static str, String>,
    vectors: BTreeMap<&'static str, Vec<String>>,
}

/// What a template asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    pub wire: Wire,
    pub max_parallel: Option<u32>,
    /// Where the result goes, and what is told of a failure; with the placeholder for the index.
    pub output: Option<String>,
    pub error: Option<String>,
}

fn known<const N: usize>(names: [&'static str; N], name: &str) -> Result<&'static str> {
    let found = names.into_iter().find(|known| *known == name);
    found.ok_or_else(|| Failure::new(Errno::InvalidArgument, format!("no such attribute: {name}")))
}

/// A path of DRMAA: `[host]:path`. Files are those of the machine that the library runs on.
fn path(name: &str, text: &str) -> Result<String> {
    match text.split_once(':') {
        Some(("" | "localhost", path)) if !path.is_empty() => Ok(path.to_owned()),
        Some(_) => {
            let words = format!("{name}: '{text}': want [localhost]:path, on this machine");
            Err(Failure::new(Errno::InvalidAttributeFormat, words))
        }
        None => {
            let words = format!("{name}: '{text}': want [host]:path");
            Err(Failure::new(Errno::InvalidAttributeFormat, words))
        }
    }
}

impl Template {
    /// Sets an attribute.
    ///
    /// # Errors
    /// An attribute that does not exist, or a value that it cannot have.
    pub fn set(&mut self, name: &str, value: &str) -> Result<()> {
        let name = known(SCALARS, name)?;
        let of = |words: &[&str]| match words.contains(&value) {
            true => Ok(()),
            false => {
                let words = format!("{name}: '{value}': want {}", words.join(" or "));
                Err(Failure::new(Errno::InvalidAttributeValue, words))
            }
        };
        match name {
            "drmaa_js_state" => of(&["drmaa_active", "drmaa_hold"])?,
            "drmaa_block_email" => of(&["0", "1"])?,
            "drmaa_join_files" => of(&["y", "n"])?,
            "drmaa_start_time" | "drmaa_deadline_time" => drop(times::read(value, Local::now())?),
            "drmaa_native_specification" => drop(Native::read(value)?),
            "drmaa_input_path" | "drmaa_output_path" | "drmaa_error_path" => {
                path(name, value)?;
            }
            "drmaa_wd" if !value.starts_with(['/', '$']) => {
                let words = format!("{name}: '{value}': want an absolute path");
                return Err(Failure::new(Errno::InvalidAttributeFormat, words));
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
        let name = known(SCALARS, name)?;
        let value = self.scalars.get(name).map(String::as_str);
        value
            .ok_or_else(|| Failure::new(Errno::InvalidAttributeValue, format!("{name} is not set")))
    }

    /// Sets an attribute that holds a list.
    ///
    /// # Errors
    /// An attribute that does not exist, or a value that it cannot have.
    pub fn set_vector(&mut self, name: &str, values: Vec<String>) -> Result<()> {
        let name = known(VECTORS, name)?;
        if name == "drmaa_v_env" {
            if let Some(value) = values.iter().find(|value| !value.contains('=')) {
                let words = format!("{name}: '{value}': want name=value");
                return Err(Failure::new(Errno::InvalidAttributeFormat, words));
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
        let name = known(VECTORS, name)?;
        let values = self.vectors.get(name).map(Vec::as_slice);
        values
            .ok_or_else(|| Failure::new(Errno::InvalidAttributeValue, format!("{name} is not set")))
    }

    /// The working directory of the paths.
    fn directory(&self) -> Result<PathBuf> {
        let home = || std::env::var("HOME").unwrap_or_else(|_| "/".to_owned());
        match self.scalars.get("drmaa_wd") {
            Some(wd) if wd.contains(INCR) => {
                let words = "drmaa_wd: the index cannot stand there";
                Err(Failure::new(Errno::InvalidAttributeValue, words))
            }
            Some(wd) => Ok(PathBuf::from(wd.replace(HOME, &home()))),
            None => std::env::current_dir()
                .map_err(|e| Failure::new(Errno::Internal, format!("the working directory: {e}"))),
        }
    }

    /// A file's whole path, still with the placeholder for the index.
    fn file(&self, name: &str) -> Result<Option<String>> {
        let Some(text) = self.scalars.get(name) else {
            return Ok(None);
        };
        let directory = self.directory()?;
        let home = std::env::var("HOME").unwrap_or_else(|_| "/".to_owned());
        let path = path(name, text)?.replace(HOME, &home);
        let path = path.replace(WD, &directory.to_string_lossy());
        Ok(Some(directory.join(path).to_string_lossy().into_owned()))
    }

    /// What this asks a node for. `bulk` says whether there is an index.
    ///
    /// # Errors
    /// Names the attribute that cannot be honoured.
    pub fn asked(&self, defaults: &Native, bulk: bool) -> Result<Asked> {
        let text = |name: &str| self.scalars.get(name);
        let native = text("drmaa_native_specification")
            .map_or(Ok(Native::default()), |t| Native::read(t))?;
        let native = native.or(defaults);
        let Some(command) = text("drmaa_remote_command") else {
            return Err(Failure::new(
                Errno::InvalidAttributeValue,
                "drmaa_remote_command is not set",
            ));
        };
        if self
            .vectors
            .get("drmaa_v_env")
            .is_some_and(|env| !env.is_empty())
        {
            let words =
                "drmaa_v_env: render workers are asked for a path and have no environment for it";
            return Err(Failure::new(Errno::DeniedByDrm, words));
        }
        let blocked = text("drmaa_block_email").is_some_and(|text| text == "1");
        if !blocked
            && self
                .vectors
                .get("drmaa_v_email")
                .is_some_and(|to| !to.is_empty())
        {
            let words =
                "drmaa_v_email: no e-mail is sent; set drmaa_block_email to 1 to go without";
            return Err(Failure::new(Errno::DeniedByDrm, words));
        }
        let index = |text: &str| match bulk {
            true => text.replace(INCR, INDEX),
            false => text.to_owned(),
        };
        let millis = |name: &str| {
            let text = text(name);
            text.map(|text| times::read(text, Local::now())).transpose()
        };
        let mut wire = Wire {
            remote_command: index(command),
            job_category: text("drmaa_job_category")
                .cloned()
                .or(native.class)
                .unwrap_or_default(),
            accounting_id: native.tenant,
            job_name: text("drmaa_job_name").map(|name| index(name)),
            submission_key: native.key.as_deref().map(index),
            deadline_ms: native.deadline.map(|span| (span.as_millis() as u64).max(1)),
            min_slots: native.slots,
            start_time: millis("drmaa_start_time")?,
            deadline_time: millis("drmaa_deadline_time")?,
            submit_as_hold: text("drmaa_js_state").is_some_and(|state| state == "drmaa_hold"),
            ..Wire::default()
        };
        if wire.job_category.is_empty() {
            let words = "want a class: drmaa_job_category, or class=NAME in the native specification or the contact";
            return Err(Failure::new(Errno::InvalidAttributeValue, words));
        }
        let args = self
            .vectors
            .get("drmaa_v_argv")
            .filter(|args| !args.is_empty());
        match (args, self.file("drmaa_input_path")?) {
            (Some(_), Some(_)) => {
                let words = "drmaa_v_argv and drmaa_input_path: both would be the input";
                return Err(Failure::new(Errno::ConflictingAttributeValues, words));
            }
            (Some(args), None) => wire.args = Some(args.iter().map(|arg| index(arg)).collect()),
            (None, Some(file)) if file.contains(INCR) => {
                let words = "drmaa_input_path: the jobs of a bulk share their input: no index can stand there";
                return Err(Failure::new(Errno::InvalidAttributeValue, words));
            }
            (None, Some(file)) => {
                let bytes = std::fs::read(&file).map_err(|e| {
                    let words = format!("drmaa_input_path: {file}: {e}");
                    Failure::new(Errno::InvalidAttributeValue, words)
                })?;
                wire.set_input(bytes);
            }
            (None, None) => {}
        }
        let output = self.file("drmaa_output_path")?;
        let error = match text("drmaa_join_files").is_some_and(|join| join == "y") {
            true => output.clone(),
            false => self.file("drmaa_error_path")?,
        };
        Ok(Asked {
            wire,
            max_parallel: native.max_parallel,
            output,
            error,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set(pairs: &[(&str, &str)]) -> Template {
        let mut template = Template::default();
        for (name, value) in pairs {
            template.set(name, value).unwrap();
        }
        template
    }

    #[test]
    fn what_is_asked_for() {
        let mut template = set(&[
            ("drmaa_remote_command", "/frame?n=$drmaa_incr_ph$"),
            (
                "drmaa_native_specification",
                "tenant=au key=k-$drmaa_incr_ph$ deadline=2s",
            ),
            ("drmaa_job_category", "preview"),
            ("drmaa_wd", "/tmp"),
            ("drmaa_output_path", ":$drmaa_wd_ph$/out.$drmaa_incr_ph$"),
            ("drmaa_join_files", "y"),
            ("drmaa_js_state", "drmaa_hold"),
        ]);
        template
            .set_vector("drmaa_v_argv", vec!["$drmaa_incr_ph$".into()])
            .unwrap();
        let asked = template.asked(&Native::default(), true).unwrap();
        assert_eq!(asked.wire.remote_command, "/frame?n=${PARAMETRIC_INDEX}");
        assert_eq!(
            asked.wire.submission_key.as_deref(),
            Some("k-${PARAMETRIC_INDEX}")
        );
        assert_eq!(
            asked.wire.args,
            Some(vec!["${PARAMETRIC_INDEX}".to_owned()])
        );
        assert_eq!(
            (asked.wire.deadline_ms, asked.wire.submit_as_hold),
            (Some(2000), true)
        );
        assert_eq!(asked.output.as_deref(), Some("/tmp/out.$drmaa_incr_ph$"));
        assert_eq!(asked.error, asked.output);
    }

    #[test]
    fn what_cannot_be() {
        let mut template = Template::default();
        let errno = |result: Result<()>| result.unwrap_err().errno;
        assert_eq!(
            errno(template.set("drmaa_wct_hlimit", "1")),
            Errno::InvalidArgument
        );
        assert_eq!(
            errno(template.set("drmaa_join_files", "maybe")),
            Errno::InvalidAttributeValue
        );
        assert_eq!(
            errno(template.set("drmaa_output_path", "/x")),
            Errno::InvalidAttributeFormat
        );
        assert_eq!(
            errno(template.set("drmaa_output_path", "far:/x")),
            Errno::InvalidAttributeFormat
        );
        assert_eq!(
            errno(template.set("drmaa_start_time", "soon")),
            Errno::InvalidAttributeFormat
        );
        assert_eq!(
            errno(template.set_vector("drmaa_v_env", vec!["x".into()])),
            Errno::InvalidAttributeFormat
        );
        let asked = |template: &Template| template.asked(&Native::default(), false).unwrap_err();
        assert!(asked(&template).words.contains("drmaa_remote_command"));
        template.set("drmaa_remote_command", "/x").unwrap();
        assert!(asked(&template).words.contains("class"));
        template.set("drmaa_job_category", "preview").unwrap();
        template
            .set_vector("drmaa_v_email", vec!["a@b".into()])
            .unwrap();
        assert!(asked(&template).words.contains("drmaa_v_email"));
        template.set("drmaa_block_email", "1").unwrap();
        assert!(template.asked(&Native::default(), false).is_ok());
    }
}
