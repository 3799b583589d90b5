//! The readiness endpoint for the load balancer in front of the processes, and the endpoint for
//! metrics and evacuations.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use futures::FutureExt;
use http::StatusCode;
use kernel::prelude::*;
use tokio_util::sync::CancellationToken;
use web::prelude::*;
use web::server::Handler;

use crate::descriptors::DescriptorShares;
use crate::evacuations;
use crate::local_state::SharedState;
use crate::logging;
use crate::metrics::Metrics;
use crate::names;
use crate::resources;
use crate::settings::Settings;

/// Returns the service that answers readiness checks.
///
/// A process is ready once it has a configuration, until it starts to stop.
pub fn service() -> Service {
    Service::new(names::READY, &[names::SERVE], run)
}

/// Returns the service that serves the metrics, if an address is set for them.
pub fn metrics_service() -> Service {
    Service::new(names::METRICS, &[], run_metrics)
}

async fn run(cx: Context) -> Result<(), ServiceError> {
    let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
    let shared: Arc<SharedState> = cx.registry().lookup(names::PROCESS)?;
    let context = cx.clone();
    let handler =
        Arc::new(move |request| respond(context.clone(), shared.clone(), request).boxed());
    let shares: DescriptorShares = cx.registry().lookup(names::PROCESS)?;
    listen(cx, settings.readiness, shares.readiness, handler).await
}

async fn run_metrics(cx: Context) -> Result<(), ServiceError> {
    let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
    let shared: Arc<SharedState> = cx.registry().lookup(names::PROCESS)?;
    let metrics: Metrics = cx.registry().lookup(names::PROCESS)?;
    let Some(address) = settings.metrics else {
        cx.ready();
        cx.stopping().await;
        return Ok(());
    };
    let context = cx.clone();
    let handler = Arc::new(move |request: Request| {
        let response = match &*request.path {
            "/metrics" => {
                // The listener for callers may not have started yet.
                let drain = context.registry().lookup::<Drain>(names::SERVE);
                metrics.set_requests_in_flight(drain.map_or(0, |drain| drain.count()));
                current(&shared, &metrics, context.now())
            }
            "/evacuations" => evacuations::respond(&shared, context.now()),
            _ => reply::empty(StatusCode::NOT_FOUND),
        };
        futures::future::ready(response).boxed()
    });
    let shares: DescriptorShares = cx.registry().lookup(names::PROCESS)?;
    listen(cx, address, shares.metrics, handler).await
}

async fn listen(
    cx: Context,
    address: SocketAddr,
    max_connections: usize,
    handler: Handler,
) -> Result<(), ServiceError> {
    let listener = bind(address);
    let listener = listener.map_err(|error| ServiceError::new(address.to_string(), error))?;
    let limits = ServerLimits { max_connections, ..ServerLimits::default() };
    let serving = serve(listener, limits, handler, Drain::default(), CancellationToken::new());
    cx.ready();
    tokio::select! {
        ended = serving => ended.map_err(|problem| ServiceError::new(address.to_string(), problem)),
        () = cx.stopping() => Ok(()),
    }
}

/// Updates the gauges and returns all metrics.
fn current(shared: &SharedState, metrics: &Metrics, now: Mono) -> Response {
    let local = shared.local.lock();
    let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
    metrics.waiting.set(gauge(local.dispatch.len()));
    metrics.set_admitted_shares(local.endpoints.admitted_shares());
    metrics.processes.set(gauge(local.processes()));
    metrics.servers.set(gauge(local.reports().servers().len()));
    metrics.servers_in_warm_up.set(gauge(local.endpoints.warm_ups.len(now)));
    let evacuating = || local.endpoints.evacuations.evacuating();
    let requests = evacuating().map(|domain| local.endpoints.requests_in(domain)).sum::<u32>();
    metrics.evacuating_domains.set(gauge(evacuating().count()));
    metrics.requests_in_evacuated_domains.set(i64::from(requests));
    metrics.store_up.set(i64::from(local.store_up));
    if let Some(age) = local.row_cache.age(now) {
        metrics.rows_age_ms.set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
    }
    metrics.version.set(i64::try_from(local.routes.version()).unwrap_or(i64::MAX));
    resources::update(metrics);
    metrics.dropped_lines.set(i64::try_from(logging::dropped_lines()).unwrap_or(i64::MAX));
    reply::text(StatusCode::OK, metrics.text())
}

async fn respond(cx: Context, shared: Arc<SharedState>, request: Request) -> Response {
    let known = shared.local.lock().routes.version() > 0;
    match &*request.path {
        "/ready" if known && !cx.is_process_stopping() => reply::text(StatusCode::OK, "ready"),
        "/ready" => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}
