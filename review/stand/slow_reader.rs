//! Clients that read long answers slowly while their entry process is stopped by SIGTERM.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::deployment;
use crate::world::{self, World, TERM};
use crate::Verdict;

const CLIENTS: usize = 16;
/// Bytes of the shortest answer, and by how much each next one is longer.
const ANSWER_BYTES: usize = 1_800_000;
const MORE_BYTES: usize = 100_000;
/// Time in which a client reads its answer, which it gets steadily.
const READ_TIME: Duration = Duration::from_millis(6_000);
/// Bytes of a chunk.
const CHUNK: usize = 64 << 10;

fn length(client: usize) -> usize {
    ANSWER_BYTES + client * MORE_BYTES
}

pub fn play(world: &mut World) -> Verdict {
    let run: world::Run = Arc::new(|server, request, stream| {
        let client = request.path().rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let id = request.header("x-samphireport-attempt-id").unwrap_or("");
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Samphireport-Attempt-Id: {id}\r\n\
             X-Samphireport-Response-Signature: sig.{}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            server.id
        );
        let mut bytes = head.into_bytes();
        let mut left = length(client);
        while left > 0 {
            let size = left.min(CHUNK);
            bytes.extend(format!("{size:x}\r\n").bytes());
            bytes.resize(bytes.len() + size, b'a');
            bytes.extend(b"\r\n");
            left -= size;
        }
        bytes.extend(b"0\r\n\r\n");
        let sent = stream.write_all(&bytes).is_ok();
        server.record.write(&format!("{} has answered {id}", server.id));
        sent
    });
    let Some((servers, entry)) = deployment::start(world, 3, &run) else {
        return Verdict::NotRun("the entry process isn't ready".into());
    };
    let address = world.entry(entry).callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = world.record.clone();
            std::thread::spawn(move || {
                let id = format!("slow{client:012x}");
                let mut stream = world::connect_narrow(address).ok()?;
                let line = format!("POST /orders/{client}");
                record.write(&format!("client {client} sends {line} as {id}"));
                let headers = deployment::headers(&id, "8000");
                world::send(&mut stream, &line, &headers, b"two tickets").ok()?;
                let sent = Instant::now();
                let (is_whole, bytes, end) = read_steadily(&mut stream, length(client));
                let took = sent.elapsed().as_secs_f64();
                record.write(&format!(
                    "client {client} got {bytes} bytes of an answer with {} in {took:.2} s: {end}",
                    length(client)
                ));
                Some((is_whole, took))
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    if world.trouble {
        world.signal(entry, TERM, "SIGTERM");
    }
    let ends: Vec<_> = clients.into_iter().map(|client| client.join().ok().flatten()).collect();
    let ran: usize = servers.iter().map(|server| server.runs().len()).sum();
    if ends.iter().any(Option::is_none) || ran < CLIENTS {
        return Verdict::NotRun(format!("{ran} of {CLIENTS} requests have run"));
    }
    let is_cut = |(is_whole, took): &&(bool, f64)| !is_whole && *took < deployment::GRACE;
    match ends.iter().flatten().filter(is_cut).count() {
        0 => Verdict::Held(format!("all {CLIENTS} answers came whole")),
        cut => Verdict::Broken(format!(
            "LOST: {cut} of {CLIENTS} requests have run, and their connections ended without a \
             complete answer after the SIGTERM, before their deadline and the end of grace_s"
        )),
    }
}

/// Reads a chunked answer with `length` bytes so that it takes [`READ_TIME`]; returns whether it was whole,
/// the bytes read, and how it ended.
fn read_steadily(stream: &mut TcpStream, length: usize) -> (bool, usize, String) {
    let started = Instant::now();
    let per_second = length as f64 / READ_TIME.as_secs_f64();
    let (mut got, mut last): (usize, Vec<u8>) = (0, Vec::new());
    let mut part = vec![0; 8 << 10];
    loop {
        let ahead = got as f64 / per_second - started.elapsed().as_secs_f64();
        if ahead > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(ahead));
        }
        match stream.read(&mut part) {
            Ok(0) => return (false, got, "the connection was closed".into()),
            Ok(count) => {
                got += count;
                last.extend_from_slice(&part[..count]);
                last.drain(..last.len().saturating_sub(7));
                if last.ends_with(b"\r\n0\r\n\r\n") {
                    return (true, got, "whole".into());
                }
            }
            Err(error) => return (false, got, error.to_string()),
        }
    }
}
