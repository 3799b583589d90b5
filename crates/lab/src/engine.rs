//! A stand-in model engine: generations, boot ids, priorities, resume, cancel, orders, faults.
//!
//! - [`attempts`]: the attempts that it runs, each a log of pieces that streams read.
//! - [`members`]: orders, fencing, loading, and the watch over the group's other members.
//! - [`faults`]: what a test may switch.
//! - [`server`]: its HTTP side.

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
    /// Its VM.
    pub vm: VmId,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Attempts that run at once.
    pub slots: usize,
    /// Attempts that may wait.
    pub max_queued: usize,
    /// Time to the first token of a prompt that is not cached.
    pub prefill: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Prefixes that its cache holds.
    pub cached_prefixes: usize,
    /// How old its load figures are when reported.
    pub load_lag: Duration,
    /// Whether a crash ends the process, as in a stand-in of its own, or only its sockets.
    pub crash_exits: bool,
}

impl EngineOptions {
    /// Returns the options of a quick engine for tests.
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

/// What the parts of one engine share.
pub struct Shared {
    /// How it behaves.
    pub options: EngineOptions,
    /// The life of the engine.
    pub boot: BootId,
    /// Its place in a group.
    pub member_state: Mutex<MemberState>,
    /// The attempts that it runs.
    pub attempts: Attempts,
    /// What is switched.
    pub faults: Mutex<Faults>,
    /// Where it loads weights from.
    pub weights: WeightStore,
    /// Cancelled when the engine crashes or stops.
    pub down: CancellationToken,
}

impl Shared {
    /// Crashes the engine: its sockets close, and what it ran is lost.
    pub fn crash(&self) {
        if self.options.crash_exits {
            log::error!("the engine of VM {} crashes", self.options.vm);
            std::process::exit(137);
        }
        self.down.cancel();
    }
}

/// A running stand-in engine.
pub struct Engine {
    /// Where it listens.
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

    /// Crashes it and waits until its port is closed.
    pub async fn crash(self) {
        self.shared.down.cancel();
        // The task ends by itself once its listener is closed.
        let _ = self.task.await;
    }
}
