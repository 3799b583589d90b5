//! Starts all services of a pass-through process.

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::sync::OnceLock;

use base::prelude::*;
use kernel::prelude::*;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::decision_log;
use crate::decision_log::Record;
use crate::descriptors;
use crate::descriptors::DescriptorShares;
use crate::integration::Integration;
use crate::local_state::SharedState;
use crate::loop_delay;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::names;
use crate::owner;
use crate::peers;
use crate::ready;
use crate::serve;
use crate::settings::Settings;
use crate::store_sync;

/// How long a stopping process keeps accepting connections, so that the load balancer first
/// notices that it isn't ready.
const LAME_DUCK: Duration = Duration::from_millis(2_500);

/// Returns a kernel with all services of a pass-through process.
pub fn kernel(settings: Settings, integration: Integration) -> Kernel {
    let settings = Arc::new(settings);
    let mut kernel = Kernel::new(settings.node.clone());
    let registry = kernel.registry();
    let shared = SharedState::new(settings.retries);
    shared.local.lock().endpoints.warm_ups.set_tolerance(settings.warm_up);
    if let Some(bound) = settings.evacuation {
        shared.local.lock().endpoints.evacuations.set_bound(bound);
    }
    registry.register(names::PROCESS, Arc::new(shared));
    registry.register(names::PROCESS, Metrics::new());
    registry.register(names::PROCESS, shares(&settings));
    registry.register(names::PROCESS, Memory::from(&*settings));
    registry.register(names::PROCESS, integration);
    registry.register(names::PROCESS, settings);
    kernel.add(store_sync::service());
    kernel.add(owner::service());
    kernel.add(peers::service());
    kernel.add(serve::service());
    kernel.add(ready::service());
    kernel.add(ready::metrics_service());
    kernel.add(loop_delay::service());
    kernel
}

/// Divides the descriptors of the process, and logs how.
fn shares(settings: &Settings) -> DescriptorShares {
    let limit = descriptors::limit(settings.max_descriptors);
    let shares = DescriptorShares::of(limit);
    let DescriptorShares { callers, servers, peers, .. } = shares;
    decision_log::write(&Record::Descriptors { limit, callers, servers, peers });
    shares
}

/// Runs a process until SIGTERM or SIGINT, or until a service ends early.
///
/// SIGHUP calls `reload`, which validates the settings file again.
///
/// # Errors
///
/// Fails if a service ends early.
pub async fn run(
    settings: Settings,
    integration: Integration,
    reload: impl Fn() + Send + 'static,
) -> Result<(), KernelError> {
    let node = settings.node.clone();
    decision_log::write(&Record::Process { node: &node, state: "start", detail: "" });
    let kernel = kernel(settings, integration);
    let stop = kernel.stop_handle();
    let received = Arc::new(OnceLock::new());
    let signals = {
        let (node, received) = (node.clone(), received.clone());
        tokio::spawn(async move {
            let name = wait_for_signal(reload).await;
            decision_log::write(&Record::Process { node: &node, state: "stopping", detail: name });
            // This is the only signal that is waited for.
            let _ = received.set(name);
            stop.cancel();
        })
    };
    let ended = kernel.run().await;
    signals.abort();
    let detail = match &ended {
        Ok(()) => received.get().copied().unwrap_or("asked to stop").to_owned(),
        Err(error) => error.to_string(),
    };
    decision_log::write(&Record::Process { node: &node, state: "stop", detail: &detail });
    ended
}

/// Resolves on a signal to stop, and returns its name.
async fn wait_for_signal(reload: impl Fn()) -> &'static str {
    let mut term = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut int = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    let mut hup = signal(SignalKind::hangup()).expect("SIGHUP can be handled");
    loop {
        tokio::select! {
            _ = term.recv() => return "SIGTERM",
            _ = int.recv() => return "SIGINT",
            _ = hup.recv() => {
                // Without this task the process would ignore signals to stop.
                if catch_unwind(AssertUnwindSafe(&reload)).is_err() {
                    log::error!("reload: it panicked; keeping the current settings");
                }
            }
        }
    }
}

/// Returns how long a process that has `stop` to stop keeps accepting connections.
pub(crate) fn lame_duck(stop: Duration) -> Duration {
    LAME_DUCK.min(stop / 3)
}
