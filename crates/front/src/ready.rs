//! Readiness, as the balancer in front of the processes asks for it.

use std::sync::Arc;

use futures::FutureExt;
use http::StatusCode;
use kernel::prelude::*;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::prelude::*;

use crate::names;
use crate::settings::Settings;
use crate::world::Shared;

/// Makes the service.
pub fn service() -> Service {
    Service::new(names::READY, &[names::SERVE], run)
}

async fn run(cx: Context) -> Result<(), Fault> {
    let settings: Arc<Settings> = cx.registry().find(names::PROCESS)?;
    let shared: Arc<Shared> = cx.registry().find(names::PROCESS)?;
    let listener = TcpListener::bind(settings.readiness).await;
    let listener = listener.map_err(|error| Fault::new(settings.readiness.to_string(), error))?;
    let handler = {
        let cx = cx.clone();
        Arc::new(move |request| respond(cx.clone(), shared.clone(), request).boxed())
    };
    let stop = CancellationToken::new();
    let limits = ServerLimits { max_connections: 64, ..ServerLimits::default() };
    let serving = serve(listener, limits, handler, Drain::default(), stop.clone());
    cx.ready();
    tokio::select! {
        ended = serving => {
            ended.map_err(|problem| Fault::new(settings.readiness.to_string(), problem))
        }
        () = cx.stopping() => Ok(()),
    }
}

async fn respond(cx: Context, shared: Arc<Shared>, request: Request) -> Response {
    let known = shared.world.lock().routes.version() > 0;
    match &*request.path {
        "/ready" if known && !cx.is_process_stopping() => reply::text(StatusCode::OK, "ready"),
        "/ready" => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}
