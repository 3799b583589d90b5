//! Prints on standard output where the process listens, once its services are ready.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use parking_lot::Mutex;
use serde::Serialize;

use crate::names;

/// The addresses that services listen on. Clones share the list.
#[derive(Clone, Default)]
pub struct Addresses {
    list: Arc<Mutex<Vec<Listening>>>,
}

/// One address that a service listens on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Listening {
    /// What listens: `caller`, `operator`, `peer`, `gossip`.
    pub name: &'static str,
    /// The address, with the port that the operating system assigned.
    pub address: SocketAddr,
}

impl Addresses {
    /// Records that `name` listens on `address`.
    pub fn add(&self, name: &'static str, address: SocketAddr) {
        self.list.lock().push(Listening { name, address });
    }

    /// Returns all addresses recorded so far.
    pub fn list(&self) -> Vec<Listening> {
        self.list.lock().clone()
    }
}

#[derive(Serialize)]
struct Line {
    node: NodeId,
    boot: BootId,
    listening: Vec<Listening>,
}

/// Returns the service, which prints the line by `print` once the services `needs` are ready.
pub fn service(needs: &'static [ServiceName], print: fn(&str)) -> Service {
    Service::new(names::ANNOUNCE, needs, move |cx| async move {
        let addresses: Addresses = cx.registry().lookup(names::PROCESS)?;
        let line = Line { node: cx.node().clone(), boot: cx.boot(), listening: addresses.list() };
        print(&serde_json::to_string(&line).expect("the line has a JSON form"));
        cx.ready();
        cx.stopping().await;
        Ok(())
    })
}
