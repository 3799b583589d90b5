//! An entry of a server that is gone, written by another writer, with fields missing.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::deployment::{self, DRAIN_TIME};
use crate::world::World;
use crate::Verdict;

const CLIENTS: usize = 9;
const WORK: Duration = Duration::from_millis(200);
/// Time from the removal of the server's entry until another writer writes one.
const WRITTEN_AFTER: Duration = Duration::from_millis(800);
/// How long the server goes on after its entry was removed: drain_ms and a little longer.
const SERVES_FOR: Duration = Duration::from_millis(5_000);

pub fn play(world: &mut World) -> Verdict {
    let run = deployment::sound(WORK);
    let Some((servers, entry)) = deployment::start(world, 3, &run) else {
        return Verdict::NotRun("the entry process isn't ready".into());
    };
    let address = world.entry(entry).callers;
    let leaving = &servers[1];
    let key = format!("servers/{}", leaving.id);
    let stop = AtomicBool::new(false);
    let (late, lost, sent) = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (world, stop) = (&*world, &stop);
                scope.spawn(move || {
                    let (mut number, mut done) = (0, Vec::new());
                    std::thread::sleep(Duration::from_millis(61 * client as u64));
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        let id = format!("order{client:02x}{number:09x}");
                        let at = Instant::now();
                        done.push((id.clone(), at, deployment::order(world, address, &id)));
                        std::thread::sleep(Duration::from_millis(50));
                    }
                    done
                })
            })
            .collect();
        std::thread::sleep(Duration::from_secs(2));
        // It never reports that it is draining: its entry is removed, and it goes on for a while.
        leaving.set_reports(false);
        world.store.delete(&key);
        let removed = Instant::now();
        world.record.write(&format!("{key} is removed"));
        std::thread::sleep(WRITTEN_AFTER);
        if world.trouble {
            let (address, born) = (leaving.address, leaving.born);
            let value = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"a\",\"slots\":6,\
                 \"state\":\"ready\",\"born\":{born}}}"
            );
            world.record.write(&format!("another writer writes {key}: {value}"));
            world.store.put(&key, &value);
        }
        std::thread::sleep(SERVES_FOR - WRITTEN_AFTER);
        leaving.end();
        std::thread::sleep(Duration::from_secs(1));
        stop.store(true, Ordering::Relaxed);
        let done: Vec<_> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
        let ran = leaving.runs();
        let is_late = |(id, at, _): &&(String, Instant, u16)| {
            *at > removed + DRAIN_TIME && ran.contains_key(id)
        };
        let late = done.iter().filter(is_late).count();
        let lost = done.iter().filter(is_late).filter(|(_, _, status)| *status != 200).count();
        (late, lost, done.len())
    });
    match late {
        0 => Verdict::Held(format!("{sent} unsafe requests, none at the server after drain_ms")),
        _ => Verdict::Broken(format!(
            "DRAIN: {late} unsafe requests that were sent later than drain_ms after the store had \
             acknowledged that {} is gone reached it and ran; {lost} of them got no success, as it ended",
            leaving.id
        )),
    }
}
