//! Starts all services of a pass-through process.

use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::edges::Edges;
use crate::follow;
use crate::metrics::Metrics;
use crate::names;
use crate::owner;
use crate::peers;
use crate::ready;
use crate::report;
use crate::report::Line;
use crate::serve;
use crate::settings::Settings;
use crate::world::Shared;

/// How long a stopping process keeps taking connections, so that the balancer notices first.
const LAME_DUCK: Duration = Duration::from_millis(2_500);

/// Makes the kernel with all services.
pub fn kernel(settings: Settings, edges: Edges) -> Kernel {
    let settings = Arc::new(settings);
    let mut kernel = Kernel::new(settings.node.clone());
    let registry = kernel.registry();
    registry.offer(names::PROCESS, Arc::new(Shared::new(settings.retries)));
    registry.offer(names::PROCESS, Metrics::new());
    registry.offer(names::PROCESS, edges);
    registry.offer(names::PROCESS, settings);
    kernel.add(follow::service());
    kernel.add(owner::service());
    kernel.add(peers::service());
    kernel.add(serve::service());
    kernel.add(ready::service());
    kernel.add(ready::metrics_service());
    kernel
}

/// Runs a process until SIGTERM or SIGINT, or until a service ends early.
///
/// SIGHUP calls `reload`, which tells whether the settings have changed.
pub async fn run(
    settings: Settings,
    edges: Edges,
    reload: impl Fn() + Send + 'static,
) -> Result<(), KernelError> {
    let node = settings.node.clone();
    report::write(&Line::Process { node: &node, state: "start", detail: "" });
    let kernel = kernel(settings, edges);
    let stop = kernel.stop_handle();
    let signals = tokio::spawn(async move {
        wait_for_signal(reload).await;
        log::info!("a signal asks the process to stop; open requests are finished first");
        stop.cancel();
    });
    let ended = kernel.run().await;
    signals.abort();
    report::write(&Line::Process { node: &node, state: "stop", detail: "" });
    ended
}

async fn wait_for_signal(reload: impl Fn()) {
    let mut term = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut int = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    let mut hup = signal(SignalKind::hangup()).expect("SIGHUP can be handled");
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = int.recv() => return,
            _ = hup.recv() => reload(),
        }
    }
}

/// Returns how long a stopping process keeps taking connections.
pub(crate) fn lame_duck(stop: Duration) -> Duration {
    LAME_DUCK.min(stop / 3)
}
