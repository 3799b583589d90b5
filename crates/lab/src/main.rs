//! The development tool `samphire-lab`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use lab::demo;
use lab::load;
use lab::load::Destination;
use lab::load::LoadOptions;
use lab::measure;
use lab::measure::Measure;
use lab::standin;
use lab::standin::StandIn;

/// Timeout of each send of a request under load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Stand-ins, a load generator and measurements for samphireport.
#[derive(Parser)]
#[command(name = "samphire-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the whole path in one process, and print each step.
    Demo,
    /// Run a measurement and print its figures as JSON.
    Measure {
        /// The measurement.
        name: Measure,
    },
    /// Drive load that checks every answer, and print a report as JSON.
    Load(LoadArgs),
    /// Run one stand-in as a process of its own.
    #[command(subcommand)]
    StandIn(StandIn),
}

/// Options of `load`; the daemons must serve the sample deployment's workspaces.
#[derive(Args)]
struct LoadArgs {
    /// Caller addresses of daemons, used in turn.
    #[arg(long = "daemon", required = true)]
    daemons: Vec<SocketAddr>,
    /// Requests a second.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// Seconds for which requests arrive.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Most tokens of an answer.
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
    /// Fraction of streamed answers.
    #[arg(long, default_value_t = 0.8)]
    streamed: f64,
    /// Fraction of requests with high priority.
    #[arg(long, default_value_t = 0.1)]
    high_priority: f64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl LoadArgs {
    async fn run(self) -> Result<(), Box<str>> {
        let load = LoadOptions {
            destination: Destination::Daemons(self.daemons),
            rate: self.rate,
            duration: Duration::from_secs(self.seconds),
            max_tokens: self.max_tokens,
            streamed: self.streamed,
            high_priority: self.high_priority,
            seed: self.seed,
            timeout: LOAD_TIMEOUT,
            resend: true,
        };
        let report = load::drive(&load).await.report();
        let text = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
        println!("{text}");
        match report.lost + report.foreign + report.truncated {
            0 => Ok(()),
            wrong => Err(format!("{wrong} answers were lost, foreign or truncated").into()),
        }
    }
}

/// Logs to standard error; `SAMPHIRE_LAB_LOG` sets the level, `warn` by default.
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
    let args = Cli::parse();
    log_to_stderr();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let done = runtime.block_on(async {
        match args.command {
            Command::Load(load) => load.run().await,
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
