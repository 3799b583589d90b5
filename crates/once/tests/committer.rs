//! Tests of the committer task on an in-memory store.

use std::sync::Arc;

use kv::prelude::*;
use once::claimant::CommitResult;
use once::committer::agree_layout;
use once::committer::wall_ms;
use once::prelude::*;

const CLAIMS: u64 = 200;

fn claim(key: u64, boot: u64) -> Entry {
    let holder = ClaimId { boot, attempt: key };
    Entry::Claim { key: u128::from(key), fingerprint: 1, holder }
}

fn settings() -> OnceSettings {
    let layout = Layout { shards: 2, ..Layout::default() };
    OnceSettings { layout, flush_period_ms: 5, report_delay_ms: 5, ..OnceSettings::default() }
}

#[tokio::test]
async fn two_owners_of_a_shard_grant_each_key_once() {
    let store = Arc::new(MemoryStore::default());
    let issued_ms = wall_ms();
    let mut commits = tokio::task::JoinSet::new();
    for boot in 1..=2 {
        let committer = Committer::start(store.clone(), settings());
        for key in 0..CLAIMS {
            let committer = committer.clone();
            commits.spawn(async move { committer.commit(claim(key, boot), issued_ms).await });
        }
    }
    let results = commits.join_all().await;
    let granted =
        results.iter().filter(|result| **result == CommitResult::Decided(Verdict::Granted));
    assert_eq!(granted.count() as u64, CLAIMS);
    let taken =
        |result: &&CommitResult| matches!(result, CommitResult::Decided(Verdict::Taken { .. }));
    assert_eq!(results.iter().filter(taken).count() as u64, CLAIMS);
    assert!(store.revision() < CLAIMS, "{} writes", store.revision());
}

#[tokio::test]
async fn cached_segment_does_not_hide_an_outcome_written_by_another_process() {
    let store = Arc::new(MemoryStore::default());
    let issued_ms = wall_ms();
    let first = Committer::start(store.clone(), settings());
    let second = Committer::start(store.clone(), settings());
    assert_eq!(first.commit(claim(1, 1), issued_ms).await, CommitResult::Decided(Verdict::Granted));
    // The second committer now caches the claim without an outcome.
    second.commit(claim(1, 2), issued_ms).await;
    let holder = ClaimId { boot: 1, attempt: 1 };
    let end = RequestOutcome::Done { digest: 9 };
    let report = Entry::Report { key: 1, fingerprint: 1, holder, end };
    assert_eq!(first.commit(report, issued_ms).await, CommitResult::Decided(Verdict::Recorded));
    let state = ClaimState::Ended(end);
    let taken = CommitResult::Decided(Verdict::Taken { state, holder });
    assert_eq!(second.commit(claim(1, 3), issued_ms).await, taken);
}

#[tokio::test]
async fn first_written_layout_is_used_by_all_processes() {
    let store = MemoryStore::default();
    let limit = std::time::Duration::from_secs(1);
    let first = Layout { shards: 4, ..Layout::default() };
    let second = Layout { shards: 8, ..Layout::default() };
    assert_eq!(agree_layout(&store, first, limit).await, Ok(first));
    assert_eq!(agree_layout(&store, second, limit).await, Ok(first));
}
