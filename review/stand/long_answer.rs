//! Answers that are longer than 128 KiB and have a length.

use std::io::BufReader;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::deployment;
use crate::net;
use crate::world::{self, World};
use crate::Verdict;

const LONG_BYTES: usize = 240 << 10;
const SHORT_BYTES: usize = 96 << 10;
const CLIENTS: usize = 6;

pub fn play(world: &mut World) -> Verdict {
    let bytes = if world.trouble { LONG_BYTES } else { SHORT_BYTES };
    let long: Arc<Vec<u8>> = Arc::new((0..bytes).map(|i| b'a' + (i % 23) as u8).collect());
    let expected = long.clone();
    let run: world::Run =
        Arc::new(move |server, request, stream| match request.path().ends_with("/list") {
            true => server.succeed(request, stream, &long),
            false => server.succeed(request, stream, b"confirmed"),
        });
    let Some((servers, entry)) = deployment::start(world, 3, &run) else {
        return Verdict::NotRun("the entry process isn't ready".into());
    };
    let address = world.entry(entry).callers;
    world.signal(entry, world::HUP, "SIGHUP");
    let hup_at = world.record.now();
    std::thread::sleep(Duration::from_millis(200));
    let mut incomplete = 0;
    for i in 0..CLIENTS {
        let Ok(mut stream) = TcpStream::connect(address) else {
            return Verdict::NotRun("no connection to the entry process".into());
        };
        let first = format!("first{i:011x}");
        if ask(&mut stream, &format!("POST /orders/{i}"), &first).is_none_or(|a| a.status() != 200)
        {
            return Verdict::NotRun("the first request of a connection is not served".into());
        }
        let (line, id) = match i % 2 {
            0 => (format!("POST /orders/{i}/list"), format!("order{i:011x}")),
            _ => (format!("GET /sheets/{i}/list"), format!("sheet{i:011x}")),
        };
        world.record.write(&format!("client {i} sends {line} as {id} on its kept connection"));
        let answer = ask(&mut stream, &line, &id);
        let has_run = servers.iter().any(|server| server.runs().contains_key(&id));
        let is_whole = answer.as_ref().is_some_and(|a| a.status() == 200 && a.body == *expected);
        let text = match &answer {
            Some(answer) => format!("{}, {} body bytes", answer.status(), answer.body.len()),
            None => "no complete answer, and the connection has ended".into(),
        };
        world.record.write(&format!("client {i} got {text}; it has run: {has_run}"));
        incomplete += usize::from(has_run && !is_whole);
    }
    let after = world.record.now() - hup_at;
    if after > deployment::CONFIG_TIME {
        return Verdict::NotRun(format!("the requests were sent up to {after:.2} s after SIGHUP"));
    }
    match incomplete {
        0 => Verdict::Held(format!("all {CLIENTS} answers of {bytes} bytes came whole")),
        _ => Verdict::Broken(format!(
            "LOST: {incomplete} of {CLIENTS} requests on kept connections were passed on to sound \
             servers, and their connections ended without a complete answer, within config_ms of a SIGHUP"
        )),
    }
}

/// Sends a request on a connection; returns the answer if it is complete.
fn ask(stream: &mut TcpStream, line: &str, id: &str) -> Option<net::Message> {
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    world::send(stream, line, &deployment::headers(id, "8000"), b"two tickets").ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut answer = net::read_head(&mut reader).ok()??;
    net::read_body(&mut reader, &mut answer, false).ok()?;
    Some(answer)
}
