//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use spec::prelude::Kind;

/// Operates a samphireport deployment through the operator API of its daemons.
///
/// Exit codes: 0 success; 1 refused, conflict or not found; 2 invalid usage or file; 3 no server
/// reachable; 4 the outcome of a write is unknown; 5 not applied, try again later.
#[derive(Debug, Parser)]
#[command(name = "samphire", version)]
pub struct Args {
    /// Operator addresses of daemons, separated by commas; tried in turn until one responds.
    #[arg(
        long = "server",
        global = true,
        env = "SAMPHIRE_SERVERS",
        value_delimiter = ',',
        default_value = "127.0.0.1:8081"
    )]
    pub servers: Vec<SocketAddr>,
    /// File with the viewer or operator token; without it, the token is read from `SAMPHIRE_TOKEN`.
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Milliseconds within which a server must respond.
    #[arg(long, global = true, default_value_t = 7_000, value_name = "MS")]
    pub timeout_ms: u64,
    /// Output format.
    #[arg(short, long, global = true, value_enum, default_value_t = Output::Table)]
    pub output: Output,
    /// The command.
    #[command(subcommand)]
    pub command: Command,
}

/// Output formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Text and tables, for people.
    Table,
    /// JSON, for programs.
    Json,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Add or replace the resources of all files in one atomic change.
    Apply {
        /// JSON files of manifests; `-` is standard input.
        #[arg(short, long = "file", required = true, num_args = 1.., value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Validate the change without applying it.
        #[arg(long)]
        dry_run: bool,
    },
    /// Show all resources of a kind, or one of them.
    Get {
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource; all of the kind if absent.
        name: Option<Box<str>>,
    },
    /// Show a resource with its spec and the conditions of its status.
    Describe {
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: Box<str>,
    },
    /// Delete a resource.
    Delete {
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: Box<str>,
        /// Delete the resource only if it is at this revision.
        #[arg(long)]
        revision: Option<u64>,
        /// Validate the change without applying it.
        #[arg(long)]
        dry_run: bool,
    },
    /// Print changes as they become active.
    Watch {
        /// Print only changes of this kind.
        kind: Option<Kind>,
        /// Print changes after this revision; default is the active revision.
        #[arg(long)]
        from: Option<u64>,
    },
    /// Drain a backend server: it gets no new work, and its group finishes running requests.
    Drain {
        /// Name of the backend server.
        name: Box<str>,
    },
    /// Return a drained backend server to service.
    Undrain {
        /// Name of the backend server.
        name: Box<str>,
    },
    /// Show the active revision of each process, and why some are behind.
    Status {
        /// Show the status of the write with this id instead.
        #[arg(long, value_name = "ID")]
        write: Option<u64>,
    },
    /// Show the evacuations of failure domains as each process knows them; the servers are the metrics
    /// addresses of processes of `samphire-platform`.
    Evacuations,
    /// Show the events of all servers in one timeline.
    Timeline(TimelineArgs),
    /// Show the history of one request from the log files of the processes.
    Explain {
        /// Id of the request, as assigned by the caller.
        request: Box<str>,
        /// The log files; `-` is standard input.
        #[arg(short, long = "log", required = true, num_args = 1.., value_name = "FILE")]
        logs: Vec<PathBuf>,
    },
    /// Validate a file of daemon settings or of manifests, without a server.
    Check {
        /// The file to validate.
        file: PathBuf,
    },
    /// Print a shell completion script.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Filter of the events to show.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct TimelineArgs {
    /// Show only events of this replica group.
    #[arg(long)]
    pub group: Option<Box<str>>,
    /// Show only events of this request.
    #[arg(long)]
    pub request: Option<u64>,
    /// Show only events of this VM.
    #[arg(long)]
    pub vm: Option<Box<str>>,
    /// Show only events at or after this time, in milliseconds since the Unix epoch.
    #[arg(long, value_name = "MS")]
    pub since: Option<u64>,
    /// Show only events before this time, in milliseconds since the Unix epoch.
    #[arg(long, value_name = "MS")]
    pub until: Option<u64>,
}
