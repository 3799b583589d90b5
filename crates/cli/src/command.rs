//! Implementation of the commands.

mod check;
mod edit;
mod evacuations;
mod explain;
mod show;
mod status;
mod timeline;
mod watch;

use std::path::Path;
use std::time::Duration;

use clap::CommandFactory;

pub use self::check::check;
pub use self::timeline::MergedTimeline;
pub use self::timeline::merge;
pub use self::timeline::missing_processes;
use crate::args::Args;
use crate::args::Command;
use crate::failure::Failure;
use crate::servers::Servers;

/// Environment variable with the token.
const TOKEN_VARIABLE: &str = "SAMPHIRE_TOKEN";

/// Executes the command of `args`.
pub async fn run(args: Args) -> Result<(), Failure> {
    let token = token(args.token_file.as_deref())?;
    let timeout = Duration::from_millis(args.timeout_ms);
    let servers = Servers::new(args.servers, token, timeout);
    let output = args.output;
    match args.command {
        Command::Apply { files, dry_run } => edit::apply(&servers, &files, dry_run, output).await,
        Command::Get { kind, name: None } => show::list(&servers, kind, output).await,
        Command::Get { kind, name: Some(name) } => show::get(&servers, kind, &name, output).await,
        Command::Describe { kind, name } => show::describe(&servers, kind, &name, output).await,
        Command::Delete { kind, name, revision, dry_run } => {
            edit::delete(&servers, kind, &name, revision, dry_run, output).await
        }
        Command::Watch { kind, from } => watch::watch(&servers, kind, from, output).await,
        Command::Drain { name } => edit::drain(&servers, &name, true, output).await,
        Command::Undrain { name } => edit::drain(&servers, &name, false, output).await,
        Command::Status { write: None } => status::processes(&servers, output).await,
        Command::Status { write: Some(id) } => status::write(&servers, id, output).await,
        Command::Evacuations => evacuations::evacuations(&servers, output).await,
        Command::Timeline(filter) => timeline::timeline(&servers, &filter, output).await,
        Command::Explain { request, logs } => explain::explain(&request, &logs),
        Command::Check { file } => check(&file),
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "samphire", &mut std::io::stdout());
            Ok(())
        }
    }
}

fn token(file: Option<&Path>) -> Result<Option<Box<str>>, Failure> {
    let Some(file) = file else {
        return Ok(std::env::var(TOKEN_VARIABLE).ok().map(Into::into));
    };
    let text = read_file(file)?;
    Ok(Some(text.trim().into()))
}

/// Reads a file; `-` is standard input.
fn read_file(path: &Path) -> Result<String, Failure> {
    let text = if path == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    text.map_err(|error| Failure::bad_input(path.display().to_string(), error))
}

/// Prints a value as JSON.
fn print_json<T: serde::Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value).expect("responses can be serialized as JSON");
    println!("{text}");
}
