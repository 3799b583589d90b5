//! The VMs that are leaving, according to the platform's list of VMs, which may lag.
//!
//! Polls the list and publishes [`LeavingVms`] under [`names::VM_LIST`]. While the list cannot be
//! read, the last one stays in use.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use config::prelude::*;
use http::Method;
use kernel::prelude::*;
use web::prelude::Client;

use crate::names;

/// Timeout of reading the list.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The VMs that are leaving or gone, according to the platform.
#[data]
#[derive(Default)]
pub struct LeavingVms {
    /// Their names.
    pub vms: BTreeSet<VmId>,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
    Gone,
}

#[derive(serde::Deserialize)]
struct Row {
    vm: VmId,
    state: State,
}

#[derive(serde::Deserialize)]
struct List {
    vms: Vec<Row>,
}

/// Returns the service.
pub fn service() -> Service {
    Service::new(names::VM_LIST, &[], |cx| async move {
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let tx = cx.publish(names::VM_LIST, LeavingVms::default());
        cx.ready();
        let Some(address) = settings.vm_list.address else {
            cx.stopping().await;
            return Ok(());
        };
        let client = Client::pooled(READ_TIMEOUT);
        let mut ticks = cx.every(settings.vm_list.period);
        loop {
            tokio::select! {
                () = ticks.tick() => {}
                () = cx.stopping() => return Ok(()),
            }
            match read(&client, address).await {
                Ok(leaving) => {
                    record_leaving(&cx, &tx.borrow(), &leaving);
                    tx.send_if_modified(|last| {
                        let changed = **last != leaving;
                        *last = Arc::new(leaving);
                        changed
                    });
                }
                Err(error) => log::warn!("cannot read the list of VMs at {address}: {error}"),
            }
        }
    })
}

async fn read(client: &Client, address: SocketAddr) -> Result<LeavingVms, Box<str>> {
    let list = client.json::<(), List>(address, Method::GET, "/v1/vms", None, READ_TIMEOUT);
    let list = list.await.map_err(|error| error.to_string())?;
    let leaving = list.vms.into_iter().filter(|row| !matches!(row.state, State::Live));
    Ok(LeavingVms { vms: leaving.map(|row| row.vm).collect() })
}

fn record_leaving(cx: &Context, last: &LeavingVms, next: &LeavingVms) {
    for vm in next.vms.difference(&last.vms) {
        cx.record(Event::Leaving { vm: vm.clone(), source: "vm_list".into() });
    }
}
