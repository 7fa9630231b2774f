//! The context of every command: the client and the output format.

use crate::args::Common;
use crate::output;
use marbledeck_submission_client::{Client, JobInfo, Settings};
use serde::Serialize;
use std::time::Duration;

/// The output format of the results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl OutputFormat {
    /// The output format that the arguments select.
    pub(crate) fn new(common: &Common) -> Self {
        if common.json {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        }
    }

    /// Prints a result as a JSON object or as the given text.
    pub(crate) fn print(self, object: &impl Serialize, text: impl FnOnce() -> String) {
        match self {
            OutputFormat::Json => output::print_json(object),
            OutputFormat::Text => output::print_line(&text()),
        }
    }
}

/// The client and the output format of a command.
pub(crate) struct CommandContext {
    pub(crate) client: Client,
    pub(crate) format: OutputFormat,
    /// Whether to suppress notes and the progress bar.
    pub(crate) quiet: bool,
}

impl CommandContext {
    /// Creates the context from the arguments.
    pub(crate) fn new(common: &Common) -> Self {
        CommandContext {
            client: Client::new(client_settings(common)),
            format: OutputFormat::new(common),
            quiet: common.quiet,
        }
    }

    /// Prints a job.
    pub(crate) fn print_job(&self, info: &JobInfo) {
        self.format.print(info, || output::format_job(info));
    }

    /// Prints a note to standard error, unless `--quiet` is given.
    pub(crate) fn print_note(&self, text: &str) {
        if !self.quiet {
            eprintln!("{text}");
        }
    }
}

/// Creates the client settings from the arguments.
pub(crate) fn client_settings(common: &Common) -> Settings {
    let duration = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    Settings {
        retry_timeout: duration(common.patience),
        resubmit_timeout: duration(common.resubmit),
        ..Settings::new(common.node.clone())
    }
}
