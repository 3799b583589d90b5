//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use spec::prelude::Kind;

/// Drives a samphireport deployment through the operator API of its daemons.
///
/// Exit codes: 0 done; 1 refused, in conflict or not found; 2 bad usage or file; 3 no server
/// reachable; 4 the outcome of a write is unknown; 5 not applied, try again later.
#[derive(Debug, Parser)]
#[command(name = "samphire", version)]
pub struct Args {
    /// Operator addresses of daemons, separated by commas; the next is tried when one is silent.
    #[arg(
        long = "server",
        global = true,
        env = "SAMPHIRE_SERVERS",
        value_delimiter = ',',
        default_value = "127.0.0.1:8081"
    )]
    pub servers: Vec<SocketAddr>,
    /// File that holds the viewer or operator token; `SAMPHIRE_TOKEN` is read otherwise.
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Milliseconds after which a server counts as silent.
    #[arg(long, global = true, default_value_t = 7_000, value_name = "MS")]
    pub timeout_ms: u64,
    /// Form of the output.
    #[arg(short, long, global = true, value_enum, default_value_t = Output::Table)]
    pub output: Output,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Add or replace the resources of all files, in one change.
    Apply {
        /// Files of manifests, JSON; `-` is standard input.
        #[arg(short, long = "file", required = true, num_args = 1.., value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Check only.
        #[arg(long)]
        dry_run: bool,
    },
    /// Show the resources of a kind, or one of them.
    Get {
        /// The kind.
        kind: Kind,
        /// The name.
        name: Option<Box<str>>,
    },
    /// Show a resource with its spec and the conditions of its status.
    Describe {
        /// The kind.
        kind: Kind,
        /// The name.
        name: Box<str>,
    },
    /// Delete a resource.
    Delete {
        /// The kind.
        kind: Kind,
        /// The name.
        name: Box<str>,
        /// The revision that it must have.
        #[arg(long)]
        revision: Option<u64>,
        /// Check only.
        #[arg(long)]
        dry_run: bool,
    },
    /// Print changes as they come into force.
    Watch {
        /// Only this kind.
        kind: Option<Kind>,
        /// The revision after which to begin; the one in force if absent.
        #[arg(long)]
        from: Option<u64>,
    },
    /// Take work from a backend server: it gets none, and its group finishes what runs.
    Drain {
        /// The backend server.
        name: Box<str>,
    },
    /// Give work to a drained backend server again.
    Undrain {
        /// The backend server.
        name: Box<str>,
    },
    /// Show the revision in force at each process, and why some are behind.
    Status {
        /// Ask for the fate of this write instead.
        #[arg(long, value_name = "ID")]
        write: Option<u64>,
    },
    /// Merge the events of all servers.
    Timeline(TimelineArgs),
    /// Tell one request's story from the log files of the processes.
    Explain {
        /// The caller's id of the request.
        request: Box<str>,
        /// The log files; `-` is standard input.
        #[arg(short, long = "log", required = true, num_args = 1.., value_name = "FILE")]
        logs: Vec<PathBuf>,
    },
    /// Check settings of a daemon, or manifests, without any server.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Print a completion script.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Which events to show.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct TimelineArgs {
    /// Only events of this replica group.
    #[arg(long)]
    pub group: Option<Box<str>>,
    /// Only events of this request.
    #[arg(long)]
    pub request: Option<u64>,
    /// Only events of this VM.
    #[arg(long)]
    pub vm: Option<Box<str>>,
    /// Only events at or after this time, in milliseconds since the Unix epoch.
    #[arg(long, value_name = "MS")]
    pub since: Option<u64>,
    /// Only events before this time, in milliseconds since the Unix epoch.
    #[arg(long, value_name = "MS")]
    pub until: Option<u64>,
}
