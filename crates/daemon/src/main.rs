//! The daemon `samphired`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use config::prelude::*;

/// Exit code for settings that are not valid.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a daemon that stopped because of an error.
const EXIT_ERROR: u8 = 1;

/// Serves language models that span several VMs: the daemon of an entry VM.
#[derive(Parser)]
#[command(name = "samphired", version)]
struct Args {
    /// The settings file, JSON.
    #[arg(long, value_name = "FILE", required_unless_present_any = ["check_settings"])]
    settings: Option<PathBuf>,
    /// Check a settings file, report every fault in it, and exit.
    #[arg(long, value_name = "FILE")]
    check_settings: Option<PathBuf>,
    /// Print the effective settings with all defaults, and exit.
    #[arg(long)]
    print_settings: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let path = args.check_settings.as_ref().or(args.settings.as_ref());
    let path = path.expect("clap requires one of the two");
    let settings = match read(path) {
        Ok(settings) => settings,
        Err(problem) => {
            eprintln!("{}:\n{problem}", path.display());
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.print_settings {
        let text = serde_json::to_string_pretty(&settings).expect("settings have a JSON form");
        println!("{text}");
        return ExitCode::SUCCESS;
    }
    if args.check_settings.is_some() {
        println!("{}: the settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    run(settings)
}

fn read(path: &PathBuf) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    Settings::try_from(text.as_str()).map_err(|findings| findings.to_string())
}

fn run(settings: Settings) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::from(EXIT_ERROR);
        }
    };
    let entered = runtime.enter();
    if let Err(error) = kernel::signals::survive_file_size_limit() {
        eprintln!("signals: {error}");
        return ExitCode::from(EXIT_ERROR);
    }
    drop(entered);
    if let Err(error) = daemon::logging::set_up(&settings) {
        eprintln!("logging: {error}");
        return ExitCode::from(EXIT_ERROR);
    }
    match runtime.block_on(daemon::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
