//! A server that runs a request, fails, and says so with 503 or 429 but without
//! `X-Samphireport-Not-Executed`.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::deployment;
use crate::net;
use crate::world::{self, World};
use crate::Verdict;

const REQUESTS: usize = 60;
/// Of five requests, a server in trouble fails two: less than the share of 0.45 that the site names.
const FAILED_OF_FIVE: usize = 2;

pub fn play(world: &mut World) -> Verdict {
    let trouble = world.trouble;
    let count = AtomicUsize::new(0);
    let run: world::Run = Arc::new(move |server, request, stream| {
        std::thread::sleep(Duration::from_millis(30));
        // One server of three is in trouble.
        if !trouble || server.id != "i-desk1" {
            return server.succeed(request, stream, b"confirmed");
        }
        let number = count.fetch_add(1, Ordering::Relaxed);
        let status = match number % 5 {
            n if n >= FAILED_OF_FIVE => return server.succeed(request, stream, b"confirmed"),
            0 => "503 Service Unavailable",
            _ => "429 Too Many Requests",
        };
        let id = request.header("x-samphireport-attempt-id").unwrap_or("");
        server.record.write(&format!("{} has run {id}, fails and answers {status}", server.id));
        let signature = format!("sig.{}.{id}", server.id);
        let headers = [
            ("X-Samphireport-Attempt-Id", id),
            ("X-Samphireport-Response-Signature", signature.as_str()),
        ];
        net::respond(stream, status, &headers, b"the booking could not be finished").is_ok()
    });
    let Some((servers, entry)) = deployment::start(world, 3, &run) else {
        return Verdict::NotRun("the entry process isn't ready".into());
    };
    let address = world.entry(entry).callers;
    let (mut broken, mut repeated) = (Vec::new(), 0);
    for i in 0..REQUESTS {
        let id = format!("order{i:011x}");
        let status = deployment::order(world, address, &id);
        let runs: u32 = servers.iter().map(|s| s.runs().get(&id).copied().unwrap_or(0)).sum();
        if [408, 421, 429, 503].contains(&status) && runs > 0 {
            broken.push(format!("{id} got {status}"));
            // A client trusts the promise, and sends it again as a new attempt.
            let again = format!("again{i:011x}");
            repeated += usize::from(deployment::order(world, address, &again) == 200);
        }
        std::thread::sleep(Duration::from_millis(40));
    }
    match broken.len() {
        0 => {
            Verdict::Held(format!("{REQUESTS} unsafe requests, none of them refused after it ran"))
        }
        count => Verdict::Broken(format!(
            "REFUSED: {count} of {REQUESTS} unsafe requests have run and were answered 503 or 429 \
             ({}); {repeated} were carried out again when their clients repeated them",
            broken[0]
        )),
    }
}
