//! The arguments of the commands. Their doc comments are the help texts.

#![expect(
    missing_docs,
    reason = "a doc comment would become the help text of an argument that has none"
)]

use crate::parse::{parse_duration, parse_state, parse_time};
use clap::{Args, Subcommand};
use marbledeck_submission_client::JobState;
use std::path::PathBuf;
use std::time::Duration;

/// The arguments of every command.
#[derive(Args, Clone, Debug)]
pub struct Common {
    /// Where the node's submission front listens
    #[arg(
        long,
        env = "MARBLEDECK_NODE",
        default_value = "127.0.0.1:7100",
        value_name = "HOST:PORT",
        global = true
    )]
    pub node: String,
    /// One JSON object a line instead of text
    #[arg(long, global = true)]
    pub json: bool,
    /// No progress bar, no notes
    #[arg(long, short, global = true)]
    pub quiet: bool,
    /// How many seconds to go on trying where the node cannot be reached
    #[arg(long, default_value_t = 15.0, value_name = "SECONDS", global = true)]
    pub patience: f64,
    /// How many seconds to go on handing in a job that the node refuses for now
    #[arg(long, default_value_t = 60.0, value_name = "SECONDS", global = true)]
    pub resubmit: f64,
}

/// The arguments that describe a job.
#[derive(Args, Clone, Debug)]
pub struct TemplateArgs {
    /// The path, with its query, that the render worker is asked for
    pub command: String,
    /// The class, as in the node's settings
    #[arg(long, short)]
    pub class: String,
    /// The tenant, as in the node's settings
    #[arg(long, short)]
    pub tenant: Option<String>,
    /// The submission key; one is made up where it is left out
    #[arg(long, short)]
    pub key: Option<String>,
    /// A name for your own use
    #[arg(long)]
    pub name: Option<String>,
    /// The input: a file, or - for standard input
    #[arg(long, short, value_name = "FILE")]
    pub input: Option<PathBuf>,
    /// The slots that it takes
    #[arg(long, value_name = "N")]
    pub slots: Option<f64>,
    /// How long the end is waited for, from when it may start: 20s, 1500ms, 2m
    #[arg(long, value_name = "SPAN", value_parser = parse_duration)]
    pub deadline: Option<Duration>,
    /// When it is to have ended: Unix seconds, or +SPAN from now
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    pub until: Option<u64>,
    /// Held until then: Unix seconds, or +SPAN from now
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    pub start: Option<u64>,
    /// Held until it is released
    #[arg(long)]
    pub hold: bool,
    /// The session that it belongs to
    #[arg(long, short, value_name = "NAME")]
    pub session: Option<String>,
}

/// The jobs that a command is about.
#[derive(Args, Clone, Debug)]
#[group(id = "Which", required = true, multiple = false)]
pub struct JobSelection {
    /// Jobs by their ids
    #[arg(value_name = "JOB")]
    pub jobs: Vec<String>,
    /// All members of an array
    #[arg(long, short, value_name = "ARRAY")]
    pub array: Option<String>,
    /// All jobs of a session
    #[arg(long, short, value_name = "NAME")]
    pub session: Option<String>,
}

/// `marbledeck job ...`
#[derive(Subcommand, Clone, Debug)]
pub enum JobCommand {
    /// Hand in a job
    #[command(
        after_help = "Examples:\n  marbledeck job run /frame?n=7 --class preview --tenant landesfilm --wait\n  marbledeck job run /sheet --class sheet-publish --tenant landesfilm --key 5c0f6e1a --input reel.json"
    )]
    Run {
        #[command(flatten)]
        template: TemplateArgs,
        /// Wait for its end and print its result
        #[arg(long, short)]
        wait: bool,
        #[command(flatten)]
        common: Common,
    },
    /// Hand in a job for each of many indices
    #[command(
        after_help = "Example:\n  marbledeck job bulk '/frame?n=${PARAMETRIC_INDEX}' --from 1 --to 500 --max-parallel 8 \\\n      --class preview --tenant landesfilm --wait"
    )]
    Bulk {
        #[command(flatten)]
        template: TemplateArgs,
        /// The first index
        #[arg(long, default_value_t = 1, allow_negative_numbers = true)]
        from: i64,
        /// The last index
        #[arg(long, allow_negative_numbers = true)]
        to: i64,
        /// From one index to the next
        #[arg(long, default_value_t = 1, allow_negative_numbers = true)]
        step: i64,
        /// How many may be with the decisions or a worker at a time
        #[arg(long, short = 'p', value_name = "N")]
        max_parallel: Option<u32>,
        /// Wait for the end of all, with a progress bar
        #[arg(long, short)]
        wait: bool,
        #[command(flatten)]
        common: Common,
    },
    /// Tell what is known of jobs
    Info {
        #[arg(required = true, value_name = "JOB")]
        jobs: Vec<String>,
        /// Print the results alone, as they were made
        #[arg(long, conflicts_with = "json")]
        result: bool,
        #[command(flatten)]
        common: Common,
    },
    /// Wait for the end of jobs
    Wait {
        #[command(flatten)]
        which: JobSelection,
        /// Until any of them has, not all
        #[arg(long)]
        any: bool,
        /// Until they run, not until they have ended
        #[arg(long)]
        started: bool,
        /// How long at most: 20s, 1500ms, 2m
        #[arg(long, value_name = "SPAN", value_parser = parse_duration)]
        timeout: Option<Duration>,
        #[command(flatten)]
        common: Common,
    },
    /// List jobs
    List {
        /// Those of this session
        #[arg(long, short, value_name = "NAME")]
        session: Option<String>,
        /// Those in this state; may be given several times
        #[arg(long, value_name = "STATE", value_parser = parse_state)]
        state: Vec<JobState>,
        /// Those of this name
        #[arg(long)]
        name: Option<String>,
        /// Those of this class
        #[arg(long)]
        class: Option<String>,
        /// Those of this tenant
        #[arg(long)]
        tenant: Option<String>,
        /// The members of this array
        #[arg(long)]
        array: Option<String>,
        #[command(flatten)]
        common: Common,
    },
    /// Hold jobs that no worker has been sent
    Hold {
        #[command(flatten)]
        which: JobSelection,
        #[command(flatten)]
        common: Common,
    },
    /// Release held jobs
    Release {
        #[command(flatten)]
        which: JobSelection,
        #[command(flatten)]
        common: Common,
    },
    /// End jobs; what a worker has begun may still run
    Terminate {
        #[command(flatten)]
        which: JobSelection,
        #[command(flatten)]
        common: Common,
    },
    /// Have the node forget ended jobs
    Reap {
        #[command(flatten)]
        which: JobSelection,
        #[command(flatten)]
        common: Common,
    },
    /// Tell each new state of a session's jobs, until interrupted
    Watch {
        /// The session
        #[arg(long, short, value_name = "NAME")]
        session: String,
        /// Begin after the event of this number
        #[arg(long, value_name = "N")]
        since: Option<u64>,
        /// End after so many events
        #[arg(long, value_name = "N")]
        count: Option<u64>,
        #[command(flatten)]
        common: Common,
    },
}

/// `marbledeck session ...`
#[derive(Subcommand, Clone, Debug)]
pub enum SessionCommand {
    /// Create a session
    Create {
        name: String,
        #[command(flatten)]
        common: Common,
    },
    /// The names of all sessions
    List {
        #[command(flatten)]
        common: Common,
    },
    /// Tell how a session stands: its last event and its jobs by their states
    Show {
        name: String,
        #[command(flatten)]
        common: Common,
    },
    /// Forget a session; its jobs go on
    Destroy {
        name: String,
        #[command(flatten)]
        common: Common,
    },
}

/// `marbledeck queues`, `machines`, `capabilities`
#[derive(Clone, Debug)]
pub enum NodeCommand {
    /// Prints the request classes.
    Queues(Common),
    /// Prints the workers.
    Machines(Common),
    /// Prints what is supported and what is not.
    Capabilities(Common),
}
