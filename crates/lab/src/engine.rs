//! A stand-in model engine.
//!
//! It speaks the protocol of a model engine: orders with fencing tokens, boot ids, prioritized
//! generation, resumption and cancellation of streams, cache events and load figures. The text of
//! an answer is a pure function of the request; see [`crate::text`].
//!
//! - [`attempts`]: the attempts that it runs, each a log of pieces that streams read.
//! - [`members`]: orders, fencing, loading, and health checks of the group's other members.
//! - [`faults`]: the faults that a test switches.
//! - [`server`]: its HTTP interface.

pub mod attempts;
pub mod faults;
pub mod members;
pub mod server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::engine::attempts::Attempts;
use crate::engine::faults::Faults;
use crate::engine::members::MemberState;
use crate::weights::WeightStore;

/// How a stand-in engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The VM that it runs on.
    pub vm: VmId,
    /// Whether it refuses an order with an outdated fencing token.
    pub checks_fencing: bool,
    /// Number of attempts that run at once.
    pub slots: usize,
    /// Maximum number of attempts that wait for a slot.
    pub max_queued: usize,
    /// Time to the first token of a prompt that is not cached.
    pub prefill: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Number of prompt prefixes that its cache holds.
    pub cached_prefixes: usize,
    /// Age of its load figures when reported.
    pub load_lag: Duration,
    /// Whether a crash exits the process, for an engine in a process of its own, or only closes the
    /// engine's sockets.
    pub crash_exits: bool,
}

impl EngineOptions {
    /// Returns the options of a fast engine for tests.
    pub fn quick(vm: &str) -> Self {
        EngineOptions {
            vm: vm.into(),
            checks_fencing: true,
            slots: 64,
            max_queued: 1_024,
            prefill: Duration::from_millis(5),
            token_interval: Duration::from_millis(2),
            cached_prefixes: 64,
            load_lag: Duration::from_millis(100),
            crash_exits: false,
        }
    }
}

/// The shared state of one engine.
pub struct Shared {
    /// Its options.
    pub options: EngineOptions,
    /// Random id of this process instance of the engine.
    pub boot: BootId,
    /// Its group, rank and loaded weights.
    pub member_state: Mutex<MemberState>,
    /// Its attempts.
    pub attempts: Attempts,
    /// The faults that are on.
    pub faults: Mutex<Faults>,
    /// The store that it loads weights from.
    pub weights: WeightStore,
    /// Cancelled when the engine crashes or stops.
    pub down: CancellationToken,
}

impl Shared {
    /// Crashes the engine: its sockets close and its attempts are lost.
    pub fn crash(&self) {
        if self.options.crash_exits {
            log::error!(
                "engine of VM {}: simulated crash, exiting with status 137",
                self.options.vm
            );
            std::process::exit(137);
        }
        self.down.cancel();
    }
}

/// A running stand-in engine.
pub struct Engine {
    /// Its address.
    pub address: SocketAddr,
    /// Its state.
    pub shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on `listener`.
    pub fn start(listener: TcpListener, options: EngineOptions, weights: WeightStore) -> Self {
        let address = listener.local_addr().expect("the listener is bound");
        let shared = Arc::new(Shared {
            attempts: Attempts::new(&options),
            options,
            boot: random_id(),
            member_state: Mutex::default(),
            faults: Mutex::default(),
            weights,
            down: CancellationToken::new(),
        });
        let task = tokio::spawn(server::run(listener, shared.clone()));
        Engine { address, shared, task }
    }

    /// Crashes the engine and waits until its port is closed.
    pub async fn crash(self) {
        self.shared.down.cancel();
        // The task ends once its listener is closed.
        let _ = self.task.await;
    }
}
