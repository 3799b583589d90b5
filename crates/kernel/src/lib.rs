//! The service kernel of a daemon: starts and stops its services, which find each other by name.
//!
//! - [`Kernel`](kernel::Kernel): starts services in dependency order and stops them in reverse order.
//! - [`Service`](service::Service): a name, the services it depends on, and the future that it runs.
//! - [`Context`](service::Context): what a running service is given: registry, timer, recorder and stop
//!   signals.
//! - [`Registry`](registry::Registry): typed mailboxes, published states and handles, looked up by
//!   service name.
//! - [`Timer`](timer::Timer): periodic and one-shot ticks that services subscribe to.
//! - [`signals`]: signals of the operating system that must not end the process.
//! - [`Recorder`](recorder::Recorder): the bounded ring buffer of the process's events.
//!
//! ```
//! use kernel::prelude::*;
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let mut kernel = Kernel::new("node-1".into());
//! kernel.add(Service::new("greeter", &[], |cx| async move {
//!     let mut inbox = cx.mailbox::<String>("greeter", 4);
//!     cx.ready();
//!     tokio::select! {
//!         _ = cx.stopping() => Ok(()),
//!         greeting = inbox.recv() => { assert!(greeting.is_some()); Ok(()) }
//!     }
//! }));
//! let stop = kernel.stop_handle();
//! stop.cancel();
//! kernel.run().await.unwrap();
//! # });
//! ```

pub mod kernel;
pub mod recorder;
pub mod registry;
pub mod service;
pub mod signals;
pub mod timer;

/// The common types of this crate.
pub mod prelude {
    pub use crate::kernel::Kernel;
    pub use crate::kernel::KernelError;
    pub use crate::recorder::Recorder;
    pub use crate::registry::NotRegistered;
    pub use crate::registry::Registry;
    pub use crate::service::Context;
    pub use crate::service::Service;
    pub use crate::service::ServiceError;
    pub use crate::service::ServiceName;
    pub use crate::timer::Ticks;
    pub use crate::timer::Timer;
}
