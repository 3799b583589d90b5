//! A part of prompts that crashes servers, before another part that sound prompts share.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment;
use crate::engine::{Engine, GROUP_SIZE, MODEL};
use crate::world::{self, World};
use crate::Verdict;

const ENGINES: usize = 16;
/// The parts of prompts: one of all prompts, one that crashes servers, one of a document.
const FIRST: &str = "aaaa0001:40";
const DEADLY: &str = "dead0002:60";
const DOCUMENT: &str = "dddd0003:300";
/// Time between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(1_300);
/// Time between the two requests, after each sound one, that have the part that crashes servers.
const DEADLY_PAUSE: Duration = Duration::from_millis(350);
/// Sound requests before any other, and beside those that crash servers.
const SOUND_BEFORE: usize = 25;
const SOUND_DURING: usize = 40;
/// The rule counts from so many sound requests on, before and after.
const LEAST: usize = 20;
const STABILITY_WINDOW_S: f64 = 3.0;
/// Time after which a new server comes for one that crashed.
const REPLACED_AFTER: Duration = Duration::from_secs(2);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"letters","host":"club.example",
"prefix":"/letters/","kind":"streaming","timeout_ms":8000,"target_latency_ms":300,"priority":1,
"service":"llm","max_attempts":2,"public":false,"session_affinity":true,"resumable":true,
"gap_aim_ms":300}],"services":[{"name":"llm","health_path":"/health","max_connections":464,
"protocol":"h1","tls":false,"engine":{"slots":8,"kv_tokens":100000,"stride":7,
"models":[{"name":"large","size":2,"share":1.0,"pace":1.0,"load_s":16.0,"warm_s":0.2}],
"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"chunk":2048,
"loads_per_s":4.5,"loads_at_once":6,"usual":{"prompt":400,"answer":30},"form_ms":300.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"tenants":[{"name":"club","api_keys":["key-1"],"priority":1}]}"#;

/// Sends a request; returns the status.
fn ask(world: &World, entry: usize, id: &str, parts: &[&str]) -> u16 {
    let prompt = format!("{},{id}:20", parts.join(","));
    let base = deployment::headers(id, "5000");
    let mut headers = base.to_vec();
    headers.push(("X-Samphireport-Model", MODEL));
    headers.push(("X-Samphireport-Token-Count", "420,30"));
    headers.push(("X-Samphireport-Prompt-Prefix", &prompt));
    world.record.write(&format!("a client sends {id} with the prompt {prompt}"));
    let line = format!("POST /letters/{id}");
    let answer = world::exchange(world.entry(entry).callers, &line, &headers, id.as_bytes());
    let status = answer.map_or(0, |answer| answer.status());
    world.record.write(&format!("the client of {id} got {status}"));
    status
}

pub fn play(world: &mut World) -> Verdict {
    world.store.put("op/config", CONFIG);
    let fleet = Fleet::start(world);
    let entry = world.start_entry("a");
    let until = Instant::now() + Duration::from_secs(20);
    while fleet.open_groups() < ENGINES / GROUP_SIZE && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }
    if !world.wait_until_ready(entry) || fleet.open_groups() < ENGINES / GROUP_SIZE {
        return Verdict::NotRun(format!("{} groups are open", fleet.open_groups()));
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut sent: Vec<(String, f64)> = Vec::new();
    for number in 0..SOUND_BEFORE + SOUND_DURING {
        let begun = Instant::now();
        let id = format!("ab{number:06x}");
        sent.push((id.clone(), world.record.now()));
        ask(world, entry, &id, &[FIRST, DOCUMENT]);
        if number >= SOUND_BEFORE && world.trouble {
            ask(world, entry, &format!("de{number:06x}"), &[FIRST, DEADLY, DOCUMENT]);
            std::thread::sleep(DEADLY_PAUSE);
            ask(world, entry, &format!("df{number:06x}"), &[FIRST, DEADLY, DOCUMENT]);
        }
        std::thread::sleep(SOUND_PAUSE.saturating_sub(begun.elapsed()));
    }
    judge(&fleet, &sent)
}

/// Compares the sound requests before the first crash with those from 2 x stability_window_ms after the
/// fifth, or the last.
fn judge(fleet: &Fleet, sent: &[(String, f64)]) -> Verdict {
    let crashes = fleet.crashes();
    let first = crashes.first().copied().unwrap_or(sent[SOUND_BEFORE].1);
    let counted = crashes.get(4).or(crashes.last()).copied().unwrap_or(first);
    let begun = fleet.begun();
    let share = |from: f64, to: f64| {
        let within = sent.iter().filter(|(_, at)| (from..to).contains(at));
        let (mut count, mut all) = (0, 0);
        for (id, _) in within {
            all += 1;
            count += usize::from(begun.contains(id));
        }
        (count, all)
    };
    // A request just before the first crash may still have been waiting then.
    let (before, all_before) = share(0.0, first - 0.5);
    let (after, all_after) = share(counted + 2.0 * STABILITY_WINDOW_S, f64::INFINITY);
    let text = format!(
        "{} servers have crashed; {before} of {all_before} sound requests before the crashes began, and \
         {after} of {all_after} from 2 x stability_window_ms after them",
        crashes.len()
    );
    if all_before < LEAST || all_after < LEAST {
        return Verdict::NotRun(text);
    }
    match after * all_before * 2 < before * all_after {
        true => Verdict::Broken(format!("LOST: {text}")),
        false => Verdict::Held(text),
    }
}

/// The model servers, also those that have come for others that crashed.
#[derive(Clone)]
struct Fleet(Arc<Mutex<Vec<Engine>>>);

impl Fleet {
    fn start(world: &World) -> Self {
        let (store, record) = (world.store.clone(), world.record.clone());
        let start = move |number: usize| {
            let domain = format!("f{}", number % 2);
            Engine::start(&store, &record, &format!("i-llm{number}"), &domain, DEADLY)
        };
        let fleet = Fleet(Arc::new(Mutex::new((0..ENGINES).map(&start).collect())));
        let replacing = fleet.clone();
        std::thread::spawn(move || {
            let mut number = ENGINES;
            loop {
                std::thread::sleep(Duration::from_millis(200));
                if replacing.crashes().len() > number - ENGINES {
                    std::thread::sleep(REPLACED_AFTER);
                    replacing.0.lock().unwrap().push(start(number));
                    number += 1;
                }
            }
        });
        fleet
    }

    fn open_groups(&self) -> usize {
        self.0.lock().unwrap().iter().filter(|engine| engine.is_open()).count()
    }

    /// Returns when servers crashed, earliest first.
    fn crashes(&self) -> Vec<f64> {
        let engines = self.0.lock().unwrap();
        let mut times: Vec<f64> = engines.iter().filter_map(Engine::crashed_at).collect();
        times.sort_by(f64::total_cmp);
        times
    }

    fn begun(&self) -> Vec<String> {
        self.0.lock().unwrap().iter().flat_map(Engine::begun).collect()
    }
}
