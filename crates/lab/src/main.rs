//! The development tool `samphire-lab`.

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;
use lab::demo;
use lab::measure;
use lab::measure::Measure;
use lab::standin;
use lab::standin::StandIn;

/// Stand-ins, a load generator and measurements for samphireport.
#[derive(Parser)]
#[command(name = "samphire-lab", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the whole path in one process, and tell what happens.
    Demo,
    /// Run a measurement and print its figures as JSON.
    Measure {
        /// Which one.
        name: Measure,
    },
    /// Run one stand-in as a process of its own.
    #[command(subcommand)]
    StandIn(StandIn),
}

/// Sets up plain logs; `SAMPHIRE_LAB_LOG` gives the level, `warn` if it is absent.
fn log_to_stderr() {
    let level = std::env::var("SAMPHIRE_LAB_LOG").ok().and_then(|level| level.parse().ok());
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{} {}: {message}", record.level(), record.target()));
        })
        .level(level.unwrap_or(log::LevelFilter::Warn))
        .chain(std::io::stderr());
    if dispatch.apply().is_err() {
        eprintln!("samphire-lab: logging was set up before");
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    log_to_stderr();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let done = runtime.block_on(async {
        match args.command {
            Command::Demo => demo::run().await,
            Command::Measure { name } => {
                println!("{:#}", measure::run(name).await);
                Ok(())
            }
            Command::StandIn(what) => standin::run(what).await,
        }
    });
    runtime.shutdown_background();
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("samphire-lab: {problem}");
            ExitCode::FAILURE
        }
    }
}
