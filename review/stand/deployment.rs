//! The small deployment of the cases: one plain service with three servers, two routes and one key.

use std::net::SocketAddr;
use std::time::Duration;

use crate::net::Message;
use crate::world::{Run, Server, World};

/// The first configuration: unsafe requests at `/orders/`, safe ones at `/sheets/`.
pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"orders","host":"club.example","prefix":"/orders/","kind":"unsafe","timeout_ms":8000,
"target_latency_ms":300,"priority":1,"service":"desk","max_attempts":2,"public":false},
{"name":"sheets","host":"club.example","prefix":"/sheets/","kind":"safe","timeout_ms":8000,
"target_latency_ms":300,"priority":1,"service":"desk","max_attempts":2,"public":false}],
"services":[{"name":"desk","health_path":"/health","max_connections":96,"protocol":"h1",
"tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"club","api_keys":["key-1"],"priority":1}]}"#;

pub const GRACE: f64 = 8.0;
pub const CONFIG_TIME: f64 = 2.0;

/// Starts `count` servers, which answer with `run`, and an entry process; `None` if it doesn't get ready.
pub fn start(world: &mut World, count: usize, run: &Run) -> Option<(Vec<Server>, usize)> {
    world.store.put("op/config", CONFIG);
    let start =
        |i| Server::start(&world.store, &world.record, "desk", &format!("i-desk{i}"), run.clone());
    let servers: Vec<Server> = (0..count).map(start).collect();
    let entry = world.start_entry("a");
    if !world.wait_until_ready(entry) {
        return None;
    }
    // All entries of servers are known then.
    std::thread::sleep(Duration::from_millis(1_500));
    Some((servers, entry))
}

/// Returns the headers of a client's request.
pub fn headers<'a>(id: &'a str, deadline_ms: &'a str) -> [(&'a str, &'a str); 4] {
    [
        ("Host", "club.example"),
        ("Authorization", "Bearer key-1"),
        ("X-Samphireport-Attempt-Id", id),
        ("X-Samphireport-Deadline-Ms", deadline_ms),
    ]
}

/// Sends an unsafe request on a connection of its own; returns the status, 0 without an answer.
pub fn order(world: &World, address: SocketAddr, id: &str) -> u16 {
    world.record.write(&format!("a client sends POST /orders/{id}"));
    let sent = crate::world::exchange(
        address,
        &format!("POST /orders/{id}"),
        &headers(id, "8000"),
        b"two tickets",
    );
    let status = sent.as_ref().map_or(0, Message::status);
    world.record.write(&format!("the client of {id} got {status}"));
    status
}
