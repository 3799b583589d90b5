//! Starts all services of a daemon.

use std::sync::Arc;

use config::prelude::*;
use kernel::prelude::*;

use crate::accept;
use crate::announce;
use crate::announce::Addresses;
use crate::catalog;
use crate::entry;
use crate::keeper;
use crate::member;
use crate::member_seeds;
use crate::metrics::Metrics;
use crate::names;
use crate::once;
use crate::operator;
use crate::peer;
use crate::planner;
use crate::route;
use crate::store;
use crate::vm_list;

/// Services that must be ready before the process announces its addresses.
const ANNOUNCED: &[ServiceName] = &[names::ENTRY, names::OPERATOR];

/// Creates the kernel with all services for `settings`. `print` receives the line that announces
/// where the process listens.
pub fn kernel(settings: Settings, print: fn(&str)) -> Kernel {
    let settings = Arc::new(settings);
    let mut kernel = Kernel::new(settings.node.clone());
    let registry = kernel.registry();
    registry.register(names::PROCESS, Metrics::new());
    registry.register(names::PROCESS, Addresses::default());
    registry.register(names::PROCESS, settings.clone());
    kernel.add(store::service(settings.kv.clone()));
    kernel.add(peer::server::service());
    kernel.add(member::service());
    kernel.add(member_seeds::service());
    kernel.add(catalog::service());
    kernel.add(vm_list::service());
    kernel.add(keeper::service());
    kernel.add(planner::service());
    kernel.add(route::service());
    kernel.add(route::exchange::service());
    kernel.add(once::service());
    kernel.add(entry::service());
    kernel.add(accept::service());
    kernel.add(operator::service());
    kernel.add(announce::service(ANNOUNCED, print));
    kernel
}

/// Runs a daemon until SIGTERM or SIGINT, or until a service ends early.
pub async fn run(settings: Settings) -> Result<(), KernelError> {
    let kernel = kernel(settings, |line| println!("{line}"));
    let stop = kernel.stop_handle();
    tokio::spawn(async move {
        wait_for_signal().await;
        log::info!("stopping after a signal; open streams are completed first");
        stop.cancel();
    });
    kernel.run().await
}

async fn wait_for_signal() {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;
    let mut term = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut int = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    let mut hup = signal(SignalKind::hangup()).expect("SIGHUP can be handled");
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = int.recv() => return,
            _ = hup.recv() => log::info!("SIGHUP changes nothing: settings apply at the next start"),
        }
    }
}
