//! Starts services in dependency order and stops them in reverse order.
//!
//! A service starts once all services that it depends on are ready. The process stops on request,
//! or when a service ends early or panics. The services are then stopped one at a time in the
//! reverse of their start order, each after those that depend on it have ended. A service that
//! ended early is reported by name.
//!
//! A panic in a background task of a service ([`Context::spawn`]) stops the process as well: its
//! service would go on without it. The service is stopped in its turn, so that it can finish what it does.

use std::any::Any;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use base::prelude::*;
use displaydoc::Display;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::JoinError;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::recorder::Recorder;
use crate::registry::Registry;
use crate::service::Context;
use crate::service::Service;
use crate::service::ServiceError;
use crate::service::ServiceName;
use crate::service::TaskName;
use crate::service::supervised;
use crate::timer::Timer;

/// Capacity of the timeline's ring buffer, in events.
const RECORDER_CAPACITY_EVENTS: usize = 16_384;

/// The name of the kernel itself in its errors.
const KERNEL: ServiceName = "kernel";

/// Why the kernel stopped, if not on request.
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
    /// task `{task}` of service `{service}` panicked: {message}
    TaskPanicked {
        /// The service.
        service: ServiceName,
        /// Its task.
        task: TaskName,
        /// The panic's message.
        message: Box<str>,
    },
}

impl std::error::Error for KernelError {}

struct RunningService {
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
    /// Creates a kernel without services for the process `node`.
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

    /// Adds a service. Services may be added in any order.
    pub fn add(&mut self, service: Service) {
        self.services.push(service);
    }

    /// Returns the registry that the services will share.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns a token whose cancellation stops the process.
    pub fn stop_handle(&self) -> CancellationToken {
        self.stop_all.clone()
    }

    /// Runs all services until the process is asked to stop or a service ends early.
    ///
    /// # Errors
    ///
    /// [`KernelError::Order`] before any service is started; otherwise the first failure of a
    /// service, including a failure while stopping.
    pub async fn run(mut self) -> Result<(), KernelError> {
        let services =
            topological_order(std::mem::take(&mut self.services)).map_err(KernelError::Order)?;
        let (timer, ticking) = Timer::new();
        let started = Instant::now();
        self.recorder.record(Event::Started { boot: self.boot });
        let (tx, mut failed_tasks) = mpsc::unbounded_channel();
        tokio::spawn(supervised(KERNEL, "timer", tx.clone(), ticking));
        let mut running: Vec<RunningService> = Vec::new();
        let mut first_error = None;
        for service in services {
            let cx = self.context(service.name, &timer, started, &tx);
            running.push(spawn(service, &cx));
            tokio::select! {
                () = cx.ready.notified() => {}
                () = self.stop_all.cancelled() => break,
                error = first_ended(&mut running) => first_error = Some(error),
                error = failed_tasks.recv() => first_error = error,
            }
            if first_error.is_some() {
                break;
            }
        }
        if first_error.is_none() {
            first_error = tokio::select! {
                () = self.stop_all.cancelled() => None,
                error = first_ended(&mut running) => Some(error),
                error = failed_tasks.recv() => error,
            };
        }
        // On a stop request a service may end at once, and its end may be observed before the
        // request itself. Such a service did not end early.
        let stopping = self.stop_all.is_cancelled();
        first_error.take_if(|error| stopping && matches!(error, KernelError::Ended { .. }));
        if let Some(error) = &first_error {
            log::error!("{error}; the process stops");
        }
        self.stop_all.cancel();
        let stop_error = stop_in_reverse(running).await;
        let task_error = failed_tasks.try_recv().ok();
        match first_error.or(stop_error).or(task_error) {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }

    fn context(
        &self,
        service: ServiceName,
        timer: &Timer,
        started: Instant,
        failed_tasks: &mpsc::UnboundedSender<KernelError>,
    ) -> Context {
        Context {
            service,
            failed_tasks: failed_tasks.clone(),
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

fn spawn(service: Service, cx: &Context) -> RunningService {
    let task = tokio::spawn((service.run)(cx.clone()));
    RunningService { name: service.name, stop: cx.stop.clone(), task: Some(task) }
}

/// Waits until any of the services ends, and returns why. Never resolves without services.
async fn first_ended(running: &mut [RunningService]) -> KernelError {
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
    match error.try_into_panic() {
        Ok(payload) => payload_message(&*payload),
        Err(_) => "the task was cancelled".into(),
    }
}

/// Returns the message of a panic with this payload.
pub(crate) fn payload_message(payload: &(dyn Any + Send)) -> Box<str> {
    let text = payload.downcast_ref::<&'static str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message").into()
}

/// Stops the services, last to first, and returns the first error among them.
async fn stop_in_reverse(running: Vec<RunningService>) -> Option<KernelError> {
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

/// Sorts services topologically, each after all that it depends on.
///
/// Reports all duplicate names and unknown dependencies, or, if there are none, all services that
/// are part of a cycle or depend on one.
fn topological_order(mut pending: Vec<Service>) -> Result<Vec<Service>, Findings> {
    let mut findings = Findings::default();
    let mut known: HashSet<ServiceName> = HashSet::new();
    for service in &pending {
        findings.check(known.insert(service.name), service.name, || "added twice".to_owned());
    }
    for service in &pending {
        for dependency in service.dependencies {
            findings.check(known.contains(dependency), service.name, || {
                format!("depends on service `{dependency}`, which was not added")
            });
        }
    }
    if !findings.is_empty() {
        return Err(findings);
    }
    let mut ordered_names: HashSet<ServiceName> = HashSet::new();
    let mut ordered = Vec::new();
    while !pending.is_empty() {
        let (next, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|service| {
            service.dependencies.iter().all(|name| ordered_names.contains(name))
        });
        if next.is_empty() {
            for service in rest {
                findings.add(service.name, "is part of a dependency cycle or depends on one");
            }
            return Err(findings);
        }
        ordered_names.extend(next.iter().map(|service| service.name));
        ordered.extend(next);
        pending = rest;
    }
    Ok(ordered)
}
