//! What every command needs: the client and the form of the output.

use crate::args::Common;
use crate::output;
use marbledeck_submission_client::{Client, JobInfo, Settings};
use serde::Serialize;
use std::time::Duration;

/// The form of the results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Text for people.
    Text,
    /// One JSON object per line.
    Json,
}

impl OutputFormat {
    /// The form that the arguments ask for.
    pub(crate) fn new(common: &Common) -> Self {
        if common.json {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        }
    }

    /// Prints a result as an object or as this text.
    pub(crate) fn print(self, object: &impl Serialize, text: impl FnOnce() -> String) {
        match self {
            OutputFormat::Json => output::print_json(object),
            OutputFormat::Text => output::print_line(&text()),
        }
    }
}

/// The client and the form of the output.
pub(crate) struct CommandContext {
    pub(crate) client: Client,
    pub(crate) format: OutputFormat,
    /// No notes and no progress bar.
    pub(crate) quiet: bool,
}

impl CommandContext {
    /// The context that the arguments ask for.
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

    /// Prints a note for people to standard error.
    pub(crate) fn print_note(&self, text: &str) {
        if !self.quiet {
            eprintln!("{text}");
        }
    }
}

/// The client settings that the arguments ask for.
pub(crate) fn client_settings(common: &Common) -> Settings {
    let duration = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    Settings {
        retry_timeout: duration(common.patience),
        resubmit_timeout: duration(common.resubmit),
        ..Settings::new(common.node.clone())
    }
}
