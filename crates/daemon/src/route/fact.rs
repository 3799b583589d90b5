//! Routing's facts in the form in which membership spreads them.
//!
//! What is known of a request that may crash groups is one fact by fingerprint. Its version grows
//! with the greatest stamp in it and then with the number of crashes: equal knowledge is an equal
//! fact and is not passed on again, and joined knowledge replaces its parts. A demand is one fact
//! by process and workspace.

use base::prelude::*;
use member::fact::MAX_BODY_BYTES;
use member::prelude::Fact;
use member::prelude::FactKey;
use route::prelude::*;
use route::quarantine::Crash;
use route::quarantine::QUARANTINE_LIFETIME;
use route::share::WorkspaceDemand;
use serde::Deserialize;
use serde::Serialize;

/// How long a demand that is not published again still counts.
const USAGE_LIFETIME: Duration = Duration::from_secs(5);

/// Versions for each stamp; more than the crashes that one fact holds.
const VERSIONS_PER_STAMP: u64 = 8;

/// The body of a fact of a request: the clearing stamp, and the crashes, latest first.
#[derive(Serialize, Deserialize)]
struct CrashHistoryBody(u64, u32, Vec<(u64, u32, GroupId, Generation)>);

/// Returns the fact that spreads what is known of a request.
pub fn from_crash_history(node: &NodeId, history: &CrashHistory) -> Fact {
    let crashes = history
        .crashes
        .iter()
        .rev()
        .map(|crash| (crash.at.millis, crash.at.count, crash.group.clone(), crash.generation));
    let mut body =
        CrashHistoryBody(history.cleared.millis, history.cleared.count, crashes.collect());
    let mut bytes = serde_json::to_vec(&body).expect("the fact has a JSON form");
    while bytes.len() > MAX_BODY_BYTES && body.2.pop().is_some() {
        bytes = serde_json::to_vec(&body).expect("the fact has a JSON form");
    }
    let stamps = history.crashes.iter().map(|crash| crash.at.millis);
    let greatest = stamps.fold(history.cleared.millis, u64::max);
    Fact {
        key: FactKey::Quarantine(history.fingerprint),
        owner: node.clone(),
        version: greatest * VERSIONS_PER_STAMP + history.crashes.len() as u64,
        lifetime: QUARANTINE_LIFETIME,
        body: bytes.into(),
    }
}

/// Reads what another process knows of a request.
pub fn to_crash_history(fact: &Fact) -> Option<CrashHistory> {
    let FactKey::Quarantine(fingerprint) = fact.key else { return None };
    let CrashHistoryBody(millis, count, crashes) = serde_json::from_slice(&fact.body).ok()?;
    let crashes = crashes.into_iter().rev().map(|(millis, count, group, generation)| Crash {
        at: Hlc { millis, count },
        group,
        generation,
    });
    Some(CrashHistory { fingerprint, crashes: crashes.collect(), cleared: Hlc { millis, count } })
}

/// Returns the facts that spread this process's demand.
pub fn from_usage(usage: &UsageReport, wall_millis: u64) -> impl Iterator<Item = Fact> {
    usage.rows.iter().map(move |row| Fact {
        key: FactKey::Usage { owner: usage.node.clone(), workspace: row.workspace.clone() },
        owner: usage.node.clone(),
        version: wall_millis,
        lifetime: USAGE_LIFETIME,
        body: row.demand.to_le_bytes().into(),
    })
}

/// Reads the demand of a process for a workspace.
pub fn to_usage(fact: &Fact) -> Option<(NodeId, WorkspaceDemand)> {
    let FactKey::Usage { owner, workspace } = &fact.key else { return None };
    let demand = f64::from_le_bytes((*fact.body).try_into().ok()?);
    Some((owner.clone(), WorkspaceDemand { workspace: workspace.clone(), demand }))
}
