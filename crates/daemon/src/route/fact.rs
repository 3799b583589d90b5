//! Conversion of routing's state to and from the facts that membership spreads by gossip.
//!
//! The crash history of a request is one fact per fingerprint. Its version is ordered by the latest
//! timestamp in it and then by the number of crashes. Hence equal histories give equal facts, which
//! are not spread again, and the merge of two histories supersedes both. The demand of a process
//! for a workspace is one fact per process and workspace.

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

/// Time after which a demand that is not published again no longer counts.
const USAGE_LIFETIME: Duration = Duration::from_secs(5);

/// Number of versions for each timestamp; greater than the number of crashes that a history holds.
const VERSIONS_PER_STAMP: u64 = 8;

/// Body of a crash history: the timestamp of the last clearing, and the crashes, latest first.
#[derive(Serialize, Deserialize)]
struct CrashHistoryBody(u64, u32, Vec<(u64, u32, GroupId, Generation)>);

/// Encodes a crash history; the oldest crashes are dropped if the body would exceed
/// [`MAX_BODY_BYTES`].
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

/// Decodes a crash history; `None` if `fact` is of another kind or malformed.
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

/// Encodes the demand of this process, one fact for each workspace, with `wall_millis` as version.
pub fn from_usage(usage: &UsageReport, wall_millis: u64) -> impl Iterator<Item = Fact> {
    usage.rows.iter().map(move |row| Fact {
        key: FactKey::Usage { owner: usage.node.clone(), workspace: row.workspace.clone() },
        owner: usage.node.clone(),
        version: wall_millis,
        lifetime: USAGE_LIFETIME,
        body: row.demand.to_le_bytes().into(),
    })
}

/// Decodes the demand of a process for a workspace; `None` if `fact` is of another kind or
/// malformed.
pub fn to_usage(fact: &Fact) -> Option<(NodeId, WorkspaceDemand)> {
    let FactKey::Usage { owner, workspace } = &fact.key else { return None };
    let demand = f64::from_le_bytes((*fact.body).try_into().ok()?);
    Some((owner.clone(), WorkspaceDemand { workspace: workspace.clone(), demand }))
}
