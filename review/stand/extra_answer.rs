//! Servers that send additional bytes after a complete answer: a second answer without an id, late.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment;
use crate::world::{self, World};
use crate::Verdict;

const SECONDS: u64 = 40;
const CLIENTS: usize = 4;
/// The trouble comes in spells of 5 s, as long as the site names, every 10 s.
const SPELL: f64 = 5.0;
const SPELL_EVERY: f64 = 10.0;
/// One of so many answers is followed by additional bytes then: a share of 0.03, as the site names.
const ONE_OF: usize = 34;
/// What a server of the platform says when it turns a request away, as `fleetbench wire` prints it.
const EXTRA: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Samphireport-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

pub fn play(world: &mut World) -> Verdict {
    let trouble = world.trouble;
    let answers = AtomicUsize::new(0);
    let started = Instant::now();
    // The connections on which additional bytes are still to come.
    let pending: Mutex<HashSet<SocketAddr>> = Mutex::default();
    let run: world::Run = Arc::new(move |server, request, stream| {
        use std::io::Write;
        let Ok(peer) = stream.peer_addr() else { return false };
        if pending.lock().unwrap().remove(&peer) {
            let id = request.header("x-samphireport-attempt-id").unwrap_or("");
            server.record.write(&format!(
                "{} sends the additional bytes, as {id} arrives on that connection",
                server.id
            ));
            if stream.write_all(EXTRA).is_err() {
                return false;
            }
        }
        std::thread::sleep(Duration::from_millis(30));
        // One server of three is in trouble.
        let is_extra = trouble
            && server.id == "i-desk1"
            && started.elapsed().as_secs_f64() % SPELL_EVERY < SPELL
            && answers.fetch_add(1, Ordering::Relaxed) % ONE_OF == ONE_OF - 1;
        if is_extra {
            pending.lock().unwrap().insert(peer);
        }
        server.succeed(request, stream, b"confirmed")
    });
    let Some((servers, entry)) = deployment::start(world, 3, &run) else {
        return Verdict::NotRun("the entry process isn't ready".into());
    };
    let address = world.entry(entry).callers;
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let sent = Arc::new(AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (world, sent) = (&*world, sent.clone());
            scope.spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let id = format!("order{client:02x}{number:09x}");
                    deployment::order(world, address, &id);
                    sent.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(40));
                }
            });
        }
    });
    let mut runs = std::collections::HashMap::<String, Vec<String>>::new();
    for server in &servers {
        for (id, count) in server.runs() {
            let at = runs.entry(id).or_default();
            at.extend(std::iter::repeat(server.id.clone()).take(count as usize));
        }
    }
    let mut twice: Vec<_> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    twice.sort();
    for (id, at) in &twice {
        world.record.write(&format!("{id} has run {} times: {}", at.len(), at.join(", ")));
    }
    let sent = sent.load(Ordering::Relaxed);
    match twice.len() {
        0 => Verdict::Held(format!("{sent} unsafe requests, none of them ran twice")),
        count => Verdict::Broken(format!("TWICE: {count} of {sent} unsafe requests ran twice")),
    }
}
