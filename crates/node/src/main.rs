//! The `marbledeck` program. Without a command it runs the node until SIGTERM. The commands talk to a node's submission
//! server or operations address, or check an operator file.
#![forbid(unsafe_code)]

use clap::{Args, CommandFactory, Parser, Subcommand};
use marbledeck_cli::{Common, JobCommand, NodeCommand, SessionCommand};
use marbledeck_node::config::{ConfigError, NodeConfig, OperatorConfig, SubmissionConfig};
use marbledeck_node::logger;
use marbledeck_node::node::{Node, Signals, StartError};
use marbledeck_node::NEXT_MEMBERS;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Spreads thumbnail jobs over render workers
#[derive(Parser)]
#[command(name = "marbledeck", version, args_conflicts_with_subcommands = true)]
#[command(
    after_help = "Without a command it runs a node, configured by the environment: LB_CONFIG, LB_LISTEN, LB_DISCOVERY, \
                  LB_OPS.\n\
                  Exit status: 0 done, 1 a job has failed, 2 usage error, 3 denied, 4 no connection, 75 rejected \
                  temporarily, 124 a wait has timed out."
)]
struct Arguments {
    #[command(flatten)]
    serve: Serve,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Args)]
struct Serve {
    /// Configuration file of the server for batch submission, which is off by default
    #[arg(long, value_name = "FILE")]
    submission: Option<PathBuf>,
    /// The operator file, with settings for submission, membership, Eureka and static workers
    #[arg(long, value_name = "FILE", conflicts_with = "submission")]
    site: Option<PathBuf>,
}

#[derive(Subcommand)]
#[expect(clippy::large_enum_variant, reason = "created only once, at the start")]
enum Command {
    /// Run the node; the default without a command
    Serve(Serve),
    /// Submit, query and control jobs
    #[command(subcommand)]
    Job(JobCommand),
    /// Manage job sessions
    #[command(subcommand)]
    Session(SessionCommand),
    /// List the classes of jobs
    Queues(Common),
    /// List the render workers
    Machines(Common),
    /// Show which features the submission server supports
    Capabilities(Common),
    /// Commands for the operator file
    #[command(subcommand)]
    Config(ConfigCommand),
    /// List the workers of a node with the reports of each source
    Members {
        /// The node's operations address
        #[arg(env = "LB_OPS", value_name = "HOST:PORT")]
        ops: String,
    },
    /// Print the completions for a shell
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Check an operator file and report its errors
    Check { file: PathBuf },
}

/// Why the program fails.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match arguments.command {
        None => serve(&arguments.serve),
        Some(Command::Serve(options)) => serve(&options),
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
        Some(Command::Config(ConfigCommand::Check { file })) => check_operator_file(&file),
        Some(Command::Members { ops }) => print_members(&ops),
        Some(Command::Completions { shell }) => {
            print_completions(shell);
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marbledeck: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the node until SIGTERM.
fn serve(options: &Serve) -> Result<(), RunError> {
    let operator_config = read_operator_config(options)?;
    // Registered early, so that a signal during the start is neither lost nor kills the process.
    let signals = Signals {
        terminate: signal_pipe(signal_hook::consts::SIGTERM)?,
        reload: signal_pipe(signal_hook::consts::SIGHUP)?,
    };
    if operator_config.consensus.is_some() {
        ignore_file_size_signal()?;
    }
    let read_config = || NodeConfig::read(|name| std::env::var(name).ok());
    let config = read_config()?;
    logger::start(config.log_level);
    Node::new(config, operator_config, signals, Box::new(read_config))?.run();
    Ok(())
}

fn read_operator_config(options: &Serve) -> Result<OperatorConfig, ConfigError> {
    let mut config = match &options.site {
        Some(file) => OperatorConfig::read(file)?,
        None => OperatorConfig::default(),
    };
    if let Some(file) = &options.submission {
        config.submission = Some(SubmissionConfig::read(file)?);
    }
    Ok(config)
}

/// Handles SIGXFSZ, so that a write beyond the file size limit fails with an error, which the consensus store treats
/// like a full disk, instead of killing the process.
fn ignore_file_size_signal() -> io::Result<()> {
    let received: Arc<AtomicBool> = Arc::default();
    signal_hook::flag::register(signal_hook::consts::SIGXFSZ, received)?;
    Ok(())
}

fn check_operator_file(file: &Path) -> Result<(), RunError> {
    OperatorConfig::read(file)?;
    println!("{}: no errors found", file.display());
    Ok(())
}

/// Prints the workers of the node with this operations address, page by page.
fn print_members(address: &str) -> Result<(), RunError> {
    let mut call = "members".to_owned();
    loop {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(format!("{call}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        let Some((page, next)) = answer.rsplit_once(NEXT_MEMBERS) else {
            print!("{answer}");
            return Ok(());
        };
        // The last line of a page counts its workers; only that of the last page is printed.
        let lines = page.rsplit_once('\n').map_or("", |(lines, _)| lines);
        println!("{lines}");
        call = format!("members after {}", next.trim_end());
    }
}

fn print_completions(shell: clap_complete::Shell) {
    let mut command = Arguments::command();
    clap_complete::generate(shell, &mut command, "marbledeck", &mut io::stdout());
}

/// Returns the read end of a pipe that receives a byte at each such signal.
fn signal_pipe(signal: i32) -> io::Result<UnixStream> {
    let (reader, writer) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal, writer)?;
    reader.set_nonblocking(true)?;
    Ok(reader)
}
