//! The processor time of the owner's decision passes in large fleets.
//!
//! Run by hand for docs/CAPACITY.md: `cargo test --release -p form --test owner -- --ignored
//! --nocapture`.

use std::time::Instant;

use base::prelude::*;
use form::prelude::*;

use crate::fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);
/// Servers of a fabric domain.
const DOMAIN: usize = 73;

/// Runs `owner` for `time` and prints the time of its passes.
fn measure(what: &str, fleet: &mut Fleet, owner: &mut Owner, time: Duration) {
    let (start, from) = (Instant::now(), fleet.decide_times.len());
    fleet.run(owner, time);
    let passes = &fleet.decide_times[from..];
    let total: Duration = passes.iter().sum();
    let longest = passes.iter().max().copied().unwrap_or_default();
    println!(
        "{:>6} servers, {what}: {} passes, mean {:?}, longest {longest:?} ({:?} with the fleet)",
        fleet.engines.len(),
        passes.len(),
        total / u32::try_from(passes.len().max(1)).unwrap_or(u32::MAX),
        start.elapsed(),
    );
}

#[test]
#[ignore = "a measurement"]
fn decision_passes_by_size() {
    for servers in [1_095, 4_380, 10_000] {
        let mut fleet = Fleet::new(servers);
        fleet.spread(servers / DOMAIN);
        fleet.spec.models[0].group_size = 32;
        fleet.spec.models[1].group_size = 8;
        let mut owner = Owner::new(1, fleet.now);
        measure("start", &mut fleet, &mut owner, 8 * SECOND);
        fleet.begin_traffic();
        measure("calm", &mut fleet, &mut owner, 2 * SECOND);
        let dark: Vec<ServerId> = fleet
            .engines
            .values()
            .filter(|engine| engine.server.fabric.as_deref() == Some("f0"))
            .map(|engine| engine.server.id.clone())
            .collect();
        for id in &dark {
            fleet.kill(id);
        }
        measure("domain dark", &mut fleet, &mut owner, 5 * SECOND);
        for id in &dark {
            fleet.restart(id);
        }
        measure("domain back", &mut fleet, &mut owner, 5 * SECOND);
    }
}
