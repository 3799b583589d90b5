//! Services and the context that they run in.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::panic::resume_unwind;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::prelude::*;
use displaydoc::Display;
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::kernel::KernelError;
use crate::kernel::payload_message;
use crate::recorder::Recorder;
use crate::registry::NotRegistered;
use crate::registry::Registry;
use crate::timer::Ticks;
use crate::timer::Timer;

/// Name of a service, unique in its process.
pub type ServiceName = &'static str;

/// Name of a background task of a service.
pub type TaskName = &'static str;

/// Why a service ended early.
#[derive(Debug, Display)]
pub enum ServiceError {
    /// {0}
    NotRegistered(NotRegistered),
    /// {place}: {problem}
    Failed {
        /// What failed: an address, a file, a setting or a peer.
        place: Box<str>,
        /// The cause.
        problem: Box<str>,
    },
}

impl ServiceError {
    /// Returns the error `problem` at `place`.
    pub fn new(place: impl Into<Box<str>>, problem: impl ToString) -> Self {
        ServiceError::Failed { place: place.into(), problem: problem.to_string().into() }
    }
}

impl std::error::Error for ServiceError {}

impl From<NotRegistered> for ServiceError {
    fn from(missing: NotRegistered) -> Self {
        ServiceError::NotRegistered(missing)
    }
}

pub(crate) type Run =
    Box<dyn FnOnce(Context) -> BoxFuture<'static, Result<(), ServiceError>> + Send + 'static>;

/// A named part of the daemon, which the kernel starts and stops.
pub struct Service {
    pub(crate) name: ServiceName,
    pub(crate) dependencies: &'static [ServiceName],
    pub(crate) run: Run,
}

impl Service {
    /// Describes the service `name`, which is started once all of `dependencies` are ready.
    ///
    /// The future must call [`Context::ready`] once the handles that it registers can be used, and
    /// return soon after [`Context::stopping`] resolves. By then all services that depend on it
    /// have ended.
    pub fn new<F, Fut>(name: ServiceName, dependencies: &'static [ServiceName], run: F) -> Self
    where
        F: FnOnce(Context) -> Fut + Send + 'static,
        Fut: Future<Output = Result<(), ServiceError>> + Send + 'static,
    {
        Service { name, dependencies, run: Box::new(move |cx| run(cx).boxed()) }
    }

    /// Returns the service's name.
    pub fn name(&self) -> ServiceName {
        self.name
    }
}

/// What the kernel gives to a running service. Clones share the same context.
#[derive(Clone)]
pub struct Context {
    pub(crate) service: ServiceName,
    pub(crate) failed_tasks: mpsc::UnboundedSender<KernelError>,
    pub(crate) node: NodeId,
    pub(crate) boot: BootId,
    pub(crate) started: Instant,
    pub(crate) registry: Registry,
    pub(crate) timer: Timer,
    pub(crate) recorder: Recorder,
    pub(crate) ready: Arc<Notify>,
    pub(crate) stop: CancellationToken,
    pub(crate) stop_all: CancellationToken,
}

impl Context {
    /// Returns the name of this process.
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// Returns the random id of this process instance.
    pub fn boot(&self) -> BootId {
        self.boot
    }

    /// Returns the monotonic time since the process started.
    pub fn now(&self) -> Mono {
        self.started.elapsed()
    }

    /// Signals to the kernel that this service is ready, so that its dependents can start.
    pub fn ready(&self) {
        self.ready.notify_one();
    }

    /// Resolves when this service must stop; all services that depend on it have ended by then.
    pub async fn stopping(&self) {
        self.stop.cancelled().await;
    }

    /// Returns the token that is cancelled when this service must stop.
    pub fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Resolves as soon as the process begins to stop, before any service is asked to stop.
    pub async fn process_stopping(&self) {
        self.stop_all.cancelled().await;
    }

    /// Returns whether the process has begun to stop.
    pub fn is_process_stopping(&self) -> bool {
        self.stop_all.is_cancelled()
    }

    /// Runs a background task of this service. If it panics, the process stops as it does when a service
    /// ends early; this service is stopped in its turn.
    pub fn spawn<F>(&self, task: TaskName, future: F) -> JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        tokio::spawn(supervised(self.service, task, self.failed_tasks.clone(), future))
    }

    /// Asks the whole process to stop.
    pub fn stop_process(&self) {
        self.stop_all.cancel();
    }

    /// Returns the registry of the process.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the timer service of the process.
    pub fn timer(&self) -> &Timer {
        &self.timer
    }

    /// Subscribes to a tick every `period`; see [`Timer::every`].
    pub fn every(&self, period: Duration) -> Ticks {
        self.timer.every(period)
    }

    /// Records an event of the timeline.
    pub fn record(&self, event: Event) {
        self.recorder.record(event);
    }

    /// Returns the recorder of the timeline.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Registers a mailbox of `service`; see [`Registry::mailbox`].
    pub fn mailbox<M: Send + 'static>(
        &self,
        service: ServiceName,
        depth: usize,
    ) -> mpsc::Receiver<M> {
        self.registry.mailbox(service, depth)
    }

    /// Returns the sending end of a mailbox of `service`; see [`Registry::sender`].
    pub fn sender<M: Send + 'static>(
        &self,
        service: ServiceName,
    ) -> Result<mpsc::Sender<M>, NotRegistered> {
        self.registry.sender(service)
    }

    /// Registers a published state of `service`; see [`Registry::publish`].
    pub fn publish<T: Send + Sync + 'static>(
        &self,
        service: ServiceName,
        first: T,
    ) -> watch::Sender<Arc<T>> {
        self.registry.publish(service, first)
    }

    /// Subscribes to a published state of `service`; see [`Registry::subscribe`].
    pub fn subscribe<T: Send + Sync + 'static>(
        &self,
        service: ServiceName,
    ) -> Result<watch::Receiver<Arc<T>>, NotRegistered> {
        self.registry.subscribe(service)
    }
}

/// Runs a task of `service`, and reports it to `failed_tasks` if it panics.
pub(crate) async fn supervised<F: Future>(
    service: ServiceName,
    task: TaskName,
    failed_tasks: mpsc::UnboundedSender<KernelError>,
    future: F,
) -> F::Output {
    match AssertUnwindSafe(future).catch_unwind().await {
        Ok(output) => output,
        Err(payload) => {
            let message = payload_message(&*payload);
            // The receiver is gone only once the process has stopped.
            let _ = failed_tasks.send(KernelError::TaskPanicked { service, task, message });
            resume_unwind(payload)
        }
    }
}
