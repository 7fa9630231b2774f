//! The program: without a command it is the node, which reads the configuration and serves until SIGTERM; with one, it
//! speaks to a node's submission front.
#![forbid(unsafe_code)]

use clap::{Args, CommandFactory, Parser, Subcommand};
use marbledeck_cli::{Common, JobCommand, NodeCommand, SessionCommand};
use marbledeck_node::config::{Config, SiteConfig, SubmissionConfig};
use marbledeck_node::logger;
use marbledeck_node::node::{Node, Signals};
use std::error::Error;
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;

/// Spreads thumbnail jobs over render workers
#[derive(Parser)]
#[command(name = "marbledeck", version, args_conflicts_with_subcommands = true)]
#[command(
    after_help = "Without a command it serves, as the environment says: LB_CONFIG, LB_LISTEN, LB_DISCOVERY, LB_OPS.\n\
                  Exit status: 0 done, 1 a job has failed, 2 usage, 3 denied, 4 no connection, 75 refused for now, \
                  124 a wait timed out."
)]
struct Arguments {
    #[command(flatten)]
    serve: Serve,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Args)]
struct Serve {
    /// The file of the front for batch submission, which is off without it
    #[arg(long, value_name = "FILE")]
    submission: Option<PathBuf>,
    /// The operator file: submission, membership, Eureka, static workers
    #[arg(long, value_name = "FILE", conflicts_with = "submission")]
    site: Option<PathBuf>,
}

#[derive(Subcommand)]
#[expect(clippy::large_enum_variant, reason = "made once, at the start")]
enum Command {
    /// Run the node, as without a command
    Serve(Serve),
    /// Hand in jobs, ask after them, control them
    #[command(subcommand)]
    Job(JobCommand),
    /// Job sessions
    #[command(subcommand)]
    Session(SessionCommand),
    /// The classes of jobs
    Queues(Common),
    /// The render workers
    Machines(Common),
    /// What the submission front supports and what not
    Capabilities(Common),
    /// The operator file
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Each worker, and which source says what of it, from a node's operators' address
    Members {
        /// Where the node answers operators
        #[arg(env = "LB_OPS", value_name = "HOST:PORT")]
        ops: String,
    },
    /// Print the completions for a shell
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Read and check an operator file, and say what is wrong with it
    Check { file: PathBuf },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let served = match arguments.command {
        None => serve(arguments.serve),
        Some(Command::Serve(how)) => serve(how),
        Some(Command::Job(command)) => return marbledeck_cli::run_job_command(command),
        Some(Command::Session(command)) => return marbledeck_cli::run_session_command(command),
        Some(Command::Queues(common)) => {
            return marbledeck_cli::run_node_command(NodeCommand::Queues(common))
        }
        Some(Command::Machines(common)) => {
            return marbledeck_cli::run_node_command(NodeCommand::Machines(common))
        }
        Some(Command::Capabilities(common)) => {
            return marbledeck_cli::run_node_command(NodeCommand::Capabilities(common))
        }
        Some(Command::Config(ConfigCommand::Check { file })) => {
            let read = SiteConfig::read(&file);
            read.map(|_| println!("{}: nothing is wrong", file.display()))
                .map_err(Into::into)
        }
        Some(Command::Members { ops }) => members(&ops).map_err(Into::into),
        Some(Command::Completions { shell }) => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "marbledeck", &mut io::stdout());
            Ok(())
        }
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("marbledeck: {what}");
            ExitCode::FAILURE
        }
    }
}

fn serve(how: Serve) -> Result<(), Box<dyn Error>> {
    let mut site = how
        .site
        .as_deref()
        .map(SiteConfig::read)
        .transpose()?
        .unwrap_or_default();
    if let Some(file) = &how.submission {
        site.submission = Some(SubmissionConfig::read(file)?);
    }
    // Before all else: a signal that comes while the node starts is neither lost nor its end.
    let signals = Signals {
        end: pipe(signal_hook::consts::SIGTERM)?,
        reload: pipe(signal_hook::consts::SIGHUP)?,
    };
    if site.agreement.is_some() {
        // A file that may not grow is a full disk, and no reason to end.
        let noted: std::sync::Arc<std::sync::atomic::AtomicBool> = Default::default();
        signal_hook::flag::register(signal_hook::consts::SIGXFSZ, noted)?;
    }
    let read = || Config::read(|name| std::env::var(name).ok());
    let config = read()?;
    logger::start(config.log);
    Node::new(config, site, signals, Box::new(read))?.run();
    Ok(())
}

/// Asks a node's operators' address for its workers.
fn members(ops: &str) -> io::Result<()> {
    let mut stream = std::net::TcpStream::connect(ops)?;
    stream.write_all(b"members\n")?;
    io::copy(&mut stream, &mut io::stdout()).map(drop)
}

/// The reading end of a pipe that gets a byte at each such signal.
fn pipe(signal: i32) -> io::Result<UnixStream> {
    let (reader, writer) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal, writer)?;
    reader.set_nonblocking(true)?;
    Ok(reader)
}
