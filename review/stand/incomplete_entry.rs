//! An entry of a server that another writer has written, with fields missing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::deployment;
use crate::net::Message;
use crate::world::{self, Server, World};
use crate::Verdict;

const WORK: Duration = Duration::from_millis(20);
const PAUSE: Duration = Duration::from_millis(20);
const SECONDS: u64 = 12;
/// When another writer writes an entry, in seconds since the first request.
const WRITTEN_AT: [f64; 3] = [2.0, 4.7, 7.4];

/// Two services: no route leads from `/bookings/` to `desk`, or from `/orders/` to `shop`.
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"orders","host":"club.example","prefix":"/orders/","kind":"unsafe","timeout_ms":8000,
"target_latency_ms":300,"priority":1,"service":"desk","max_attempts":2,"public":false},
{"name":"bookings","host":"club.example","prefix":"/bookings/","kind":"unsafe","timeout_ms":8000,
"target_latency_ms":300,"priority":1,"service":"shop","max_attempts":2,"public":false}],
"services":[{"name":"desk","health_path":"/health","max_connections":96,"protocol":"h1",
"tls":false},{"name":"shop","health_path":"/health","max_connections":96,"protocol":"h1",
"tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"club","api_keys":["key-1"],"priority":1}]}"#;

pub fn play(world: &mut World) -> Verdict {
    world.store.put("op/config", CONFIG);
    let run: world::Run = Arc::new(|server, request, stream| {
        std::thread::sleep(WORK);
        server.succeed(request, stream, format!("done by {}", server.service).as_bytes())
    });
    let start = |service: &str, i| {
        let id = format!("i-{service}{i}");
        Server::start(&world.store, &world.record, service, &id, run.clone())
    };
    let desks: Vec<Server> = (0..2).map(|i| start("desk", i)).collect();
    let shops: Vec<Server> = (0..2).map(|i| start("shop", i)).collect();
    let entry = world.start_entry("a");
    if !world.wait_until_ready(entry) {
        return Verdict::NotRun("the entry process isn't ready".into());
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let begun = Instant::now();
    let mut writes = WRITTEN_AT.iter().peekable();
    let (mut sent, mut foreign) = (0, 0);
    while begun.elapsed() < Duration::from_secs(SECONDS) {
        if writes.next_if(|at| begun.elapsed().as_secs_f64() > **at).is_some() && world.trouble {
            write_entry(world, &desks[0]);
        }
        sent += 1;
        let id = format!("book{sent:012x}");
        let line = format!("POST /bookings/{sent}");
        world.record.write(&format!("a client sends {line} as {id}"));
        let headers = deployment::headers(&id, "8000");
        let answer = world::exchange(world.entry(entry).callers, &line, &headers, b"two tickets");
        let status = answer.as_ref().map_or(0, Message::status);
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        let text = String::from_utf8_lossy(&body).into_owned();
        world.record.write(&format!("the client of {id} got {status}, {text:?}"));
        foreign += usize::from(status == 200 && text == "done by desk");
        std::thread::sleep(PAUSE);
    }
    let wrong: usize = desks.iter().map(|server| server.runs().len()).sum();
    let right: usize = shops.iter().map(|server| server.runs().len()).sum();
    if right == 0 {
        return Verdict::NotRun("no request has run".into());
    }
    match wrong {
        0 => Verdict::Held(format!("{sent} requests, all run by the service of their route")),
        _ => Verdict::Broken(format!(
            "ROUTE: {wrong} of {sent} unsafe requests were run by a service to which no configuration \
             allows them to go, and {foreign} clients got its answer as a success"
        )),
    }
}

/// Writes an entry in which `version`, `warmup_left_ms` and `sequence` are missing.
fn write_entry(world: &World, server: &Server) {
    let Server { id, address, born, .. } = server;
    let value = format!(
        "{{\"service\":\"shop\",\"address\":\"{address}\",\"zone\":\"a\",\"slots\":6,\
         \"state\":\"ready\",\"born\":{born}}}"
    );
    world.record.write(&format!("another writer writes servers/{id}: {value}"));
    world.store.put(&format!("servers/{id}"), &value);
}
