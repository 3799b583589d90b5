//! Starts services in dependency order and stops them in reverse.
//!
//! A service starts once all that it needs are ready. The process stops when it is asked to, or
//! when a service ends early or panics: then the services are asked to end one by one, in the
//! reverse of their starting order, each after those that need it have ended. A service that
//! ended early is reported by name.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use base::prelude::*;
use displaydoc::Display;
use tokio::sync::Notify;
use tokio::task::JoinError;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::recorder::Recorder;
use crate::registry::Registry;
use crate::service::Context;
use crate::service::Service;
use crate::service::ServiceError;
use crate::service::ServiceName;
use crate::timer::Timer;

/// Events that the time line's ring holds.
const RECORDER_CAPACITY_EVENTS: usize = 16_384;

/// Why the kernel stopped other than on request.
#[derive(Debug, Display)]
pub enum KernelError {
    /// services cannot be ordered:\n{0}
    Order(Findings),
    /// service `{service}` ended early
    Ended {
        /// The service.
        service: ServiceName,
    },
    /// service `{service}` failed: {error}
    Failed {
        /// The service.
        service: ServiceName,
        /// Why.
        error: ServiceError,
    },
    /// service `{service}` panicked: {message}
    Panicked {
        /// The service.
        service: ServiceName,
        /// The panic's message.
        message: Box<str>,
    },
}

impl std::error::Error for KernelError {}

struct Running {
    name: ServiceName,
    stop: CancellationToken,
    task: Option<JoinHandle<Result<(), ServiceError>>>,
}

/// The kernel of one process.
pub struct Kernel {
    node: NodeId,
    boot: BootId,
    registry: Registry,
    recorder: Recorder,
    stop_all: CancellationToken,
    services: Vec<Service>,
}

impl Kernel {
    /// Makes a kernel without services for the process `node`.
    pub fn new(node: NodeId) -> Self {
        Kernel {
            recorder: Recorder::new(node.clone(), RECORDER_CAPACITY_EVENTS),
            node,
            boot: random_id(),
            registry: Registry::default(),
            stop_all: CancellationToken::new(),
            services: Vec::new(),
        }
    }

    /// Adds a service; the order of addition does not matter.
    pub fn add(&mut self, service: Service) {
        self.services.push(service);
    }

    /// Returns the registry that the services will share.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns a token; cancelling it stops the process.
    pub fn stop_handle(&self) -> CancellationToken {
        self.stop_all.clone()
    }

    /// Runs all services until the process is asked to stop or a service ends early.
    pub async fn run(mut self) -> Result<(), KernelError> {
        let services = in_order(std::mem::take(&mut self.services)).map_err(KernelError::Order)?;
        let timer = Timer::start();
        let started = Instant::now();
        self.recorder.record(Event::Started { boot: self.boot });
        let mut running: Vec<Running> = Vec::new();
        let mut first_error = None;
        for service in services {
            let cx = self.context(&timer, started);
            running.push(spawn(service, &cx));
            tokio::select! {
                () = cx.ready.notified() => {}
                () = self.stop_all.cancelled() => break,
                error = first_ended(&mut running) => {
                    first_error = Some(error);
                    break;
                }
            }
        }
        if first_error.is_none() {
            first_error = tokio::select! {
                () = self.stop_all.cancelled() => None,
                error = first_ended(&mut running) => Some(error),
            };
        }
        // A service may end as soon as the process is asked to stop, and be seen before the
        // request.
        let stopping = self.stop_all.is_cancelled();
        first_error.take_if(|error| stopping && matches!(error, KernelError::Ended { .. }));
        self.stop_all.cancel();
        let stop_error = stop_in_reverse(running).await;
        match first_error.or(stop_error) {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }

    fn context(&self, timer: &Timer, started: Instant) -> Context {
        Context {
            node: self.node.clone(),
            boot: self.boot,
            started,
            registry: self.registry.clone(),
            timer: timer.clone(),
            recorder: self.recorder.clone(),
            ready: Arc::new(Notify::new()),
            stop: CancellationToken::new(),
            stop_all: self.stop_all.clone(),
        }
    }
}

fn spawn(service: Service, cx: &Context) -> Running {
    let task = tokio::spawn((service.run)(cx.clone()));
    Running { name: service.name, stop: cx.stop.clone(), task: Some(task) }
}

/// Waits until any of the services ends, and returns why; never resolves without services.
async fn first_ended(running: &mut [Running]) -> KernelError {
    let waits = running.iter_mut().filter_map(|service| {
        let name = service.name;
        let task = service.task.as_mut()?;
        Some(Box::pin(async move { (name, task.await) }))
    });
    let waits: Vec<_> = waits.collect();
    if waits.is_empty() {
        return std::future::pending().await;
    }
    let ((name, result), _, _) = futures::future::select_all(waits).await;
    for service in running.iter_mut().filter(|service| service.name == name) {
        service.task = None;
    }
    early_end(name, result)
}

fn early_end(
    service: ServiceName,
    result: Result<Result<(), ServiceError>, JoinError>,
) -> KernelError {
    match result {
        Ok(Ok(())) => KernelError::Ended { service },
        Ok(Err(error)) => KernelError::Failed { service, error },
        Err(error) => KernelError::Panicked { service, message: panic_message(error) },
    }
}

fn panic_message(error: JoinError) -> Box<str> {
    let Ok(payload) = error.try_into_panic() else { return "the task was cancelled".into() };
    match payload.downcast::<String>() {
        Ok(message) => (*message).into(),
        Err(payload) => match payload.downcast::<&'static str>() {
            Ok(message) => (*message).into(),
            Err(_) => "no message".into(),
        },
    }
}

/// Ends the services last to first; returns the first fault among them.
async fn stop_in_reverse(running: Vec<Running>) -> Option<KernelError> {
    let mut first = None;
    for service in running.into_iter().rev() {
        service.stop.cancel();
        let Some(task) = service.task else { continue };
        match task.await {
            Ok(Ok(())) => {}
            failed => {
                let error = early_end(service.name, failed);
                log::error!("{error}");
                first.get_or_insert(error);
            }
        }
    }
    first
}

/// Orders services so that each stands after all that it needs.
///
/// Finds every duplicate name, unknown need and cycle.
fn in_order(mut waiting: Vec<Service>) -> Result<Vec<Service>, Findings> {
    let mut findings = Findings::default();
    let mut known: HashSet<ServiceName> = HashSet::new();
    for service in &waiting {
        findings.check(known.insert(service.name), service.name, || "added twice".to_owned());
    }
    for service in &waiting {
        for need in service.dependencies {
            findings.check(known.contains(need), service.name, || {
                format!("needs service `{need}`, which was not added")
            });
        }
    }
    if !findings.is_empty() {
        return Err(findings);
    }
    let mut placed: HashSet<ServiceName> = HashSet::new();
    let mut ordered = Vec::new();
    while !waiting.is_empty() {
        let (next, rest): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|service| service.dependencies.iter().all(|need| placed.contains(need)));
        if next.is_empty() {
            for service in rest {
                findings.add(service.name, "stands in a cycle of needs");
            }
            return Err(findings);
        }
        placed.extend(next.iter().map(|service| service.name));
        ordered.extend(next);
        waiting = rest;
    }
    Ok(ordered)
}
