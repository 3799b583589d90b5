//! What happens in each case, and when.

use super::script::{Numbers, Script};
use super::GRACE_S;

/// What the operator does.
#[derive(Clone, Debug)]
pub enum Act {
    /// SIGTERM to an entry process.
    Stop(usize),
    /// SIGKILL once its time to stop is over.
    Kill(usize),
    /// SIGHUP to an entry process.
    Hup(usize),
    /// A new configuration.
    Configure(u64),
    /// SIGKILL to an entry process, which no plan announces.
    Crash(usize),
}

/// Which requests the servers turn away as full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnAway {
    None,
    /// Those that continue a stream.
    Resumed,
}

/// Where streams are silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silent {
    Never,
    /// Each third stream, after two events.
    Events,
    /// Each third stream, before its head.
    Head,
    /// All streams and requests of a server at the same time, server after server.
    Servers,
}

/// A case.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub duration_s: f64,
    pub acts: Vec<(f64, Act)>,
    /// How long streams take, without silences.
    pub length_ms: (u64, u64),
    /// Time between the end of an answer and the client's next request.
    pub think_ms: (u64, u64),
    pub silent: Silent,
    pub silent_ms: u64,
    pub turn_away: TurnAway,
    pub slots: u64,
    /// Clients of streams, on kept connections and on new ones.
    pub kept: u64,
    pub new: u64,
    /// Clients of plain requests.
    pub plain: u64,
    /// Clients that read large plain answers slowly, and those that send bodies slowly.
    pub slow_readers: u64,
    pub slow_senders: u64,
    /// How long servers take until the first event, without silences.
    pub first_event_ms: u64,
    /// Whether every second body of a stream's request is sent in chunks.
    pub has_chunks: bool,
    /// Whether the processes run only for a quarter of each tenth of a second, at its start.
    pub has_quota: bool,
}

pub fn variable(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(usual)
}

impl Plan {
    pub fn of(name: &str) -> Option<Plan> {
        let stop = Plan {
            seed: variable("SEED", 1),
            duration_s: 14.0,
            acts: vec![(4.0, Act::Stop(0))],
            length_ms: (100, 6_000),
            think_ms: (0, 200),
            silent: Silent::Never,
            silent_ms: variable("SILENCE_MS", 1_300),
            turn_away: TurnAway::None,
            slots: 8,
            kept: 24,
            new: 6,
            plain: 6,
            slow_readers: 0,
            slow_senders: 0,
            first_event_ms: 40,
            has_chunks: false,
            has_quota: false,
        };
        let plan = match name {
            "stop-plain" => stop,
            "stop-silent-streams" => Plan { silent: Silent::Events, ..stop },
            "stop-silent-heads" => Plan { silent: Silent::Head, ..stop },
            "stop-silent-servers" => Plan { silent: Silent::Servers, ..stop },
            "stop-turned-away" => {
                Plan { silent: Silent::Events, turn_away: TurnAway::Resumed, ..stop }
            }
            "stop-full" => Plan { silent: Silent::Servers, slots: 4, ..stop },
            "stop-full-plain" => Plan { slots: 3, ..stop },
            "stop-kept-busy" => {
                Plan { think_ms: (0, 0), length_ms: (1_000, 5_000), kept: 40, new: 0, ..stop }
            }
            "stop-kept-short" => Plan {
                think_ms: (0, 2),
                length_ms: (20, 2_600),
                kept: 40,
                new: 0,
                plain: 20,
                ..stop
            },
            "stop-kept-quota" => Plan {
                think_ms: (0, 2),
                length_ms: (20, 600),
                kept: 40,
                new: 0,
                plain: 20,
                has_quota: true,
                ..stop
            },
            "stop-idle-quota" => Plan {
                think_ms: (0, 3_000),
                length_ms: (20, 200),
                kept: 240,
                new: 0,
                has_quota: true,
                ..stop
            },
            "stop-late-quota" => Plan {
                think_ms: (0, 1),
                length_ms: (2_000, 5_500),
                kept: 44,
                new: 0,
                has_quota: true,
                ..stop
            },
            "stop-new-quota" => Plan { kept: 6, new: 24, plain: 20, has_quota: true, ..stop },
            "hup-quota" => Plan {
                acts: (0..8)
                    .map(|i| (3.0 + f64::from(i) * 0.7, Act::Hup(i as usize % 2)))
                    .collect(),
                has_quota: true,
                ..stop
            },
            "stop-slow-clients" => {
                Plan { slow_readers: 12, slow_senders: 12, kept: 6, new: 2, ..stop }
            }
            "hup" => Plan {
                acts: (0..8)
                    .map(|i| (3.0 + f64::from(i) * 0.7, Act::Hup(i as usize % 2)))
                    .collect(),
                ..stop
            },
            "hup-then-stop" => Plan {
                acts: vec![(3.0, Act::Hup(0)), (3.2, Act::Hup(0)), (4.0, Act::Stop(0))],
                ..stop
            },
            "stop-then-hup" => Plan {
                acts: vec![(4.0, Act::Stop(0)), (5.0, Act::Hup(0)), (7.5, Act::Hup(0))],
                ..stop
            },
            "configure" => Plan { acts: configurations(3.0, 12), ..stop },
            "configure-and-stop" => {
                let mut acts = configurations(3.0, 12);
                acts.push((4.05, Act::Stop(0)));
                Plan { acts, silent: Silent::Servers, ..stop }
            }
            "none" => Plan { acts: Vec::new(), silent: Silent::Events, ..stop },
            _ => return None,
        };
        Some(plan)
    }

    /// Returns the acts in order, with the end of each stop.
    pub fn schedule(&self) -> Vec<(f64, Act)> {
        let mut acts = self.acts.clone();
        for (at, act) in &self.acts {
            if let Act::Stop(entry) = act {
                acts.push((at + GRACE_S, Act::Kill(*entry)));
            }
        }
        acts.sort_by(|a, b| a.0.total_cmp(&b.0));
        acts
    }

    /// Returns what a client asks for next.
    pub fn stream(&self, numbers: &mut Numbers) -> Script {
        let pause_ms = numbers.within((20, 80));
        let length = numbers.within(self.length_ms);
        let is_silent = numbers.within((0, 2)) == 0;
        let events = (length / pause_ms).max(4) as u32;
        let silence =
            |after| Script { silent_after: after, silent_ms: self.silent_ms, ..Script::default() };
        let base = match self.silent {
            Silent::Events if is_silent => silence(2),
            Silent::Head if is_silent => silence(0),
            _ => Script::default(),
        };
        Script { events, pause_ms, ..base }
    }
}

fn configurations(from_s: f64, count: u32) -> Vec<(f64, Act)> {
    let act = |i: u32| (from_s + f64::from(i) * 0.35, Act::Configure(8 + 3 * u64::from(i)));
    (0..count).map(act).collect()
}

/// Returns the configuration of a version: versions differ in time-outs, in the service of the safe route,
/// and in a route that comes and goes.
pub fn config(version: u64, plan: &Plan) -> String {
    let slots = plan.slots;
    let timeout = 8_000 + version % 3 * 500;
    let sheets = if version.is_multiple_of(2) { "copy" } else { "desk" };
    let extra = match version % 4 {
        0 => {
            r#"{"name":"extra","host":"club.example","prefix":"/letters/extra/","kind":"safe","timeout_ms":4000,
"target_latency_ms":300,"priority":1,"service":"desk","max_attempts":2,"public":false},"#
        }
        _ => "",
    };
    format!(
        r#"{{"version":{version},"routes":[{extra}
{{"name":"letters","host":"club.example","prefix":"/letters/","kind":"streaming","timeout_ms":{timeout},
"target_latency_ms":300,"priority":1,"service":"llm","max_attempts":2,"public":false,"session_affinity":true,
"resumable":true,"gap_aim_ms":300}},
{{"name":"orders","host":"club.example","prefix":"/orders/","kind":"unsafe","timeout_ms":{timeout},
"target_latency_ms":300,"priority":1,"service":"desk","max_attempts":2,"public":false}},
{{"name":"sheets","host":"club.example","prefix":"/sheets/","kind":"safe","timeout_ms":{timeout},
"target_latency_ms":300,"priority":1,"service":"{sheets}","max_attempts":2,"public":false}}],
"services":[{{"name":"desk","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}},
{{"name":"copy","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}},
{{"name":"llm","health_path":"/health","max_connections":464,"protocol":"h1","tls":false,
"engine":{{"slots":{slots},"kv_tokens":100000,"stride":7,
"models":[{{"name":"large","size":2,"share":1.0,"pace":1.0,"load_s":16.0,"warm_s":0.2}}],
"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"chunk":2048,
"loads_per_s":4.5,"loads_at_once":6,"usual":{{"prompt":400,"answer":30}},"form_ms":300.0}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}},"tenants":[{{"name":"club","api_keys":["key-1"],"priority":1}}]}}"#
    )
}
