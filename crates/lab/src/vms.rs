//! The stand-in list of VMs: live and leaving ones, told with a lag.

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

/// What the platform says of a VM.
#[key]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be gone soon.
    Leaving,
    /// It is gone.
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

/// The list, as the platform gives it.
#[wire]
pub struct VmList {
    /// All VMs that were ever live.
    pub vms: Vec<VmEntry>,
}

struct State {
    lag: Duration,
    changes: Mutex<Vec<(Instant, VmEntry)>>,
}

/// Serves the list on `listener` until `stop`; changes come through `POST /control/vm`.
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
    /// Returns the list as it was one lag ago.
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
