//! The stand-in list of VMs, which reports changes of their states with a lag.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::prelude::*;
use futures::FutureExt;
use http::Method;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::prelude::*;

use crate::engine::server::read;

/// The state of a VM in the platform's list.
#[key]
pub enum VmState {
    /// It runs.
    Live,
    /// It runs and will soon be removed.
    Leaving,
    /// It has been removed.
    Gone,
}

/// One VM of the list.
#[wire]
pub struct VmEntry {
    /// The VM.
    pub vm: VmId,
    /// Its state.
    pub state: VmState,
}

/// The list in the platform's format.
#[wire]
pub struct VmList {
    /// All VMs that were ever listed, removed ones included.
    pub vms: Vec<VmEntry>,
}

struct State {
    lag: Duration,
    changes: Mutex<Vec<(Instant, VmEntry)>>,
}

/// Serves the list on `listener` until `stop`; `POST /control/vm` changes the state of a VM.
pub async fn run(
    listener: TcpListener,
    lag: Duration,
    stop: CancellationToken,
) -> Result<(), Box<str>> {
    let state = Arc::new(State { lag, changes: Mutex::default() });
    let handler = Arc::new(move |req: Request| handle(state.clone(), req).boxed());
    serve(listener, ServerLimits::default(), handler, Drain::default(), stop).await
}

async fn handle(state: Arc<State>, req: Request) -> Response {
    match (&req.method, &*req.path) {
        (&Method::GET, "/v1/vms") => reply::json(StatusCode::OK, &state.list()),
        (&Method::POST, "/control/vm") => match read::<VmEntry>(req).await {
            Ok(entry) => {
                state.changes.lock().push((Instant::now(), entry));
                reply::empty(StatusCode::NO_CONTENT)
            }
            Err(response) => response,
        },
        (_, path) => reply::text(StatusCode::NOT_FOUND, format!("no such path: {path}")),
    }
}

impl State {
    /// Returns the list as it was `lag` ago.
    fn list(&self) -> VmList {
        let mut states = BTreeMap::new();
        for (at, entry) in &*self.changes.lock() {
            if at.elapsed() >= self.lag {
                states.insert(entry.vm.clone(), entry.state);
            }
        }
        let vms = states.into_iter().map(|(vm, state)| VmEntry { vm, state }).collect();
        VmList { vms }
    }
}
