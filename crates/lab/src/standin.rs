//! The command that runs one stand-in as a process.
//!
//! A stand-in prints a JSON line with the address of each of its listeners once that is bound, then
//! runs until it is killed.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Subcommand;
use futures::FutureExt;
use http::Method;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::prelude::*;

use crate::engine::Engine;
use crate::engine::EngineOptions;
use crate::engine::server::read;
use crate::kv::KvServer;
use crate::plain;
use crate::vms;
use crate::weights::WeightStore;

/// Default rate of an engine's weight store.
const WEIGHTS_BYTES_PER_SECOND: f64 = 1e9;

/// Which stand-in to run.
#[derive(Clone, Debug, Subcommand)]
pub enum StandIn {
    /// The key-value service.
    Kv {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Where its faults are switched: `POST /control/faults`, `GET /control/counts`.
        #[arg(long, default_value = "127.0.0.1:0")]
        control: SocketAddr,
    },
    /// A model engine on one VM.
    Engine {
        /// The VM's name.
        #[arg(long)]
        vm: String,
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Milliseconds to the first token of a prompt that is not cached.
        #[arg(long, default_value_t = 5)]
        prefill_ms: u64,
        /// Milliseconds between tokens.
        #[arg(long, default_value_t = 2)]
        token_ms: u64,
        /// Execute orders with an outdated fencing token too.
        #[arg(long)]
        no_fencing: bool,
        /// Rate of its weight store in bytes per second.
        #[arg(long, default_value_t = WEIGHTS_BYTES_PER_SECOND)]
        weights_rate: f64,
    },
    /// A plain service.
    Plain {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// The list of VMs.
    Vms {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Time until it reports a change, in milliseconds.
        #[arg(long, default_value_t = 200)]
        lag_ms: u64,
    },
}

/// Runs a stand-in until the process is killed.
pub async fn run(what: StandIn) -> Result<(), Box<str>> {
    match what {
        StandIn::Kv { listen, control } => run_kv(listen, control).await,
        StandIn::Engine { vm, listen, prefill_ms, token_ms, no_fencing, weights_rate } => {
            let options = EngineOptions {
                prefill: Duration::from_millis(prefill_ms),
                token_interval: Duration::from_millis(token_ms),
                checks_fencing: !no_fencing,
                crash_exits: true,
                ..EngineOptions::quick(&vm)
            };
            let listener = bind("engine", listen).await?;
            let _engine = Engine::start(listener, options, WeightStore::new(weights_rate));
            std::future::pending().await
        }
        StandIn::Plain { listen } => {
            plain::run(bind("plain", listen).await?, CancellationToken::new()).await
        }
        StandIn::Vms { listen, lag_ms } => {
            let lag = Duration::from_millis(lag_ms);
            vms::run(bind("vms", listen).await?, lag, CancellationToken::new()).await
        }
    }
}

async fn bind(name: &str, at: SocketAddr) -> Result<TcpListener, Box<str>> {
    let bound = TcpListener::bind(at).await;
    let listener = bound.map_err(|error| format!("{at}: {error}"))?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    println!("{}", serde_json::json!({"listening": [{"name": name, "address": address}]}));
    Ok(listener)
}

async fn run_kv(listen: SocketAddr, control: SocketAddr) -> Result<(), Box<str>> {
    let server = KvServer::default();
    let control = bind("kv-control", control).await?;
    let faults = server.faults.clone();
    let handler = std::sync::Arc::new(move |req: Request| {
        let faults = faults.clone();
        async move {
            match (&req.method, &*req.path) {
                (&Method::GET, "/control/counts") => reply::json(StatusCode::OK, &faults.counts()),
                (&Method::POST, "/control/faults") => match read(req).await {
                    Ok(order) => match faults.apply_json(&order) {
                        Ok(()) => reply::empty(StatusCode::NO_CONTENT),
                        Err(findings) => reply::text(StatusCode::BAD_REQUEST, findings.to_string()),
                    },
                    Err(response) => response,
                },
                _ => reply::text(StatusCode::NOT_FOUND, "no such path"),
            }
        }
        .boxed()
    });
    let stop = CancellationToken::new();
    tokio::spawn(serve(control, ServerLimits::default(), handler, Drain::default(), stop));
    let listener = bind("kv", listen).await?;
    server.serve(listener).await.map_err(|error| error.to_string().into())
}
