//! Routing's facts in the form in which membership spreads them.
//!
//! What is known of a request that may crash groups is one fact by fingerprint. Its version grows
//! with the greatest stamp in it and then with the number of crashes: equal knowledge is an equal
//! fact and is not passed on again, and joined knowledge replaces its parts. A demand of all workspaces is one fact
//! by process.

use base::prelude::*;
use member::fact::MAX_BODY_BYTES;
use member::prelude::Fact;
use member::prelude::FactKey;
use route::poison::Crash;
use route::poison::QUARANTINE_LIFETIME;
use route::prelude::*;
use route::share::UsageRow;
use serde::Deserialize;
use serde::Serialize;

/// How long a demand that is not published again still counts.
const USAGE_LIFETIME: Duration = Duration::from_secs(5);

/// Versions for each stamp; more than the crashes that one fact holds.
const VERSIONS_PER_STAMP: u64 = 8;

/// The body of a fact of a request: the clearing stamp, and the crashes, latest first.
#[derive(Serialize, Deserialize)]
struct PoisonBody(u64, u32, Vec<(u64, u32, GroupId, Generation)>);

/// Returns the fact that spreads what is known of a request.
pub fn of_poison(node: &NodeId, poison: &PoisonFact) -> Fact {
    let crashes = poison
        .crashes
        .iter()
        .rev()
        .map(|crash| (crash.at.millis, crash.at.count, crash.group.clone(), crash.generation));
    let mut body = PoisonBody(poison.cleared.millis, poison.cleared.count, crashes.collect());
    let mut bytes = serde_json::to_vec(&body).expect("the fact has a JSON form");
    while bytes.len() > MAX_BODY_BYTES && body.2.pop().is_some() {
        bytes = serde_json::to_vec(&body).expect("the fact has a JSON form");
    }
    let stamps = poison.crashes.iter().map(|crash| crash.at.millis);
    let greatest = stamps.fold(poison.cleared.millis, u64::max);
    Fact {
        key: FactKey::Quarantine(poison.fingerprint),
        owner: node.clone(),
        version: greatest * VERSIONS_PER_STAMP + poison.crashes.len() as u64,
        lifetime: QUARANTINE_LIFETIME,
        body: bytes.into(),
    }
}

/// Reads what another process knows of a request.
pub fn to_poison(fact: &Fact) -> Option<PoisonFact> {
    let FactKey::Quarantine(fingerprint) = fact.key else { return None };
    let PoisonBody(millis, count, crashes) = serde_json::from_slice(&fact.body).ok()?;
    let crashes = crashes.into_iter().rev().map(|(millis, count, group, generation)| Crash {
        at: Hlc { millis, count },
        group,
        generation,
    });
    Some(PoisonFact { fingerprint, crashes: crashes.collect(), cleared: Hlc { millis, count } })
}

/// One workspace's demand in the body of a usage fact.
type UsagePair = (WorkspaceId, f64);

/// Returns the fact that spreads this process's demand; if not all of it fits, the least gives way.
pub fn of_usage(usage: &UsageFact, wall_millis: u64) -> Fact {
    let mut rows: Vec<UsagePair> =
        usage.rows.iter().map(|row| (row.workspace.clone(), row.demand)).collect();
    rows.sort_by(|a, b| b.1.total_cmp(&a.1));
    let mut bytes = serde_json::to_vec(&rows).expect("the rows have a JSON form");
    while bytes.len() > MAX_BODY_BYTES && rows.pop().is_some() {
        bytes = serde_json::to_vec(&rows).expect("the rows have a JSON form");
    }
    Fact {
        key: FactKey::Usage(usage.node.clone()),
        owner: usage.node.clone(),
        version: wall_millis,
        lifetime: USAGE_LIFETIME,
        body: bytes.into(),
    }
}

/// Reads the demand of a process, greatest first.
pub fn to_usage(fact: &Fact) -> Option<(NodeId, Vec<UsageRow>)> {
    let FactKey::Usage(owner) = &fact.key else { return None };
    let rows: Vec<UsagePair> = serde_json::from_slice(&fact.body).ok()?;
    let rows = rows.into_iter().map(|(workspace, demand)| UsageRow { workspace, demand });
    Some((owner.clone(), rows.collect()))
}
